// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"sync"

	"github.com/ryehill/ryehill/state/route"
)

const (
	// splitMemory is over how many requests the shares of a split are held.
	splitMemory = 64
	// splitSlack is by how many requests a target may be ahead of its share
	// before keys are sent elsewhere than they belong.
	splitSlack = 2.0
	// maxSplits bounds the splits that are remembered.
	maxSplits = 8192
)

// Split divides the requests of a route among its targets by weight. A key
// belongs to one target, so that it stays warm there; it goes to another only
// while its own one has had more than its share. It is safe for concurrent use.
type Split struct {
	mu     sync.Mutex
	ahead  map[string][]float64 // by route: requests beyond the share, by target
	weight map[string][]float64
}

// NewSplit returns a split that remembers nothing.
func NewSplit() *Split {
	return &Split{ahead: make(map[string][]float64), weight: make(map[string][]float64)}
}

// Choose returns the service for a request with the hash of its key.
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
	ahead := s.of(r)
	own := ownTarget(r.Targets, total, key)
	if ahead[own] > splitSlack {
		own = furthestBehind(r.Targets, ahead)
	}
	for i, t := range r.Targets {
		ahead[i] = (ahead[i] - t.Weight/total) * (1 - 1.0/splitMemory)
	}
	ahead[own]++
	return r.Targets[own].Service
}

// of returns the balance of a route, a new one if its weights have changed.
func (s *Split) of(r *route.Route) []float64 {
	weights := make([]float64, len(r.Targets))
	for i, t := range r.Targets {
		weights[i] = t.Weight
	}
	old, ok := s.weight[r.Name]
	if ok && equal(old, weights) {
		return s.ahead[r.Name]
	}
	if len(s.ahead) >= maxSplits {
		clear(s.ahead)
		clear(s.weight)
	}
	s.weight[r.Name] = weights
	s.ahead[r.Name] = make([]float64, len(weights))
	return s.ahead[r.Name]
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

// ownTarget is the target that a key belongs to.
func ownTarget(targets []route.Target, total float64, key uint64) int {
	at := point(mix(key)) * total
	for i, t := range targets {
		at -= t.Weight
		if at < 0 {
			return i
		}
	}
	return len(targets) - 1
}

func furthestBehind(targets []route.Target, ahead []float64) int {
	best := -1
	for i, t := range targets {
		if t.Weight > 0 && (best < 0 || ahead[i] < ahead[best]) {
			best = i
		}
	}
	return best
}
