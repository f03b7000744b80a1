// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package holders keeps the table of affinity keys that are assigned to another worker than
// the one that hashing selects.
//
// One VM decides the table, and the others follow it, so that all VMs send a key to the
// same worker. A key that isn't in the table is placed by hashing. A table has an epoch,
// which identifies the deciding VM's term, and a version, which increases with each change.
//
// Readers use an immutable snapshot and take no lock.
//
// # Usage
//
//	table := holders.NewTable()
//	table.Apply(holders.Changes{holders.KeyOf("lookup", "north", 17): "w-1"})
//	worker, ok := table.Holder(holders.KeyOf("lookup", "north", 17))
//	follower.Merge(table.DeltaSince(follower.Epoch(), follower.Version()))
package holders

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxEntries bounds the keys of a table to 128 KB of memory. Keys beyond the bound are
	// placed by hashing.
	MaxEntries = 4096
	// maxRemoved bounds the removals that are kept for incremental deltas. Once it is
	// exceeded, followers that are behind get a full delta.
	maxRemoved = 1024
)

// Key is a hash of a service, a region of callers and an affinity key.
type Key uint64

// KeyOf returns the key for the hash of an affinity key that callers of a region use.
func KeyOf(service, region string, affinity uint64) Key {
	h := affinity ^ xxhash.Sum64String(service) ^ xxhash.Sum64String(region)*0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return Key(h ^ h>>32)
}

// Changes maps keys to the IDs of the workers that get them. An empty ID removes a key.
type Changes map[Key]string

// Delta updates a follower's table to a version.
type Delta struct {
	Epoch uint64
	// Full is set if Holders replaces all entries of the follower.
	Full bool
	// Since and Until are the versions between which the delta is complete.
	Since, Until uint64
	Holders      Changes
}

// Table maps keys to workers. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex // held by writers
	current atomic.Pointer[snapshot]
}

// snapshot is the immutable state of a table.
type snapshot struct {
	epoch, version uint64
	holders        map[Key]entry
	removed        map[Key]uint64 // versions of the removals
	// prunedVersion is the version up to which removals are not kept.
	prunedVersion uint64
}

type entry struct {
	worker  string
	version uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	t.current.Store(&snapshot{})
	return t
}

// Epoch returns the number of the deciding VM's term, 0 for an empty table.
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

// StartEpoch starts a new epoch and keeps the entries.
func (t *Table) StartEpoch(epoch uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := *t.current.Load()
	next.epoch = epoch
	t.current.Store(&next)
}

// Apply applies changes as a new version, unless there are none. New keys beyond
// MaxEntries are ignored.
func (t *Table) Apply(c Changes) {
	if len(c) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.current.Load().clone()
	next.version++
	next.apply(c, next.version)
	t.current.Store(next)
}

func (c *snapshot) clone() *snapshot {
	next := *c
	next.holders = make(map[Key]entry, len(c.holders)+1)
	maps.Copy(next.holders, c.holders)
	next.removed = make(map[Key]uint64, len(c.removed))
	maps.Copy(next.removed, c.removed)
	return &next
}

// apply applies changes to a snapshot that isn't published yet.
func (c *snapshot) apply(changes Changes, version uint64) {
	for key, worker := range changes {
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
		c.removed, c.prunedVersion = make(map[Key]uint64), version
	}
}

// DeltaSince returns the delta for a follower at the given epoch and version. It is empty
// if the follower has the same or a newer version of the same epoch.
func (t *Table) DeltaSince(epoch, version uint64) Delta {
	c := t.current.Load()
	d := Delta{Epoch: c.epoch, Since: version, Until: c.version, Holders: make(Changes)}
	if epoch == c.epoch && version >= c.version {
		return d
	}
	d.Full = epoch != c.epoch || version < c.prunedVersion
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

// Merge applies a delta. It ignores one that would leave a gap or is older than the table.
func (t *Table) Merge(d Delta) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.current.Load()
	switch {
	case d.Epoch == 0:
		return // The sender has no table.
	case !d.Full && (d.Epoch != current.epoch || d.Since > current.version || d.Until <= current.version):
		return
	case d.Full && d.Epoch == current.epoch && d.Until <= current.version:
		return
	}
	next := &snapshot{holders: make(map[Key]entry), removed: make(map[Key]uint64)}
	if !d.Full {
		next = current.clone()
	}
	next.apply(d.Holders, d.Until)
	next.epoch, next.version = d.Epoch, d.Until
	if d.Full {
		next.prunedVersion = d.Until // A full delta lists no earlier removals.
	}
	t.current.Store(next)
}
