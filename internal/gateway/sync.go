// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"cmp"
	"context"
	"time"

	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/transport/peer"
)

const (
	// maxSyncHold is how long a VM may hold a sync request before it replies.
	maxSyncHold = 350 * time.Millisecond
	// syncReplyGrace is how much longer than the hold a reply may take before the
	// request fails.
	syncReplyGrace = 400 * time.Millisecond
)

// syncRequest is a request to another VM for changes of the replicated state.
type syncRequest struct {
	from peer.Target
	// hold is how long the peer may delay its reply until there are changes. 0 marks a
	// single request to a VM that is not the regular source.
	hold time.Duration
	// depth is the tree depth of this VM.
	depth int
}

// syncFrom requests the changes that this VM lacks from another one. The peer's state is
// at least as new as the time of its reply minus the age it reports, and the reply is not
// sent before the request was sent plus its hold. syncFrom returns the greatest age that the
// peer reports for a watched kind.
func (g *Gateway) syncFrom(ctx context.Context, request syncRequest) (oldest time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, request.hold+syncReplyGrace)
	defer cancel()
	sent := clock.Now()
	message := &peerpb.Envelope{Kind: &peerpb.Envelope_Sync{Sync: g.syncMessage(request)}}
	envelope, err := g.peers.Call(ctx, request.from, message)
	g.cfg.Metrics.PeerCall("sync", err)
	g.knowledge.recordPeerCall(err)
	if err != nil {
		g.opening.recordFailure(request.from.Address, err)
		return 0, err
	}
	reply := envelope.GetSynced()
	g.opening.recordReply(request.from.Address, reply.GetServing())
	g.recordListedVMs(reply.GetListedVms())
	g.applyEjections(reply.GetSparedMillis())
	g.applyLoads(reply.GetLoads())
	source := cmp.Or(request.from.VM, unnamedPeer) // Of a seed only the address is known.
	g.applySignals(source, reply.GetSignals())
	if request.hold > 0 {
		g.loadsMark.set(request.from.VM, reply.GetLoadsMark())
	}
	g.balancer.table.Merge(fromBalanced(reply.GetBalanced()))
	g.applyEntries(source, reply.GetQuarantined()) // Before the state with which this VM may begin to serve.
	g.recordOutage(clock.Now())
	for _, d := range reply.GetDeltas() {
		if d, err = unpack(d); err != nil {
			g.log.Error(err, "peer: cannot decode delta", "peer", request.from.VM, "kind", d.GetKind())
			return 0, err
		}
		delta := fromDelta(d)
		if !reply.GetKnowsEras() && !g.assumeEra(&delta) {
			continue
		}
		g.mergeDelta(request.from.VM, delta)
	}
	g.applyCarried(reply.GetCarried())
	g.startup.recordReply(reply.GetServing())
	g.confirmFromReply(reply, sent)
	return g.maxWatchedAge(reply), nil
}

// syncMessage builds a request for changes. Only requests with a hold also carry the
// state that the VMs of a region share.
func (g *Gateway) syncMessage(request syncRequest) *peerpb.Sync {
	since, eras := g.replicaVersions()
	message := &peerpb.Sync{
		Since: since, Eras: eras, KnowsEras: true, Starting: g.startup.awaitsPeers(), HoldMillis: uint32(request.hold.Milliseconds()), TakesListed: true, TakesPacked: true, Depth: uint32(request.depth),
		Signals: g.outgoingSignals(),
	}
	if request.hold > 0 {
		message.Outcomes = toOutcomes(g.drainOutcomes())
		message.Loads = toLoads(g.loads.DrainReports())
		message.LoadsMark = g.loadsMark.forVM(request.from.VM)
		message.Balance = toBalance(g.balancer.table, g.balancer.meter.Drain())
	}
	return message
}

// confirmFromReply records the age of the peer's state for the kinds of which this VM
// now has everything that the peer has.
func (g *Gateway) confirmFromReply(reply *peerpb.Synced, sent time.Time) {
	repliedAt := sent.Add(time.Duration(reply.GetHeldMillis()) * time.Millisecond)
	for kind, age := range reply.GetAgeMillis() {
		at, known := g.replica.CompleteUpTo(kind)
		if !known {
			continue
		}
		revision := replyRevision(reply, kind, at.Revision)
		if version, ok := g.peerVersion(kind, revision, reply.GetEras()[kind], reply.GetKnowsEras()); ok {
			g.replica.MarkConfirmed(kind, version, repliedAt.Add(-time.Duration(age)*time.Millisecond))
		}
	}
}

// maxWatchedAge returns the greatest age of a watched kind in a reply.
func (g *Gateway) maxWatchedAge(reply *peerpb.Synced) time.Duration {
	oldest := uint32(0)
	for _, kind := range g.watchedKinds() {
		oldest = max(oldest, reply.GetAgeMillis()[kind])
	}
	return time.Duration(oldest) * time.Millisecond
}

// mergeDelta merges a peer's changes of one kind. If they show that the replica is
// incomplete, the kind is listed from the store again.
func (g *Gateway) mergeDelta(from string, d object.Delta) {
	wasInconsistent := g.replica.Inconsistent(d.Kind)
	g.replica.Merge(d)
	if !wasInconsistent && g.replica.Inconsistent(d.Kind) {
		g.log.Info("knowledge: a peer has an object that the replica lacks, listing the kind again", "kind", d.Kind, "peer", from, "since", d.Since.Revision, "at", d.UpTo.Revision)
		g.cfg.Metrics.KnowledgeDoubted(d.Kind)
		g.watchers.notify()
	}
}

// replyRevision returns the revision that a reply brings a kind to, or current if it
// has no changes of the kind.
func replyRevision(reply *peerpb.Synced, kind string, current uint64) uint64 {
	for _, d := range reply.GetDeltas() {
		if d.GetKind() == kind {
			return d.GetAt()
		}
	}
	return current
}

// handleSync answers a VM's request for changes, at the latest after the hold that the
// request allows. The caller calls onSent once the reply has been sent.
func (g *Gateway) handleSync(ctx context.Context, request *peerpb.Sync) (reply *peerpb.Synced, onSent func()) {
	if request.GetHoldMillis() > 0 && request.GetDepth() <= 1 {
		g.watchers.recordRequest(clock.Now())
	}
	g.applyOutcomes(request.GetOutcomes())
	g.applyAndForwardLoads(request.GetLoads())
	g.applySignals(unnamedPeer, request.GetSignals())
	if b := request.GetBalance(); b.GetRegion() == g.region() {
		g.balancer.meter.Merge(fromBalance(b))
	}
	received := clock.Now()
	hold := min(time.Duration(request.GetHoldMillis())*time.Millisecond, maxSyncHold)
	deadline := time.NewTimer(hold)
	defer deadline.Stop()
	for {
		changed, freed := g.replica.Changed(), g.largeReplies.slotFreed()
		// The elapsed time is read before the ages, so that a pause in between makes
		// the reported state seem older than it is, never newer.
		held := clock.Since(received)
		reply, onSent := g.syncReply(request)
		if hasChanges(reply) || held >= hold || reply.GetServing() && request.GetStarting() {
			g.knowledge.recordCopies(reply.GetDeltas())
			reply.HeldMillis = uint32(held.Milliseconds())
			onTableSent := g.addRegionState(reply, request)
			return reply, func() { onSent(); onTableSent() }
		}
		onSent()
		select {
		case <-ctx.Done():
			return &peerpb.Synced{}, func() {}
		case <-changed:
		case <-freed:
		case <-deadline.C:
		}
	}
}

// hasChanges reports whether a reply contains anything but new revisions.
func hasChanges(reply *peerpb.Synced) bool {
	for _, d := range reply.GetDeltas() {
		if d.GetFull() || d.GetListed() || len(d.GetEvents()) > 0 || len(d.GetPacked()) > 0 {
			return true
		}
	}
	return false
}

// syncReply returns the changes that a VM lacks and the age of this VM's own state,
// without the deltas that are too large to send now. The caller calls onSent once the
// reply has been sent.
func (g *Gateway) syncReply(request *peerpb.Sync) (reply *peerpb.Synced, onSent func()) {
	reply = &peerpb.Synced{
		AgeMillis: make(map[string]uint32), ListedVms: uint32(g.listedVMs()),
		Eras: g.eras(), KnowsEras: true, Carried: g.carriedFor(request), Serving: g.snapshot.Load() != nil,
	}
	if _, listed := request.GetSince()[g.cfg.Codec.QuarantineKind()]; !listed {
		reply.Quarantined = g.encodeEntries(g.quarantines.unstored(clock.Now()))
	}
	for _, kind := range g.replicatedKinds() {
		// The age is read first, so that the changes read afterwards are at least as
		// new.
		if confirmed := g.replica.ConfirmedAt(kind); !confirmed.IsZero() {
			reply.AgeMillis[kind] = uint32(clock.Since(confirmed).Milliseconds()) + 1
		}
		if d, ok := g.deltaFor(request, kind); ok {
			reply.Deltas = append(reply.Deltas, g.deltaCache.delta(d, request.GetTakesPacked()))
		}
	}
	return reply, g.largeReplies.dropOversized(reply)
}

// addRegionState adds to a reply the state that the VMs of a region share besides the
// store's objects. The caller calls onSent once the reply has been sent.
func (g *Gateway) addRegionState(reply *peerpb.Synced, request *peerpb.Sync) (onSent func()) {
	reply.SparedMillis, reply.Signals = g.ejectedMillis(), g.outgoingSignals()
	if request.GetHoldMillis() > 0 {
		reply.Loads, reply.LoadsMark = g.loadsAfter(request.GetLoadsMark())
	}
	if b := request.GetBalance(); b != nil {
		reply.Balanced = toBalanced(g.balancer.table.DeltaSince(b.GetEpoch(), b.GetVersion()))
	}
	return g.largeReplies.dropOversizedTable(reply)
}

// deltaFor returns the changes of a kind that the requesting VM does not have.
func (g *Gateway) deltaFor(request *peerpb.Sync, kind string) (object.Delta, bool) {
	revision, known := request.GetSince()[kind]
	// A VM that knows of no eras gets the changes of this VM's.
	since, _ := g.peerVersion(kind, revision, request.GetEras()[kind], request.GetKnowsEras())
	d, ok := g.replica.Since(kind, since, known)
	if d.Listed && !request.GetTakesListed() {
		return g.replica.Since(kind, object.Version{}, false)
	}
	return d, ok
}
