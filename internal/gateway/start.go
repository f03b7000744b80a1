// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/coordination/tree"
	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/transport/peer"
)

const (
	// peersFirst is how long a VM waits for its peers' word when the whole
	// fleet starts for the first time.
	peersFirst = 3 * time.Second
	// neighborsWithin is how long a VM that starts waits for the list of the VMs
	// of its hall: a connection and a call from the farthest region, twice over.
	neighborsWithin = 300 * time.Millisecond
	// seedInterval is the time between two questions to peers of the settings.
	seedInterval = 100 * time.Millisecond
	// listTurn is how much later each VM of a hall lists the store than the one
	// before it in rank, if it still knows nothing, and lastTurn when all do. The
	// first one has told a hall of 33 VMs by then.
	listTurn = 250 * time.Millisecond
	lastTurn = 1200 * time.Millisecond
	// askedBeside is the depth that a VM gives which asks another one beside its
	// teller: the other is not to watch the store for that.
	askedBeside = 2
	// unheardFor is for how long after its start a VM takes those to be live that it
	// has not heard of.
	unheardFor = 15 * time.Second
	// startLook is the time between two looks whether peers have told a VM that
	// starts what it waits for.
	startLook = 20 * time.Millisecond
)

// neighbors are the VMs of this VM's hall as the store lists them, for the time in
// which it has not heard of any itself. It is safe for concurrent use.
type neighbors struct {
	mu    sync.Mutex
	vms   []spec.VM
	known chan struct{} // closed once they were read, or could not be
}

func newNeighbors() *neighbors { return &neighbors{known: make(chan struct{})} }

func (n *neighbors) set(vms []spec.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.vms = vms
	close(n.known)
}

func (n *neighbors) all() []spec.VM {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.vms
}

// await waits until the neighbors are known, or for as long as they may take.
func (n *neighbors) await(ctx context.Context) {
	timer := time.NewTimer(neighborsWithin)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-n.known:
	}
}

// unheard returns the VMs that this VM takes to be live without having heard of
// them, since it has just started: those that the list of VMs names, or the list of
// its hall as long as it does not know the whole one. News of 295 VMs takes some ten
// seconds to reach all, at ten VMs a message; until then each VM would know others
// to ask, and many would watch the store.
func (g *Gateway) unheard(now time.Time) []membership.Member {
	if now.Sub(g.begun()) > unheardFor {
		return nil
	}
	var unheard []membership.Member
	for _, m := range g.members.ListedMembers() {
		if m.Start == 0 && m.ID != g.cfg.VM {
			unheard = append(unheard, m)
		}
	}
	if len(unheard) > 0 {
		return unheard
	}
	for _, vm := range g.neighbors.all() {
		if _, ok := g.members.Member(vm.ID); !ok {
			unheard = append(unheard, membership.Member{VM: vm})
		}
	}
	return unheard
}

// begun returns when this VM began to find out by itself what it needs.
func (g *Gateway) begun() time.Time {
	if g.cfg.FirstStart && len(g.cfg.Seeds) > 0 && !slices.Contains(g.cfg.Seeds, g.cfg.Peer) {
		return g.started.Add(peersFirst)
	}
	return g.started
}

// asksPeersFirst reports whether this VM leaves it to the peers of the settings
// to ask the store, because the whole fleet starts for the first time.
func (g *Gateway) asksPeersFirst() bool { return clock.Now().Before(g.begun()) }

// startLoop finds out what this VM needs to serve. At the first start of a fleet
// it asks the peers of the settings: by the time that they are to be asked first,
// all know each other and agree on who watches. Later it reads which VMs there are
// in its hall, one of which askLoop then asks; the peers of the settings, which are
// the same for all VMs, are all there is while the store is away.
func (g *Gateway) startLoop(ctx context.Context) {
	for i := 0; ctx.Err() == nil && g.asksPeersFirst(); i++ {
		g.askSeed(ctx, i, askHold)
	}
	if g.snapshot.Load() == nil {
		go g.findNeighbors(ctx)
		g.neighbors.await(ctx)
	}
	for i := 0; ctx.Err() == nil && g.snapshot.Load() == nil; i++ {
		if second, ok := g.secondTeller(); ok && clock.Since(g.begun()) < lastTurn {
			sleep(ctx, seedInterval)
			g.askSecond(ctx, second)
			continue
		}
		g.askSeed(ctx, i, 0)
	}
}

// secondTeller returns the VM of the hall that is asked beside the one that askLoop
// asks. That one may not be back yet, and then takes 0.75 s to show it: in three of
// nine halls of 33 VMs all waited for such a VM.
func (g *Gateway) secondTeller() (spec.VM, bool) {
	asked := g.teller(clock.Now()).ID
	ranked := g.rankedHall()
	at := slices.IndexFunc(ranked, func(id string) bool { return id != asked && id != g.cfg.VM })
	if at < 0 {
		return spec.VM{}, false
	}
	vms := g.neighbors.all()
	return vms[slices.IndexFunc(vms, func(vm spec.VM) bool { return vm.ID == ranked[at] })], true
}

func (g *Gateway) askSecond(ctx context.Context, vm spec.VM) {
	if _, err := g.askNews(ctx, question{from: peer.Target{VM: vm.ID, Address: vm.Peer}, hold: askHold, depth: askedBeside}); err != nil {
		g.log.V(1).Info("peer: a VM of the hall has no news", "peer", vm.ID, "error", err.Error())
	}
}

// askSeed asks the next one of the peers of the settings for news, and waits a
// moment.
func (g *Gateway) askSeed(ctx context.Context, number int, hold time.Duration) {
	defer sleep(ctx, seedInterval)
	if len(g.cfg.Seeds) == 0 {
		return
	}
	seed := g.cfg.Seeds[number%len(g.cfg.Seeds)]
	if seed == g.cfg.Peer {
		return
	}
	if _, err := g.askNews(ctx, question{from: peer.Target{Address: seed}, hold: hold}); err != nil {
		g.log.V(1).Info("peer: a seed has no news", "seed", seed, "error", err.Error())
	}
}

// findNeighbors reads the VMs of this VM's hall from the store. Its own entry there
// spares it a write.
func (g *Gateway) findNeighbors(ctx context.Context) {
	codec := g.cfg.Codec
	objects, err := g.cfg.Store.Page(ctx, codec.MemberKind(), codec.MemberName(spec.VM{Hall: g.cfg.Hall}))
	if err != nil {
		g.log.Info("members: the VMs of this hall are not listed", "error", err.Error())
	}
	var vms []spec.VM
	for _, vm := range codec.Members(objects) {
		if vm.Hall == g.cfg.Hall {
			vms = append(vms, vm)
		}
	}
	g.neighbors.set(vms)
}

// listed reports whether the store has this VM's entry as it is.
func (g *Gateway) listed() bool { return slices.Contains(g.neighbors.all(), g.vm()) }

// waitForPeers waits until a kind is known, as long as other VMs are to list it
// first.
func (g *Gateway) waitForPeers(ctx context.Context, kind string) {
	if !g.asksPeersFirst() {
		g.neighbors.await(ctx)
	}
	for ctx.Err() == nil && clock.Now().Before(g.turn()) {
		if _, known := g.replica.CompleteUpTo(kind); known {
			return
		}
		sleep(ctx, startLook)
	}
}

// rankedHall returns the ids of the VMs of this VM's hall, as far as the store lists
// them, in the order in which they tell the others.
func (g *Gateway) rankedHall() []string {
	vms := []tree.VM{{ID: g.cfg.VM, Hall: g.cfg.Hall, LinkMbps: g.cfg.LinkMbps}}
	for _, vm := range g.neighbors.all() {
		if vm.ID != g.cfg.VM {
			vms = append(vms, tree.VM{ID: vm.ID, Hall: vm.Hall, LinkMbps: vm.LinkMbps})
		}
	}
	return tree.Rank("watcher/"+g.region(), vms)
}

// turn returns when this VM lists the store by itself if it still knows nothing.
// When all VMs start at once, one of each hall lists it at once and tells the
// others: each list of 1,617 workers is some 40 calls.
func (g *Gateway) turn() time.Time {
	rank := slices.Index(g.rankedHall(), g.cfg.VM)
	return g.begun().Add(min(time.Duration(rank)*listTurn, lastTurn))
}
