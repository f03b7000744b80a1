// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package capacity

import "math/rand/v2"

// SelectionPolicy selects among the workers of a pool that have a free slot. It is one of
// LeastLoaded, TwoChoices, RoundRobin and Random.
type SelectionPolicy interface{ selectionPolicy() }

// LeastLoaded picks the worker with the smallest fraction of its slots in use and, among
// equals, the one with the lowest recent latency. A pool is the only sender to its workers
// and has exact counts, so sampling would gain nothing.
type LeastLoaded struct{}

// TwoChoices picks the better of two random workers (power of two choices).
type TwoChoices struct{}

// RoundRobin picks workers in turn. It is a baseline for measurements.
type RoundRobin struct{}

// Random picks a random worker. It is a baseline for measurements.
type Random struct{}

func (LeastLoaded) selectionPolicy() {}
func (TwoChoices) selectionPolicy()  {}
func (RoundRobin) selectionPolicy()  {}
func (Random) selectionPolicy()      {}

// pickWorker returns a worker with a free slot, or nil if there is none.
func (p *Pool) pickWorker() *worker {
	n := len(p.order)
	switch p.cfg.Policy.(type) {
	case TwoChoices:
		first, second := p.firstFree(rand.IntN(n)), p.firstFree(rand.IntN(n))
		return p.preferred(first, second)
	case RoundRobin:
		p.rotation++
		return p.firstFree(p.rotation % n)
	case Random:
		return p.firstFree(rand.IntN(n))
	default:
		return p.leastLoaded()
	}
}

func (p *Pool) leastLoaded() *worker {
	// Starting at a different worker each time spreads requests evenly among equals.
	p.rotation++
	n := len(p.order)
	var best *worker
	for i := range n {
		best = p.preferred(best, p.order[(p.rotation+i)%n])
	}
	return best
}

// firstFree returns the first worker with a free slot, starting at an index.
func (p *Pool) firstFree(from int) *worker {
	now := p.cfg.Now()
	for i := range p.order {
		w := p.order[(from+i)%len(p.order)]
		if w.inUse < w.usable(now) {
			return w
		}
	}
	return nil
}

// preferred returns the less loaded of two workers; either may be nil or without a free
// slot.
func (p *Pool) preferred(a, b *worker) *worker {
	now := p.cfg.Now()
	if b == nil || b.inUse >= b.usable(now) {
		return a
	}
	if a == nil || a.inUse >= a.usable(now) {
		return b
	}
	// Cross-multiplied to compare the fractions in use without division.
	left, right := a.inUse*b.usable(now), b.inUse*a.usable(now)
	if left != right {
		if left < right {
			return a
		}
		return b
	}
	if b.latency < a.latency {
		return b
	}
	return a
}
