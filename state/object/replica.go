// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package object

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// historyLength bounds the changes that are kept of each kind. A peer further
// behind is told everything.
const historyLength = 1024

// Replica holds objects by kind. It is safe for concurrent use; each kind is
// under a lock of its own.
type Replica struct {
	mu      sync.Mutex
	kinds   map[string]*kind
	changed chan struct{}
}

// kind is the replica of one kind.
type kind struct {
	mu        sync.Mutex
	known     bool
	at        uint64
	content   uint64 // the revision at which anything last changed
	confirmed time.Time
	objects   map[string]Object
	// history holds changes in the order in which they were heard; it is
	// complete from revision oldest on.
	history []change
	oldest  uint64
}

// change is an event in the history. Whoever is complete up to a revision below
// news may lack it: the one up to which it was told together with others, whose
// order it keeps.
type change struct {
	Event
	news uint64
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
	k.mu.Unlock()
	if changed {
		r.signal()
	}
	return changed
}

func (k *kind) merge(d Delta) bool {
	if d.Full {
		return k.reset(d)
	}
	if !k.known || d.Since > k.at {
		return false // Changes between are missing: only a full one helps.
	}
	if d.At <= k.at {
		return false
	}
	changed := false
	for _, e := range d.Events {
		if e.Gone {
			// The store tells the revision of the last change before the
			// end; a peer that is behind must see the end as news.
			e.Revision = max(e.Revision, d.At)
		}
		changed = k.take(e, d.At) || changed
	}
	k.at = d.At
	return changed
}

// reset takes in a list. What was made and removed again since the last one is
// in neither, so a peer that is behind the list can only be told everything.
func (k *kind) reset(d Delta) bool {
	if k.known && d.At < k.at {
		return false
	}
	changed := !k.known
	held := make(map[string]bool, len(d.Events))
	for _, e := range d.Events {
		held[e.Name] = true
		changed = k.take(e, d.At) || changed
	}
	for name, o := range k.objects {
		// An object that was made after the list is not missing from it.
		if !held[name] && o.Revision <= d.At {
			changed = k.take(Event{Object: Object{Name: name, Revision: d.At}, Gone: true}, d.At) || changed
		}
	}
	if changed {
		k.content = d.At
	}
	k.known, k.at = true, d.At
	k.history, k.oldest = nil, d.At
	return changed
}

// take takes in one change, told together with all others up to revision at,
// unless it is older than what is held.
func (k *kind) take(e Event, at uint64) bool {
	held, ok := k.objects[e.Name]
	switch {
	case ok && (e.Revision < held.Revision || !e.Gone && same(held, e.Object)):
		return false
	case e.Gone && !ok:
		return false
	case e.Gone:
		delete(k.objects, e.Name)
		e.Spec = nil
	default:
		k.objects[e.Name] = e.Object
	}
	k.content = max(k.content, at)
	k.history = append(k.history, change{Event: e, news: at})
	if len(k.history) > 2*historyLength {
		k.forget()
	}
	return true
}

// forget drops the older half of the history.
func (k *kind) forget() {
	for _, c := range k.history[:historyLength] {
		k.oldest = max(k.oldest, c.news)
	}
	k.history = slices.Clone(k.history[historyLength:])
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
	objects := make([]Object, 0, len(k.objects))
	for _, o := range k.objects {
		objects = append(objects, o)
	}
	slices.SortFunc(objects, func(a, b Object) int { return cmp.Compare(a.Name, b.Name) })
	return objects
}

// Since returns what a peer lacks that is complete up to a revision. It returns
// false if the peer lacks nothing or this replica knows nothing.
func (r *Replica) Since(name string, revision uint64, known bool) (Delta, bool) {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.known || known && revision >= k.at {
		return Delta{}, false
	}
	d := Delta{Kind: name, Since: revision, At: k.at}
	if !known || revision < k.oldest {
		d.Full, d.Since = true, 0
		for _, o := range k.objects {
			d.Events = append(d.Events, Event{Object: o})
		}
		return d, true
	}
	for _, c := range k.history {
		if c.news > revision {
			d.Events = append(d.Events, c.Event)
		}
	}
	return d, true
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
