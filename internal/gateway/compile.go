// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"maps"
	"time"

	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/route"
	"github.com/ryehill/ryehill/state/view"
	"github.com/ryehill/ryehill/state/worker"
)

// reopenedColdPeriod is how long the workers of a reopened hall are treated as cold,
// which is long enough for their own entries to report whether they are cold.
const reopenedColdPeriod = 2500 * time.Millisecond

// compiler holds the inputs of the last snapshot. Only compileLoop uses it.
type compiler struct {
	// memberList is the generation of the last compiled list of VMs.
	memberList uint64
	// configEntry is the version of the last decoded configuration.
	configEntry object.Version
	// refusedEntry is the version of the last configuration that could not be decoded.
	refusedEntry object.Version
	routes       *route.Table
	// pinnedShares maps each region to the fraction of all requests that must run there
	// because of the workspaces' home regions.
	pinnedShares  map[string]float64
	workers       map[string]*worker.Worker
	closed        map[string]bool
	drainWindows  map[string]worker.DrainWindow
	hallColdUntil map[string]time.Time
	// versions are the versions in use, by service.
	versions activeVersions
	// traffic holds the operators' moves and caps, of the generation trafficContent.
	traffic        *view.View
	trafficContent uint64
	// nextExpiry is when the next state of an earlier era ends, zero if none does.
	nextExpiry time.Time
}

func newCompiler() compiler {
	return compiler{
		workers: make(map[string]*worker.Worker), closed: make(map[string]bool),
		drainWindows: make(map[string]worker.DrainWindow), hallColdUntil: make(map[string]time.Time), versions: make(activeVersions),
	}
}

const (
	// compilePauseFactor is the pause after a snapshot, as a multiple of the time it
	// took to build; maxCompilePause bounds the pause. Changes that come close
	// together are compiled together, so that a small VM keeps CPU time for requests
	// while the workers of a large fleet start or stop.
	compilePauseFactor = 19
	maxCompilePause    = 500 * time.Millisecond
)

// compileLoop builds a new snapshot whenever the replica has changed.
func (g *Gateway) compileLoop(ctx context.Context) {
	for ctx.Err() == nil {
		changed := g.replica.Changed()
		started := clock.Now()
		g.compile(started)
		if g.snapshot.Load() != nil {
			sleep(ctx, compilePause(clock.Since(started)))
		}
		g.waitForChange(ctx, changed)
	}
}

// compilePause returns how long to wait after a snapshot that took the given time.
func compilePause(took time.Duration) time.Duration {
	return min(compilePauseFactor*took, maxCompilePause)
}

// waitForChange waits for a change of the replica, for the end of the grace period of
// lapsed entries or of a state of an earlier era, or for the end of the startup.
func (g *Gateway) waitForChange(ctx context.Context, changed <-chan struct{}) {
	var graceOver, expiry <-chan time.Time
	if left := clock.Until(g.outage.graceEnd()); left > 0 {
		timer := time.NewTimer(left)
		defer timer.Stop()
		graceOver = timer.C
	}
	if next := g.compiler.nextExpiry; !next.IsZero() {
		timer := time.NewTimer(max(clock.Until(next), 0))
		defer timer.Stop()
		expiry = timer.C
	}
	select {
	case <-ctx.Done():
	case <-changed:
	case <-graceOver:
	case <-expiry:
	case <-g.startup.wake():
	}
}

func (g *Gateway) compile(now time.Time) {
	c := &g.compiler
	c.nextExpiry = g.expireCarried()
	config := g.replica.Generation(g.cfg.Codec.ConfigKind())
	routesMark := g.replica.Mark(g.cfg.Codec.ConfigKind())
	g.compileMembers(c)
	g.compileQuarantine()
	g.compileRoutes(c)
	_, workersKnown := g.replica.CompleteUpTo(g.cfg.Codec.WorkerKind())
	_, closedKnown := g.replica.CompleteUpTo(g.cfg.Codec.ClosedKind())
	if c.routes == nil || !workersKnown || !closedKnown || !g.startup.over(now, g.knowledge.storeEra()) {
		return
	}
	g.compileClosed(c, now)
	g.compileTraffic(c)
	g.compileRollouts(now)
	workersMark := g.replica.Mark(g.cfg.Codec.WorkerKind())
	s := &placement.Snapshot{
		Routes: c.routes, Workers: g.compileWorkers(c, now), RoutesMark: routesMark, WorkersMark: workersMark, Closed: maps.Clone(c.closed), Closing: maps.Clone(c.drainWindows),
		HallColdUntil: maps.Clone(c.hallColdUntil), Regions: g.regions(), Traffic: c.traffic, PinnedShares: c.pinnedShares,
		Splitters: g.rollouts.splitters(),
	}
	if g.members.Self().Path == membership.PathStarting {
		g.members.SetPath(membership.PathOpen) // Checks of the path begin with the snapshot.
	}
	g.useSnapshot(s)
	g.compiledConfig.Store(config)
	g.loads.Prune(s.Workers.HasIncarnation)
	g.permits.issuer.Retain(s.Workers.HasIncarnation)
	if g.lifecycle.Current() == phaseStarting {
		g.openToClients() // Before this VM is ready.
		g.fireEvent("serve")
	}
}

// compileRoutes applies a newer configuration. One that cannot be decoded, or that is
// older than the current one, changes nothing.
func (g *Gateway) compileRoutes(c *compiler) {
	objects := g.replica.Objects(g.cfg.Codec.ConfigKind())
	g.unused.retain(g.cfg.Codec.ConfigKind(), objects)
	for _, o := range objects {
		if o.Version == c.configEntry || o.Version == c.refusedEntry {
			continue
		}
		cfg, err := g.cfg.Codec.Routes(o)
		if err != nil {
			c.refusedEntry = o.Version
			g.unused.record(g.cfg.Codec.ConfigKind(), o, err)
			g.log.Error(err, "config: not taken", "object", o.Name, "revision", o.Version.Revision)
			continue
		}
		c.configEntry = o.Version
		if c.routes != nil && cfg.Version < c.routes.Version() {
			continue
		}
		c.routes, c.pinnedShares = route.NewTable(cfg), cfg.Workspaces.HomeShares()
		g.keyFetches.clearBadKeys()
		g.cfg.Metrics.Generation(cfg.Version)
		g.log.Info("config: in force", "version", cfg.Version, "revision", o.Version.Revision, "routes", len(cfg.Routes),
			"workspaces", cfg.Workspaces.Len())
	}
}

func (g *Gateway) compileClosed(c *compiler, now time.Time) {
	closed := make(map[string]bool)
	window := g.drainWindow(g.cfg.Codec.ClosedKind(), now)
	for _, o := range g.replica.Objects(g.cfg.Codec.ClosedKind()) {
		closed[o.Name] = true
		if !c.closed[o.Name] {
			c.drainWindows[o.Name] = window
			g.log.Info("halls: closed", "hall", o.Name, "revision", o.Version.Revision)
		}
	}
	for hall := range c.closed {
		if !closed[hall] {
			c.hallColdUntil[hall] = now.Add(reopenedColdPeriod)
			delete(c.drainWindows, hall)
			g.log.Info("halls: reopened", "hall", hall)
		}
	}
	c.closed = closed
}

// compileTraffic applies the operators' moves and caps. An object that cannot be
// decoded changes nothing.
func (g *Gateway) compileTraffic(c *compiler) {
	content := g.replica.Generation(g.cfg.Codec.TrafficKind())
	if content == c.trafficContent {
		return
	}
	c.trafficContent = content
	state, ok := g.knownTraffic()
	if !ok {
		return
	}
	c.traffic = view.Empty().WithTraffic(&state.traffic)
	g.log.Info("traffic: applied", "revision", state.version.Revision, "edit", state.traffic.Edit, "moves", len(state.traffic.Moves), "caps", len(state.traffic.Caps))
}

// drainWindow returns the drain window of objects of a kind that begin to leave with
// the latest changes. The store accepted these changes after the time at which it last
// confirmed the previous state.
func (g *Gateway) drainWindow(kind string, now time.Time) worker.DrainWindow {
	return worker.DrainWindow{ObservedAt: now, Until: g.replica.TakeEarliestChange(kind).Add(g.leavingGrace())}
}

// compileWorkers returns the workers of the replica. It reuses the values of unchanged
// workers, since every VM compiles every change: with 1,617 workers one change takes
// 0.4 ms in place of 1.7.
func (g *Gateway) compileWorkers(c *compiler, now time.Time) *worker.Set {
	window := g.drainWindow(g.cfg.Codec.WorkerKind(), now)
	objects := g.replica.Objects(g.cfg.Codec.WorkerKind())
	next := make(map[string]*worker.Worker, len(objects))
	list := make([]*worker.Worker, 0, len(objects))
	for _, o := range objects {
		w, ok := c.workers[o.Name]
		if !ok || w.Entry != o.Version {
			if !ok && g.unused.known(g.cfg.Codec.WorkerKind(), o) {
				continue
			}
			changed, err := g.compileWorker(o, w, window)
			if err != nil {
				g.unused.add(g.cfg.Codec.WorkerKind(), o, err)
				continue
			}
			w = changed
		}
		next[o.Name] = w
		if c.traffic != nil && c.traffic.IsLeaving(w.ID) {
			drained := *w // An operator drains it.
			drained.Leaving, drained.DrainWindow = true, worker.DrainWindow{}
			w = &drained
		}
		list = append(list, w)
	}
	g.unused.retain(g.cfg.Codec.WorkerKind(), objects)
	retained := lapsedWorkers(c.workers, next, now, &g.outage, g.loads)
	if len(retained) > 0 {
		g.log.Info("workers: keeping entries that lapsed while the store was unavailable", "entries", len(retained), "listed", len(list))
	}
	for _, w := range retained {
		next[w.ID] = w
		list = append(list, w)
	}
	c.workers = next
	if g.rollouts.enabled() {
		list = c.versions.selectWorkers(list, g.rollouts.snapshot())
	}
	return worker.SetOf(list)
}

// compileWorker decodes the entry of a worker, given its previous state, if any, and
// the drain window for a worker that has begun to leave since.
func (g *Gateway) compileWorker(o object.Object, previous *worker.Worker, window worker.DrainWindow) (*worker.Worker, error) {
	w, cold, err := g.cfg.Codec.Worker(o)
	if err != nil {
		return nil, err
	}
	region, ok := g.cfg.Halls[w.Hall]
	if !ok {
		return nil, object.NewInvalidError(object.ReasonHall, "hall %.64q is unknown", w.Hall)
	}
	w.Region = region
	if previous != nil && w.Start != previous.Start {
		if w.Start < previous.Start {
			// A late write of an earlier process does not change the state of its
			// successor.
			older := *previous
			older.Entry = w.Entry
			return &older, nil
		}
		kept := g.loads.TransferSignals(previous, &w)
		g.loads.RecordReplaced(previous)
		g.log.Info("workers: restarted", "worker", w.ID, "start", w.Start, "start_before", previous.Start,
			"leaving_signal_kept", kept.Leaving, "rest_kept", kept.Rest, "limit_kept", kept.RateLimit)
		previous = nil
	}
	if cold > 0 {
		w.ColdUntil = window.ObservedAt.Add(cold)
	}
	if previous != nil {
		w.DrainWindow = previous.DrainWindow
		if w.Leaving && !previous.Leaving {
			w.DrainWindow = window
		}
	}
	w.SetHash()
	return &w, nil
}
