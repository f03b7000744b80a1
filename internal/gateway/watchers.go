// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/coordination/tree"
	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/transport/peer"
)

const (
	// watchAfterRequest is how long a VM keeps watching the store after a request.
	watchAfterRequest = 2 * time.Second
	// selfParentInterval is the time between two searches for a parent while this VM
	// is its own parent.
	selfParentInterval = 250 * time.Millisecond
	// newParentGrace is how long a new parent has until its state must be current. It
	// covers one reply, and a call to the store from the farthest region.
	newParentGrace = 2 * maxSyncHold
	// parentReplyValidity is how long after a reply the parent still counts as serving this
	// VM: until the next reply is due at the latest.
	parentReplyValidity = maxSyncHold + syncReplyGrace
	// rootChildHold is how long a root may hold the requests of its direct children,
	// which serve the other VMs of their halls.
	rootChildHold = 150 * time.Millisecond
	// ageAllowancePerLevel is how much older than its parent's state a VM's own state
	// may be in normal operation: the hold of a request plus its latency.
	ageAllowancePerLevel = maxSyncHold + 150*time.Millisecond
	// avoidedLinkMbps ranks an avoided VM below VMs of any bandwidth.
	avoidedLinkMbps = -1
)

// watchers determines whether this VM watches the store. The VMs of a region request
// changes from each other along a tree (package tree), which is the same for all VMs
// that see the same members. A VM watches the store while it receives requests as the
// root or is its own parent. No agreement is needed: a second watching VM only costs
// some more calls, and without any, each VM calls the store itself once its replica is
// too old.
type watchers struct {
	mu          sync.Mutex
	lastRequest time.Time // time of the last request from another VM
	ownParent   bool      // this VM is its own parent
	parentReply time.Time // time of the last reply of another parent with current state
	wake        chan struct{}
	avoided     *avoided
}

func newWatchers() *watchers {
	return &watchers{wake: make(chan struct{}), avoided: newAvoided()}
}

// watchesStore reports whether this VM watches the store.
func (g *Gateway) watchesStore() bool {
	w := g.watchers
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ownParent {
		return true
	}
	return clock.Since(w.lastRequest) < watchAfterRequest && clock.Since(w.parentReply) >= parentReplyValidity
}

// watchRequested returns a channel that is closed once this VM has to check whether to
// watch the store.
func (g *Gateway) watchRequested() <-chan struct{} {
	g.watchers.mu.Lock()
	defer g.watchers.mu.Unlock()
	return g.watchers.wake
}

// recordRequest records a request of another VM for changes.
func (w *watchers) recordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastRequest = now
	w.notifyLocked()
}

// recordParentReply records a reply of another parent whose state is current.
func (w *watchers) recordParentReply(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.parentReply = now
}

func (w *watchers) setOwnParent(self bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ownParent = self
	if self {
		w.notifyLocked()
	}
}

// notify wakes the loops that wait, to check whether to call the store.
func (w *watchers) notify() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notifyLocked()
}

func (w *watchers) notifyLocked() {
	close(w.wake)
	w.wake = make(chan struct{})
}

// treeParent is the VM that this one requests changes from.
type treeParent struct {
	membership.Member
	// depth is the depth of this VM in the tree (package tree), 0 if it is its own
	// parent.
	depth int
	// inTree is set if the region has more VMs than one VM can serve.
	inTree bool
}

// hold returns how long the parent may hold a request. The direct children of a root
// serve other VMs and use a shorter hold, since each level adds to the age of the
// workers' loads.
func (t treeParent) hold() time.Duration {
	if t.inTree && t.depth == 1 {
		return rootChildHold
	}
	return maxSyncHold
}

// parent returns the VM of this region to request changes from. It is this VM itself
// if this VM is the root or all others are avoided.
func (g *Gateway) parent(now time.Time) treeParent {
	return g.parentAmong(now, func(id string) bool { return g.watchers.avoided.has(id, now) })
}

// isRegionRoot reports whether this VM would be the root of its region if no VM were
// avoided. All VMs are avoided while the store responds to none of them.
func (g *Gateway) isRegionRoot(now time.Time) bool {
	return g.parentAmong(now, func(string) bool { return false }).ID == g.cfg.VM
}

// parentAmong returns the VM of this region to request changes from, among those that
// are not avoided.
func (g *Gateway) parentAmong(now time.Time, avoided func(id string) bool) treeParent {
	self := g.members.Self()
	c := g.candidates(now, func(m membership.Member) bool { return g.inRegion(m) && !avoided(m.ID) })
	vms := c.vms()
	for i := range vms {
		if vms[i].ID == self.ID && avoided(self.ID) {
			vms[i].LinkMbps = avoidedLinkMbps
		}
	}
	position := tree.PlaceOf(self.ID, g.region(), vms)
	return treeParent{Member: c[position.Parent], depth: position.Depth, inTree: len(vms) > tree.FanOut}
}

// parentChoice is the current parent and the time since which it has been the parent.
type parentChoice struct {
	vm    string
	since time.Time
}

// syncLoop repeatedly requests changes from the parent.
func (g *Gateway) syncLoop(ctx context.Context) {
	var current parentChoice
	for ctx.Err() == nil {
		if g.waitsForSeeds() {
			sleep(ctx, seedInterval) // bootstrapLoop queries the seeds.
			continue
		}
		now := clock.Now()
		parent := g.parent(now)
		if parent.ID != current.vm {
			current = parentChoice{vm: parent.ID, since: now}
		}
		g.watchers.setOwnParent(parent.ID == g.cfg.VM)
		age, err := g.syncFromParent(ctx, parent)
		switch {
		case err != nil:
			g.log.Info("watchers: parent does not answer", "peer", parent.ID, "error", err.Error())
			g.avoidParent(parent.Member, "no answer", now)
		case g.watchers.avoided.has(parent.ID, now): // This VM, since all others are avoided.
		case age > g.maxParentAge(parent) && now.Sub(current.since) > newParentGrace:
			g.log.Info("watchers: what one knows is old", "peer", parent.ID, "age_ms", ageMillis(age))
			g.avoidParent(parent.Member, "old knowledge", now)
		case parent.ID != g.cfg.VM && age <= g.maxParentAge(parent):
			g.watchers.recordParentReply(clock.Now())
		}
	}
}

// ageMillis returns an age in milliseconds for a log line.
func ageMillis(age time.Duration) any {
	if age == unknownAge {
		return "unknown"
	}
	return age.Milliseconds()
}

// avoidParent excludes a VM from the choice of a parent for a while.
func (g *Gateway) avoidParent(m membership.Member, reason string, now time.Time) {
	g.watchers.avoided.add(m.ID, now)
	g.cfg.Metrics.WatcherPassedOver(reason)
}

// unknownAge is the age of state that was never confirmed, which is older than any limit.
const unknownAge = time.Duration(math.MaxInt64)

// syncFromParent requests changes from the parent once, or waits if this VM is its own
// parent. It returns the age of the parent's oldest state.
func (g *Gateway) syncFromParent(ctx context.Context, parent treeParent) (time.Duration, error) {
	if parent.ID != g.cfg.VM {
		return g.syncFrom(ctx, syncRequest{from: peer.Target{VM: parent.ID, Address: parent.Peer}, hold: parent.hold(), depth: parent.depth})
	}
	g.drainOutcomes()
	sleep(ctx, selfParentInterval)
	if age, known := g.maxReplicaAge(); known {
		return age, nil
	}
	return unknownAge, nil
}

// maxParentAge returns the age above which the state of a parent shows that the store
// does not respond to the root. It is half-way between the longest hold of a watch and the
// age at which all VMs call the store themselves, but not less than a watch and a slow
// store cause in normal operation. A lower limit would let VMs choose different roots,
// and VMs with different roots do not receive each other's reports on workers. Each
// further level adds to the limit, so that the VMs nearer to the root react first.
func (g *Gateway) maxParentAge(parent treeParent) time.Duration {
	maxAge := max((g.cfg.WatchHold+g.cfg.StaleAfter)/2, g.cfg.WatchHold+2*maxSyncHold)
	return maxAge + time.Duration(max(parent.depth-1, 0))*ageAllowancePerLevel
}
