// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// MaxEntries bounds the requests that a table holds, and so those that are kept.
const MaxEntries = 1024

// Table is the requests that one VM knows to end workers. It is safe for concurrent
// use.
type Table struct {
	mu      sync.RWMutex
	entries map[Fingerprint]Entry
	// targets counts the entries of each target.
	targets map[uint64]int
	// stored are those that the store is known to keep, as it has them.
	stored map[Fingerprint]Entry
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: make(map[Fingerprint]Entry), targets: make(map[uint64]int), stored: make(map[Fingerprint]Entry)}
}

// Find returns the entry that holds a request now. The fingerprint is asked for only
// if there is an entry of the target.
func (t *Table) Find(target uint64, fingerprint func() Fingerprint, now time.Time) (Entry, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.targets[target] == 0 {
		return Entry{}, false
	}
	e, ok := t.entries[fingerprint()]
	return e, ok && e.Holds(now)
}

// Get returns the entry of a fingerprint, whether it holds the request now or not.
func (t *Table) Get(f Fingerprint) (Entry, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.entries[f]
	return e, ok
}

// Hear takes in an entry and reports whether it is newer than what was known. A full
// table gives up the entry that was held the fewest times and ends first.
func (t *Table) Hear(e Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hear(e)
}

func (t *Table) hear(e Entry) bool {
	if known, ok := t.entries[e.Fingerprint]; ok && !e.newer(known) {
		return false
	}
	t.drop(e.Fingerprint)
	if len(t.entries) >= MaxEntries {
		t.drop(slices.MinFunc(t.list(), mildest).Fingerprint)
	}
	t.entries[e.Fingerprint] = e
	t.targets[e.Target]++
	return true
}

// mildest orders entries by how little is lost if they are forgotten.
func mildest(a, b Entry) int { return cmp.Or(cmp.Compare(a.Times, b.Times), a.Until.Compare(b.Until)) }

// Release forgets an entry, and reports whether there was one.
func (t *Table) Release(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.stored, f)
	return t.drop(f)
}

func (t *Table) drop(f Fingerprint) bool {
	e, ok := t.entries[f]
	if !ok {
		return false
	}
	delete(t.entries, f)
	if t.targets[e.Target]--; t.targets[e.Target] == 0 {
		delete(t.targets, e.Target)
	}
	return true
}

// SetStored takes in all entries that the store keeps. One that it kept before and
// does not keep any more was released.
func (t *Table) SetStored(entries []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stored := make(map[Fingerprint]Entry, len(entries))
	for _, e := range entries {
		stored[e.Fingerprint] = e
		t.hear(e)
	}
	for f := range t.stored {
		if _, still := stored[f]; !still {
			t.drop(f)
		}
	}
	t.stored = stored
}

// Unstored returns the entries that the store is not known to keep.
func (t *Table) Unstored() []Entry {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.DeleteFunc(t.list(), func(e Entry) bool {
		kept, ok := t.stored[e.Fingerprint]
		return ok && !e.newer(kept)
	})
}

// Len returns how many entries there are.
func (t *Table) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.entries)
}

// All returns the entries, those that were held last first.
func (t *Table) All() []Entry {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := t.list()
	slices.SortFunc(list, func(a, b Entry) int { return b.Since.Compare(a.Since) })
	return list
}

func (t *Table) list() []Entry {
	list := make([]Entry, 0, len(t.entries))
	for _, e := range t.entries {
		list = append(list, e)
	}
	return list
}
