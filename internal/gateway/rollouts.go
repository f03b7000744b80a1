// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	rolling "github.com/ryehill/ryehill/coordination/rollout"
	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/state/rollout"
	"github.com/ryehill/ryehill/state/worker"
)

// maxOrders bounds the orders that are carried out at a time.
const maxOrders = 64

// rollouts is this VM's part in bringing in new versions of services. It is safe for
// concurrent use.
type rollouts struct {
	// part is the part of a service's requests that a version may get which is not
	// proved; 0 knows no orders.
	part float64
	// shares are those of the orders under way, by service.
	shares atomic.Pointer[map[string]*rolling.Splitter]

	mu     sync.Mutex
	orders map[string]*order
}

// order is one order as this VM knows it.
type order struct {
	service string
	version rollout.Version
	// name is the version as the operator has written it.
	name  string
	share *rolling.Splitter
	// heard is when this VM heard of it.
	heard time.Time
	// decider is set once this VM has decided, logged is when it last said what it waits
	// for. Only rolloutLoop uses them.
	decider *rolling.Decider
	logged  time.Time

	// What follows is under the lock of rollouts.

	// stored is the order as the store has it.
	stored rollout.Order
	// end is when it is to be done.
	end time.Time
	// reason says why the order is where it is, as the VM that decides has told.
	reason string
	// decides is set while this VM decides.
	decides bool
	// writing is set while the store is written.
	writing bool
}

func newRollouts(part float64) *rollouts {
	r := &rollouts{part: part, orders: make(map[string]*order)}
	r.shares.Store(&map[string]*rolling.Splitter{})
	return r
}

// Share implements ingress.Rollouts.
func (r *rollouts) Share(service string) *rolling.Splitter { return (*r.shares.Load())[service] }

// enabled reports whether the fleet knows orders for new versions at all.
func (r *rollouts) enabled() bool { return r.part > 0 }

// take takes in the orders as the store has them, and returns those that are new.
func (r *rollouts) take(orders []rollout.Order, now time.Time) (fresh []rollout.Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(orders))
	for _, next := range orders {
		listed[next.Service] = true
		held, ok := r.orders[next.Service]
		if !ok || held.version != next.Version {
			if !ok && len(r.orders) >= maxOrders {
				continue
			}
			held = r.begin(next, now)
			fresh = append(fresh, next)
		}
		if next.Revision >= held.stored.Revision {
			held.stored = next
		}
		if next.Phase.Final() {
			held.share.Apply(rolling.Step{Phase: next.Phase})
		}
	}
	maps.DeleteFunc(r.orders, func(service string, _ *order) bool { return !listed[service] })
	shares := make(map[string]*rolling.Splitter, len(r.orders))
	for service, o := range r.orders {
		if !o.stored.Phase.Final() {
			shares[service] = o.share
		}
	}
	r.shares.Store(&shares)
	return fresh
}

// begin holds an order that was not known. The time that it has had already counts, as
// far as another VM has noted when it began.
func (r *rollouts) begin(next rollout.Order, now time.Time) *order {
	had := time.Duration(0)
	if !next.Since.IsZero() {
		had = min(max(now.Sub(next.Since), 0), next.Duration)
	}
	o := &order{
		service: next.Service, version: next.Version, name: next.Name, stored: next, heard: now, end: now.Add(next.Duration - had),
		share: rolling.NewSplitter(rolling.SplitterConfig{Service: next.Service, Version: next.Version, MaxFraction: r.part, Now: clock.Now}),
	}
	r.orders[next.Service] = o
	return o
}

// find returns an order that is known by its service and version.
func (r *rollouts) find(service string, version rollout.Version) (*order, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.orders[service]
	return o, ok && o.version == version
}

// underWay returns the orders of which the store does not say that nothing follows.
func (r *rollouts) underWay() []*order {
	r.mu.Lock()
	defer r.mu.Unlock()
	var open []*order
	for _, o := range r.orders {
		if !o.stored.Phase.Final() {
			open = append(open, o)
		}
	}
	slices.SortFunc(open, func(a, b *order) int { return strings.Compare(a.service, b.service) })
	return open
}

// compileRollouts takes in the orders for new versions. One that cannot be read changes
// nothing.
func (g *Gateway) compileRollouts(now time.Time) {
	if !g.rollouts.enabled() {
		return
	}
	kind := g.cfg.Codec.RolloutKind()
	objects := g.replica.Objects(kind)
	g.unused.keep(kind, objects)
	var orders []rollout.Order
	for _, o := range objects {
		next, err := g.cfg.Codec.Rollout(o)
		if err != nil {
			g.unused.add(kind, o, err)
			continue
		}
		orders = append(orders, next)
	}
	for _, o := range g.rollouts.take(orders, now) {
		g.log.Info("rollout: ordered", "service", o.Service, "version", o.Name, "within_ms", o.Duration.Milliseconds(), "state", o.Phase.String())
	}
}

// known are the orders that are known at one moment, by service.
type known map[string]knownOrder

// knownOrder is an order and how far it has come.
type knownOrder struct {
	version rollout.Version
	phase   rollout.Phase
}

// known returns the orders as they are now.
func (r *rollouts) known() known {
	r.mu.Lock()
	defer r.mu.Unlock()
	orders := make(known, len(r.orders))
	for service, o := range r.orders {
		orders[service] = knownOrder{version: o.version, phase: o.share.Phase()}
	}
	return orders
}

// versions says which version of each service is in use. Only compileLoop uses it.
type versions map[string]rollout.Version

// divide returns the workers that may get requests, those of versions that are being
// brought in marked as new. Nothing is sent to any other version than the one in use: one
// that was rolled back, that nobody has ordered, or an old one that is about to end.
func (v versions) divide(all []*worker.Worker, orders known) []*worker.Worker {
	v.find(all, orders)
	used := make([]*worker.Worker, 0, len(all))
	for _, w := range all {
		o := orders[w.Service]
		switch {
		case w.Version == v[w.Service]:
			used = append(used, w)
		case w.Version == o.version && o.phase != rollout.PhaseRolledBack:
			brought := *w
			brought.New = true
			used = append(used, &brought)
		}
	}
	return used
}

// find notes the version of each service that is in use: the one that an order was
// completed with, else the one that was before, else the one with the most slots.
func (v versions) find(all []*worker.Worker, orders known) {
	slots := make(map[string]map[rollout.Version]int)
	for _, w := range all {
		if slots[w.Service] == nil {
			slots[w.Service] = make(map[rollout.Version]int)
		}
		slots[w.Service][w.Version] += w.Slots
	}
	for service, of := range slots {
		o, ordered := orders[service]
		switch {
		case ordered && o.phase == rollout.PhaseCompleted && of[o.version] > 0:
			v[service] = o.version
		case of[v[service]] > 0:
		default:
			if ordered {
				delete(of, o.version)
			}
			if version, ok := mostSlots(of); ok {
				v[service] = version
			}
		}
	}
}

// mostSlots returns the version with the most slots, the lower one of two.
func mostSlots(of map[rollout.Version]int) (most rollout.Version, ok bool) {
	for version, slots := range of {
		if !ok || slots > of[most] || slots == of[most] && version < most {
			most, ok = version, true
		}
	}
	return most, ok
}
