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
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ryehill/ryehill/state/rollout"
)

// Worker is one start of one worker. A new start has a new id.
type Worker struct {
	ID string
	// Start tells the lives of a worker apart that starts again under its id: the Unix
	// millisecond of its start, 0 if it does not say.
	Start   uint64
	Service string
	Address string
	Hall    string
	Region  string
	// Slots is how many requests it works on at a time.
	Slots int
	// Leaving is set if it must get no new requests, but until Ending says so.
	Leaving bool
	// Ending says when this VM heard that the worker leaves. The zero value is a
	// worker that gets nothing from the moment on in which it leaves.
	Ending Ending
	// ColdUntil is when it will be warm; the zero time is warm.
	ColdUntil time.Time
	// Confirmed is when the store last had its entry, if that is missing since. The zero
	// value is an entry that is there.
	Confirmed time.Time
	// Revision is that of the store's entry.
	Revision uint64
	// Version is that of its software, 0 if it is unknown.
	Version rollout.Version
	// New is set while its version is being brought in; see Track.
	New bool

	hash uint64
	life string
}

// Ending is the time that a worker has left of which it is known that it leaves, or
// that its hall is closed.
type Ending struct {
	// Heard is when this VM heard of it.
	Heard time.Time
	// Until is up to when it may get requests.
	Until time.Time
}

// Open reports whether the worker may get requests still.
func (e Ending) Open(now time.Time) bool { return now.Before(e.Until) }

// Hash returns a hash of the id, by which keys are ranked. It is set by NewSet and
// SetHash.
func (w *Worker) Hash() uint64 { return w.hash }

// SetHash sets what Hash returns.
func (w *Worker) SetHash() { w.hash, w.life = xxhash.Sum64String(w.ID), lifeOf(w.ID, w.Start) }

// Life names this life of the worker. What is believed of a worker's process is kept by
// it, and told to peers by it, so that nothing is believed of the next one.
func (w *Worker) Life() string {
	if w.life == "" {
		return lifeOf(w.ID, w.Start)
	}
	return w.life
}

// lifeOf joins an id and a start by a sign that no id has.
func lifeOf(id string, start uint64) string {
	if start == 0 {
		return id
	}
	return id + "@" + strconv.FormatUint(start, 36)
}

// Set holds workers by service. It is safe for concurrent use; the workers must not
// be changed.
type Set struct {
	services map[string][]*Worker
	// cohorts holds those of versions that are being brought in.
	cohorts map[string]cohort
	byID    map[string]*Worker
	// leaving are those that leave by the store's word.
	leaving []*Worker
	// byLife holds those that say when they started.
	byLife map[string]*Worker
}

// NewSet returns a set of copies.
func NewSet(workers []Worker) *Set {
	list := make([]*Worker, 0, len(workers))
	for _, w := range workers {
		w.SetHash()
		list = append(list, &w)
	}
	return SetOf(list)
}

// SetOf returns a set of workers whose hashes are set, and which must not be changed
// from then on.
func SetOf(workers []*Worker) *Set {
	s := &Set{services: make(map[string][]*Worker), byID: make(map[string]*Worker, len(workers)), byLife: make(map[string]*Worker)}
	brought := make(map[string][]*Worker)
	for _, w := range workers {
		if w.New {
			brought[w.Service] = append(brought[w.Service], w)
		} else {
			s.services[w.Service] = append(s.services[w.Service], w)
		}
		s.byID[w.ID] = w
		if w.Leaving {
			s.leaving = append(s.leaving, w)
		}
		if w.Start > 0 {
			s.byLife[w.Life()] = w
		}
	}
	byID := func(a, b *Worker) int { return cmp.Compare(a.ID, b.ID) }
	for _, list := range s.services {
		if !slices.IsSortedFunc(list, byID) {
			slices.SortFunc(list, byID)
		}
	}
	s.cohorts = cohortsOf(brought)
	return s
}

// Service returns the workers of a service in order of their ids, but for those of a
// version that is being brought in. The slice and the workers must not be changed.
func (s *Set) Service(name string) []*Worker { return s.services[name] }

// Get returns a worker by its id.
func (s *Set) Get(id string) (*Worker, bool) {
	w, ok := s.byID[id]
	return w, ok
}

// Life returns the worker that is there in a life of that name.
func (s *Set) Life(life string) (*Worker, bool) {
	if w, ok := s.byLife[life]; ok {
		return w, true
	}
	w, ok := s.byID[life]
	return w, ok && w.Start == 0
}

// Living reports whether a worker is there in a life of that name.
func (s *Set) Living(life string) bool {
	_, ok := s.Life(life)
	return ok
}

// Leaving returns the workers that leave by the store's word, in no order. The slice and
// the workers must not be changed.
func (s *Set) Leaving() []*Worker { return s.leaving }

// All returns all workers, in no order.
func (s *Set) All() []*Worker { return slices.Collect(maps.Values(s.byID)) }

// Len returns how many workers there are.
func (s *Set) Len() int { return len(s.byID) }
