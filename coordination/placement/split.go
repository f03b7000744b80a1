// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"sync"

	"github.com/ryehill/ryehill/state/route"
)

const (
	// splitWindow is the number of requests over which the shares of a split are averaged.
	splitWindow = 64
	// splitSlack is the number of requests by which a target may exceed its share before
	// keys are sent to other targets.
	splitSlack = 2.0
	// maxSplits bounds the number of routes with state, which is cleared beyond.
	maxSplits = 8192
)

// Split distributes the requests of a route among its targets by weight. A key is assigned
// to one target, where it stays warm. It goes to another one only while its target has
// exceeded its share. It is safe for concurrent use.
type Split struct {
	mu      sync.Mutex
	surplus map[string][]float64 // by route and target: requests beyond the share
	weights map[string][]float64
}

// NewSplit returns a split without state.
func NewSplit() *Split {
	return &Split{surplus: make(map[string][]float64), weights: make(map[string][]float64)}
}

// Choose returns the service for a request, given the hash of its key.
func (s *Split) Choose(r *route.Route, key uint64) string {
	switch len(r.Targets) {
	case 0:
		return ""
	case 1:
		return r.Targets[0].Service
	}
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	surplus := s.surplusOf(r)
	chosen := ownTarget(r.Targets, total, key)
	if surplus[chosen] > splitSlack {
		chosen = leastServed(r.Targets, surplus)
	}
	for i, t := range r.Targets {
		surplus[i] = (surplus[i] - t.Weight/total) * (1 - 1.0/splitWindow)
	}
	surplus[chosen]++
	return r.Targets[chosen].Service
}

// surplusOf returns the surplus by target of a route. It is reset when the weights change.
func (s *Split) surplusOf(r *route.Route) []float64 {
	weights := make([]float64, len(r.Targets))
	for i, t := range r.Targets {
		weights[i] = t.Weight
	}
	old, ok := s.weights[r.Name]
	if ok && equal(old, weights) {
		return s.surplus[r.Name]
	}
	if len(s.surplus) >= maxSplits {
		clear(s.surplus)
		clear(s.weights)
	}
	s.weights[r.Name] = weights
	s.surplus[r.Name] = make([]float64, len(weights))
	return s.surplus[r.Name]
}

func equal(a, b []float64) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// ownTarget returns the index of the target that a key is assigned to.
func ownTarget(targets []route.Target, total float64, key uint64) int {
	position := unitInterval(mix(key)) * total
	for i, t := range targets {
		position -= t.Weight
		if position < 0 {
			return i
		}
	}
	return len(targets) - 1
}

func leastServed(targets []route.Target, surplus []float64) int {
	best := -1
	for i, t := range targets {
		if t.Weight > 0 && (best < 0 || surplus[i] < surplus[best]) {
			best = i
		}
	}
	return best
}
