// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package object

import (
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
	// history holds changes in the order of arrival. It is complete from revision
	// oldest on, except for the gaps.
	history []change
	oldest  uint64
	gaps    []gap
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
func (k *kindReplica) merge(d Delta) bool {
	switch {
	case d.Full:
		return k.replace(d, namesOf(d.Events))
	case !k.initialized || d.Since.Revision > k.version.Revision:
		return false // The changes in between are missing.
	case d.UpTo.Revision <= k.version.Revision:
		return false
	case d.Listed:
		return k.mergeListing(d)
	}
	changed := false
	for _, e := range d.Events {
		if e.Deleted {
			// The store reports the revision of the last change before the
			// deletion. Raise it, so that peers that are behind see the deletion.
			e.Version.Revision = max(e.Version.Revision, d.UpTo.Revision)
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

// markChanged extends the lower bound on the time of the pending changes.
func (k *kindReplica) markChanged() {
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
	case ok && (e.Version.Revision < current.Version.Revision || !e.Deleted && equalObjects(current, e.Object)):
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
