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
	// watcherStaleAfter is the age of the replica from which this VM accepts changes
	// from any peer, not only from its parent.
	watcherStaleAfter = 1200 * time.Millisecond
)

// probeLoop probes members and updates their states.
func (g *Gateway) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(g.cfg.ProbeInterval)
	defer ticker.Stop()
	suspended := clock.Slept()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if now := clock.Slept(); now > suspended {
			g.log.Info("clock: this VM was suspended", "slept_ms", (now - suspended).Milliseconds())
			suspended = now
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
		g.handleProbe(peer.Target{VM: m.ID, Address: m.Peer}, p)
	}
}

func (g *Gateway) probeMessage(to string) *peerpb.Probe {
	p := &peerpb.Probe{Replicas: make(map[string]uint64), Eras: make(map[string]uint64), KnowsEras: true, Signals: g.outgoingSignals()}
	for _, kind := range g.replicatedKinds() {
		changed := g.replica.LastChanged(kind)
		p.Replicas[kind], p.Eras[kind] = changed.Revision, changed.Era
	}
	for _, m := range g.members.Updates(to) {
		p.News = append(p.News, peer.EncodeMember(m))
	}
	return p
}

// replicaVersions returns the revisions up to which kinds are complete, and their eras.
func (g *Gateway) replicaVersions() (revisions, eras map[string]uint64) {
	revisions, eras = make(map[string]uint64), make(map[string]uint64)
	for _, kind := range g.replicatedKinds() {
		if at, ok := g.replica.CompleteUpTo(kind); ok && !g.replica.Inconsistent(kind) {
			revisions[kind], eras[kind] = at.Revision, at.Era
		}
	}
	return revisions, eras
}

// handleProbe processes a probe or the reply to one. It fetches changes that the peer
// has and this VM lacks, unless the parent is about to send them.
func (g *Gateway) handleProbe(from peer.Target, p *peerpb.Probe) {
	g.members.ApplyUpdates(peer.DecodeMembers(p.GetNews()))
	g.applySignals(from.VM, p.GetSignals())
	for _, kind := range g.replicatedKinds() {
		at, known := g.replica.CompleteUpTo(kind)
		changed, ok := g.peerVersion(kind, p.GetReplicas()[kind], p.GetEras()[kind], p.GetKnowsEras())
		if !ok {
			continue
		}
		if !known && changed.Revision > 0 || at.Before(changed) && clock.Since(g.replica.ConfirmedAt(kind)) > watcherStaleAfter {
			go g.pullFrom(from)
			return
		}
	}
}

// pullFrom fetches the changes that a peer has and this VM lacks. It does nothing
// while another pull runs, since the next probe requests whatever is still missing.
func (g *Gateway) pullFrom(from peer.Target) {
	if !g.pullMu.TryLock() {
		return
	}
	defer g.pullMu.Unlock()
	if _, err := g.syncFrom(context.Background(), syncRequest{from: from}); err != nil {
		g.log.V(1).Info("peer: sync failed", "peer", from.VM, "error", err.Error())
	}
}

// replyTimeout returns how long a peer waits for the reply to a message. It bounds the
// write of the reply, which would otherwise block forever if the peer does not read.
func replyTimeout(first *peerpb.Envelope) time.Duration {
	if request := first.GetSync(); request != nil {
		return min(time.Duration(request.GetHoldMillis())*time.Millisecond, maxSyncHold) + syncReplyGrace
	}
	return probeTimeout
}

// handlePeer serves one stream that another VM opened.
func (g *Gateway) handlePeer(ctx context.Context, from peer.Identity, s *peer.Stream, first *peerpb.Envelope) {
	if f := first.GetForward(); f != nil {
		g.ingress.ServeForwarded(ctx, from.VM, s, f)
		return
	}
	s.SetWriteDeadline(time.Now().Add(replyTimeout(first))) //nolint:forbidigo // The runtime counts by the steady clock.
	var reply *peerpb.Envelope
	switch k := first.GetKind().(type) {
	case *peerpb.Envelope_Probe:
		if m, ok := g.members.Member(from.VM); ok {
			g.handleProbe(peer.Target{VM: from.VM, Address: m.Peer}, k.Probe)
		} else {
			g.handleProbe(peer.Target{VM: from.VM, Address: selfReportedAddress(from.VM, k.Probe)}, k.Probe)
		}
		reply = &peerpb.Envelope{Kind: &peerpb.Envelope_Probe{Probe: g.probeMessage(from.VM)}}
	case *peerpb.Envelope_Sync:
		syncReply, onSent := g.handleSync(ctx, k.Sync)
		defer onSent()
		reply = &peerpb.Envelope{Kind: &peerpb.Envelope_Synced{Synced: syncReply}}
	case *peerpb.Envelope_Balance:
		reply = &peerpb.Envelope{Kind: &peerpb.Envelope_Balanced{Balanced: g.handleBalance(from, k.Balance)}}
	case *peerpb.Envelope_Allow:
		reply = &peerpb.Envelope{Kind: &peerpb.Envelope_Allowed{Allowed: g.handleAllow(from.VM, k.Allow)}}
	case *peerpb.Envelope_PermitDemand:
		reply = &peerpb.Envelope{Kind: &peerpb.Envelope_Permits{Permits: g.permits.handleDemand(from.VM, k.PermitDemand)}}
	case *peerpb.Envelope_HangUps:
		reply = &peerpb.Envelope{Kind: &peerpb.Envelope_QuarantineTaken{QuarantineTaken: g.handleHangUps(from.VM, k.HangUps)}}
	case *peerpb.Envelope_Quarantine:
		reply = &peerpb.Envelope{Kind: &peerpb.Envelope_QuarantineTaken{QuarantineTaken: g.handleQuarantine(from.VM, k.Quarantine)}}
	case *peerpb.Envelope_Rollouts:
		reply = &peerpb.Envelope{Kind: &peerpb.Envelope_RolloutReports{RolloutReports: g.handleRollouts(ctx, from.VM, k.Rollouts)}}
	case *peerpb.Envelope_Report:
		reply = &peerpb.Envelope{Kind: &peerpb.Envelope_Reported{Reported: g.reportReply()}}
	default:
		g.log.Info("peer: a stream cannot begin with this message", "peer", from.VM, "message", errors.Newf("%T", k).Error())
		return
	}
	if err := s.Write(reply); err != nil {
		g.log.V(1).Info("peer: reply not sent", "peer", from.VM, "error", err.Error())
	}
}

// selfReportedAddress returns the peer address that a VM reports for itself.
func selfReportedAddress(vm string, p *peerpb.Probe) string {
	for _, m := range p.GetNews() {
		if m.GetVm() == vm {
			return m.GetPeer()
		}
	}
	return ""
}

// allowPeer rejects a VM with an invalid name or a hall that is not part of the fleet.
func (g *Gateway) allowPeer(id peer.Identity) error {
	if _, ok := g.cfg.Halls[id.Hall]; !ok || !spec.ValidName(id.VM) {
		return errors.Newf("hall %q is unknown", id.Hall)
	}
	return nil
}

func toDelta(d object.Delta) *peerpb.Delta {
	out := &peerpb.Delta{Kind: d.Kind, Full: d.Full, Listed: d.Listed, Since: d.Since.Revision, At: d.UpTo.Revision, SinceEra: d.Since.Era, Era: d.UpTo.Era, Gapped: d.Gapped}
	for _, ref := range d.Listing {
		out.Listing = append(out.Listing, &peerpb.ObjectRef{Name: ref.Name, Revision: ref.Revision})
	}
	for _, e := range d.Events {
		out.Events = append(out.Events, &peerpb.ObjectEvent{Name: e.Name, Revision: e.Version.Revision, Gone: e.Deleted, Spec: e.Spec})
	}
	return out
}

func fromDelta(d *peerpb.Delta) object.Delta {
	out := object.Delta{
		Kind: d.GetKind(), Full: d.GetFull(), Listed: d.GetListed(), Gapped: d.GetGapped(),
		Since: object.Version{Era: d.GetSinceEra(), Revision: d.GetSince()}, UpTo: object.Version{Era: d.GetEra(), Revision: d.GetAt()},
	}
	for _, ref := range d.GetListing() {
		out.Listing = append(out.Listing, object.Ref{Name: ref.GetName(), Revision: ref.GetRevision()})
	}
	for _, e := range d.GetEvents() {
		out.Events = append(out.Events, object.Event{
			Object: object.Object{Name: e.GetName(), Version: object.Version{Era: d.GetEra(), Revision: e.GetRevision()}, Spec: e.GetSpec()}, Deleted: e.GetGone(),
		})
	}
	return out
}
