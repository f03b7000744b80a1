// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"cmp"
	"maps"
	"slices"

	"github.com/ryehill/ryehill/state/holders"
)

const (
	// pressed is the part of a worker's slots in use above which keys are moved
	// away from it: below, hardly anybody waits, and a move only costs.
	pressed = 0.75
	// leastGain is by how much more of its slots a worker must have in use than
	// the one that gets the key, after the move.
	leastGain = 0.05
	// movesPart bounds the keys of a service that are moved at a decision.
	movesPart = 0.05
)

// load is what a worker carries by the keys it holds.
type load struct {
	worker Worker
	keys   []keyed // the busiest first
	rate   float64 // requests a second
}

func (l *load) add(k keyed) {
	l.keys = append(l.keys, k)
	l.rate += k.rate
}

func (l *load) drop(at int) {
	l.rate -= l.keys[at].rate
	l.keys = slices.Delete(l.keys, at, at+1)
}

// spread is which worker holds which keys of one service.
type spread struct {
	loads map[string]*load
	// perAnswer is how long a request takes, in seconds.
	perAnswer float64
}

// use returns the part of a worker's slots that is in use if it carries so much
// more.
func (s *spread) use(l *load, more float64) float64 {
	return (l.rate + more) * s.perAnswer / float64(max(l.worker.Slots, 1))
}

// even moves keys from pressed workers, the busiest first, and returns how many.
func (s *spread) even(change holders.Change) int {
	keys := 0
	for _, l := range s.loads {
		keys += len(l.keys)
	}
	left := 1 + int(movesPart*float64(keys))
	moved := s.fill(change)
	for _, from := range s.byUse() {
		for moved < left && !from.worker.Full && s.use(from, 0) > pressed {
			k, to := s.move(from)
			if to == nil {
				break
			}
			change[k.id] = to.worker.ID
			moved++
		}
	}
	return moved
}

// fill gives each worker that holds no key one of the busiest worker of its
// region.
func (s *spread) fill(change holders.Change) int {
	moved := 0
	for _, to := range s.byUse() {
		if to.worker.Full || len(to.keys) > 0 {
			continue
		}
		from := s.busiest(to.worker.Region)
		if from == nil {
			continue
		}
		k := from.keys[0]
		from.drop(0)
		to.add(k)
		change[k.id] = to.worker.ID
		moved++
	}
	return moved
}

// busiest returns the worker of a region that has most in use, of those that
// hold two keys or more.
func (s *spread) busiest(region string) *load {
	var most *load
	for _, l := range s.loads {
		if l.worker.Region == region && len(l.keys) > 1 && (most == nil || s.busier(l, most)) {
			most = l
		}
	}
	return most
}

// busier orders workers by what they have in use, then by their ids.
func (s *spread) busier(a, b *load) bool {
	useA, useB := s.use(a, 0), s.use(b, 0)
	return useA > useB || useA == useB && a.worker.ID < b.worker.ID
}

// keep leaves keys where they were held, though a worker that has joined would
// get them by hashing: it would be slow with them. A pressed worker lets them go.
func (s *spread) keep(held map[holders.Key]string, change holders.Change) {
	for _, l := range s.byUse() {
		for at := len(l.keys) - 1; at >= 0; at-- {
			k := l.keys[at]
			before, ok := s.loads[held[k.id]]
			if !ok || before == l || before.worker.Region != l.worker.Region || s.use(before, k.rate) > pressed {
				continue
			}
			l.drop(at)
			before.add(k)
			change[k.id] = before.worker.ID
		}
	}
}

// byUse returns the loads, the busiest worker first.
func (s *spread) byUse() []*load {
	return slices.SortedFunc(maps.Values(s.loads), func(a, b *load) int {
		return cmp.Or(cmp.Compare(s.use(b, 0), s.use(a, 0)), cmp.Compare(a.worker.ID, b.worker.ID))
	})
}

// move moves the busiest key of a worker for which the idlest one of its region
// has room. It returns nil if there is none.
func (s *spread) move(from *load) (keyed, *load) {
	to := s.idlest(from)
	if to == nil {
		return keyed{}, nil
	}
	for at, k := range from.keys {
		after := s.use(to, k.rate)
		if after > pressed || after+leastGain > s.use(from, 0) {
			continue
		}
		from.drop(at)
		to.add(k)
		return k, to
	}
	return keyed{}, nil
}

// idlest returns the worker with the least in use, of a worker's region, that
// may get keys.
func (s *spread) idlest(from *load) *load {
	var least *load
	for _, l := range s.loads {
		if l.worker.Full || l == from || l.worker.Region != from.worker.Region {
			continue
		}
		if least == nil || s.busier(least, l) {
			least = l
		}
	}
	return least
}
