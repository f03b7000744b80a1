// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package worker holds what is known of the workers of upstreams: which there
// are, and how busy each is.
//
// A Set is what the store says of them at one moment; it is never changed once
// made. Loads is what this VM has seen of them itself, under way and in
// answers.
//
// # Usage
//
//	set := worker.NewSet(workers)
//	loads := worker.NewLoads(time.Now)
//	for _, w := range set.Service("lookup") { fmt.Println(w.ID, loads.Of(w.ID).Busy()) }
package worker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Worker is one start of one worker. A new start has a new id.
type Worker struct {
	ID      string
	Service string
	Address string
	Hall    string
	Region  string
	// Slots is how many requests it works on at a time.
	Slots int
	// Leaving is set if it must get no new requests.
	Leaving bool
	// ColdUntil is when it will be warm; the zero time is warm.
	ColdUntil time.Time
	// Revision is that of the store's entry.
	Revision uint64

	hash uint64
}

// Hash returns a hash of the id, by which keys are ranked. It is set by NewSet.
func (w *Worker) Hash() uint64 { return w.hash }

// Set holds workers by service. It is safe for concurrent use.
type Set struct {
	services map[string][]Worker
	byID     map[string]Worker
}

// NewSet returns a set.
func NewSet(workers []Worker) *Set {
	s := &Set{services: make(map[string][]Worker), byID: make(map[string]Worker, len(workers))}
	for _, w := range workers {
		w.hash = xxhash.Sum64String(w.ID)
		s.services[w.Service] = append(s.services[w.Service], w)
		s.byID[w.ID] = w
	}
	for _, list := range s.services {
		slices.SortFunc(list, func(a, b Worker) int { return cmp.Compare(a.ID, b.ID) })
	}
	return s
}

// Service returns the workers of a service in order of their ids. The slice
// must not be changed.
func (s *Set) Service(name string) []Worker { return s.services[name] }

// Get returns a worker by its id.
func (s *Set) Get(id string) (Worker, bool) {
	w, ok := s.byID[id]
	return w, ok
}

// All returns all workers, in no order.
func (s *Set) All() []Worker { return slices.Collect(maps.Values(s.byID)) }

// Len returns how many workers there are.
func (s *Set) Len() int { return len(s.byID) }
