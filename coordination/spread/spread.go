// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package spread stores the configuration of one process and the changes to replicate.
//
// The platform assigns each write a revision that increases across all objects. A Store
// holds the latest version of each object, from any source, and the revision up to which
// it is complete. Both only increase: updates that are late, duplicated, out of order or
// from an outdated peer have no effect. The platform and peers replicate in the same way,
// by returning all changes since a revision.
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

// maxReplyBytes bounds the size of one reply. The rest follows with the next request.
const maxReplyBytes = 512 << 10

// Changes contains all objects that changed after revision Since, up to and including
// revision UpTo.
type Changes struct {
	Since   uint64        `json:"since"`
	UpTo    uint64        `json:"up_to"`
	Objects []spec.Object `json:"objects"`
}

// Store holds the latest known configuration. It is safe for concurrent use.
type Store struct {
	mu           sync.Mutex
	objects      map[spec.Key]spec.Object
	completeUpTo uint64
	vms          spec.VMList
	changed      chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{objects: make(map[spec.Key]spec.Object), changed: make(chan struct{})}
}

// Apply merges changes. It reports whether the store changed.
func (s *Store) Apply(c Changes) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	updated := false
	for _, o := range c.Objects {
		if known, ok := s.objects[o.Key]; ok && known.Version >= o.Version {
			continue
		}
		s.objects[o.Key] = o
		updated = true
	}
	// If there is a gap between the stored and the received revisions, the objects are
	// valid but others may be missing, so the complete revision stays.
	if c.Since <= s.completeUpTo && c.UpTo > s.completeUpTo {
		s.completeUpTo = c.UpTo
		updated = true
	}
	if updated {
		s.notifyChanged()
	}
	return updated
}

// ApplyVMs replaces the VM list by a newer one. It reports whether the list was newer.
func (s *Store) ApplyVMs(l spec.VMList) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Version <= s.vms.Version {
		return false
	}
	s.vms = l
	s.notifyChanged()
	return true
}

func (s *Store) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Revisions returns the revision up to which the store is complete and the version of its
// VM list.
func (s *Store) Revisions() (objects, vms uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.completeUpTo, s.vms.Version
}

// VMs returns the latest VM list.
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
	return s.completeUpTo, objects
}

// Get returns the latest known version of an object.
func (s *Store) Get(key spec.Key) (spec.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	return o, ok
}

// Since returns the changes after a revision, sorted by version. A reply that would be too
// large is cut off, and UpTo is set accordingly.
func (s *Store) Since(revision uint64) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Changes{Since: revision, UpTo: s.completeUpTo}
	for _, o := range s.objects {
		// Objects beyond the complete revision are included: the receiver may lack an
		// older version of them that is no longer stored.
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
			c.UpTo = min(s.completeUpTo, c.Objects[i-1].Version)
			break
		}
	}
	return c
}
