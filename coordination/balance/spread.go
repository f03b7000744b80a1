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
	// overloadThreshold is the fraction of a worker's slots in use above which keys are
	// moved away from it. Below, requests hardly wait, and a move has only costs.
	overloadThreshold = 0.75
	// minGain is how much the utilization of the source before a move must exceed that of
	// the target after it.
	minGain = 0.05
	// maxMovedFraction bounds the fraction of a service's keys that one decision moves away
	// from overloaded workers.
	maxMovedFraction = 0.05
)

// workerLoad is the load of a worker by the keys that it holds.
type workerLoad struct {
	worker Worker
	keys   []keyLoad // the busiest first
	rate   float64   // requests a second
}

func (l *workerLoad) addKey(k keyLoad) {
	l.keys = append(l.keys, k)
	l.rate += k.rate
}

func (l *workerLoad) removeKey(at int) {
	l.rate -= l.keys[at].rate
	l.keys = slices.Delete(l.keys, at, at+1)
}

// assignment maps the workers of one service to the keys that they hold.
type assignment struct {
	loads map[string]*workerLoad
	// serviceTime is the mean duration of a request, in seconds.
	serviceTime float64
}

// utilization returns the fraction of a worker's slots in use if its rate grows by
// extraRate.
func (s *assignment) utilization(l *workerLoad, extraRate float64) float64 {
	return (l.rate + extraRate) * s.serviceTime / float64(max(l.worker.Slots, 1))
}

// relieveOverloaded moves keys away from overloaded workers, the busiest worker first, and
// returns how many it moved.
func (s *assignment) relieveOverloaded(change holders.Changes) int {
	keys := 0
	for _, l := range s.loads {
		keys += len(l.keys)
	}
	maxMoves := 1 + int(maxMovedFraction*float64(keys))
	moved := s.fillEmptyWorkers(change)
	for _, from := range s.byUtilization() {
		for moved < maxMoves && !from.worker.Full && s.utilization(from, 0) > overloadThreshold {
			k, to := s.moveKey(from)
			if to == nil {
				break
			}
			change[k.id] = to.worker.ID
			moved++
		}
	}
	return moved
}

// fillEmptyWorkers moves to each worker without keys the busiest key of the most utilized
// worker of its region. It returns how many keys it moved.
func (s *assignment) fillEmptyWorkers(change holders.Changes) int {
	moved := 0
	for _, to := range s.byUtilization() {
		if to.worker.Full || len(to.keys) > 0 {
			continue
		}
		from := s.mostUtilized(to.worker.Region)
		if from == nil {
			continue
		}
		k := from.keys[0]
		from.removeKey(0)
		to.addKey(k)
		change[k.id] = to.worker.ID
		moved++
	}
	return moved
}

// mostUtilized returns the most utilized worker of a region that holds two keys or more.
func (s *assignment) mostUtilized(region string) *workerLoad {
	var most *workerLoad
	for _, l := range s.loads {
		if l.worker.Region == region && len(l.keys) > 1 && (most == nil || s.moreUtilized(l, most)) {
			most = l
		}
	}
	return most
}

// moreUtilized orders workers by utilization, then by id.
func (s *assignment) moreUtilized(a, b *workerLoad) bool {
	useA, useB := s.utilization(a, 0), s.utilization(b, 0)
	return useA > useB || useA == useB && a.worker.ID < b.worker.ID
}

// retainHolders keeps keys at their previous holders when hashing reassigns them to a
// worker that has joined, which would be slow with them. Overloaded workers give them up.
func (s *assignment) retainHolders(lastHolders map[holders.Key]string, change holders.Changes) {
	for _, l := range s.byUtilization() {
		for at := len(l.keys) - 1; at >= 0; at-- {
			k := l.keys[at]
			previous, ok := s.loads[lastHolders[k.id]]
			if !ok || previous == l || previous.worker.Region != l.worker.Region || s.utilization(previous, k.rate) > overloadThreshold {
				continue
			}
			l.removeKey(at)
			previous.addKey(k)
			change[k.id] = previous.worker.ID
		}
	}
}

// byUtilization returns the loads, the most utilized worker first.
func (s *assignment) byUtilization() []*workerLoad {
	return slices.SortedFunc(maps.Values(s.loads), func(a, b *workerLoad) int {
		return cmp.Or(cmp.Compare(s.utilization(b, 0), s.utilization(a, 0)), cmp.Compare(a.worker.ID, b.worker.ID))
	})
}

// moveKey moves the busiest key that the least utilized worker of the region has capacity
// for. It returns a nil target if there is none.
func (s *assignment) moveKey(from *workerLoad) (keyLoad, *workerLoad) {
	to := s.leastUtilized(from)
	if to == nil {
		return keyLoad{}, nil
	}
	for at, k := range from.keys {
		after := s.utilization(to, k.rate)
		if after > overloadThreshold || after+minGain > s.utilization(from, 0) {
			continue
		}
		from.removeKey(at)
		to.addKey(k)
		return k, to
	}
	return keyLoad{}, nil
}

// leastUtilized returns the least utilized other worker of a worker's region that may get
// keys.
func (s *assignment) leastUtilized(from *workerLoad) *workerLoad {
	var least *workerLoad
	for _, l := range s.loads {
		if l.worker.Full || l == from || l.worker.Region != from.worker.Region {
			continue
		}
		if least == nil || s.moreUtilized(least, l) {
			least = l
		}
	}
	return least
}
