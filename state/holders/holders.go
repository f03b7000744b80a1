// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package holders keeps the table of the keys that are held by another worker
// than the one that hashing gives them.
//
// One VM decides the table; the others are told of its changes and follow it, so
// that all send a key to the same worker. A key that is not in the table is
// placed by hashing. A table is numbered twice: an epoch for the VM that decides
// it, and a version that rises with each of its changes.
//
// Readers take an immutable snapshot and no lock.
//
// # Usage
//
//	table := holders.NewTable()
//	table.Change(holders.Change{holders.KeyOf("lookup", "north", 17): "w-1"})
//	worker, ok := table.Holder(holders.KeyOf("lookup", "north", 17))
//	follower.Merge(table.Since(follower.Epoch(), follower.Version()))
package holders

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxEntries bounds the keys of a table: 128 KB in memory. Where there are
	// more, hashing spreads them evenly enough.
	MaxEntries = 4096
	// maxRemoved bounds the removals that are remembered for those who are
	// behind. Beyond, they are told everything.
	maxRemoved = 1024
)

// Key is a hash of a service, a region of callers and an affinity key.
type Key uint64

// KeyOf returns the key for an affinity key's hash that callers of a region use.
func KeyOf(service, region string, affinity uint64) Key {
	h := affinity ^ xxhash.Sum64String(service) ^ xxhash.Sum64String(region)*0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return Key(h ^ h>>32)
}

// Change is what is to be changed in a table: ids of workers by key. The id ""
// removes a key.
type Change map[Key]string

// Delta brings a follower's table to a version.
type Delta struct {
	Epoch uint64
	// Full is set if the follower is to forget all it has.
	Full bool
	// Since and At are the versions between which the delta is complete.
	Since, At uint64
	Holders   Change
}

// Table holds entries. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex // for writers
	current atomic.Pointer[content]
}

// content is one state of a table. It is never changed once made.
type content struct {
	epoch, version uint64
	holders        map[Key]entry
	removed        map[Key]uint64 // by version
	// forgotten is the version up to which removals are not remembered.
	forgotten uint64
}

type entry struct {
	worker  string
	version uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	t.current.Store(&content{})
	return t
}

// Epoch returns the number of the VM's term that decided the table, 0 for an
// empty one.
func (t *Table) Epoch() uint64 { return t.current.Load().epoch }

// Version returns the number of the last change within the epoch.
func (t *Table) Version() uint64 { return t.current.Load().version }

// Len returns the number of keys.
func (t *Table) Len() int { return len(t.current.Load().holders) }

// Holder returns the worker that holds a key.
func (t *Table) Holder(key Key) (string, bool) {
	e, ok := t.current.Load().holders[key]
	return e.worker, ok
}

// Begin starts an epoch of this VM's own, with the entries as they are.
func (t *Table) Begin(epoch uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := *t.current.Load()
	next.epoch = epoch
	t.current.Store(&next)
}

// Change makes a new version, unless nothing changes. Keys beyond MaxEntries are
// left out.
func (t *Table) Change(c Change) {
	if len(c) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.current.Load().copy()
	next.version++
	next.apply(c, next.version)
	t.current.Store(next)
}

func (c *content) copy() *content {
	next := *c
	next.holders = make(map[Key]entry, len(c.holders)+1)
	maps.Copy(next.holders, c.holders)
	next.removed = make(map[Key]uint64, len(c.removed))
	maps.Copy(next.removed, c.removed)
	return &next
}

// apply takes a change into a copy that nobody else has yet.
func (c *content) apply(change Change, version uint64) {
	for key, worker := range change {
		if worker == "" {
			delete(c.holders, key)
			c.removed[key] = version
			continue
		}
		if _, held := c.holders[key]; !held && len(c.holders) >= MaxEntries {
			continue
		}
		c.holders[key] = entry{worker: worker, version: version}
		delete(c.removed, key)
	}
	if len(c.removed) > maxRemoved {
		c.removed, c.forgotten = make(map[Key]uint64), version
	}
}

// Since returns what a follower lacks that has a version of an epoch. It lacks
// nothing if it has a newer version of the same one.
func (t *Table) Since(epoch, version uint64) Delta {
	c := t.current.Load()
	d := Delta{Epoch: c.epoch, Since: version, At: c.version, Holders: make(Change)}
	if epoch == c.epoch && version >= c.version {
		return d
	}
	d.Full = epoch != c.epoch || version < c.forgotten
	if d.Full {
		d.Since = 0
	}
	for key, e := range c.holders {
		if d.Full || e.version > version {
			d.Holders[key] = e.worker
		}
	}
	if d.Full {
		return d
	}
	for key, at := range c.removed {
		if at > version {
			d.Holders[key] = ""
		}
	}
	return d
}

// Merge takes in a delta. One that leaves a gap, or is older than what is held,
// changes nothing.
func (t *Table) Merge(d Delta) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.current.Load()
	switch {
	case d.Epoch == 0:
		return // The sender has none.
	case !d.Full && (d.Epoch != current.epoch || d.Since > current.version || d.At <= current.version):
		return
	case d.Full && d.Epoch == current.epoch && d.At <= current.version:
		return
	}
	next := &content{holders: make(map[Key]entry), removed: make(map[Key]uint64)}
	if !d.Full {
		next = current.copy()
	}
	next.apply(d.Holders, d.At)
	next.epoch, next.version = d.Epoch, d.At
	if d.Full {
		next.forgotten = d.At // What was removed before is not known here.
	}
	t.current.Store(next)
}
