// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/coordination/reach"
	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/worker"
	"github.com/ryehill/ryehill/transport/forward"
	"github.com/ryehill/ryehill/transport/ingress"
	"github.com/ryehill/ryehill/transport/peer"
	"github.com/ryehill/ryehill/transport/upstream"
)

const (
	// maxProxies bounds the proxies that are asked for one try of a request.
	maxProxies = 3
	// unreachableProxyPause, isolatedProxyPause and busyProxyPause are how long a proxy is
	// not asked again after it did not answer, reached no worker itself, or had no room.
	unreachableProxyPause = time.Second
	isolatedProxyPause    = 500 * time.Millisecond
	busyProxyPause        = 100 * time.Millisecond
	// maxBurstChecks bounds the failed workers in a check, and burstCheckTimeout its time.
	maxBurstChecks    = 8
	burstCheckTimeout = 400 * time.Millisecond
	// minListedFraction is the fraction of a region's live VMs that must reach workers for
	// the directory to leave out those that do not.
	minListedFraction = 0.5
)

// isolation is this VM's part in serving clients of VMs that reach no worker. It is safe for
// concurrent use.
type isolation struct {
	monitor *reach.Monitor
	proxies *reach.Proxies
	// since is the start of the isolation in Unix nanoseconds, 0 once its suspected exits
	// have been discarded or it is over.
	since atomic.Int64
}

func newIsolation(vm string) *isolation {
	return &isolation{monitor: reach.New(reach.Config{Now: clock.Now}), proxies: reach.NewProxies(vm, clock.Now)}
}

// isolationLoop checks whether this VM reaches workers while there is doubt.
func (g *Gateway) isolationLoop(ctx context.Context) {
	monitor := g.isolation.monitor
	for ctx.Err() == nil {
		delay, needed := monitor.CheckDelay()
		switch {
		case !needed:
			select {
			case <-ctx.Done():
			case <-monitor.Wake():
			}
		case delay > 0:
			sleep(ctx, delay)
		default:
			g.applyReach(monitor.RecordCheck(g.checkWorkers(ctx)))
		}
	}
}

// checkWorkers checks a worker each of this VM's hall, of another hall of its region and of
// another region, and some of the workers whose connections failed at one moment.
func (g *Gateway) checkWorkers(ctx context.Context) reach.Check {
	check := reach.Check{StartedAt: clock.Now()}
	s := g.snapshot.Load()
	if s == nil {
		return check
	}
	check.Workers = s.Workers.Len()
	var mu sync.Mutex
	var pending sync.WaitGroup
	burst := g.isolation.monitor.Burst()
	for _, id := range burst[:min(len(burst), maxBurstChecks)] {
		pending.Go(func() {
			alive := g.answersCheck(ctx, s, id)
			mu.Lock()
			defer mu.Unlock()
			if alive {
				check.Alive++
			} else {
				check.Ended++
			}
		})
	}
	for _, w := range g.workersToCheck(s) {
		pending.Go(func() {
			err := g.upstreams.Check(ctx, upstream.Worker{ID: w.ID, Start: w.Start, Address: w.Address})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				check.Failed = append(check.Failed, w.ID)
				return
			}
			check.Reached++
		})
	}
	pending.Wait()
	result := "none reached"
	if check.Reached > 0 {
		result = "reached"
	}
	g.cfg.Metrics.ReachCheck(result)
	return check
}

// answersCheck reports whether a worker answers a check within burstCheckTimeout.
func (g *Gateway) answersCheck(ctx context.Context, s *placement.Snapshot, id string) bool {
	w, ok := s.Workers.Get(id)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, burstCheckTimeout)
	defer cancel()
	return g.upstreams.Check(ctx, upstream.Worker{ID: w.ID, Start: w.Start, Address: w.Address}) == nil
}

// workersToCheck returns a random worker of each distance. Workers that have failed are
// taken only if there are no others at the distance, and those that want few requests only if
// there are no others at all: without a check, failures count against their workers. Those
// that want none are never taken.
func (g *Gateway) workersToCheck(s *placement.Snapshot) []*worker.Worker {
	suspects, now := g.isolation.monitor.Suspects(), clock.Now()
	availability := g.placer.Availability(s)
	var sound, failed, sparing [distances]reservoir
	for _, w := range s.Workers.All() {
		distance := g.distance(w)
		available := availability(w)
		if _, limited := available.(worker.Limited); limited || now.Before(w.ColdUntil) {
			if wantsSome(available) {
				sparing[distance].add(w)
			}
			continue
		}
		switch available.(type) {
		case worker.Ready:
			if suspects[w.ID] {
				failed[distance].add(w)
			} else {
				sound[distance].add(w)
			}
		case worker.Paused, worker.Ejected:
			failed[distance].add(w)
		case worker.Departed, worker.Resting, worker.Limited:
		}
	}
	if chosen := chooseEach(sound, failed); len(chosen) > 0 {
		return chosen
	}
	return chooseEach(sparing, [distances]reservoir{})
}

// chooseEach returns a worker of each distance, from preferred if it has one there, else from
// others.
func chooseEach(preferred, others [distances]reservoir) (chosen []*worker.Worker) {
	for distance := range preferred {
		switch {
		case preferred[distance].kept != nil:
			chosen = append(chosen, preferred[distance].kept)
		case others[distance].kept != nil:
			chosen = append(chosen, others[distance].kept)
		}
	}
	return chosen
}

// wantsSome reports whether a worker wants any requests.
func wantsSome(a worker.Availability) bool {
	switch a.(type) {
	case worker.Departed, worker.Resting:
		return false
	default:
		return true
	}
}

// distances is the number of values of distance.
const distances = 3

// distance returns 0 for a worker of this VM's hall, 1 for one of its region, else 2.
func (g *Gateway) distance(w *worker.Worker) int {
	switch {
	case w.Hall == g.cfg.Hall:
		return 0
	case w.Region == g.region():
		return 1
	}
	return 2
}

// reservoir keeps one of the workers added to it, each with the same probability.
type reservoir struct {
	kept  *worker.Worker
	added int
}

func (r *reservoir) add(w *worker.Worker) {
	r.added++
	if rand.IntN(r.added) == 0 {
		r.kept = w
	}
}

// applyReach applies what a check has changed.
func (g *Gateway) applyReach(change reach.Change) {
	switch c := change.(type) {
	case reach.Unchanged:
	case reach.PathReturned:
		g.loads.VoidFailures()
		g.quarantines.voidHangUps(c.Since)
		g.isolation.monitor.Discard(c)
		g.log.Info("workers: connections lost at one moment, not by their workers", "since_ms", clock.Since(c.Since).Milliseconds(),
			"failed_workers_alive", c.Alive, "failed_workers_ended", c.Ended)
	case reach.BecameIsolated:
		g.loads.VoidFailures()
		g.quarantines.voidHangUps(c.Since)
		g.isolation.since.Store(c.Since.UnixNano())
		g.members.SetPath(membership.PathIsolated)
		g.cfg.Metrics.Isolated(true)
		g.log.Info("workers: this VM reaches none, its requests go by way of other VMs", "since_ms", clock.Since(c.Since).Milliseconds(),
			"workers_failed", c.FailedWorkers, "open_connections_work", c.OpenConnectionsWork)
	case reach.Recovered:
		g.isolation.since.Store(0)
		g.members.SetPath(membership.PathOpen)
		g.cfg.Metrics.Isolated(false)
		g.log.Info("workers: reached again", "after_ms", c.After.Milliseconds(), "checks", c.Checks)
	}
}

// confirmIsolation discards the exits that this VM has suspected since its isolation began.
// It is called once another VM reaches workers, so that they were not what failed.
func (g *Gateway) confirmIsolation() {
	since := g.isolation.since.Swap(0)
	if since == 0 {
		return
	}
	g.loads.VoidExits(time.Unix(0, since))
	g.log.Info("workers: other VMs reach them, suspected exits discarded")
}

// Forward implements ingress.Forwarder. A request that a proxy has not sent goes to another
// one, if its body can be sent again.
func (g *Gateway) Forward(ctx context.Context, r forward.Request, workerRegion string, allows func(region string) bool) (*upstream.Response, string, error) {
	candidates, isolatedThere := g.proxyCandidates()
	demand := reach.Demand{Region: g.region(), IsolatedThere: isolatedThere, WorkerRegion: workerRegion, Allows: allows}
	proxy, err := "", ingress.ErrNoProxy
	for range maxProxies {
		chosen, ok := g.isolation.proxies.Acquire(candidates, demand)
		if !ok {
			break
		}
		proxy = chosen.ID
		var res *upstream.Response
		if res, err = g.forwardVia(ctx, chosen, r); err == nil {
			return res, proxy, nil
		}
		if !g.avoidProxy(chosen.ID, err) || !rewind(r.Exchange.Body) || ctx.Err() != nil {
			break
		}
	}
	return nil, proxy, err
}

// forwardVia sends a request by way of a proxy that was acquired, and releases it at the end.
func (g *Gateway) forwardVia(ctx context.Context, proxy reach.Proxy, r forward.Request) (*upstream.Response, error) {
	release := func() { g.isolation.proxies.Release(proxy.ID) }
	res, err := forward.Do(ctx, g.peers, peer.Target{VM: proxy.ID, Address: proxy.Address}, r)
	if err != nil {
		release()
		return nil, err
	}
	g.confirmIsolation()
	return res.OnClose(release), nil
}

// avoidProxy avoids a proxy for a time if it has not sent a request, and reports whether
// that is so.
func (g *Gateway) avoidProxy(id string, err error) (notSent bool) {
	var failed *forward.Error
	if !errors.As(err, &failed) || !failed.NotRun() {
		return false
	}
	pause := unreachableProxyPause
	if reason, refused := failed.Refused(); refused {
		switch reason {
		case peerpb.ForwardFailed_ISOLATED:
			pause = isolatedProxyPause
		default:
			pause = busyProxyPause
		}
	}
	g.isolation.proxies.Avoid(id, pause)
	return true
}

// rewind prepares a body to be sent again, and reports whether it can be.
func rewind(body io.Reader) bool {
	if body == nil {
		return true
	}
	seeker, ok := body.(io.Seeker)
	if !ok {
		return false
	}
	_, err := seeker.Seek(0, io.SeekStart)
	return err == nil
}

// proxyCandidates returns the VMs that may forward requests, and the number of isolated VMs
// in this VM's region, itself included.
func (g *Gateway) proxyCandidates() (candidates []reach.Proxy, isolatedThere int) {
	isolatedThere = 1
	for _, m := range g.members.Others() {
		if m.State != membership.StateLive || m.Start == 0 {
			continue
		}
		switch m.Path {
		case membership.PathOpen:
			candidates = append(candidates, reach.Proxy{ID: m.ID, Address: m.Peer, Region: g.cfg.Halls[m.Hall], LinkMbps: m.LinkMbps})
		case membership.PathIsolated:
			if g.inRegion(m) {
				isolatedThere++
			}
		case membership.PathUnknown, membership.PathStarting:
		}
	}
	return candidates, isolatedThere
}

// countIsolated returns how many VMs reach no worker.
func countIsolated(members []membership.Member) (n int) {
	for _, m := range members {
		if m.Path == membership.PathIsolated {
			n++
		}
	}
	return n
}

// reachingWorkers returns the VMs that reach workers and do not only just start, or all if these
// are too few to serve the clients of the others.
func reachingWorkers(members []membership.Member) []membership.Member {
	var reaching []membership.Member
	for _, m := range members {
		if m.Path != membership.PathIsolated && m.Path != membership.PathStarting {
			reaching = append(reaching, m)
		}
	}
	if float64(len(reaching)) < minListedFraction*float64(len(members)) {
		return members
	}
	return reaching
}
