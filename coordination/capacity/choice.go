// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package capacity

import "math/rand/v2"

// Choice says how a pool chooses among its workers with a free slot.
// It is one of LeastLoaded, TwoChoices, RoundRobin and Random.
type Choice interface{ choice() }

// LeastLoaded takes the worker with the smallest part of its slots in use and,
// among equals, the one with the shortest answers of late. Since one pool is
// the only sender to its workers, its counts are exact and nothing is gained by
// looking at a sample.
type LeastLoaded struct{}

// TwoChoices takes the better of two random workers (power of two choices).
type TwoChoices struct{}

// RoundRobin takes the workers in turn. It is the baseline of measurements.
type RoundRobin struct{}

// Random takes any worker. It is the baseline of measurements.
type Random struct{}

func (LeastLoaded) choice() {}
func (TwoChoices) choice()  {}
func (RoundRobin) choice()  {}
func (Random) choice()      {}

// choose returns a worker with a free slot, or nil.
func (p *Pool) choose() *worker {
	n := len(p.order)
	switch p.cfg.Choice.(type) {
	case TwoChoices:
		first, second := p.firstFree(rand.IntN(n)), p.firstFree(rand.IntN(n))
		return p.better(first, second)
	case RoundRobin:
		p.turn++
		return p.firstFree(p.turn % n)
	case Random:
		return p.firstFree(rand.IntN(n))
	default:
		return p.leastLoaded()
	}
}

func (p *Pool) leastLoaded() *worker {
	// Beginning at another worker each time spreads equals evenly.
	p.turn++
	n := len(p.order)
	var best *worker
	for i := range n {
		best = p.better(best, p.order[(p.turn+i)%n])
	}
	return best
}

// firstFree returns the first worker with a free slot from an index on.
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

// better returns the worker to prefer; either may be nil or without a slot.
func (p *Pool) better(a, b *worker) *worker {
	now := p.cfg.Now()
	if b == nil || b.inUse >= b.usable(now) {
		return a
	}
	if a == nil || a.inUse >= a.usable(now) {
		return b
	}
	// Cross-multiplied to compare the parts in use without fractions.
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
