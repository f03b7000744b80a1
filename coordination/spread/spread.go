// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package spread keeps the configuration of one process and passes it on.
//
// The platform numbers every write with a revision that rises across all
// objects. A Store holds the newest version it has seen of each object, from
// whatever side, and the revision up to which it is complete. Both only rise:
// what arrives late, twice, out of order or from a peer that is behind changes
// nothing. Passing on is the same for platform and peers: "all that changed
// since revision R".
//
// # Usage
//
//	store := spread.New()
//	store.Apply(changes)
//	reply := store.Since(peerRevision)
package spread

import (
	"cmp"
	"slices"
	"sync"

	"github.com/ryehill/ryehill/state/spec"
)

// maxReplyBytes bounds one reply; the rest follows at the next question.
const maxReplyBytes = 512 << 10

// Changes are all objects that changed after revision Since, up to and with
// revision UpTo.
type Changes struct {
	Since   uint64        `json:"since"`
	UpTo    uint64        `json:"up_to"`
	Objects []spec.Object `json:"objects"`
}

// Store holds the newest configuration seen. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	objects  map[spec.Key]spec.Object
	complete uint64
	vms      spec.VMList
	changed  chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{objects: make(map[spec.Key]spec.Object), changed: make(chan struct{})}
}

// Apply takes in changes. It reports whether the store learnt anything.
func (s *Store) Apply(c Changes) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	learnt := false
	for _, o := range c.Objects {
		if known, ok := s.objects[o.Key]; ok && known.Version >= o.Version {
			continue
		}
		s.objects[o.Key] = o
		learnt = true
	}
	// With a gap between what is held and what came, the objects are good but
	// others may be missing, so the store is not complete further than it was.
	if c.Since <= s.complete && c.UpTo > s.complete {
		s.complete = c.UpTo
		learnt = true
	}
	if learnt {
		s.signal()
	}
	return learnt
}

// ApplyVMs takes in a VM list. It reports whether it was newer.
func (s *Store) ApplyVMs(l spec.VMList) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Version <= s.vms.Version {
		return false
	}
	s.vms = l
	s.signal()
	return true
}

func (s *Store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Revisions returns the revision up to which the store is complete and the
// version of its VM list.
func (s *Store) Revisions() (objects, vms uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete, s.vms.Version
}

// VMs returns the newest VM list.
func (s *Store) VMs() spec.VMList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vms
}

// Snapshot returns all objects and the revision up to which they are complete.
func (s *Store) Snapshot() (uint64, []spec.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects := make([]spec.Object, 0, len(s.objects))
	for _, o := range s.objects {
		objects = append(objects, o)
	}
	return s.complete, objects
}

// Get returns the newest version seen of an object.
func (s *Store) Get(key spec.Key) (spec.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	return o, ok
}

// Since returns what changed after a revision, in order of versions. A reply
// that would be too large ends early, and UpTo says where.
func (s *Store) Since(revision uint64) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Changes{Since: revision, UpTo: s.complete}
	for _, o := range s.objects {
		// Objects newer than what is complete go along: an older version of
		// theirs, which the receiver may lack, is not held any more.
		if o.Version > revision {
			c.Objects = append(c.Objects, o)
		}
	}
	slices.SortFunc(c.Objects, func(a, b spec.Object) int { return cmp.Compare(a.Version, b.Version) })
	size := 0
	for i, o := range c.Objects {
		size += len(o.Spec)
		if size > maxReplyBytes && i > 0 {
			c.Objects = c.Objects[:i]
			c.UpTo = min(s.complete, c.Objects[i-1].Version)
			break
		}
	}
	return c
}
