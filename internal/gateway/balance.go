// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/ryehill/ryehill/coordination/balance"
	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/demand"
	"github.com/ryehill/ryehill/state/holders"
	"github.com/ryehill/ryehill/transport/peer"
)

const (
	// balanceInterval is the time between two reports of a region's root to the
	// balancer, and between two rebalancings. Together with the time for the VMs of a
	// region to reach their root, a decision reaches all VMs within a second.
	balanceInterval = 500 * time.Millisecond
	// balanceTimeout bounds a report to the balancer.
	balanceTimeout = 800 * time.Millisecond
)

// balancer is this VM's part in assigning keys to workers. The VMs of a region report
// demand to their root, the roots report to one VM of the fleet, and its decisions
// return the same way. No agreement on that VM is needed: any VM that receives reports
// decides, based on the table that it has replicated so far. While no VM decides, all
// VMs keep using the table, and place keys that are not in it by hashing.
type balancer struct {
	meter    *demand.Meter
	table    *holders.Table
	decider  *balance.Balancer
	avoided  *avoided
	fetching sync.Mutex

	mu            sync.Mutex
	ownEpoch      uint64 // epoch of this VM's own decisions, 0 for none
	lastRebalance time.Time
}

func newBalancer(region string) *balancer {
	table := holders.NewTable()
	return &balancer{
		meter: demand.NewMeter(region), table: table, avoided: newAvoided(),
		decider: balance.New(balance.Config{Table: table, Now: clock.Now}),
	}
}

// balanceLoop reports the demand of this region while this VM is its root.
func (g *Gateway) balanceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, balanceInterval)
		if !g.Ready() || !g.settled() || !g.watchesStore() {
			continue
		}
		m := g.electBalancer(clock.Now())
		report := g.balancer.meter.Drain()
		if m.ID == g.cfg.VM {
			g.decide(report)
			continue
		}
		if err := g.reportDemand(ctx, m, report); err != nil {
			g.balancer.avoided.add(m.ID, clock.Now())
			g.log.Info("balance: the balancer does not answer", "peer", m.ID, "error", err.Error())
		}
	}
}

// electBalancer returns the VM of the fleet that decides; it may be this one.
func (g *Gateway) electBalancer(now time.Time) membership.Member {
	c := g.candidates(now, func(m membership.Member) bool { return !g.balancer.avoided.has(m.ID, now) })
	return c.first("balancer")
}

// reportDemand sends demand to the balancer and merges its decisions.
func (g *Gateway) reportDemand(ctx context.Context, m membership.Member, report demand.Report) error {
	ctx, cancel := context.WithTimeout(ctx, balanceTimeout)
	defer cancel()
	message := &peerpb.Envelope{Kind: &peerpb.Envelope_Balance{Balance: toBalance(g.balancer.table, report)}}
	reply, err := g.peers.Call(ctx, peer.Target{VM: m.ID, Address: m.Peer}, message)
	g.cfg.Metrics.PeerCall("balance", err)
	if err != nil {
		return err
	}
	g.balancer.table.Merge(fromBalanced(reply.GetBalanced()))
	return nil
}

// handleBalance answers a VM that reports the demand of its region.
func (g *Gateway) handleBalance(from peer.Identity, b *peerpb.Balance) *peerpb.Balanced {
	table := g.balancer.table
	if table.Epoch() == 0 && b.GetEpoch() != 0 {
		go g.fetchTable(from)
	}
	if b.GetRegion() != "" {
		g.decide(fromBalance(b))
	}
	return toBalanced(table.DeltaSince(b.GetEpoch(), b.GetVersion()))
}

// fetchTable fetches the table from a VM that has one, since this VM has none.
func (g *Gateway) fetchTable(from peer.Identity) {
	if !g.balancer.fetching.TryLock() {
		return
	}
	defer g.balancer.fetching.Unlock()
	m, ok := g.members.Member(from.VM)
	if !ok {
		return
	}
	if err := g.reportDemand(context.Background(), m, demand.NewReport("")); err != nil {
		g.log.Info("balance: cannot fetch the table from a peer", "peer", from.VM, "error", err.Error())
	}
}

// decide adds a report and rebalances if the last rebalancing was at least
// balanceInterval ago. A VM without a table waits for settleTime first, since others
// may have one.
func (g *Gateway) decide(report demand.Report) {
	b, now := g.balancer, clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := g.snapshot.Load()
	if s == nil || b.table.Epoch() == 0 && now.Sub(g.started) < settleTime {
		return
	}
	if b.ownEpoch == 0 || b.table.Epoch() != b.ownEpoch {
		b.ownEpoch = uint64(now.UnixMicro())
		b.table.StartEpoch(b.ownEpoch)
		b.decider.Reset()
		g.log.Info("balance: this VM became the balancer", "epoch", b.ownEpoch, "keys", b.table.Len())
	}
	b.decider.AddReport(report)
	if now.Sub(b.lastRebalance) < balanceInterval {
		return
	}
	b.lastRebalance = now
	if moved := b.decider.Rebalance(g.placer.Fleet(s)); moved > 0 {
		g.cfg.Metrics.KeysMoved(moved)
		g.log.Info("balance: keys moved from overloaded workers", "keys", moved, "version", b.table.Version(), "entries", b.table.Len())
	}
}
