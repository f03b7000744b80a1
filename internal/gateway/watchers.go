// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ryehill/ryehill/coordination/assign"
	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/transport/peer"
)

const (
	// askedFor is for how long after a question a VM goes on watching.
	askedFor = 2 * time.Second
	// noWatcher is the wait before the next look for a VM to ask.
	noWatcher = 250 * time.Millisecond
	// newWatcherGrace is how long a VM that is asked for the first time has until
	// what it knows must be young: one answer, and a call to the store from the
	// farthest region.
	newWatcherGrace = 2 * askHold
)

// watchers is who watches the store for whom. In each region the VMs ask one of
// them for news, the same one as long as they see the same VMs; being asked
// makes a VM watch. Nobody has to agree on who that is: two watchers cost a few
// calls more, and where there is none each VM calls the store itself once its
// replica is too old.
type watchers struct {
	mu      sync.Mutex
	asked   time.Time // when another VM last asked this one
	chosen  bool      // this VM is its own first choice
	wake    chan struct{}
	avoided *avoided
}

func newWatchers() *watchers {
	return &watchers{wake: make(chan struct{}), avoided: newAvoided()}
}

// watches reports whether this VM watches the store.
func (g *Gateway) watches() bool {
	w := g.watchers
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.chosen || time.Since(w.asked) < askedFor
}

// askedToWatch returns a channel that is closed once this VM is to watch.
func (g *Gateway) askedToWatch() <-chan struct{} {
	g.watchers.mu.Lock()
	defer g.watchers.mu.Unlock()
	return g.watchers.wake
}

// ask notes that another VM asks, or that this one is its own choice.
func (w *watchers) ask(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked = now
	w.signal()
}

func (w *watchers) choose(self bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.chosen = self
	if self {
		w.signal()
	}
}

// wakeUp lets the loops that wait look again whether to call the store.
func (w *watchers) wakeUp() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.signal()
}

func (w *watchers) signal() {
	close(w.wake)
	w.wake = make(chan struct{})
}

// watcher returns the VM of this region that is to be asked for news; it may be
// this one, and is if all are avoided.
func (g *Gateway) watcher(now time.Time) membership.Member {
	self := g.members.Self()
	candidates := make(map[string]membership.Member)
	var ids []string
	for _, m := range append(g.live(), self) {
		if g.cfg.Halls[m.Hall] == g.region() && !g.watchers.avoided.has(m.ID, now) {
			candidates[m.ID] = m
			ids = append(ids, m.ID)
		}
	}
	if len(ids) == 0 {
		return self
	}
	slices.Sort(ids)
	return candidates[assign.Top("watcher/"+g.region(), slices.Compact(ids), 1)[0]]
}

// choice is the VM that is asked for news, and since when.
type choice struct {
	vm    string
	since time.Time
}

// askLoop asks the region's watcher for news, again and again.
func (g *Gateway) askLoop(ctx context.Context) {
	var chosen choice
	for ctx.Err() == nil {
		if g.asksPeersFirst() {
			sleep(ctx, seedInterval) // startLoop asks the seeds.
			continue
		}
		now := time.Now()
		m := g.watcher(now)
		if m.ID != chosen.vm {
			chosen = choice{vm: m.ID, since: now}
		}
		g.watchers.choose(m.ID == g.cfg.VM)
		age, err := g.followWatcher(ctx, m)
		switch {
		case err != nil:
			g.log.Info("watchers: one does not answer", "peer", m.ID, "error", err.Error())
			g.passOver(m, "no answer", now)
		case g.watchers.avoided.has(m.ID, now): // This VM, as all are avoided.
		case age > g.oldForWatcher() && now.Sub(chosen.since) > newWatcherGrace:
			g.log.Info("watchers: what one knows is old", "peer", m.ID, "age_ms", age.Milliseconds())
			g.passOver(m, "old knowledge", now)
		}
	}
}

// passOver lets this VM ask others for news for a while.
func (g *Gateway) passOver(m membership.Member, reason string, now time.Time) {
	g.watchers.avoided.add(m.ID, now)
	g.cfg.Metrics.WatcherPassedOver(reason)
}

// followWatcher asks the region's watcher for news once. If that is this VM, it
// waits a moment. It returns the age of the oldest knowledge that the watcher has.
func (g *Gateway) followWatcher(ctx context.Context, m membership.Member) (time.Duration, error) {
	if m.ID != g.cfg.VM {
		return g.askNews(ctx, peer.Target{VM: m.ID, Address: m.Peer}, askHold)
	}
	g.takeOutcomes()
	sleep(ctx, noWatcher)
	return g.age(), nil
}

// oldForWatcher returns the age above which the knowledge of a watcher shows that
// the store does not answer it: half-way between the longest hold of a watch and
// the age at which all VMs call the store themselves, but not less than a watch and
// a slow store make of it in calm. VMs that disagree on the watcher do not hear what
// they tell each other of workers.
func (g *Gateway) oldForWatcher() time.Duration {
	return max((g.cfg.WatchHold+g.cfg.StaleAfter)/2, g.cfg.WatchHold+2*askHold)
}
