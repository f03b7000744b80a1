// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package object

import (
	"bytes"
	"slices"
	"sync"
	"time"
)

const (
	// historyLength is the number of changes that trimming leaves for each kind.
	historyLength = 1024
	// maxGaps bounds the gaps recorded for one history.
	maxGaps = 32
)

// kindReplica holds the objects of one kind.
type kindReplica struct {
	policy Policy

	mu           sync.Mutex
	initialized  bool
	inconsistent bool
	version      Version
	lastChanged  Version // version of the last change
	confirmedAt  time.Time
	// earliestChange is a lower bound on the time of the pending changes, those
	// that TakeEarliestChange has not returned yet. It is valid if changePending is
	// set.
	earliestChange time.Time
	changePending  bool
	objects        map[string]Object
	// names are the object names in ascending order.
	names []string
	// history holds changes of the current era in the order of arrival. It is complete
	// from revision oldest on, except for the gaps.
	history []change
	oldest  uint64
	gaps    []gap
	// passedEra is set once the kind has passed from one era to another, previousEra is
	// then the era before the current one. historyOfEra is set while the history names all
	// objects that have changed since then.
	previousEra             uint64
	passedEra, historyOfEra bool
	// carried holds the states of earlier eras that are in use, by name.
	carried map[string]carriedState
	// disowned holds the objects that are not carried, by name.
	disowned map[string]disowned
	// generation counts the changes of the objects in use.
	generation uint64
}

// change is an event in the history. A peer whose revision is below deliveredAt may
// lack it: deliveredAt is the revision up to which the delta with this event was
// complete.
type change struct {
	Event
	deliveredAt uint64
}

// gap is a range of revisions skipped by a list. An object that was created and
// deleted within it left no event, so the history is incomplete for a peer whose
// revision is strictly inside.
type gap struct {
	from, to uint64
}

// merge applies a delta and reports whether any object changed.
func (k *kindReplica) merge(d Delta, now time.Time) bool {
	switch {
	case k.initialized && d.UpTo.Era != k.version.Era:
		return k.version.Before(d.UpTo) && k.enterEra(d, now)
	case d.Full:
		return k.replace(d, namesOf(d.Events))
	case !k.initialized || k.version.Before(d.Since):
		return false // The changes in between are missing.
	case !k.version.Before(d.UpTo):
		return false
	case d.Listed:
		return k.mergeListing(d)
	case d.Since.Era != d.UpTo.Era, d.Gapped && d.Since != k.version:
		return false
	}
	if d.Gapped {
		k.recordGap(d.UpTo.Revision)
	}
	changed := false
	for _, e := range d.Events {
		if e.Deleted {
			// The store reports the version of the last change before the deletion.
			// Raise it, so that peers that are behind see the deletion.
			e.Version = Version{Era: d.UpTo.Era, Revision: max(e.Version.Revision, d.UpTo.Revision)}
		}
		changed = k.applyEvent(e, d.UpTo) || changed
	}
	k.version = d.UpTo
	return changed
}

// mergeListing applies a delta that names all objects. If a named object is neither
// held in that state nor included, the replica is marked inconsistent and the delta
// is not applied.
func (k *kindReplica) mergeListing(d Delta) bool {
	included := namesOf(d.Events)
	names := make(map[string]bool, len(d.Listing))
	for _, ref := range d.Listing {
		names[ref.Name] = true
		current, ok := k.objects[ref.Name]
		if !included[ref.Name] && (!ok || current.Version.Revision < ref.Revision) {
			k.inconsistent = true
			return false
		}
	}
	return k.replace(d, names)
}

// enterEra applies the state of all objects in a newer era. A delta that does not
// contain it, or a listing that does not match the objects held, is not applied.
func (k *kindReplica) enterEra(d Delta, now time.Time) bool {
	events := d.Events
	if !d.Full {
		if !d.Listed || d.Since.Era != k.version.Era {
			return false
		}
		var ok bool
		if events, ok = k.completeListing(d); !ok {
			k.inconsistent = true
			return false
		}
	}
	before, deleted, previous := k.inUse(), k.deletions(), k.objects
	k.previousEra, k.passedEra, k.historyOfEra = k.version.Era, true, true
	k.objects, k.names = make(map[string]Object, len(events)), nil
	k.history, k.oldest, k.gaps = nil, d.UpTo.Revision, nil
	for _, e := range events {
		if e.Version.Revision > d.UpTo.Revision {
			continue // Left to the subsequent watch, as in replace.
		}
		o := e.Object
		if held, ok := previous[o.Name]; ok && held.Version.Revision == o.Version.Revision && bytes.Equal(held.Spec, o.Spec) {
			o = held // Unchanged since the earlier era, so its version remains valid.
		} else {
			k.history = append(k.history, change{Event: Event{Object: o}, deliveredAt: d.UpTo.Revision})
		}
		k.objects[o.Name] = o
		k.names = append(k.names, o.Name)
	}
	slices.Sort(k.names)
	k.initialized, k.inconsistent, k.version, k.lastChanged = true, false, d.UpTo, d.UpTo
	k.carryOver(before, deleted, now)
	return true
}

// completeListing returns all objects that a listing of a newer era names: those in the
// delta, and those held at the same revision, which the sender of the delta held in the
// same era as well.
func (k *kindReplica) completeListing(d Delta) ([]Event, bool) {
	included := namesOf(d.Events)
	events := slices.Clone(d.Events)
	for _, ref := range d.Listing {
		if included[ref.Name] {
			continue
		}
		held, ok := k.objects[ref.Name]
		if !ok || held.Version.Revision != ref.Revision {
			return nil, false
		}
		events = append(events, Event{Object: held})
	}
	return events, true
}

// markChanged counts a change and extends the lower bound on the time of the pending
// changes.
func (k *kindReplica) markChanged() {
	k.generation++
	if from := k.confirmedAt; !k.changePending || from.Before(k.earliestChange) {
		k.changePending, k.earliestChange = true, from
	}
}

// replace applies the state of all objects at a revision: the events, and from the
// held objects only the named ones.
//
// An object newer than the revision is left to the subsequent watch. If it were
// applied now, the watch event would not count as a change and peers would never
// receive it.
func (k *kindReplica) replace(d Delta, names map[string]bool) bool {
	if k.initialized && d.UpTo.Revision < k.version.Revision {
		return false
	}
	changed := !k.initialized
	for _, e := range d.Events {
		if e.Version.Revision <= d.UpTo.Revision {
			changed = k.applyEvent(e, d.UpTo) || changed
		}
	}
	for name := range k.objects {
		if !names[name] {
			changed = k.applyEvent(Event{Object: Object{Name: name, Version: d.UpTo}, Deleted: true}, d.UpTo) || changed
		}
	}
	if changed {
		k.lastChanged = d.UpTo
	}
	k.recordGap(d.UpTo.Revision)
	k.initialized, k.inconsistent, k.version = true, false, d.UpTo
	return changed
}

// recordGap records that a list skipped the changes up to a revision.
func (k *kindReplica) recordGap(upTo uint64) {
	if !k.initialized {
		k.history, k.oldest, k.gaps = nil, upTo, nil
		return
	}
	if upTo > k.version.Revision {
		k.gaps = append(k.gaps, gap{from: k.version.Revision, to: upTo})
	}
	if len(k.gaps) > maxGaps {
		k.oldest = max(k.oldest, k.gaps[0].to)
	}
	k.trimGaps()
}

// applyEvent applies an event of a delta that is complete up to revision upTo,
// unless the event is older than the held object.
func (k *kindReplica) applyEvent(e Event, upTo Version) bool {
	current, ok := k.objects[e.Name]
	switch {
	case ok && (e.Version.Revision < current.Version.Revision || !e.Deleted && sameState(current, e.Object)):
		return false
	case e.Deleted && !ok:
		return false
	case e.Deleted:
		delete(k.objects, e.Name)
		if i, found := slices.BinarySearch(k.names, e.Name); found {
			k.names = slices.Delete(k.names, i, i+1)
		}
		e.Spec = nil
	default:
		if !ok {
			i, _ := slices.BinarySearch(k.names, e.Name)
			k.names = slices.Insert(k.names, i, e.Name)
		}
		k.objects[e.Name] = e.Object
	}
	k.supersede(e)
	if ok && !e.Deleted && k.policy.EveryUpdate && k.policy.newer(current, e.Object) {
		k.carry(carriedState{object: current})
	}
	k.appendHistory(e, upTo)
	return true
}

// appendHistory adds an event to the history.
func (k *kindReplica) appendHistory(e Event, upTo Version) {
	if k.lastChanged.Revision < upTo.Revision {
		k.lastChanged = upTo
	}
	k.history = append(k.history, change{Event: e, deliveredAt: upTo.Revision})
	if len(k.history) > 2*historyLength {
		k.trimHistory()
	}
}

// trimHistory drops the older half of the history.
func (k *kindReplica) trimHistory() {
	for _, c := range k.history[:historyLength] {
		k.oldest = max(k.oldest, c.deliveredAt)
	}
	k.history = slices.Clone(k.history[historyLength:])
	k.historyOfEra = false
	k.trimGaps()
}

// trimGaps drops the gaps before the oldest revision of the history.
func (k *kindReplica) trimGaps() {
	k.gaps = slices.DeleteFunc(k.gaps, func(g gap) bool { return g.to <= k.oldest })
}

// historyCovers reports whether the history holds every change that a peer at a
// revision lacks.
func (k *kindReplica) historyCovers(revision uint64) bool {
	inGap := func(g gap) bool { return g.from < revision && revision < g.to }
	return revision >= k.oldest && !slices.ContainsFunc(k.gaps, inGap)
}

// namesChangesSince reports whether the history names all objects that differ from an
// earlier era.
func (k *kindReplica) namesChangesSince(era uint64) bool {
	return k.passedEra && k.historyOfEra && era == k.previousEra
}

// hasGapAfter reports whether the history has a gap that ends after a revision.
func (k *kindReplica) hasGapAfter(revision uint64) bool {
	return slices.ContainsFunc(k.gaps, func(g gap) bool { return g.to > revision })
}

// historyAfter returns the events that a peer at a revision may lack.
func (k *kindReplica) historyAfter(revision uint64) []Event {
	var events []Event
	for _, c := range k.history {
		if c.deliveredAt > revision {
			events = append(events, c.Event)
		}
	}
	return events
}

// stored returns the store's objects, ordered by name.
func (k *kindReplica) stored() []Object {
	objects := make([]Object, 0, len(k.names))
	for _, name := range k.names {
		objects = append(objects, k.objects[name])
	}
	return objects
}

// changedObjects returns the current states of the objects in a part of the history.
func (k *kindReplica) changedObjects(history []change) []Event {
	var events []Event
	seen := make(map[string]bool, len(history))
	for _, c := range history {
		if o, ok := k.objects[c.Name]; ok && !seen[c.Name] {
			seen[c.Name] = true
			events = append(events, Event{Object: o})
		}
	}
	return events
}

// eventsAfter returns the objects that changed after a revision or whose last
// change was delivered after it.
func (k *kindReplica) eventsAfter(revision uint64) []Event {
	changedNames := namesOf(k.historyAfter(revision))
	var events []Event
	for name, o := range k.objects {
		if revision == 0 || o.Version.Revision > revision || changedNames[name] {
			events = append(events, Event{Object: o})
		}
	}
	return events
}

// listing returns the names and revisions of all objects.
func (k *kindReplica) listing() []Ref {
	refs := make([]Ref, 0, len(k.objects))
	for name, o := range k.objects {
		refs = append(refs, Ref{Name: name, Revision: o.Version.Revision})
	}
	return refs
}

func namesOf(events []Event) map[string]bool {
	names := make(map[string]bool, len(events))
	for _, e := range events {
		names[e.Name] = true
	}
	return names
}
