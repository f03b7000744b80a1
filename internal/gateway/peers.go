// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/transport/peer"
)

const (
	probeTimeout = 800 * time.Millisecond
	// watcherLate is the age of knowledge at which this VM takes the word of
	// any peer, not only that of its region's watcher.
	watcherLate = 1200 * time.Millisecond
)

// probeLoop probes members and moves their states on.
func (g *Gateway) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(g.cfg.ProbeInterval)
	defer ticker.Stop()
	slept := clock.Slept()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if now := clock.Slept(); now > slept {
			g.log.Info("clock: this VM was suspended", "slept_ms", (now - slept).Milliseconds())
			slept = now
		}
		if g.members.Tick() {
			g.log.Info("members: this VM was frozen")
		}
		for _, m := range g.members.NextProbes() {
			go g.probe(ctx, m)
		}
	}
}

func (g *Gateway) probe(ctx context.Context, m membership.Member) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	message := &peerpb.Envelope{Kind: &peerpb.Envelope_Probe{Probe: g.probeMessage(m.ID)}}
	reply, err := g.peers.Call(ctx, peer.Target{VM: m.ID, Address: m.Peer}, message)
	g.cfg.Metrics.PeerCall("probe", err)
	if err != nil {
		g.members.ProbeFailed(m.ID)
		return
	}
	if p := reply.GetProbe(); p != nil {
		g.hear(peer.Target{VM: m.ID, Address: m.Peer}, p)
	}
}

func (g *Gateway) probeMessage(to string) *peerpb.Probe {
	p := &peerpb.Probe{Replicas: make(map[string]uint64), Signals: g.toldSignals()}
	for _, kind := range g.replicatedKinds() {
		p.Replicas[kind] = g.replica.LastChanged(kind)
	}
	for _, m := range g.members.Updates(to) {
		p.News = append(p.News, peer.EncodeMember(m))
	}
	return p
}

func (g *Gateway) replicaRevisions() map[string]uint64 {
	revisions := make(map[string]uint64)
	for _, kind := range g.replicatedKinds() {
		if at, ok := g.replica.CompleteUpTo(kind); ok && !g.replica.Inconsistent(kind) {
			revisions[kind] = at
		}
	}
	return revisions
}

// hear takes in a probe or the reply to one, and fetches what the peer has and
// this VM has not, unless its region's watcher is about to tell it.
func (g *Gateway) hear(from peer.Target, p *peerpb.Probe) {
	g.members.ApplyUpdates(peer.DecodeMembers(p.GetNews()))
	g.hearSignals(from.VM, p.GetSignals())
	for _, kind := range g.replicatedKinds() {
		at, known := g.replica.CompleteUpTo(kind)
		theirs := p.GetReplicas()[kind]
		if !known && theirs > 0 || theirs > at && clock.Since(g.replica.ConfirmedAt(kind)) > watcherLate {
			go g.pull(from)
			return
		}
	}
}

// pull fetches what a peer has and this VM has not. One pull at a time is
// enough: the next probe asks for whatever is still missing.
func (g *Gateway) pull(from peer.Target) {
	if !g.pulling.TryLock() {
		return
	}
	defer g.pulling.Unlock()
	if _, err := g.askNews(context.Background(), question{from: from}); err != nil {
		g.log.V(1).Info("peer: news not had", "peer", from.VM, "error", err.Error())
	}
}

// answerTime is how long a peer waits for the answer to a message, and so for how
// long it may be sent. A write that nobody reads has no end of its own.
func answerTime(first *peerpb.Envelope) time.Duration {
	if ask := first.GetSync(); ask != nil {
		return min(time.Duration(ask.GetHoldMillis())*time.Millisecond, askHold) + askGrace
	}
	return probeTimeout
}

// handlePeer serves one stream that another VM opened.
func (g *Gateway) handlePeer(ctx context.Context, from peer.Identity, s *peer.Stream, first *peerpb.Envelope) {
	s.SetWriteDeadline(time.Now().Add(answerTime(first))) //nolint:forbidigo // The runtime counts by the steady clock.
	var reply *peerpb.Envelope
	switch k := first.GetKind().(type) {
	case *peerpb.Envelope_Probe:
		if m, ok := g.members.Member(from.VM); ok {
			g.hear(peer.Target{VM: from.VM, Address: m.Peer}, k.Probe)
		} else {
			g.hear(peer.Target{VM: from.VM, Address: ownPeer(from.VM, k.Probe)}, k.Probe)
		}
		reply = &peerpb.Envelope{Kind: &peerpb.Envelope_Probe{Probe: g.probeMessage(from.VM)}}
	case *peerpb.Envelope_Sync:
		answer, sent := g.tell(ctx, k.Sync)
		defer sent()
		reply = &peerpb.Envelope{Kind: &peerpb.Envelope_Synced{Synced: answer}}
	case *peerpb.Envelope_Balance:
		reply = &peerpb.Envelope{Kind: &peerpb.Envelope_Balanced{Balanced: g.balanced(from, k.Balance)}}
	case *peerpb.Envelope_Allow:
		reply = &peerpb.Envelope{Kind: &peerpb.Envelope_Allowed{Allowed: g.allowed(from.VM, k.Allow)}}
	case *peerpb.Envelope_PermitDemand:
		reply = &peerpb.Envelope{Kind: &peerpb.Envelope_Permits{Permits: g.permits.answer(from.VM, k.PermitDemand)}}
	case *peerpb.Envelope_HangUps:
		reply = &peerpb.Envelope{Kind: &peerpb.Envelope_QuarantineTaken{QuarantineTaken: g.hearHangUps(from.VM, k.HangUps)}}
	case *peerpb.Envelope_Quarantine:
		reply = &peerpb.Envelope{Kind: &peerpb.Envelope_QuarantineTaken{QuarantineTaken: g.hearQuarantine(from.VM, k.Quarantine)}}
	case *peerpb.Envelope_Rollouts:
		reply = &peerpb.Envelope{Kind: &peerpb.Envelope_RolloutReports{RolloutReports: g.hearRollouts(ctx, from.VM, k.Rollouts)}}
	case *peerpb.Envelope_Report:
		reply = &peerpb.Envelope{Kind: &peerpb.Envelope_Reported{Reported: g.reported()}}
	default:
		g.log.Info("peer: a stream cannot begin with this message", "peer", from.VM, "message", errors.Newf("%T", k).Error())
		return
	}
	if err := s.Write(reply); err != nil {
		g.log.V(1).Info("peer: reply not sent", "peer", from.VM, "error", err.Error())
	}
}

// ownPeer returns the address that a VM gives for itself.
func ownPeer(vm string, p *peerpb.Probe) string {
	for _, m := range p.GetNews() {
		if m.GetVm() == vm {
			return m.GetPeer()
		}
	}
	return ""
}

// allowPeer refuses a VM that names a hall the fleet does not have.
func (g *Gateway) allowPeer(id peer.Identity) error {
	if _, ok := g.cfg.Halls[id.Hall]; !ok || !spec.ValidName(id.VM) {
		return errors.Newf("hall %q is unknown", id.Hall)
	}
	return nil
}

func toDelta(d object.Delta) *peerpb.Delta {
	out := &peerpb.Delta{Kind: d.Kind, Full: d.Full, Listed: d.Listed, Since: d.Since, At: d.UpTo}
	for _, ref := range d.Listing {
		out.Listing = append(out.Listing, &peerpb.ObjectRef{Name: ref.Name, Revision: ref.Revision})
	}
	for _, e := range d.Events {
		out.Events = append(out.Events, &peerpb.ObjectEvent{Name: e.Name, Revision: e.Revision, Gone: e.Deleted, Spec: e.Spec})
	}
	return out
}

func fromDelta(d *peerpb.Delta) object.Delta {
	out := object.Delta{Kind: d.GetKind(), Full: d.GetFull(), Listed: d.GetListed(), Since: d.GetSince(), UpTo: d.GetAt()}
	for _, ref := range d.GetListing() {
		out.Listing = append(out.Listing, object.Ref{Name: ref.GetName(), Revision: ref.GetRevision()})
	}
	for _, e := range d.GetEvents() {
		out.Events = append(out.Events, object.Event{
			Object: object.Object{Name: e.GetName(), Revision: e.GetRevision(), Spec: e.GetSpec()}, Deleted: e.GetGone(),
		})
	}
	return out
}
