// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ryehill/ryehill/coordination/assign"
	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/transport/peer"
)

const (
	// askHold is how long a watcher may hold the question for news back.
	askHold = 350 * time.Millisecond
	// askGrace is how much longer the answer may take before another VM is
	// asked.
	askGrace = 400 * time.Millisecond
	// askedFor is for how long after a question a VM goes on watching.
	askedFor = 2 * time.Second
	// noWatcher is the wait before the next look for a VM to ask.
	noWatcher = 250 * time.Millisecond
	// newWatcherGrace is how long a VM that is asked for the first time has until
	// what it knows must be young: one answer, and a call to the store from the
	// farthest region.
	newWatcherGrace = 2 * askHold
)

// watchers is who watches the store for whom. In each region the VMs ask one of
// them for news, the same one as long as they see the same VMs; being asked
// makes a VM watch. Nobody has to agree on who that is: two watchers cost a few
// calls more, and where there is none each VM calls the store itself once its
// replica is too old.
type watchers struct {
	mu      sync.Mutex
	asked   time.Time // when another VM last asked this one
	chosen  bool      // this VM is its own first choice
	wake    chan struct{}
	avoided *avoided
}

func newWatchers() *watchers {
	return &watchers{wake: make(chan struct{}), avoided: newAvoided()}
}

// watches reports whether this VM watches the store.
func (g *Gateway) watches() bool {
	w := g.watchers
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.chosen || time.Since(w.asked) < askedFor
}

// askedToWatch returns a channel that is closed once this VM is to watch.
func (g *Gateway) askedToWatch() <-chan struct{} {
	g.watchers.mu.Lock()
	defer g.watchers.mu.Unlock()
	return g.watchers.wake
}

// ask notes that another VM asks, or that this one is its own choice.
func (w *watchers) ask(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked = now
	w.signal()
}

func (w *watchers) choose(self bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.chosen = self
	if self {
		w.signal()
	}
}

// wakeUp lets the loops that wait look again whether to call the store.
func (w *watchers) wakeUp() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.signal()
}

func (w *watchers) signal() {
	close(w.wake)
	w.wake = make(chan struct{})
}

// watcher returns the VM of this region that is to be asked for news; it may be
// this one, and is if all are avoided.
func (g *Gateway) watcher(now time.Time) membership.Member {
	self := g.members.Self()
	candidates := make(map[string]membership.Member)
	var ids []string
	for _, m := range append(g.live(), self) {
		if g.cfg.Halls[m.Hall] == g.region() && !g.watchers.avoided.has(m.ID, now) {
			candidates[m.ID] = m
			ids = append(ids, m.ID)
		}
	}
	if len(ids) == 0 {
		return self
	}
	slices.Sort(ids)
	return candidates[assign.Top("watcher/"+g.region(), slices.Compact(ids), 1)[0]]
}

// choice is the VM that is asked for news, and since when.
type choice struct {
	vm    string
	since time.Time
}

// askLoop asks the region's watcher for news, again and again.
func (g *Gateway) askLoop(ctx context.Context) {
	var chosen choice
	for ctx.Err() == nil {
		if g.asksPeersFirst() {
			sleep(ctx, seedInterval) // startLoop asks the seeds.
			continue
		}
		now := time.Now()
		m := g.watcher(now)
		if m.ID != chosen.vm {
			chosen = choice{vm: m.ID, since: now}
		}
		g.watchers.choose(m.ID == g.cfg.VM)
		age, err := g.followWatcher(ctx, m)
		switch {
		case err != nil:
			g.watchers.avoided.add(m.ID, now)
			g.cfg.Metrics.WatcherPassedOver("no answer")
			g.log.Info("watchers: one does not answer", "peer", m.ID, "error", err.Error())
		case age > g.oldForWatcher() && now.Sub(chosen.since) > newWatcherGrace:
			g.watchers.avoided.add(m.ID, now)
			g.cfg.Metrics.WatcherPassedOver("old knowledge")
			g.log.Info("watchers: what one knows is old", "peer", m.ID, "age_ms", age.Milliseconds())
		}
	}
}

// followWatcher asks the region's watcher for news once. If that is this VM, it
// waits a moment. It returns the age of the oldest knowledge that the watcher has.
func (g *Gateway) followWatcher(ctx context.Context, m membership.Member) (time.Duration, error) {
	if m.ID != g.cfg.VM {
		return g.askNews(ctx, peer.Target{VM: m.ID, Address: m.Peer}, askHold)
	}
	g.takeOutcomes()
	sleep(ctx, noWatcher)
	return g.age(), nil
}

// oldForWatcher returns the age above which the knowledge of a watcher shows that
// the store does not answer it: half-way between the longest hold of a watch, to
// which a slow store adds some tenths of a second, and the age at which all VMs
// call the store themselves.
func (g *Gateway) oldForWatcher() time.Duration { return (g.cfg.WatchHold + g.cfg.StaleAfter) / 2 }

// askNews asks a VM for what this one lacks. What it confirms is at least as
// new as the moment at which it answered, less the age that it gives; that
// moment is not before the question was sent plus the time it was held. It
// returns the greatest age that the peer gave of a kind that is watched.
func (g *Gateway) askNews(ctx context.Context, from peer.Target, hold time.Duration) (oldest time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, hold+askGrace)
	defer cancel()
	sent := time.Now()
	ask := &peerpb.Sync{Since: g.replicaRevisions(), HoldMillis: uint32(hold.Milliseconds()), TakesListed: true}
	if hold > 0 {
		ask.Outcomes = toOutcomes(g.takeOutcomes())
		ask.Loads = toLoads(g.loads.TakeWords())
		ask.LoadsMark = g.loadsMark.of(from.VM)
		ask.Balance = toBalance(g.balancer.table, g.balancer.meter.Take())
	}
	message := &peerpb.Envelope{Kind: &peerpb.Envelope_Sync{Sync: ask}}
	reply, err := g.peers.Call(ctx, from, message)
	g.cfg.Metrics.PeerCall("sync", err)
	g.knowledge.notePeer(err)
	if err != nil {
		return 0, err
	}
	answer := reply.GetSynced()
	g.hearSpared(answer.GetSparedMillis())
	g.hearLoads(answer.GetLoads())
	if hold > 0 {
		g.loadsMark.set(from.VM, answer.GetLoadsMark())
	}
	g.balancer.table.Merge(fromBalanced(answer.GetBalanced()))
	g.noteAbsence(time.Now())
	for _, d := range answer.GetDeltas() {
		g.mergeDelta(from.VM, fromDelta(d))
	}
	answered := sent.Add(time.Duration(answer.GetHeldMillis()) * time.Millisecond)
	for kind, age := range answer.GetAgeMillis() {
		if at, known := g.replica.At(kind); known && at >= answeredAt(answer, kind, at) {
			g.replica.Confirm(kind, answered.Add(-time.Duration(age)*time.Millisecond))
		}
	}
	return g.oldestTold(answer), nil
}

// oldestTold returns the greatest age in an answer of a kind that is watched.
func (g *Gateway) oldestTold(answer *peerpb.Synced) time.Duration {
	oldest := uint32(0)
	for _, kind := range g.watchedKinds() {
		oldest = max(oldest, answer.GetAgeMillis()[kind])
	}
	return time.Duration(oldest) * time.Millisecond
}

// mergeDelta takes in what a peer told of one kind. A kind that the peer shows to
// be incomplete is read from the store anew.
func (g *Gateway) mergeDelta(from string, d object.Delta) {
	before := g.replica.Doubted(d.Kind)
	g.replica.Merge(d)
	if !before && g.replica.Doubted(d.Kind) {
		g.log.Info("knowledge: a peer names an object that is missing here", "kind", d.Kind, "peer", from, "since", d.Since, "at", d.At)
		g.cfg.Metrics.KnowledgeDoubted(d.Kind)
		g.watchers.wakeUp()
	}
}

// answeredAt returns the revision that an answer brings a kind to, or the one
// given if it brings nothing.
func answeredAt(answer *peerpb.Synced, kind string, at uint64) uint64 {
	for _, d := range answer.GetDeltas() {
		if d.GetKind() == kind {
			return d.GetAt()
		}
	}
	return at
}

// tell answers a VM that asks for news, at the latest after the time that it
// allows. The returned function is to be called once the answer has been sent.
func (g *Gateway) tell(ctx context.Context, ask *peerpb.Sync) (answer *peerpb.Synced, sent func()) {
	if ask.GetHoldMillis() > 0 {
		g.watchers.ask(time.Now())
	}
	g.hearOutcomes(ask.GetOutcomes())
	g.hearLoads(ask.GetLoads())
	if b := ask.GetBalance(); b.GetRegion() == g.region() {
		g.balancer.meter.Add(fromBalance(b))
	}
	asked := time.Now()
	hold := min(time.Duration(ask.GetHoldMillis())*time.Millisecond, askHold)
	deadline := time.NewTimer(hold)
	defer deadline.Stop()
	for {
		changed, freed := g.replica.Changed(), g.copies.freed()
		// Taken before the ages, so that a pause in between makes what is told
		// seem older than it is, never younger.
		held := time.Since(asked)
		answer, sent := g.synced(ask)
		if hasNews(answer) || held >= hold {
			g.knowledge.noteCopies(answer.GetDeltas())
			answer.HeldMillis = uint32(held.Milliseconds())
			tableSent := g.addShared(answer, ask)
			return answer, func() { sent(); tableSent() }
		}
		sent()
		select {
		case <-ctx.Done():
			return &peerpb.Synced{}, func() {}
		case <-changed:
		case <-freed:
		case <-deadline.C:
		}
	}
}

// hasNews reports whether an answer changes anything but revisions.
func hasNews(answer *peerpb.Synced) bool {
	for _, d := range answer.GetDeltas() {
		if d.GetFull() || d.GetListed() || len(d.GetEvents()) > 0 {
			return true
		}
	}
	return false
}

// synced returns what a VM lacks, and how old this VM's own knowledge is, but for
// what is too large to be sent now. The returned function is to be called once the
// answer has been sent.
func (g *Gateway) synced(ask *peerpb.Sync) (answer *peerpb.Synced, sent func()) {
	answer = &peerpb.Synced{AgeMillis: make(map[string]uint32)}
	for _, kind := range g.replicatedKinds() {
		// The age is taken first: what is told next is at least as new.
		if confirmed := g.replica.Confirmed(kind); !confirmed.IsZero() {
			answer.AgeMillis[kind] = uint32(time.Since(confirmed).Milliseconds()) + 1
		}
		if d, ok := g.lacks(ask, kind); ok {
			answer.Deltas = append(answer.Deltas, toDelta(d))
		}
	}
	return answer, g.copies.bound(answer)
}

// addShared adds to an answer what the VMs of a region share beside the store's
// objects. The returned function is to be called once the answer has been sent.
func (g *Gateway) addShared(answer *peerpb.Synced, ask *peerpb.Sync) (sent func()) {
	answer.SparedMillis = g.sparedMillis()
	if ask.GetHoldMillis() > 0 {
		answer.Loads, answer.LoadsMark = g.loadsAfter(ask.GetLoadsMark())
	}
	if b := ask.GetBalance(); b != nil {
		answer.Balanced = toBalanced(g.balancer.table.Since(b.GetEpoch(), b.GetVersion()))
	}
	return g.copies.boundTable(answer)
}

// lacks returns what a VM lacks of a kind.
func (g *Gateway) lacks(ask *peerpb.Sync, kind string) (object.Delta, bool) {
	since, known := ask.GetSince()[kind]
	d, ok := g.replica.Since(kind, since, known)
	if d.Listed && !ask.GetTakesListed() {
		return g.replica.Since(kind, 0, false)
	}
	return d, ok
}
