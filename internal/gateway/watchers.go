// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/coordination/tree"
	"github.com/ryehill/ryehill/internal/clock"
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
	// headHold is for how long a root may hold the questions of the VMs that ask
	// it for the others of their halls.
	headHold = 150 * time.Millisecond
	// perQuestion is how much older than its teller's knowledge a VM's own may be
	// in calm: the hold of a question, and the way.
	perQuestion = askHold + 150*time.Millisecond
	// lastChoice is a width of a link below that of any VM.
	lastChoice = -1
)

// watchers is who watches the store for whom. The VMs of a region ask each other
// for news along a tree (package tree), the same one as long as they see the same
// VMs; being asked as its root makes a VM watch. Nobody has to agree on who that
// is: two watchers cost a few calls more, and where there is none each VM calls
// the store itself once its replica is too old.
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
	return w.chosen || clock.Since(w.asked) < askedFor
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

// teller is the VM that this one asks for news.
type teller struct {
	membership.Member
	// depth is this VM's own in the tree (package tree), 0 if the teller is this
	// VM itself.
	depth int
	// inTree is set if the region has more VMs than one answers.
	inTree bool
}

// hold returns for how long the teller may hold a question. The few VMs that ask a
// root for others are told sooner, since each question on the way adds to the age
// of what workers told.
func (t teller) hold() time.Duration {
	if t.inTree && t.depth == 1 {
		return headHold
	}
	return askHold
}

// teller returns the VM of this region that is to be asked for news; it may be
// this one, and is if all others are avoided.
func (g *Gateway) teller(now time.Time) teller {
	return g.tellerAmong(now, func(id string) bool { return g.watchers.avoided.has(id, now) })
}

// leads reports whether this VM would be the root of its region if none were avoided:
// while the store answers nobody, all are.
func (g *Gateway) leads(now time.Time) bool {
	return g.tellerAmong(now, func(string) bool { return false }).ID == g.cfg.VM
}

// tellerAmong returns the VM of this region that is to be asked for news among those
// that are not to be avoided.
func (g *Gateway) tellerAmong(now time.Time, avoided func(id string) bool) teller {
	self := g.members.Self()
	c := g.candidates(now, func(m membership.Member) bool { return g.inRegion(m) && !avoided(m.ID) })
	vms := c.vms()
	for i := range vms {
		if vms[i].ID == self.ID && avoided(self.ID) {
			vms[i].LinkMbps = lastChoice
		}
	}
	place := tree.PlaceOf(self.ID, g.region(), vms)
	return teller{Member: c[place.Parent], depth: place.Depth, inTree: len(vms) > tree.FanOut}
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
		now := clock.Now()
		t := g.teller(now)
		if t.ID != chosen.vm {
			chosen = choice{vm: t.ID, since: now}
		}
		g.watchers.choose(t.ID == g.cfg.VM)
		age, err := g.followTeller(ctx, t)
		switch {
		case err != nil:
			g.log.Info("watchers: one does not answer", "peer", t.ID, "error", err.Error())
			g.passOver(t.Member, "no answer", now)
		case g.watchers.avoided.has(t.ID, now): // This VM, as all are avoided.
		case age > g.oldForTeller(t) && now.Sub(chosen.since) > newWatcherGrace:
			g.log.Info("watchers: what one knows is old", "peer", t.ID, "age_ms", age.Milliseconds())
			g.passOver(t.Member, "old knowledge", now)
		}
	}
}

// passOver lets this VM ask others for news for a while.
func (g *Gateway) passOver(m membership.Member, reason string, now time.Time) {
	g.watchers.avoided.add(m.ID, now)
	g.cfg.Metrics.WatcherPassedOver(reason)
}

// followTeller asks a VM for news once. If that is this VM, it waits a moment. It
// returns the age of the oldest knowledge that the teller has.
func (g *Gateway) followTeller(ctx context.Context, t teller) (time.Duration, error) {
	if t.ID != g.cfg.VM {
		return g.askNews(ctx, question{from: peer.Target{VM: t.ID, Address: t.Peer}, hold: t.hold(), depth: t.depth})
	}
	g.takeOutcomes()
	sleep(ctx, noWatcher)
	return g.age(), nil
}

// oldForTeller returns the age above which the knowledge of a teller shows that the
// store does not answer the root: half-way between the longest hold of a watch and
// the age at which all VMs call the store themselves, but not less than a watch and
// a slow store make of it in calm. VMs that disagree on the root do not hear what
// they tell each other of workers. Further down, each question on the way adds to
// the age, and those above are to find out first.
func (g *Gateway) oldForTeller(t teller) time.Duration {
	old := max((g.cfg.WatchHold+g.cfg.StaleAfter)/2, g.cfg.WatchHold+2*askHold)
	return old + time.Duration(max(t.depth-1, 0))*perQuestion
}
