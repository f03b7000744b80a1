// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/decision"
	"github.com/ryehill/ryehill/transport/peer"
)

// handlePeer serves one stream that another VM opened.
func (d *Daemon) handlePeer(ctx context.Context, from peer.Identity, s *peer.Stream, first *peerpb.Envelope) {
	var reply *peerpb.Envelope
	switch k := first.GetKind().(type) {
	case *peerpb.Envelope_Open:
		d.engine.ServePeer(ctx, from, s, k.Open)
		return
	case *peerpb.Envelope_Probe:
		d.hear(from.VM, k.Probe)
		reply = &peerpb.Envelope{Kind: &peerpb.Envelope_Probe{Probe: d.probeMessage(from.VM, from.Hall)}}
	case *peerpb.Envelope_Pull:
		reply = &peerpb.Envelope{Kind: &peerpb.Envelope_Changes{Changes: d.giveChanges(k.Pull)}}
	case *peerpb.Envelope_Lend:
		reply = &peerpb.Envelope{Kind: &peerpb.Envelope_Lent{Lent: d.lend(from, k.Lend)}}
	case *peerpb.Envelope_Report:
		raw, err := json.Marshal(d.sums())
		if err != nil {
			return
		}
		reply = &peerpb.Envelope{Kind: &peerpb.Envelope_Reported{Reported: &peerpb.Reported{Status: raw}}}
	case *peerpb.Envelope_Find:
		reply = &peerpb.Envelope{Kind: &peerpb.Envelope_Found{Found: d.found(k.Find.GetId())}}
	default:
		d.log.Info("peer: a stream cannot begin with this message", "peer", from.VM, "message", errors.Newf("%T", k).Error())
		return
	}
	// A write that nobody reads has no end of its own.
	s.SetWriteDeadline(time.Now().Add(pullTimeout))
	if err := s.Write(reply); err != nil {
		d.log.V(1).Info("peer: reply not sent", "peer", from.VM, "error", err.Error())
	}
}

func (d *Daemon) found(id string) *peerpb.Found {
	record, ok := d.decisions.Find(id)
	if !ok {
		return &peerpb.Found{}
	}
	raw, err := json.Marshal(record)
	if err != nil {
		return &peerpb.Found{}
	}
	return &peerpb.Found{Record: raw}
}

// findDecision asks the VM that took a decision for its record.
func (d *Daemon) findDecision(ctx context.Context, vm, id string) (decision.Record, error) {
	member, ok := d.members.Member(vm)
	if !ok {
		return decision.Record{}, errors.Newf("no VM %q is known", vm)
	}
	ctx, cancel := context.WithTimeout(ctx, acrossTimeout)
	defer cancel()
	reply, err := d.peers.Call(ctx, peer.Target{VM: vm, Address: member.Peer}, &peerpb.Envelope{Kind: &peerpb.Envelope_Find{Find: &peerpb.Find{Id: id}}})
	if err != nil {
		return decision.Record{}, err
	}
	if len(reply.GetFound().GetRecord()) == 0 {
		return decision.Record{}, errors.Newf("VM %s no longer holds decision %q", vm, id)
	}
	var record decision.Record
	return record, errors.Wrap(json.Unmarshal(reply.GetFound().GetRecord(), &record), "decision")
}
