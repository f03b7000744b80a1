// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/internal/metrics"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/holders"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/rollout"
	"github.com/ryehill/ryehill/state/worker"
	"github.com/ryehill/ryehill/state/workspace"
)

// FromBalanced and FromBalance read what peers send, for tests.
var (
	FromBalanced = fromBalanced
	FromBalance  = fromBalance
)

// Lapsed is lapsed for a store that was last confirmed at a moment, and came back lapseGrace
// before another one.
func Lapsed(before, listed map[string]*worker.Worker, now, confirmed, graceEnd time.Time, loads *worker.Loads) []*worker.Worker {
	return lapsedWorkers(before, listed, now, &storeOutage{returned: graceEnd.Add(-lapseGrace), confirmed: confirmed}, loads)
}

// TableEpoch returns the epoch of the table of holders.
func (g *Gateway) TableEpoch() uint64 { return g.balancer.table.Epoch() }

// Decides reports whether the table of holders is this VM's own.
func (g *Gateway) Decides() bool {
	g.balancer.mu.Lock()
	defer g.balancer.mu.Unlock()
	return g.balancer.ownEpoch != 0 && g.balancer.ownEpoch == g.balancer.table.Epoch()
}

// Move names the holder of a key, as a decision does.
func (g *Gateway) Move(service, region string, key uint64, worker string) {
	g.balancer.table.Apply(holders.Changes{holders.KeyOf(service, region, key): worker})
}

// Holder returns the worker that the table names for a key.
func (g *Gateway) Holder(service, region string, key uint64) string {
	id, _ := g.balancer.table.Holder(holders.KeyOf(service, region, key))
	return id
}

// Busy returns how many requests this VM takes a worker to hold.
func (g *Gateway) Busy(worker string) float64 { return g.loads.GetOrCreate(worker).Busy() }

// Quarantined returns how many requests this VM knows to end workers.
func (g *Gateway) Quarantined() int { return g.quarantines.table.Len() }

// Lives reports whether this VM believes in a life of a worker.
func (g *Gateway) Lives(life string) bool {
	s := g.snapshot.Load()
	return s != nil && s.Workers.HasIncarnation(life)
}

// Leaves reports whether this VM knows a life of a worker to be leaving by anybody's word.
func (g *Gateway) Leaves(life string) bool {
	return !g.loads.SharedSignals()[life].Leaving.Until.IsZero()
}

// SawEnd makes this VM see that a life of a worker ends its connections.
func (g *Gateway) SawEnd(life string) { g.loads.GetOrCreate(life).RecordAllConnectionsClosed() }

// Cold reports whether this VM takes a worker as cold.
func (g *Gateway) Cold(id string) bool {
	s := g.snapshot.Load()
	w, ok := s.Workers.Get(id)
	return ok && g.placer.IsCold(s, w)
}

// Distrust makes this VM believe the worst of a life of a worker.
func (g *Gateway) Distrust(life string) {
	l := g.loads.GetOrCreate(life)
	l.Begin()
	l.RecordFailure()
	l.RecordConnectionRefused()
	l.Eject(time.Minute)
}

// Distrusts reports whether this VM holds anything against a life of a worker.
func (g *Gateway) Distrusts(life string) bool {
	l := g.loads.GetOrCreate(life)
	return l.Paused() || l.Ejected() || l.MayBeCold(clock.Now(), 0)
}

// Version returns the version of the routes in force, 0 before there are any.
func (g *Gateway) Version() uint64 {
	s := g.snapshot.Load()
	if s == nil {
		return 0
	}
	return s.Routes.Version()
}

// BoundCopies returns what bounds the large parts of a VM's answers: deltas, and
// tables.
func BoundCopies() (deltas, tables func(*peerpb.Synced) (sent func())) {
	c := newLargeReplies()
	return c.dropOversized, c.dropOversizedTable
}

// Lacks returns what this VM tells one that asks of a kind.
func (g *Gateway) Lacks(ask *peerpb.Sync, kind string) (object.Delta, bool) {
	return g.deltaFor(ask, kind)
}

// Hear takes in what a peer tells of one kind.
func (g *Gateway) Hear(d object.Delta) { g.mergeDelta("peer", d) }

// TellSlowly answers a VM that asks for news, and leaves it to the test when the
// answer has been sent.
func (g *Gateway) TellSlowly(ctx context.Context, ask *peerpb.Sync) (answer *peerpb.Synced, sent func()) {
	return g.handleSync(ctx, ask)
}

// Tell answers a VM that asks for news.
func (g *Gateway) Tell(ctx context.Context, ask *peerpb.Sync) *peerpb.Synced {
	answer, sent := g.handleSync(ctx, ask)
	sent()
	return answer
}

// Knows reports whether this VM believes that there is a worker.
func (g *Gateway) Knows(worker string) bool {
	s := g.snapshot.Load()
	if s == nil {
		return false
	}
	_, ok := s.Workers.Get(worker)
	return ok
}

// Age returns how old the oldest knowledge is that requests rest on.
func (g *Gateway) Age() time.Duration { return g.maxReplicaAge() }

// Unpack reads a packed delta; Packed and Unpacked return a delta as it is sent.
var Unpack = unpack

// Packed returns what a delta is packed to for a VM that understands that.
func Packed(d object.Delta) []byte { return newDeltaCache().delta(d, true).GetPacked() }

// Unpacked returns a delta as it is sent to any VM.
func Unpacked(d object.Delta) *peerpb.Delta { return toDelta(d) }

// Compiler returns a function that takes in a change of workers, of which some are
// known, and makes a snapshot as a VM does.
func Compiler(codec Codec, known object.Delta) func(change object.Delta) *worker.Set {
	known.Full = true
	g := &Gateway{
		cfg: Config{Codec: codec, Log: logr.Discard(), Halls: map[string]string{"north-b": "north"}},
		log: logr.Discard(), unused: newUnused(logr.Discard(), metrics.New()), replica: object.NewReplica(), loads: worker.NewLoads(time.Now), compiler: newCompiler(), rollouts: newRollouts(0),
	}
	g.replica.Merge(known)
	return func(change object.Delta) *worker.Set {
		g.replica.Merge(change)
		return g.compileWorkers(&g.compiler, time.Now())
	}
}

// KeyQuestions is keyQuestions, for tests.
type KeyQuestions struct{ *keyFetches }

// NewKeyQuestions returns questions that nobody has asked yet.
func NewKeyQuestions() KeyQuestions { return KeyQuestions{newKeyFetches()} }

// Asks reports whether a request with an unknown key makes the VM ask another one.
func (k KeyQuestions) Asks(key workspace.Digest, now time.Time) bool {
	_, ask := k.beginFetch(key, now)
	return ask
}

// Lenders returns how many VMs lend this one their parts of quotas.
func (g *Gateway) Lenders() int { return g.quotas.pool.LenderCount() }

// ListedVMs is listedVMs, for tests.
func (g *Gateway) ListedVMs() int { return g.listedVMs() }

// Confirmed returns when the store last confirmed what is known of a kind.
func (g *Gateway) Confirmed(kind string) time.Time { return g.replica.ConfirmedAt(kind) }

// HearListedVMs is hearListedVMs, for tests.
func (g *Gateway) HearListedVMs(n uint32) { g.recordListedVMs(n) }

// Controls reports whether this VM steps moves and roll-outs.
func (g *Gateway) Controls() bool { return g.isController() }

// Peers returns how many VMs this one takes to be live, itself included.
func (g *Gateway) Peers() int { return len(g.liveMembers()) }

// Divided returns how many workers of the version in use and of one that is being brought in
// a VM uses that knows of one order, or of none if its version is 0.
func Divided(workers []*worker.Worker, service string, version rollout.Version, phase rollout.Phase) (stable, brought int) {
	orders := make(knownOrders)
	if version > 0 {
		orders[service] = knownOrder{version: version, phase: phase}
	}
	return counted(make(activeVersions).selectWorkers(workers, orders))
}

func counted(used []*worker.Worker) (stable, brought int) {
	for _, w := range used {
		if w.New {
			brought++
		} else {
			stable++
		}
	}
	return stable, brought
}

// Versions is versions, for tests.
type Versions struct{ activeVersions }

// NewVersions returns versions of which nothing is known.
func NewVersions() Versions { return Versions{make(activeVersions)} }

// Stable returns how many workers of the version in use there are, without any order.
func (v Versions) Stable(workers []*worker.Worker) int {
	stable, _ := counted(v.selectWorkers(workers, nil))
	return stable
}

// HeldBack returns a function that looks for workers that leave or rest among some of which
// one leaves, and returns how many it found.
func HeldBack(workers []worker.Worker) func() int {
	g := &Gateway{loads: worker.NewLoads(clock.Now)}
	set := worker.NewSet(workers)
	g.snapshot.Store(&placement.Snapshot{Workers: set})
	return func() int { return len(g.heldBack()) }
}

// PauseAfter is pauseAfter, for tests.
var PauseAfter = pauseAfter

// Gather returns how long a watcher waits after news, where a change must be in force
// within a time.
func Gather(within time.Duration) time.Duration {
	g := &Gateway{cfg: Config{Bounds: Bounds{ApplyWithin: within}}}
	return g.coalesceDelay()
}

// TellsLeaving returns the VMs that one of a hall tells that it leaves.
func TellsLeaving(members []membership.Member, hall string, regions map[string]string) []membership.Member {
	return nearest(members, hall, regions, maxLeaveProbes)
}

// Issues returns how many requests to a life of a worker this VM hands out if it is asked
// for more than there are.
func (g *Gateway) Issues(life string) int { return g.permits.issueByIncarnation(life, 0, 100).Requests }
