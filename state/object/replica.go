// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package object

import (
	"sync"
	"time"
)

// ReplicaConfig configures a Replica. Now is required if Policy is set; the other fields
// are optional.
type ReplicaConfig struct {
	// Policy returns the policy of a kind. Default: nothing is carried over.
	Policy func(kind string) Policy
	// Now returns the current time.
	Now func() time.Time
	// OnEra is called after a kind has passed to another era. It may be nil.
	OnEra func(EraChange)
}

// EraChange describes how a kind passed from one era to another.
type EraChange struct {
	Kind     string
	From, To Version
	// Changed is the number of objects that differ in the new era.
	Changed int
	// Missing, Older and Deleted are the numbers of carried states: of objects that the
	// new era lacks, holds in an older state, or holds although they were deleted.
	Missing, Older, Deleted int
}

// Replica holds objects by kind. It is safe for concurrent use; each kind has its
// own lock.
type Replica struct {
	cfg ReplicaConfig

	mu      sync.Mutex
	kinds   map[string]*kindReplica
	changed chan struct{}
}

// NewReplica returns an empty replica.
func NewReplica(cfg ReplicaConfig) *Replica {
	if cfg.Policy == nil {
		cfg.Policy = func(string) Policy { return Policy{} }
	}
	if cfg.Now == nil {
		cfg.Now = func() time.Time { return time.Time{} }
	}
	return &Replica{cfg: cfg, kinds: make(map[string]*kindReplica), changed: make(chan struct{})}
}

func (r *Replica) kind(name string) *kindReplica {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, ok := r.kinds[name]
	if !ok {
		k = &kindReplica{policy: r.cfg.Policy(name), objects: make(map[string]Object)}
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
// older than the replica's is ignored. A state of a newer era replaces that of an older
// one also if its revision is lower.
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
	from, known := k.version, k.initialized
	changed := k.merge(d, r.cfg.Now())
	if changed {
		k.markChanged()
	}
	change := k.eraChange(d.Kind, from)
	k.mu.Unlock()
	if changed {
		r.signal()
	}
	if known && change.From.Era != change.To.Era && r.cfg.OnEra != nil {
		r.cfg.OnEra(change)
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

// Objects returns the objects of a kind that are in use, ordered by name: those of the
// store, except where a state of an earlier era takes precedence.
func (r *Replica) Objects(name string) []Object {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.carried) > 0 {
		return sortedByName(k.inUse())
	}
	return k.stored()
}

// Stored returns the objects of a kind as the store holds them, ordered by name.
func (r *Replica) Stored(name string) []Object {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stored()
}

// Carried returns the states of earlier eras that are in use, ordered by name.
func (r *Replica) Carried(name string) []Carried {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.sortedCarried(r.cfg.Now())
}

// TakeCarried adds states of earlier eras that a peer uses, unless this replica has newer
// ones, and reports whether it added any.
func (r *Replica) TakeCarried(name string, states []Carried) bool {
	k := r.kind(name)
	k.mu.Lock()
	taken := false
	for _, c := range states {
		taken = k.takeCarried(c, r.cfg.Now()) || taken
	}
	if taken {
		k.markChanged()
	}
	k.mu.Unlock()
	if taken {
		r.signal()
	}
	return taken
}

// EndCarried ends the carried state of an object that is in use, if there is one, and carries
// none for disownedFor: the object was removed from the store, which this replica may not have
// heard of yet.
func (r *Replica) EndCarried(kind, name string) {
	k := r.kind(kind)
	k.mu.Lock()
	k.disown(name, r.cfg.Now())
	c, ok := k.carried[name]
	ended := ok && !c.deleted
	if ended {
		delete(k.carried, name)
		k.markChanged()
	}
	k.mu.Unlock()
	if ended {
		r.signal()
	}
}

// Expire ends the carried states of a kind whose time is over. It returns these and the
// end of the next one, zero if there is none.
func (r *Replica) Expire(name string) (ended []Carried, next time.Time) {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	if ended = k.expire(r.cfg.Now()); len(ended) > 0 {
		k.markChanged()
	}
	for _, c := range k.carried {
		if !c.until.IsZero() && (next.IsZero() || c.until.Before(next)) {
			next = c.until
		}
	}
	return ended, next
}

// Generation returns the number of changes of the objects of a kind in use. Unlike a
// version, it has a meaning for this replica only.
func (r *Replica) Generation(name string) uint64 {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.generation
}

// PassedEra reports whether a kind has passed from one era to another in this replica.
func (r *Replica) PassedEra(name string) bool {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.passedEra
}

// Since returns the smallest delta for a peer that is complete up to a version, or
// that has no state if known is false. It returns false if the peer lacks nothing
// or this replica has no state.
func (r *Replica) Since(name string, at Version, known bool) (Delta, bool) {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.initialized || known && !at.Before(k.version) {
		return Delta{}, false
	}
	d := Delta{Kind: name, Since: at, UpTo: k.version}
	switch {
	case !known, at.Era != k.version.Era && !k.namesChangesSince(at.Era):
		d.Full, d.Since = true, Version{}
		d.Events = k.eventsAfter(0)
	case at.Era != k.version.Era:
		d.Listed, d.Listing = true, k.listing()
		d.Events = k.changedObjects(k.history)
	case k.historyCovers(at.Revision):
		d.Events, d.Gapped = k.historyAfter(at.Revision), k.hasGapAfter(at.Revision)
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

// MarkConfirmed records that the store reported a kind as complete up to a version at a
// time. It returns false, and records nothing, if the replica does not hold that state.
func (r *Replica) MarkConfirmed(name string, version Version, at time.Time) bool {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.initialized || version.Era != k.version.Era || k.version.Before(version) {
		return false
	}
	if at.After(k.confirmedAt) {
		k.confirmedAt = at
	}
	return true
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
	generation  uint64
	confirmedAt time.Time
}

// Mark returns the mark of the current state of a kind. Taken before Objects, it identifies
// a state that is not newer than the objects.
func (r *Replica) Mark(name string) Mark {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	return Mark{generation: k.generation, confirmedAt: k.confirmedAt}
}

// ConfirmedAtMark returns when the store last reported a marked state of a kind as
// complete. If the kind has changed since, later confirmations do not apply to that state.
func (r *Replica) ConfirmedAtMark(name string, m Mark) time.Time {
	k := r.kind(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.generation != m.generation {
		return m.confirmedAt
	}
	return k.confirmedAt
}
