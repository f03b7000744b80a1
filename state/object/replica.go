// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package object

import (
	"sync"
	"time"
)

// Replica holds objects by kind. It is safe for concurrent use; each kind has its
// own lock.
type Replica struct {
	mu      sync.Mutex
	kinds   map[string]*kindReplica
	changed chan struct{}
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{kinds: make(map[string]*kindReplica), changed: make(chan struct{})}
}

func (r *Replica) kind(name string) *kindReplica {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, ok := r.kinds[name]
	if !ok {
		k = &kindReplica{objects: make(map[string]Object)}
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

// Reset replaces all objects of a kind with their state at a version. A state
// older than the replica's is ignored.
func (r *Replica) Reset(name string, objects []Object, at Version) {
	events := make([]Event, 0, len(objects))
	for _, o := range objects {
		events = append(events, Event{Object: o})
	}
	r.Merge(Delta{Kind: name, Full: true, UpTo: at, Events: events})
}

// Apply applies the changes of a kind after version since, up to and including
// version at.
func (r *Replica) Apply(name string, since Version, events []Event, at Version) {
	r.Merge(Delta{Kind: name, Since: since, UpTo: at, Events: events})
}

// Merge applies a delta and reports whether any object changed.
func (r *Replica) Merge(d Delta) bool {
	k := r.kind(d.Kind)
	k.mu.Lock()
	changed := k.merge(d)
	if changed {
		k.markChanged()
	}
	k.mu.Unlock()
	if changed {
		r.signal()
	}
	return changed
}

// CompleteUpTo returns the version up to which a kind is complete, and whether the replica
// has received the kind.
func (r *Replica) CompleteUpTo(name string) (Version, bool) {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.version, k.initialized
}

// LastChanged returns the version of the last change to an object of a kind that this
// replica knows of. A replica that is complete up to it has everything that this
// one has.
func (r *Replica) LastChanged(name string) Version {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lastChanged
}

// Objects returns all objects of a kind, ordered by name.
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

// Since returns the smallest delta for a peer that is complete up to a version, or
// that has no state if known is false. It returns false if the peer lacks nothing
// or this replica has no state.
func (r *Replica) Since(name string, at Version, known bool) (Delta, bool) {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.initialized || known && at.Revision >= k.version.Revision {
		return Delta{}, false
	}
	d := Delta{Kind: name, Since: at, UpTo: k.version}
	switch {
	case !known:
		d.Full, d.Since = true, Version{}
		d.Events = k.eventsAfter(0)
	case k.historyCovers(at.Revision):
		d.Events = k.historyAfter(at.Revision)
	default:
		d.Listed, d.Listing = true, k.listing()
		d.Events = k.eventsAfter(at.Revision)
	}
	return d, true
}

// Inconsistent reports whether a peer's listing has shown that this replica lacks
// objects of a kind. Only a list or a full delta clears this.
func (r *Replica) Inconsistent(name string) bool {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.inconsistent
}

// TakeEarliestChange returns a lower bound on the time of the changes since the last
// call: the store had confirmed the kind at that time before the earliest of them
// arrived. It returns the zero time if there were no changes or no confirmation.
func (r *Replica) TakeEarliestChange(name string) time.Time {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	from := k.earliestChange
	k.earliestChange, k.changePending = time.Time{}, false
	return from
}

// MarkConfirmed records that the store reported a kind as complete at a time.
func (r *Replica) MarkConfirmed(name string, at time.Time) {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	if at.After(k.confirmedAt) {
		k.confirmedAt = at
	}
}

// ConfirmedAt returns when the store last reported a kind as complete.
func (r *Replica) ConfirmedAt(name string) time.Time {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.confirmedAt
}

// Mark identifies the state of one kind at one moment. The zero value is a state that the
// store never confirmed.
type Mark struct {
	lastChanged Version
	confirmedAt time.Time
}

// Mark returns the mark of the current state of a kind. Taken before Objects, it identifies
// a state that is not newer than the objects.
func (r *Replica) Mark(name string) Mark {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	return Mark{lastChanged: k.lastChanged, confirmedAt: k.confirmedAt}
}

// ConfirmedAtMark returns when the store last reported a marked state of a kind as
// complete. If the kind has changed since, later confirmations do not apply to that state.
func (r *Replica) ConfirmedAtMark(name string, m Mark) time.Time {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lastChanged != m.lastChanged {
		return m.confirmedAt
	}
	return k.confirmedAt
}
