// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"maps"
	"time"

	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/route"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/state/view"
	"github.com/ryehill/ryehill/state/worker"
)

// reopenedCold is for how long the workers of a hall that is open again are
// taken as cold: until their own entries must have said so.
const reopenedCold = 2500 * time.Millisecond

// compiler holds what the last snapshot was made from. Only compileLoop uses it.
type compiler struct {
	// listed is the revision of the list of VMs that was taken in.
	listed         uint64
	configRevision uint64
	// refusedRevision is that of the last configuration that could not be read.
	refusedRevision uint64
	routes          *route.Table
	// bound is the part of the requests that the workspaces of routes bind to regions.
	bound   map[string]float64
	workers map[string]*worker.Worker
	closed  map[string]bool
	closing map[string]worker.DrainWindow
	warmAt  map[string]time.Time
	// versions are those in use, by service.
	versions versions
	// traffic holds the operators' moves and caps, of a version.
	traffic        *view.View
	trafficVersion uint64
}

func newCompiler() compiler {
	return compiler{
		workers: make(map[string]*worker.Worker), closed: make(map[string]bool),
		closing: make(map[string]worker.DrainWindow), warmAt: make(map[string]time.Time), versions: make(versions),
	}
}

const (
	// compilePause is how many times as long as a snapshot took to make a VM waits until
	// it makes the next one, and longestPause bounds that. While workers of a large fleet
	// start or end one after the other, a small VM would else do nothing but take in each
	// change; so it takes in those of a moment together.
	compilePause        = 19
	longestCompilePause = 500 * time.Millisecond
)

// compileLoop makes a new snapshot whenever the replica has changed.
func (g *Gateway) compileLoop(ctx context.Context) {
	for ctx.Err() == nil {
		changed := g.replica.Changed()
		begun := clock.Now()
		g.compile(begun)
		if g.snapshot.Load() != nil {
			sleep(ctx, pauseAfter(clock.Since(begun)))
		}
		g.awaitCompile(ctx, changed)
	}
}

// pauseAfter returns how long to wait after a snapshot that took a time to make.
func pauseAfter(took time.Duration) time.Duration {
	return min(compilePause*took, longestCompilePause)
}

// awaitCompile waits for a change, or for the end of the time in which lapsed
// entries are believed.
func (g *Gateway) awaitCompile(ctx context.Context, changed <-chan struct{}) {
	var graceOver <-chan time.Time
	if left := clock.Until(g.away.graceEnd()); left > 0 {
		timer := time.NewTimer(left)
		defer timer.Stop()
		graceOver = timer.C
	}
	select {
	case <-ctx.Done():
	case <-changed:
	case <-graceOver:
	}
}

func (g *Gateway) compile(now time.Time) {
	c := &g.compiler
	config := g.replica.LastChanged(g.cfg.Codec.ConfigKind())
	g.compileMembers(c)
	g.compileQuarantine()
	g.compileRoutes(c)
	_, workersKnown := g.replica.CompleteUpTo(g.cfg.Codec.WorkerKind())
	_, closedKnown := g.replica.CompleteUpTo(g.cfg.Codec.ClosedKind())
	if c.routes == nil || !workersKnown || !closedKnown {
		return
	}
	g.compileClosed(c, now)
	g.compileTraffic(c)
	g.compileRollouts(now)
	s := &placement.Snapshot{
		Routes: c.routes, Workers: g.compileWorkers(c, now), Closed: maps.Clone(c.closed), Closing: maps.Clone(c.closing),
		HallColdUntil: maps.Clone(c.warmAt), Regions: g.regions(), Traffic: c.traffic, PinnedShares: c.bound,
	}
	g.snapshot.Store(s)
	g.compiledConfig.Store(config)
	g.loads.Prune(s.Workers.HasIncarnation)
	g.permits.issuer.Retain(s.Workers.HasIncarnation)
	if g.life.Current() == phaseStarting {
		g.enter("serve")
	}
}

// compileRoutes takes in a newer configuration. One that cannot be read, or is
// older than the one in force, changes nothing.
func (g *Gateway) compileRoutes(c *compiler) {
	objects := g.replica.Objects(g.cfg.Codec.ConfigKind())
	g.unused.keep(g.cfg.Codec.ConfigKind(), objects)
	for _, o := range objects {
		if o.Revision <= c.configRevision || o.Revision == c.refusedRevision {
			continue
		}
		cfg, err := g.cfg.Codec.Routes(o)
		if err != nil {
			c.refusedRevision = o.Revision
			g.unused.note(g.cfg.Codec.ConfigKind(), o, err)
			g.log.Error(err, "config: not taken", "object", o.Name, "revision", o.Revision)
			continue
		}
		c.configRevision = o.Revision
		if c.routes != nil && cfg.Version < c.routes.Version() {
			continue
		}
		c.routes, c.bound = route.NewTable(cfg), cfg.Workspaces.HomeShares()
		g.keyQuestions.forget()
		g.cfg.Metrics.Generation(cfg.Version)
		g.log.Info("config: in force", "version", cfg.Version, "revision", o.Revision, "routes", len(cfg.Routes),
			"workspaces", cfg.Workspaces.Len())
	}
}

func (g *Gateway) compileClosed(c *compiler, now time.Time) {
	closed := make(map[string]bool)
	ending := g.ending(g.cfg.Codec.ClosedKind(), now)
	for _, o := range g.replica.Objects(g.cfg.Codec.ClosedKind()) {
		closed[o.Name] = true
		if !c.closed[o.Name] {
			c.closing[o.Name] = ending
			g.log.Info("halls: closed", "hall", o.Name, "revision", o.Revision)
		}
	}
	for hall := range c.closed {
		if !closed[hall] {
			c.warmAt[hall] = now.Add(reopenedCold)
			delete(c.closing, hall)
			g.log.Info("halls: open again", "hall", hall)
		}
	}
	c.closed = closed
}

// compileTraffic takes in the operators' moves and caps. An object that cannot be
// read changes nothing.
func (g *Gateway) compileTraffic(c *compiler) {
	for _, o := range g.replica.Objects(g.cfg.Codec.TrafficKind()) {
		if o.Name != spec.SingletonName || o.Revision <= c.trafficVersion {
			continue
		}
		t, _, err := decodeTraffic(o)
		if err != nil {
			g.unused.add(g.cfg.Codec.TrafficKind(), o, err)
			continue
		}
		c.traffic, c.trafficVersion = view.Empty().WithTraffic(&t), o.Revision
		g.log.Info("traffic: in force", "revision", o.Revision, "edit", t.Edit, "moves", len(t.Moves), "caps", len(t.Caps))
	}
}

// ending returns how long those have left of which news of a kind says that they
// end. The store took that after the moment up to which it is known to have said
// otherwise.
func (g *Gateway) ending(kind string, now time.Time) worker.DrainWindow {
	return worker.DrainWindow{ObservedAt: now, Until: g.replica.TakeEarliestChange(kind).Add(g.leaveWithin())}
}

// compileWorkers returns the workers as the replica has them. Those that have not
// changed are the same ones as before: of 1,617 workers, one change takes 0.4 ms
// in place of 1.7 (BenchmarkCompile), and 295 VMs take in each.
func (g *Gateway) compileWorkers(c *compiler, now time.Time) *worker.Set {
	ending := g.ending(g.cfg.Codec.WorkerKind(), now)
	objects := g.replica.Objects(g.cfg.Codec.WorkerKind())
	next := make(map[string]*worker.Worker, len(objects))
	list := make([]*worker.Worker, 0, len(objects))
	for _, o := range objects {
		w, ok := c.workers[o.Name]
		if !ok || w.Revision != o.Revision {
			if !ok && g.unused.known(g.cfg.Codec.WorkerKind(), o) {
				continue
			}
			changed, err := g.compileWorker(o, w, ending)
			if err != nil {
				g.unused.add(g.cfg.Codec.WorkerKind(), o, err)
				continue
			}
			w = changed
		}
		next[o.Name] = w
		if c.traffic != nil && c.traffic.IsLeaving(w.ID) {
			drained := *w // By an operator.
			drained.Leaving, drained.DrainWindow = true, worker.DrainWindow{}
			w = &drained
		}
		list = append(list, w)
	}
	g.unused.keep(g.cfg.Codec.WorkerKind(), objects)
	kept := lapsed(c.workers, next, now, &g.away, g.loads)
	if len(kept) > 0 {
		g.log.Info("workers: entries lapsed while the store was away are believed for now", "entries", len(kept), "listed", len(list))
	}
	for _, w := range kept {
		next[w.ID] = w
		list = append(list, w)
	}
	c.workers = next
	if g.rollouts.enabled() {
		list = c.versions.divide(list, g.rollouts.known())
	}
	return worker.SetOf(list)
}

// compileWorker reads the entry of a worker, of which an earlier state may be known;
// ending is for one that has begun to leave since.
func (g *Gateway) compileWorker(o object.Object, before *worker.Worker, ending worker.DrainWindow) (*worker.Worker, error) {
	w, cold, err := g.cfg.Codec.Worker(o)
	if err != nil {
		return nil, err
	}
	region, ok := g.cfg.Halls[w.Hall]
	if !ok {
		return nil, object.NewInvalidError(object.ReasonHall, "hall %.64q is unknown", w.Hall)
	}
	w.Region = region
	if before != nil && w.Start != before.Start {
		if w.Start < before.Start {
			// What an earlier process writes late is not news of the one that lives.
			older := *before
			older.Revision = w.Revision
			return &older, nil
		}
		g.log.Info("workers: started again", "worker", w.ID, "start", w.Start, "start_before", before.Start)
		before = nil
	}
	if cold > 0 {
		w.ColdUntil = ending.ObservedAt.Add(cold)
	}
	if before != nil {
		w.DrainWindow = before.DrainWindow
		if w.Leaving && !before.Leaving {
			w.DrainWindow = ending
		}
	}
	w.SetHash()
	return &w, nil
}
