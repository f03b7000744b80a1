// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package object

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

// Policy defines which state of earlier eras remains in use in a new one. A store that
// has returned from a copy lacks changes that it had acknowledged. Until they are written
// again, what a replica held before is at least as new. The zero value carries nothing
// over.
type Policy struct {
	// Missing is how long an object stays in use that the new era lacks. Unlimited
	// means until it is written again.
	Missing time.Duration
	// Deleted is how long an object stays out of use that was deleted in an earlier era
	// and is there again in the new one.
	Deleted time.Duration
	// Newer reports whether the first of two states of an object was written after the
	// second, by the object's content. Nil means that content does not tell.
	Newer func(a, b Object) bool
	// EveryUpdate applies Newer to every update, not only to those of a new era.
	EveryUpdate bool
}

// Unlimited is a duration in Policy without an end.
const Unlimited time.Duration = -1

// Carried is a state of an earlier era that takes precedence over the store's.
type Carried struct {
	Object
	// Deleted is set if the object is out of use.
	Deleted bool
	// Left is the time until the store's state applies, Unlimited if that has no end.
	Left time.Duration
}

// carriedState is a Carried with its end as a time, zero if it has none.
type carriedState struct {
	object  Object
	deleted bool
	until   time.Time
}

func (c carriedState) expired(now time.Time) bool { return !c.until.IsZero() && !now.Before(c.until) }

func endAfter(d time.Duration, now time.Time) time.Time {
	if d == Unlimited {
		return time.Time{}
	}
	return now.Add(d)
}

// newer reports whether a was written after b, as far as the content tells.
func (p Policy) newer(a, b Object) bool { return p.Newer != nil && p.Newer(a, b) }

const (
	// disownedFor is for how long an object is not carried after EndCarried, which is longer
	// than a replica takes to hear of a new era.
	disownedFor = 30 * time.Second
	// maxDisowned bounds the disowned objects of a kind.
	maxDisowned = 1024
)

// disown records that an object is not carried for disownedFor.
func (k *kindReplica) disown(name string, now time.Time) {
	maps.DeleteFunc(k.disowned, func(_ string, d disowned) bool { return !now.Before(d.until) })
	if k.disowned == nil {
		k.disowned = make(map[string]disowned)
	}
	if len(k.disowned) < maxDisowned {
		k.disowned[name] = disowned{until: now.Add(disownedFor), at: k.version}
	}
}

// disowned is an object that was removed from the store at a version or before, which a
// replica need not have heard of.
type disowned struct {
	until time.Time
	at    Version
}

// isDisowned reports whether an object is not carried.
func (k *kindReplica) isDisowned(name string, now time.Time) bool {
	return now.Before(k.disowned[name].until)
}

// carryOver determines the carried states when a new era replaces the objects in use.
// The caller has set k.objects; before holds what was in use, deleted the versions of
// earlier deletions by name.
func (k *kindReplica) carryOver(before map[string]Object, deleted map[string]Version, now time.Time) {
	k.carried = make(map[string]carriedState)
	for name, d := range k.disowned {
		if now.Before(d.until) {
			deleted[name] = d.at
			delete(before, name)
		}
	}
	for name, o := range before {
		stored, ok := k.objects[name]
		switch {
		case !ok && k.policy.Missing != 0:
			k.carried[name] = carriedState{object: o, until: endAfter(k.policy.Missing, now)}
		case ok && !bytes.Equal(o.Spec, stored.Spec) && k.policy.newer(o, stored):
			// The writer of the object writes it again, or the store removes it.
			k.carried[name] = carriedState{object: o}
		}
	}
	for name, at := range deleted {
		stored, ok := k.objects[name]
		if _, used := before[name]; ok && !used && k.policy.Deleted != 0 && stored.Version.Revision <= at.Revision {
			k.carried[name] = carriedState{object: Object{Name: name, Version: at}, deleted: true, until: endAfter(k.policy.Deleted, now)}
		}
	}
}

// eraChange describes the change from a version to the current one, right after it.
func (k *kindReplica) eraChange(kind string, from Version) EraChange {
	change := EraChange{Kind: kind, From: from, To: k.version, Changed: len(k.history)}
	for name, c := range k.carried {
		switch _, stored := k.objects[name]; {
		case c.deleted:
			change.Deleted++
		case stored:
			change.Older++
		default:
			change.Missing++
		}
	}
	return change
}

// supersede ends a carried state if an event of the store's current era replaces it.
func (k *kindReplica) supersede(e Event) {
	c, ok := k.carried[e.Name]
	if ok && (e.Deleted || c.deleted || !k.policy.newer(c.object, e.Object)) {
		delete(k.carried, e.Name)
	}
}

// expire ends the carried states whose time is over and returns them.
func (k *kindReplica) expire(now time.Time) []Carried {
	var ended []Carried
	for name, c := range k.carried {
		if c.expired(now) {
			ended = append(ended, Carried{Object: c.object, Deleted: c.deleted})
			delete(k.carried, name)
		}
	}
	return ended
}

// inUse returns the objects in use: the store's with the carried states.
func (k *kindReplica) inUse() map[string]Object {
	used := make(map[string]Object, len(k.objects))
	for name, o := range k.objects {
		used[name] = o
	}
	for name, c := range k.carried {
		if c.deleted {
			delete(used, name)
		} else {
			used[name] = c.object
		}
	}
	return used
}

// deletions returns the versions at which objects were deleted that are not in use.
func (k *kindReplica) deletions() map[string]Version {
	deleted := make(map[string]Version)
	for _, c := range k.history {
		if c.Deleted {
			deleted[c.Name] = c.Version
		} else {
			delete(deleted, c.Name)
		}
	}
	for name, c := range k.carried {
		if c.deleted {
			deleted[name] = c.object.Version
		}
	}
	return deleted
}

// sortedCarried returns the carried states, ordered by name.
func (k *kindReplica) sortedCarried(now time.Time) []Carried {
	list := make([]Carried, 0, len(k.carried))
	for _, c := range k.carried {
		left := Unlimited
		if !c.until.IsZero() {
			left = max(c.until.Sub(now), 0)
		}
		list = append(list, Carried{Object: c.object, Deleted: c.deleted, Left: left})
	}
	slices.SortFunc(list, func(a, b Carried) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// takeCarried adds a peer's carried state, unless the store's state or one that is
// carried here is newer. It reports whether anything changed.
func (k *kindReplica) takeCarried(c Carried, now time.Time) bool {
	if !k.initialized || c.Version.Era >= k.version.Era {
		return false
	}
	stored, ok := k.objects[c.Name]
	held, isCarried := k.carried[c.Name]
	switch {
	case !c.Deleted && k.isDisowned(c.Name, now):
		return false
	case isCarried && (held.deleted || c.Deleted || !k.policy.newer(c.Object, held.object)):
		return false
	case c.Deleted && (!ok || stored.Version.Revision > c.Version.Revision):
		return false
	case !c.Deleted && ok && (bytes.Equal(c.Spec, stored.Spec) || !k.policy.newer(c.Object, stored)):
		return false
	}
	k.carry(carriedState{object: c.Object, deleted: c.Deleted, until: endAfter(c.Left, now)})
	return true
}

func (k *kindReplica) carry(c carriedState) {
	if k.carried == nil {
		k.carried = make(map[string]carriedState)
	}
	k.carried[c.object.Name] = c
}
