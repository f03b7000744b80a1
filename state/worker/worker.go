// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package worker tracks the workers of upstreams: which exist, how loaded each one is, and
// which of them may get requests now.
//
// A Set is an immutable snapshot of the workers in the store. Loads holds what this VM
// observed of each worker: requests in flight, load reports, failures and signals, its own
// and those that other VMs relayed.
//
// # Usage
//
//	set := worker.NewSet(workers)
//	loads := worker.NewLoads(time.Now)
//	for _, w := range set.Service("lookup") {
//		fmt.Println(w.ID, loads.GetOrCreate(w.Incarnation()).Busy())
//	}
package worker

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/rollout"
)

// Worker is one process of an upstream, as described by its entry in the store.
type Worker struct {
	ID string
	// Start is the start time of the process in Unix milliseconds, 0 if unknown. It
	// distinguishes processes that run one after another under the same ID.
	Start   uint64
	Service string
	Address string
	Hall    string
	Region  string
	// Slots is the number of requests it processes concurrently.
	Slots int
	// Leaving is set if the worker is shutting down. It gets no new requests once
	// DrainWindow has closed.
	Leaving bool
	// DrainWindow is the time left for new requests while Leaving is set. The zero value
	// leaves none.
	DrainWindow DrainWindow
	// ColdUntil is when the worker has warmed up; the zero time means it is warm.
	ColdUntil time.Time
	// Confirmed is when the store last contained the entry, if it has been missing since.
	// It is zero while the entry exists.
	Confirmed time.Time
	// Entry is the version of the store entry.
	Entry object.Version
	// Version is the software version, 0 if unknown.
	Version rollout.Version
	// New is set while its version is being rolled out; see Track.
	New bool

	hash        uint64
	incarnation string
}

// DrainWindow is the time during which a worker that is shutting down, or whose hall is being
// closed, may still get requests.
type DrainWindow struct {
	// ObservedAt is when this VM learned of the shutdown or closing.
	ObservedAt time.Time
	// Until is the end of the window.
	Until time.Time
}

// Open reports whether the worker may still get requests.
func (e DrainWindow) Open(now time.Time) bool { return now.Before(e.Until) }

// Hash returns a hash of the ID, which ranks workers for a key. NewSet and SetHash compute
// it.
func (w *Worker) Hash() uint64 { return w.hash }

// SetHash computes the values that Hash and Incarnation return.
func (w *Worker) SetHash() {
	w.hash, w.incarnation = xxhash.Sum64String(w.ID), incarnationID(w.ID, w.Start)
}

// Incarnation returns an ID of the worker's current process. Observations of a process are
// stored and sent to peers under this ID, so that they don't apply to its successor.
func (w *Worker) Incarnation() string {
	if w.incarnation == "" {
		return incarnationID(w.ID, w.Start)
	}
	return w.incarnation
}

// incarnationID joins the ID and the start time with a character that doesn't occur in IDs.
func incarnationID(id string, start uint64) string {
	if start == 0 {
		return id
	}
	return id + "@" + strconv.FormatUint(start, 36)
}

// Set is an immutable set of workers, indexed by service. It is safe for concurrent use.
type Set struct {
	services map[string][]*Worker
	// cohorts holds the workers of versions that are being rolled out, by service.
	cohorts map[string]cohort
	byID    map[string]*Worker
	// leaving holds the workers that are shutting down according to the store.
	leaving []*Worker
	// byIncarnation holds the workers with a known start time.
	byIncarnation map[string]*Worker
}

// NewSet returns a set of copies of the workers.
func NewSet(workers []Worker) *Set {
	list := make([]*Worker, 0, len(workers))
	for _, w := range workers {
		w.SetHash()
		list = append(list, &w)
	}
	return SetOf(list)
}

// SetOf returns a set of the given workers without copying them. Their hashes must be set,
// and they must not be modified afterwards.
func SetOf(workers []*Worker) *Set {
	s := &Set{services: make(map[string][]*Worker), byID: make(map[string]*Worker, len(workers)), byIncarnation: make(map[string]*Worker)}
	newVersion := make(map[string][]*Worker)
	for _, w := range workers {
		if w.New {
			newVersion[w.Service] = append(newVersion[w.Service], w)
		} else {
			s.services[w.Service] = append(s.services[w.Service], w)
		}
		s.byID[w.ID] = w
		if w.Leaving {
			s.leaving = append(s.leaving, w)
		}
		if w.Start > 0 {
			s.byIncarnation[w.Incarnation()] = w
		}
	}
	compareIDs := func(a, b *Worker) int { return cmp.Compare(a.ID, b.ID) }
	for _, list := range s.services {
		if !slices.IsSortedFunc(list, compareIDs) {
			slices.SortFunc(list, compareIDs)
		}
	}
	s.cohorts = cohortsOf(newVersion)
	return s
}

// Service returns the workers of a service sorted by ID, without those of a version that is
// being rolled out. The slice and the workers must not be modified.
func (s *Set) Service(name string) []*Worker { return s.services[name] }

// Get returns the worker with an ID.
func (s *Set) Get(id string) (*Worker, bool) {
	w, ok := s.byID[id]
	return w, ok
}

// ByIncarnation returns the worker whose current process has the given incarnation ID.
func (s *Set) ByIncarnation(id string) (*Worker, bool) {
	if w, ok := s.byIncarnation[id]; ok {
		return w, true
	}
	w, ok := s.byID[id]
	return w, ok && w.Start == 0
}

// HasIncarnation reports whether a worker with the given incarnation ID exists.
func (s *Set) HasIncarnation(id string) bool {
	_, ok := s.ByIncarnation(id)
	return ok
}

// Leaving returns the workers that are shutting down according to the store, in no
// particular order. The slice and the workers must not be modified.
func (s *Set) Leaving() []*Worker { return s.leaving }

// All returns all workers, in no particular order.
func (s *Set) All() []*Worker { return slices.Collect(maps.Values(s.byID)) }

// Len returns the number of workers.
func (s *Set) Len() int { return len(s.byID) }
