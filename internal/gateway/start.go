// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/coordination/tree"
	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/transport/peer"
)

const (
	// firstStartDelay is how long a VM leaves the calls to the store to the seeds when
	// the whole fleet starts for the first time.
	firstStartDelay = 3 * time.Second
	// neighborsTimeout bounds the wait for the list of VMs of this VM's hall at the
	// start. It covers a connection and a call from the farthest region twice.
	neighborsTimeout = 300 * time.Millisecond
	// seedInterval is the time between two requests to seeds.
	seedInterval = 100 * time.Millisecond
	// listStagger is the delay between successive VMs of a hall, by rank, before they
	// list the store if they still have no state, and maxListDelay the longest delay.
	// By then the first VM has sent its state to the others of the hall.
	listStagger  = 250 * time.Millisecond
	maxListDelay = 1200 * time.Millisecond
	// secondaryDepth is the tree depth in a request to a VM other than the parent. It is
	// greater than 1, so that the receiver does not watch the store because of it.
	secondaryDepth = 2
	// assumeLiveFor is how long after its start a VM assumes VMs to be live that it
	// has no state of yet.
	assumeLiveFor = 15 * time.Second
	// startPollInterval is the interval at which a starting VM checks whether its
	// peers have delivered a kind.
	startPollInterval = 20 * time.Millisecond
)

// neighbors holds the VMs of this VM's hall as listed in the store, for use until this
// VM has learned their state from peers. It is safe for concurrent use.
type neighbors struct {
	mu    sync.Mutex
	vms   []spec.VM
	known chan struct{} // closed once the VMs were read or the read failed
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

// wait waits until the neighbors are known, for neighborsTimeout at most.
func (n *neighbors) wait(ctx context.Context) {
	timer := time.NewTimer(neighborsTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-n.known:
	}
}

// assumedLive returns the VMs that this VM assumes to be live without knowing their
// state, because it has just started: those in the list of VMs or, until it has that
// list, those of its hall. The state of all VMs takes several seconds to spread; without
// the assumption each VM would choose from a different set, and many would watch the
// store.
func (g *Gateway) assumedLive(now time.Time) []membership.Member {
	if now.Sub(g.bootstrapStart()) > assumeLiveFor {
		return nil
	}
	var members []membership.Member
	for _, m := range g.members.ListedMembers() {
		if m.Start == 0 && m.ID != g.cfg.VM {
			members = append(members, m)
		}
	}
	if len(members) > 0 {
		return members
	}
	for _, vm := range g.neighbors.all() {
		if _, ok := g.members.Member(vm.ID); !ok {
			members = append(members, membership.Member{VM: vm})
		}
	}
	return members
}

// bootstrapStart returns when this VM starts to fetch the state it needs by itself.
func (g *Gateway) bootstrapStart() time.Time {
	if g.cfg.FirstStart && len(g.cfg.Seeds) > 0 && !slices.Contains(g.cfg.Seeds, g.cfg.Peer) {
		return g.started.Add(firstStartDelay)
	}
	return g.started
}

// waitsForSeeds reports whether this VM still leaves the calls to the store to the
// seeds, because the whole fleet starts for the first time.
func (g *Gateway) waitsForSeeds() bool { return clock.Now().Before(g.bootstrapStart()) }

// bootstrapLoop fetches the state that this VM needs to serve. At the first start of a
// fleet it queries the seeds, so that all VMs know each other and agree on who watches
// the store before they choose parents. At later starts it reads the list of VMs of
// its hall, from one of which syncLoop requests changes. The seeds, which are the same
// for all VMs, are the fallback while the store is unavailable.
func (g *Gateway) bootstrapLoop(ctx context.Context) {
	for i := 0; ctx.Err() == nil && g.waitsForSeeds(); i++ {
		g.syncFromSeed(ctx, i, maxSyncHold)
	}
	if g.snapshot.Load() == nil {
		go g.loadNeighbors(ctx)
		g.neighbors.wait(ctx)
	}
	for i := 0; ctx.Err() == nil && g.snapshot.Load() == nil; i++ {
		if second, ok := g.secondarySource(); ok && clock.Since(g.bootstrapStart()) < maxListDelay {
			sleep(ctx, seedInterval)
			g.syncFromSecondary(ctx, second)
			continue
		}
		g.syncFromSeed(ctx, i, 0)
	}
}

// secondarySource returns the VM of the hall that is queried in addition to the parent,
// which may not have restarted yet and would then delay the start by a timeout.
func (g *Gateway) secondarySource() (spec.VM, bool) {
	parentID := g.parent(clock.Now()).ID
	ranked := g.rankHall()
	at := slices.IndexFunc(ranked, func(id string) bool { return id != parentID && id != g.cfg.VM })
	if at < 0 {
		return spec.VM{}, false
	}
	vms := g.neighbors.all()
	return vms[slices.IndexFunc(vms, func(vm spec.VM) bool { return vm.ID == ranked[at] })], true
}

func (g *Gateway) syncFromSecondary(ctx context.Context, vm spec.VM) {
	if _, err := g.syncFrom(ctx, syncRequest{from: peer.Target{VM: vm.ID, Address: vm.Peer}, hold: maxSyncHold, depth: secondaryDepth}); err != nil {
		g.log.V(1).Info("peer: sync with a VM of the hall failed", "peer", vm.ID, "error", err.Error())
	}
}

// syncFromSeed requests changes from the next seed, then waits for seedInterval.
func (g *Gateway) syncFromSeed(ctx context.Context, index int, hold time.Duration) {
	defer sleep(ctx, seedInterval)
	if len(g.cfg.Seeds) == 0 {
		return
	}
	seed := g.cfg.Seeds[index%len(g.cfg.Seeds)]
	if seed == g.cfg.Peer {
		return
	}
	if _, err := g.syncFrom(ctx, syncRequest{from: peer.Target{Address: seed}, hold: hold}); err != nil {
		g.log.V(1).Info("peer: sync with a seed failed", "seed", seed, "error", err.Error())
	}
}

// loadNeighbors reads the VMs of this VM's hall from the store. If this VM's own entry
// is among them, it need not be written again.
func (g *Gateway) loadNeighbors(ctx context.Context) {
	codec := g.cfg.Codec
	objects, err := g.cfg.Store.Page(ctx, codec.MemberKind(), codec.MemberName(spec.VM{Hall: g.cfg.Hall}))
	if err != nil {
		g.log.Info("members: cannot list the VMs of this hall", "error", err.Error())
	}
	var vms []spec.VM
	for _, vm := range codec.Members(objects) {
		if vm.Hall == g.cfg.Hall {
			vms = append(vms, vm)
		}
	}
	g.neighbors.set(vms)
}

// ownEntryStored reports whether the store has the current entry of this VM.
func (g *Gateway) ownEntryStored() bool { return slices.Contains(g.neighbors.all(), g.vm()) }

// waitForPeers waits until a kind is known, or until it is this VM's turn to list it.
func (g *Gateway) waitForPeers(ctx context.Context, kind string) {
	if !g.waitsForSeeds() {
		g.neighbors.wait(ctx)
	}
	for ctx.Err() == nil && clock.Now().Before(g.listTime()) {
		if _, known := g.replica.CompleteUpTo(kind); known {
			return
		}
		sleep(ctx, startPollInterval)
	}
}

// rankHall returns the IDs of the listed VMs of this VM's hall in the order in which
// they distribute changes.
func (g *Gateway) rankHall() []string {
	vms := []tree.VM{{ID: g.cfg.VM, Hall: g.cfg.Hall, LinkMbps: g.cfg.LinkMbps}}
	for _, vm := range g.neighbors.all() {
		if vm.ID != g.cfg.VM {
			vms = append(vms, tree.VM{ID: vm.ID, Hall: vm.Hall, LinkMbps: vm.LinkMbps})
		}
	}
	return tree.Rank("watcher/"+g.region(), vms)
}

// listTime returns when this VM lists the store itself if it still has no state. When
// all VMs start at once, one of each hall lists the store and serves the others, since
// a full list takes many calls.
func (g *Gateway) listTime() time.Time {
	rank := slices.Index(g.rankHall(), g.cfg.VM)
	return g.bootstrapStart().Add(min(time.Duration(rank)*listStagger, maxListDelay))
}

// peerStateWait is how long a VM that has read the store waits for a serving peer before
// it serves: the store may have returned from a copy that is older than what peers know.
const peerStateWait = 200 * time.Millisecond

// startup delays the first snapshot until a serving peer has sent its state. It is safe
// for concurrent use.
type startup struct {
	mu sync.Mutex
	// complete is when this VM had all state that it needs to serve.
	complete time.Time
	// alone is set if peers cannot know more than the store, or there are none.
	alone, heard bool
	// serving is set once there is a snapshot. Before, untilServing holds what peers have told
	// of workers, to be applied to the first snapshot.
	serving      bool
	untilServing []func(*placement.Snapshot)
}

// maxUntilServing bounds the messages of peers that wait for the first snapshot.
const maxUntilServing = 64

// keepUntilServing keeps a function for the first snapshot, and reports whether it did, which it
// does not once there is one.
func (s *startup) keepUntilServing(apply func(*placement.Snapshot)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.serving {
		return false
	}
	if len(s.untilServing) < maxUntilServing {
		s.untilServing = append(s.untilServing, apply)
	}
	return true
}

// withSnapshot calls a function with the snapshot in use. Before there is one, it keeps the
// function for the first one, which is not used before it is called.
func (g *Gateway) withSnapshot(apply func(*placement.Snapshot)) {
	if !g.startup.keepUntilServing(apply) {
		apply(g.snapshot.Load())
	}
}

// useSnapshot takes a snapshot into use, the first one with what was kept for it.
func (g *Gateway) useSnapshot(s *placement.Snapshot) {
	g.startup.mu.Lock()
	defer g.startup.mu.Unlock()
	for _, apply := range g.startup.untilServing {
		apply(s)
	}
	g.startup.serving, g.startup.untilServing = true, nil
	g.snapshot.Store(s)
}

// recordReply records a peer's reply.
func (s *startup) recordReply(serving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = s.heard || serving
}

// awaitsPeers reports whether this VM has all state that it needs and waits only for what
// a serving peer knows beyond the store.
func (s *startup) awaitsPeers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.complete.IsZero() && !s.alone && !s.heard && clock.Since(s.complete) < peerStateWait
}

// over reports whether this VM may serve with the state that it has. In era 0 the store has
// never returned from a copy.
func (s *startup) over(now time.Time, era uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.alone = s.alone || era == 0
	if s.complete.IsZero() {
		s.complete = now
	}
	return s.alone || s.heard || now.Sub(s.complete) >= peerStateWait
}

// wake returns a channel that delivers when over may have changed, or nil once the VM
// serves.
func (s *startup) wake() <-chan time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.complete.IsZero() || s.alone || s.heard {
		return nil
	}
	if left := peerStateWait - clock.Since(s.complete); left > 0 {
		return time.After(min(left, startPollInterval))
	}
	return nil
}
