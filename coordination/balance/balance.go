// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package balance decides, from the measured demand, which keys are held by another worker
// than the one that hashing assigns.
//
// Hashing assigns each key a worker, but does not spread the requests evenly: with few
// keys per worker the busiest worker gets far more than the mean. A single VM cannot
// correct that, since the other VMs would keep sending the same keys to another worker,
// and both would be slow with them. So one VM of the fleet runs a Balancer, which
// aggregates the demand that all VMs count and writes the keys that it moves to a table
// that all VMs follow (package state/holders).
//
// A key is moved only from an overloaded worker, to one of the same region with spare
// capacity, because a worker is slow with a key that is new to it. The region in which a
// key runs is not decided here.
//
// # Usage
//
//	b := balance.New(balance.Config{Table: table, Now: time.Now})
//	b.AddReport(report)
//	b.Rebalance(balance.Fleet{Workers: workers, HashOwner: hashOwner})
package balance

import (
	"sync"
	"time"

	"github.com/ryehill/ryehill/state/demand"
	"github.com/ryehill/ryehill/state/holders"
	"github.com/ryehill/ryehill/state/worker"
)

const (
	// idleKeyTTL is how long a key without requests keeps its holder.
	idleKeyTTL = 60 * time.Second
	// maxKeys bounds the keys that are counted.
	maxKeys = holders.MaxEntries
)

// Config configures a Balancer. All fields are required.
type Config struct {
	Table *holders.Table
	Now   func() time.Time
}

// Fleet describes the workers and the assignment by hashing.
type Fleet struct {
	// Workers are the workers that may hold keys, by service.
	Workers map[string][]Worker
	// HashOwner returns the worker that hashing assigns to a key, if there is one.
	HashOwner func(key demand.Key) (id string, ok bool)
}

// Worker is a worker that may hold keys.
type Worker struct {
	worker.Worker
	// Full is set if the worker keeps its keys but gets no others.
	Full bool
}

// Balancer aggregates demand and moves keys. It is safe for concurrent use.
type Balancer struct {
	cfg Config

	mu      sync.Mutex
	started time.Time
	keys    map[demand.Key]*decayingSum
	// lastHolders maps a key to its holder after the last decision.
	lastHolders map[holders.Key]string
	// answers and totalTime are the number of answers and their total duration in
	// seconds, by service.
	answers, totalTime map[string]*decayingSum
}

// New returns a Balancer without demand.
func New(cfg Config) *Balancer {
	return &Balancer{
		cfg: cfg, started: cfg.Now(), keys: make(map[demand.Key]*decayingSum), lastHolders: make(map[holders.Key]string),
		answers: make(map[string]*decayingSum), totalTime: make(map[string]*decayingSum),
	}
}

// Reset discards all state, for use after another balancer was in charge meanwhile.
func (b *Balancer) Reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.keys)
	clear(b.lastHolders)
	clear(b.answers)
	clear(b.totalTime)
}

// AddReport adds the demand that VMs have counted.
func (b *Balancer) AddReport(r demand.Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Now()
	if len(b.keys) == 0 {
		b.started = now
	}
	for key, n := range r.Keys {
		addToSum(b.keys, key, float64(n), decayTime, now)
	}
	for service, w := range r.Latencies {
		addToSum(b.answers, service, float64(w.Responses), workDecayTime, now)
		addToSum(b.totalTime, service, w.Total.Seconds(), workDecayTime, now)
	}
}

// Rebalance moves keys from overloaded workers and removes moves to workers that are gone.
// It returns the number of keys moved.
func (b *Balancer) Rebalance(f Fleet) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Now()
	change := b.dropIdleKeys(now)
	moved := 0
	for service, keys := range b.keysByService(now) {
		s := b.currentAssignment(f, service, keys, change)
		s.serviceTime = b.meanServiceTime(service, now)
		if len(s.loads) == 0 {
			continue
		}
		s.retainHolders(b.lastHolders, change)
		if now.Sub(b.started) >= decayTime { // Rates are too inaccurate before.
			moved += s.relieveOverloaded(change)
		}
		for _, l := range s.loads {
			for _, k := range l.keys {
				b.lastHolders[k.id] = l.worker.ID
			}
		}
	}
	b.cfg.Table.Apply(change)
	return moved
}

// dropIdleKeys removes the keys that had no requests for idleKeyTTL.
func (b *Balancer) dropIdleKeys(now time.Time) holders.Changes {
	removed := make(holders.Changes)
	for key, c := range b.keys {
		if now.Sub(c.updatedAt) <= idleKeyTTL {
			continue
		}
		delete(b.keys, key)
		id := holders.KeyOf(key.Service, key.Region, key.Hash)
		delete(b.lastHolders, id)
		if _, moved := b.cfg.Table.Holder(id); moved {
			removed[id] = ""
		}
	}
	return removed
}

// currentAssignment returns the assignment of a service's keys to workers. It reverts
// moves to workers that are gone, or to another region than the one in which the key runs.
func (b *Balancer) currentAssignment(f Fleet, service string, keys []keyLoad, change holders.Changes) *assignment {
	s := &assignment{loads: make(map[string]*workerLoad)}
	for _, w := range f.Workers[service] {
		s.loads[w.ID] = &workerLoad{worker: w}
	}
	for _, k := range keys {
		hashed, _ := f.HashOwner(k.key)
		l, ok := s.loads[hashed]
		if !ok {
			continue
		}
		if id, moved := b.cfg.Table.Holder(k.id); moved {
			holder, ok := s.loads[id]
			if ok && holder.worker.Region == l.worker.Region {
				l = holder
			} else {
				change[k.id] = ""
			}
		}
		l.addKey(k)
	}
	return s
}
