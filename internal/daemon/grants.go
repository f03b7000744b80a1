// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"time"

	"github.com/ryehill/ryehill/coordination/assign"
	"github.com/ryehill/ryehill/coordination/capacity"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/transport/peer"
)

const (
	// lendersPerHall is how many VMs of a hall one VM borrows from. It bounds
	// the sessions between halls: lendersPerHall for each hall that moves go
	// to, whatever the number of VMs.
	lendersPerHall = 2
	lendTimeout    = time.Second
)

// grantLoop keeps grants for every hall that requests may be moved to.
func (d *Daemon) grantLoop(ctx context.Context) {
	every(ctx, d.cfg.GrantInterval, func() { d.renewGrants(ctx) })
}

func (d *Daemon) renewGrants(ctx context.Context) {
	keep := d.moveSources()
	wanted := make(map[string]map[string]uint32) // by hall, by service
	for s := range keep {
		d.want(wanted, s)
	}
	for _, s := range d.holder.Sources() {
		if !keep[s] {
			d.want(wanted, s)
		}
	}
	d.holder.RemoveIdle(keep)
	for hall, slots := range wanted {
		d.borrow(ctx, hall, slots)
	}
}

func (d *Daemon) want(wanted map[string]map[string]uint32, s capacity.Source) {
	n := d.holder.SlotsToRequest(s)
	if n == 0 {
		return
	}
	if wanted[s.Hall] == nil {
		wanted[s.Hall] = make(map[string]uint32)
	}
	wanted[s.Hall][s.Service] = uint32(n)
}

// moveSources returns where moves out of this hall may go. A move that has been
// confirmed but not begun is among them, so that its first step finds grants.
func (d *Daemon) moveSources() map[capacity.Source]bool {
	sources := make(map[capacity.Source]bool)
	for _, m := range d.view.Load().Traffic().Moves {
		if m.From != d.cfg.Hall || m.State == spec.MoveStopped {
			continue
		}
		for _, t := range m.Targets {
			sources[capacity.Source{Service: m.Service, Hall: t.Hall}] = true
		}
	}
	return sources
}

// borrow asks the lenders of a hall for their part of what is wanted.
func (d *Daemon) borrow(ctx context.Context, hall string, wanted map[string]uint32) {
	lenders := assign.Top("lender/"+d.cfg.VM, ids(d.members.UsableInHall(hall)), lendersPerHall)
	if len(lenders) == 0 {
		return
	}
	n := uint32(len(lenders))
	part := make(map[string]uint32, len(wanted))
	for service, slots := range wanted {
		part[service] = (slots + n - 1) / n
	}
	for _, vm := range lenders {
		go d.askLender(ctx, hall, vm, part)
	}
}

func (d *Daemon) askLender(ctx context.Context, hall, vm string, slots map[string]uint32) {
	member, ok := d.members.Member(vm)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	asked := d.now() // The holder's term runs from here, before the lender's.
	message := &peerpb.Envelope{Kind: &peerpb.Envelope_Lend{Lend: &peerpb.Lend{
		Slots: slots, TermMillis: uint32(capacity.DefaultTerm.Milliseconds()),
	}}}
	reply, err := d.peers.Call(ctx, peer.Target{VM: vm, Address: member.Peer}, message)
	d.metrics.PeerCall("lend", err)
	if err != nil {
		return
	}
	for service, g := range reply.GetLent().GetGrants() {
		if g.GetSlots() == 0 || slots[service] == 0 {
			continue
		}
		d.holder.AddGrant(capacity.Source{Service: service, Hall: hall}, capacity.HeldGrant{
			Lender: vm, ID: g.GetId(), Slots: int(g.GetSlots()),
			ExpiresAt: asked.Add(time.Duration(g.GetTermMillis()) * time.Millisecond),
		})
	}
}

// lend answers a VM of another hall that asks for slots.
func (d *Daemon) lend(from peer.Identity, l *peerpb.Lend) *peerpb.Lent {
	reply := &peerpb.Lent{Grants: make(map[string]*peerpb.Grant)}
	if d.life.Current() != phaseServing {
		return reply // A VM that leaves takes on nothing new.
	}
	term := time.Duration(l.GetTermMillis()) * time.Millisecond
	for service, slots := range l.GetSlots() {
		if _, ok := d.view.Load().Service(service); !ok {
			continue
		}
		g := d.pools.Get(service).Lend(from.VM, int(slots), term)
		if g.Slots > 0 {
			reply.Grants[service] = &peerpb.Grant{Id: g.ID, Slots: uint32(g.Slots), TermMillis: uint32(g.Term.Milliseconds())}
		}
	}
	return reply
}
