// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// MaxEntries bounds the entries of a table, and so those that are stored.
const MaxEntries = 1024

// Table holds the quarantine entries known to one VM. It is safe for concurrent use.
type Table struct {
	mu      sync.RWMutex
	entries map[Fingerprint]Entry
	// targets counts the entries by target hash.
	targets map[uint64]int
	// stored holds the entries as they were last seen in the store.
	stored map[Fingerprint]Entry
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: make(map[Fingerprint]Entry), targets: make(map[uint64]int), stored: make(map[Fingerprint]Entry)}
}

// Find returns the entry under which a request is quarantined now. It computes the
// fingerprint only if there is an entry with the same target hash.
func (t *Table) Find(target uint64, fingerprint func() Fingerprint, now time.Time) (Entry, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.targets[target] == 0 {
		return Entry{}, false
	}
	e, ok := t.entries[fingerprint()]
	return e, ok && e.Active(now)
}

// Get returns the entry of a fingerprint, whether its term has ended or not.
func (t *Table) Get(f Fingerprint) (Entry, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.entries[f]
	return e, ok
}

// Merge adds an entry unless a newer one is known, and reports whether it did. A full
// table evicts the entry with the lowest count, and of those the first to end.
func (t *Table) Merge(e Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(e)
}

func (t *Table) merge(e Entry) bool {
	if known, ok := t.entries[e.Fingerprint]; ok && !e.supersedes(known) {
		return false
	}
	t.remove(e.Fingerprint)
	if len(t.entries) >= MaxEntries {
		t.remove(slices.MinFunc(t.list(), compareSeverity).Fingerprint)
	}
	t.entries[e.Fingerprint] = e
	t.targets[e.TargetHash]++
	return true
}

// compareSeverity orders entries by count and end, the first to be evicted first.
func compareSeverity(a, b Entry) int {
	return cmp.Or(cmp.Compare(a.Times, b.Times), a.Until.Compare(b.Until))
}

// Release deletes an entry and reports whether there was one.
func (t *Table) Release(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.stored, f)
	return t.remove(f)
}

func (t *Table) remove(f Fingerprint) bool {
	e, ok := t.entries[f]
	if !ok {
		return false
	}
	delete(t.entries, f)
	if t.targets[e.TargetHash]--; t.targets[e.TargetHash] == 0 {
		delete(t.targets, e.TargetHash)
	}
	return true
}

// SyncStored replaces the set of stored entries and merges them. An entry that was in
// the store and is there no longer has been released, and is deleted.
func (t *Table) SyncStored(entries []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stored := make(map[Fingerprint]Entry, len(entries))
	for _, e := range entries {
		stored[e.Fingerprint] = e
		t.merge(e)
	}
	for f := range t.stored {
		if _, still := stored[f]; !still {
			t.remove(f)
		}
	}
	t.stored = stored
}

// Unstored returns the entries that are not yet in the store, or only in an older
// version.
func (t *Table) Unstored() []Entry {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.DeleteFunc(t.list(), func(e Entry) bool {
		saved, ok := t.stored[e.Fingerprint]
		return ok && !e.supersedes(saved)
	})
}

// Len returns the number of entries.
func (t *Table) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.entries)
}

// All returns the entries, the most recently quarantined first.
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
