// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package object

import (
	"slices"
	"sync"
	"time"
)

const (
	// historyLength bounds the changes that are kept of each kind.
	historyLength = 1024
	// maxGaps bounds the gaps that are remembered in one history.
	maxGaps = 32
)

// kind is the replica of one kind.
type kind struct {
	mu        sync.Mutex
	known     bool
	doubted   bool
	at        uint64
	content   uint64 // the revision at which anything last changed
	confirmed time.Time
	// changedFrom is the earliest confirmed at a change that was not taken yet, and
	// fresh is set if there is one.
	changedFrom time.Time
	fresh       bool
	objects     map[string]Object
	// names are those of the objects, in order.
	names []string
	// history holds changes in the order in which they were heard; it is
	// complete from revision oldest on, but for the gaps.
	history []change
	oldest  uint64
	gaps    []gap
}

// change is an event in the history. Whoever is complete up to a revision below
// news may lack it: the one up to which it was told together with others, whose
// order it keeps.
type change struct {
	Event
	news uint64
}

// gap is a span of revisions that a list has passed over. An object that was made
// and removed again within it left no trace, so the history does not do for a
// peer that is complete up to a revision strictly within it.
type gap struct {
	from, to uint64
}

// merge takes in a delta and reports whether any object has changed.
func (k *kind) merge(d Delta) bool {
	switch {
	case d.Full:
		return k.replace(d, namesOf(d.Events))
	case !k.known || d.Since > k.at:
		return false // Changes between are missing: this one does not help.
	case d.At <= k.at:
		return false
	case d.Listed:
		return k.mergeListed(d)
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

// mergeListed takes in a delta with the names of all objects. If one of them is
// neither held nor told, this replica is not complete up to its own revision, and
// takes in nothing of the delta.
func (k *kind) mergeListed(d Delta) bool {
	told := namesOf(d.Events)
	names := make(map[string]bool, len(d.Listing))
	for _, ref := range d.Listing {
		names[ref.Name] = true
		held, ok := k.objects[ref.Name]
		if !told[ref.Name] && (!ok || held.Revision < ref.Revision) {
			k.doubted = true
			return false
		}
	}
	return k.replace(d, names)
}

// noteChange remembers from when on a change may have come that was not taken yet.
func (k *kind) noteChange() {
	if from := k.confirmed; !k.fresh || from.Before(k.changedFrom) {
		k.fresh, k.changedFrom = true, from
	}
}

// replace takes in the state of all objects at a revision: the events, and of
// what was held before only the named ones.
//
// An object that is newer than the revision is left to the watch from there on.
// Taken now, it would be no news then, and peers would never be told.
func (k *kind) replace(d Delta, names map[string]bool) bool {
	if k.known && d.At < k.at {
		return false
	}
	changed := !k.known
	for _, e := range d.Events {
		if e.Revision <= d.At {
			changed = k.take(e, d.At) || changed
		}
	}
	for name := range k.objects {
		if !names[name] {
			changed = k.take(Event{Object: Object{Name: name, Revision: d.At}, Gone: true}, d.At) || changed
		}
	}
	if changed {
		k.content = d.At
	}
	k.passOver(d.At)
	k.known, k.doubted, k.at = true, false, d.At
	return changed
}

// passOver notes that a list has passed over the changes up to a revision.
func (k *kind) passOver(to uint64) {
	if !k.known {
		k.history, k.oldest, k.gaps = nil, to, nil
		return
	}
	if to > k.at {
		k.gaps = append(k.gaps, gap{from: k.at, to: to})
	}
	if len(k.gaps) > maxGaps {
		k.oldest = max(k.oldest, k.gaps[0].to)
	}
	k.forgetGaps()
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
		if at, found := slices.BinarySearch(k.names, e.Name); found {
			k.names = slices.Delete(k.names, at, at+1)
		}
		e.Spec = nil
	default:
		if !ok {
			at, _ := slices.BinarySearch(k.names, e.Name)
			k.names = slices.Insert(k.names, at, e.Name)
		}
		k.objects[e.Name] = e.Object
	}
	k.record(e, at)
	return true
}

// record adds a change to the history.
func (k *kind) record(e Event, at uint64) {
	k.content = max(k.content, at)
	k.history = append(k.history, change{Event: e, news: at})
	if len(k.history) > 2*historyLength {
		k.forget()
	}
}

// forget drops the older half of the history.
func (k *kind) forget() {
	for _, c := range k.history[:historyLength] {
		k.oldest = max(k.oldest, c.news)
	}
	k.history = slices.Clone(k.history[historyLength:])
	k.forgetGaps()
}

// forgetGaps drops the gaps before the oldest revision of the history.
func (k *kind) forgetGaps() {
	k.gaps = slices.DeleteFunc(k.gaps, func(g gap) bool { return g.to <= k.oldest })
}

// remembers reports whether the history has all that a peer lacks that is
// complete up to a revision.
func (k *kind) remembers(revision uint64) bool {
	inGap := func(g gap) bool { return g.from < revision && revision < g.to }
	return revision >= k.oldest && !slices.ContainsFunc(k.gaps, inGap)
}

// historyAfter returns the changes that are news after a revision.
func (k *kind) historyAfter(revision uint64) []Event {
	var events []Event
	for _, c := range k.history {
		if c.news > revision {
			events = append(events, c.Event)
		}
	}
	return events
}

// changedAfter returns the objects that have changed after a revision, or whose
// last change is news after it.
func (k *kind) changedAfter(revision uint64) []Event {
	news := namesOf(k.historyAfter(revision))
	var events []Event
	for name, o := range k.objects {
		if revision == 0 || o.Revision > revision || news[name] {
			events = append(events, Event{Object: o})
		}
	}
	return events
}

// listing names all objects.
func (k *kind) listing() []Ref {
	refs := make([]Ref, 0, len(k.objects))
	for name, o := range k.objects {
		refs = append(refs, Ref{Name: name, Revision: o.Revision})
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
