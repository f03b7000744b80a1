// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"time"

	"github.com/ryehill/ryehill/internal/clock"
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
)

// question is what news is asked of whom.
type question struct {
	from peer.Target
	// hold is for how long the answer may be held back; 0 is a question of a VM
	// that is not told regularly.
	hold time.Duration
	// depth is this VM's own in the tree of its region.
	depth int
}

// askNews asks a VM for what this one lacks. What it confirms is at least as
// new as the moment at which it answered, less the age that it gives; that
// moment is not before the question was sent plus the time it was held. It
// returns the greatest age that the peer gave of a kind that is watched.
func (g *Gateway) askNews(ctx context.Context, q question) (oldest time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, q.hold+askGrace)
	defer cancel()
	sent := clock.Now()
	message := &peerpb.Envelope{Kind: &peerpb.Envelope_Sync{Sync: g.newsQuestion(q)}}
	reply, err := g.peers.Call(ctx, q.from, message)
	g.cfg.Metrics.PeerCall("sync", err)
	g.knowledge.notePeer(err)
	if err != nil {
		return 0, err
	}
	answer := reply.GetSynced()
	g.hearListedVMs(answer.GetListedVms())
	g.hearSpared(answer.GetSparedMillis())
	g.hearLoads(answer.GetLoads())
	g.hearSignals(q.from.VM, answer.GetSignals())
	if q.hold > 0 {
		g.loadsMark.set(q.from.VM, answer.GetLoadsMark())
	}
	g.balancer.table.Merge(fromBalanced(answer.GetBalanced()))
	g.noteAbsence(clock.Now())
	for _, d := range answer.GetDeltas() {
		if d, err = unpack(d); err != nil {
			g.log.Error(err, "peer: news cannot be read", "peer", q.from.VM, "kind", d.GetKind())
			return 0, err
		}
		g.mergeDelta(q.from.VM, fromDelta(d))
	}
	g.confirmTold(answer, sent)
	return g.oldestTold(answer), nil
}

// newsQuestion is what this VM asks another one for news with. Only one that may
// be held also tells what the VMs of a region share.
func (g *Gateway) newsQuestion(q question) *peerpb.Sync {
	ask := &peerpb.Sync{
		Since: g.replicaRevisions(), HoldMillis: uint32(q.hold.Milliseconds()), TakesListed: true, TakesPacked: true, Depth: uint32(q.depth),
		Signals: g.toldSignals(),
	}
	if q.hold > 0 {
		ask.Outcomes = toOutcomes(g.takeOutcomes())
		ask.Loads = toLoads(g.loads.DrainReports())
		ask.LoadsMark = g.loadsMark.of(q.from.VM)
		ask.Balance = toBalance(g.balancer.table, g.balancer.meter.Drain())
	}
	return ask
}

// confirmTold takes in how old the peer's knowledge is, for the kinds of which this
// VM has all that the peer has.
func (g *Gateway) confirmTold(answer *peerpb.Synced, sent time.Time) {
	answered := sent.Add(time.Duration(answer.GetHeldMillis()) * time.Millisecond)
	for kind, age := range answer.GetAgeMillis() {
		if at, known := g.replica.CompleteUpTo(kind); known && at >= answeredAt(answer, kind, at) {
			g.replica.MarkConfirmed(kind, answered.Add(-time.Duration(age)*time.Millisecond))
		}
	}
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
	before := g.replica.Inconsistent(d.Kind)
	g.replica.Merge(d)
	if !before && g.replica.Inconsistent(d.Kind) {
		g.log.Info("knowledge: a peer names an object that is missing here", "kind", d.Kind, "peer", from, "since", d.Since, "at", d.UpTo)
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
	if ask.GetHoldMillis() > 0 && ask.GetDepth() <= 1 {
		g.watchers.ask(clock.Now())
	}
	g.hearOutcomes(ask.GetOutcomes())
	g.passOnLoads(ask.GetLoads())
	g.hearSignals(peerThatAsks, ask.GetSignals())
	if b := ask.GetBalance(); b.GetRegion() == g.region() {
		g.balancer.meter.Merge(fromBalance(b))
	}
	asked := clock.Now()
	hold := min(time.Duration(ask.GetHoldMillis())*time.Millisecond, askHold)
	deadline := time.NewTimer(hold)
	defer deadline.Stop()
	for {
		changed, freed := g.replica.Changed(), g.copies.freed()
		// Taken before the ages, so that a pause in between makes what is told
		// seem older than it is, never younger.
		held := clock.Since(asked)
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
		if d.GetFull() || d.GetListed() || len(d.GetEvents()) > 0 || len(d.GetPacked()) > 0 {
			return true
		}
	}
	return false
}

// synced returns what a VM lacks, and how old this VM's own knowledge is, but for
// what is too large to be sent now. The returned function is to be called once the
// answer has been sent.
func (g *Gateway) synced(ask *peerpb.Sync) (answer *peerpb.Synced, sent func()) {
	answer = &peerpb.Synced{AgeMillis: make(map[string]uint32), ListedVms: uint32(g.listedVMs())}
	for _, kind := range g.replicatedKinds() {
		// The age is taken first: what is told next is at least as new.
		if confirmed := g.replica.ConfirmedAt(kind); !confirmed.IsZero() {
			answer.AgeMillis[kind] = uint32(clock.Since(confirmed).Milliseconds()) + 1
		}
		if d, ok := g.lacks(ask, kind); ok {
			answer.Deltas = append(answer.Deltas, g.packs.delta(d, ask.GetTakesPacked()))
		}
	}
	return answer, g.copies.bound(answer)
}

// addShared adds to an answer what the VMs of a region share beside the store's
// objects. The returned function is to be called once the answer has been sent.
func (g *Gateway) addShared(answer *peerpb.Synced, ask *peerpb.Sync) (sent func()) {
	answer.SparedMillis, answer.Signals = g.sparedMillis(), g.toldSignals()
	if ask.GetHoldMillis() > 0 {
		answer.Loads, answer.LoadsMark = g.loadsAfter(ask.GetLoadsMark())
	}
	if b := ask.GetBalance(); b != nil {
		answer.Balanced = toBalanced(g.balancer.table.DeltaSince(b.GetEpoch(), b.GetVersion()))
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
