// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	rolling "github.com/ryehill/ryehill/coordination/rollout"
	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/state/rollout"
	"github.com/ryehill/ryehill/state/worker"
)

// maxOrders bounds the number of concurrent orders.
const maxOrders = 64

// rollouts holds this VM's state of rollouts of new versions. It is safe for concurrent
// use.
type rollouts struct {
	// maxFraction is the largest fraction of a service's requests that an unproven
	// version gets. Rollouts are disabled if it is 0.
	maxFraction float64

	mu     sync.Mutex
	orders map[string]*order
}

// order is the state of one rollout order at this VM.
type order struct {
	service string
	version rollout.Version
	// name is the version as written by the operator.
	name     string
	splitter *rolling.Splitter
	// firstSeenAt is when this VM first read the order.
	firstSeenAt time.Time
	// decider is set once this VM has decided on the order; loggedAt is when it last
	// logged progress. Only rolloutLoop uses them.
	decider  *rolling.Decider
	loggedAt time.Time

	// The fields below are guarded by rollouts.mu.

	// stored is the order as stored.
	stored rollout.Order
	// deadline is when the rollout must be complete.
	deadline time.Time
	// reason explains the current phase, as given by the deciding VM.
	reason string
	// isDecider is set while this VM decides on the order.
	isDecider bool
	// writing is set while a write to the store is in progress.
	writing bool
}

func newRollouts(maxFraction float64) *rollouts {
	return &rollouts{maxFraction: maxFraction, orders: make(map[string]*order)}
}

// splitters returns the splitters of the active orders, by service.
func (r *rollouts) splitters() map[string]*rolling.Splitter {
	active := r.active()
	splitters := make(map[string]*rolling.Splitter, len(active))
	for _, o := range active {
		splitters[o.service] = o.splitter
	}
	return splitters
}

// enabled reports whether rollout orders are enabled in this fleet.
func (r *rollouts) enabled() bool { return r.maxFraction > 0 }

// applyOrders applies the stored orders and returns the new ones.
func (r *rollouts) applyOrders(orders []rollout.Order, now time.Time) (added []rollout.Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(orders))
	for _, latest := range orders {
		listed[latest.Service] = true
		held, ok := r.orders[latest.Service]
		if !ok || held.version != latest.Version {
			if !ok && len(r.orders) >= maxOrders {
				continue
			}
			held = r.addOrder(latest, now)
			added = append(added, latest)
		}
		if !latest.Entry.Before(held.stored.Entry) {
			held.stored = withKnownPhase(latest, held.stored)
		}
		if latest.Phase.Final() {
			held.splitter.Apply(rolling.Step{Phase: latest.Phase})
		}
	}
	maps.DeleteFunc(r.orders, func(service string, _ *order) bool { return !listed[service] })
	return added
}

// withKnownPhase returns an order as stored, with the phase and the start that this VM
// knows if the store has returned from a copy that lacks them.
func withKnownPhase(stored, known rollout.Order) rollout.Order {
	if stored.Entry.Era > known.Entry.Era && known.Phase > stored.Phase {
		stored.Phase, stored.Since = known.Phase, known.Since
	}
	return stored
}

// addOrder adds a new order. Time that has passed since another VM recorded its start
// counts towards its deadline.
func (r *rollouts) addOrder(next rollout.Order, now time.Time) *order {
	elapsed := time.Duration(0)
	if !next.Since.IsZero() {
		elapsed = min(max(now.Sub(next.Since), 0), next.Duration)
	}
	o := &order{
		service: next.Service, version: next.Version, name: next.Name, stored: next, firstSeenAt: now, deadline: now.Add(next.Duration - elapsed),
		splitter: rolling.NewSplitter(rolling.SplitterConfig{Service: next.Service, Version: next.Version, MaxFraction: r.maxFraction, Now: clock.Now}),
	}
	r.orders[next.Service] = o
	return o
}

// find returns the order for a version of a service.
func (r *rollouts) find(service string, version rollout.Version) (*order, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.orders[service]
	return o, ok && o.version == version
}

// active returns the orders whose stored phase is not final, sorted by service.
func (r *rollouts) active() []*order {
	r.mu.Lock()
	defer r.mu.Unlock()
	var active []*order
	for _, o := range r.orders {
		if !o.stored.Phase.Final() {
			active = append(active, o)
		}
	}
	slices.SortFunc(active, func(a, b *order) int { return strings.Compare(a.service, b.service) })
	return active
}

// compileRollouts applies the rollout orders in the replica. Orders that cannot be
// decoded are skipped.
func (g *Gateway) compileRollouts(now time.Time) {
	if !g.rollouts.enabled() {
		return
	}
	kind := g.cfg.Codec.RolloutKind()
	objects := g.replica.Objects(kind)
	g.unused.retain(kind, objects)
	var orders []rollout.Order
	for _, o := range objects {
		next, err := g.cfg.Codec.Rollout(o)
		if err != nil {
			g.unused.add(kind, o, err)
			continue
		}
		orders = append(orders, next)
	}
	for _, o := range g.rollouts.applyOrders(orders, now) {
		g.log.Info("rollout: ordered", "service", o.Service, "version", o.Name, "within_ms", o.Duration.Milliseconds(), "state", o.Phase.String())
	}
}

// knownOrders holds all orders at one point in time, by service.
type knownOrders map[string]knownOrder

// knownOrder is the version and the phase of an order.
type knownOrder struct {
	version rollout.Version
	phase   rollout.Phase
}

// snapshot returns the current orders.
func (r *rollouts) snapshot() knownOrders {
	r.mu.Lock()
	defer r.mu.Unlock()
	orders := make(knownOrders, len(r.orders))
	for service, o := range r.orders {
		orders[service] = knownOrder{version: o.version, phase: o.splitter.Phase()}
	}
	return orders
}

// activeVersions holds the active version of each service. Only compileLoop uses it.
type activeVersions map[string]rollout.Version

// selectWorkers returns the workers that may get requests: those of the active version, and
// those of a version being rolled out, marked as new. Workers of any other version get
// none: it was rolled back, was never ordered, or is being retired.
func (v activeVersions) selectWorkers(all []*worker.Worker, orders knownOrders) []*worker.Worker {
	v.updateActive(all, orders)
	selected := make([]*worker.Worker, 0, len(all))
	for _, w := range all {
		o := orders[w.Service]
		switch {
		case w.Version == v[w.Service]:
			selected = append(selected, w)
		case w.Version == o.version && o.phase != rollout.PhaseRolledBack:
			newWorker := *w
			newWorker.New = true
			selected = append(selected, &newWorker)
		}
	}
	return selected
}

// updateActive updates the active version of each service: the one of a completed order,
// else the previous one if it still has workers, else the one with the most slots
// among the versions that are not on order.
func (v activeVersions) updateActive(all []*worker.Worker, orders knownOrders) {
	slots := make(map[string]map[rollout.Version]int)
	for _, w := range all {
		if slots[w.Service] == nil {
			slots[w.Service] = make(map[rollout.Version]int)
		}
		slots[w.Service][w.Version] += w.Slots
	}
	for service, slotsByVersion := range slots {
		o, ordered := orders[service]
		switch {
		case ordered && o.phase == rollout.PhaseCompleted && slotsByVersion[o.version] > 0:
			v[service] = o.version
		case slotsByVersion[v[service]] > 0:
		default:
			if ordered {
				delete(slotsByVersion, o.version)
			}
			if version, ok := mostSlots(slotsByVersion); ok {
				v[service] = version
			}
		}
	}
}

// mostSlots returns the version with the most slots; the lower version wins a tie.
func mostSlots(slotsByVersion map[rollout.Version]int) (most rollout.Version, ok bool) {
	for version, slots := range slotsByVersion {
		if !ok || slots > slotsByVersion[most] || slots == slotsByVersion[most] && version < most {
			most, ok = version, true
		}
	}
	return most, ok
}
