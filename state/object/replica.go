// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package object

import (
	"sync"
	"time"
)

// Replica holds objects by kind. It is safe for concurrent use; each kind is
// under a lock of its own.
type Replica struct {
	mu      sync.Mutex
	kinds   map[string]*kind
	changed chan struct{}
}

// NewReplica returns a replica that knows nothing.
func NewReplica() *Replica {
	return &Replica{kinds: make(map[string]*kind), changed: make(chan struct{})}
}

func (r *Replica) kind(name string) *kind {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, ok := r.kinds[name]
	if !ok {
		k = &kind{objects: make(map[string]Object)}
		r.kinds[name] = k
	}
	return k
}

// Changed returns a channel that is closed at the next change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

func (r *Replica) signal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.changed)
	r.changed = make(chan struct{})
}

// Reset takes in all objects of a kind as they were at a revision. One that is
// older than what is held is ignored.
func (r *Replica) Reset(name string, objects []Object, at uint64) {
	events := make([]Event, 0, len(objects))
	for _, o := range objects {
		events = append(events, Event{Object: o})
	}
	r.Merge(Delta{Kind: name, Full: true, At: at, Events: events})
}

// Apply takes in the changes of a kind after revision since, up to and with
// revision at.
func (r *Replica) Apply(name string, since uint64, events []Event, at uint64) {
	r.Merge(Delta{Kind: name, Since: since, At: at, Events: events})
}

// Merge takes in a delta. It reports whether any object has changed.
func (r *Replica) Merge(d Delta) bool {
	k := r.kind(d.Kind)
	k.mu.Lock()
	changed := k.merge(d)
	if changed {
		k.noteChange()
	}
	k.mu.Unlock()
	if changed {
		r.signal()
	}
	return changed
}

// At returns the revision up to which a kind is complete, and whether it is
// known at all.
func (r *Replica) At(name string) (uint64, bool) {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.at, k.known
}

// Content returns the revision at which an object of a kind last changed, as
// far as this replica knows. A replica that is complete up to it lacks nothing
// that this one has.
func (r *Replica) Content(name string) uint64 {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.content
}

// Objects returns all objects of a kind, in order of their names.
func (r *Replica) Objects(name string) []Object {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	objects := make([]Object, 0, len(k.names))
	for _, name := range k.names {
		objects = append(objects, k.objects[name])
	}
	return objects
}

// Since returns what a peer lacks that is complete up to a revision, as little as
// will do. It returns false if the peer lacks nothing or this replica knows
// nothing.
func (r *Replica) Since(name string, revision uint64, known bool) (Delta, bool) {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.known || known && revision >= k.at {
		return Delta{}, false
	}
	d := Delta{Kind: name, Since: revision, At: k.at}
	switch {
	case !known:
		d.Full, d.Since = true, 0
		d.Events = k.changedAfter(0)
	case k.remembers(revision):
		d.Events = k.historyAfter(revision)
	default:
		d.Listed, d.Listing = true, k.listing()
		d.Events = k.changedAfter(revision)
	}
	return d, true
}

// Doubted reports whether a peer has shown that this replica of a kind is not
// what it takes itself to be. Only a list or a full delta ends that.
func (r *Replica) Doubted(name string) bool {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.doubted
}

// TakeChangedFrom returns the moment up to which the store is known to have said
// that a kind was as it was before the changes since the last call. The changes came
// after it. It is the zero time if there were none, or if nothing is known.
func (r *Replica) TakeChangedFrom(name string) time.Time {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	from := k.changedFrom
	k.changedFrom, k.fresh = time.Time{}, false
	return from
}

// Confirm notes that the store said at a moment that a kind was complete.
func (r *Replica) Confirm(name string, when time.Time) {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	if when.After(k.confirmed) {
		k.confirmed = when
	}
}

// Confirmed returns when the store last said that a kind was complete.
func (r *Replica) Confirmed(name string) time.Time {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.confirmed
}
