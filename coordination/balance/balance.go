// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package balance decides which keys are held by another worker than the one that
// hashing gives them, from what callers ask for.
//
// Hashing gives each key a worker, but not each worker an even part of the
// requests: with some ten keys to a worker the busiest one gets up to twice the
// mean. A VM cannot correct that alone, since the others would send the same keys
// to another worker, and both would work on them slowly. So one VM of the fleet
// runs a Balancer: it adds up what all VMs count, and writes the keys that it
// moves to a table that all of them follow (package state/holders).
//
// A key is moved only away from a worker that is pressed, to one of its region
// that has room: a worker that holds a key for the first time is slow with it.
// Which region a key runs in is not decided here.
//
// # Usage
//
//	b := balance.New(balance.Config{Table: table, Now: time.Now})
//	b.Add(report)
//	b.Decide(balance.Fleet{Workers: workers, Hashed: hashed})
package balance

import (
	"sync"
	"time"

	"github.com/ryehill/ryehill/state/demand"
	"github.com/ryehill/ryehill/state/holders"
	"github.com/ryehill/ryehill/state/worker"
)

const (
	// forgetAfter is how long a key without requests keeps its holder.
	forgetAfter = 60 * time.Second
	// maxKeys bounds the keys that are counted.
	maxKeys = holders.MaxEntries
)

// Config sets up a Balancer. All fields are required.
type Config struct {
	Table *holders.Table
	Now   func() time.Time
}

// Fleet is what there is to balance over.
type Fleet struct {
	// Workers are those that may hold keys now, by service.
	Workers map[string][]Worker
	// Hashed returns the worker that hashing gives a key, if there is one.
	Hashed func(key demand.Key) (id string, ok bool)
}

// Worker is a worker that may hold keys.
type Worker struct {
	worker.Worker
	// Full is set if it keeps the keys it holds and gets no others.
	Full bool
}

// Balancer adds up counts and decides. It is safe for concurrent use.
type Balancer struct {
	cfg Config

	mu      sync.Mutex
	started time.Time
	keys    map[demand.Key]*count
	// held is the worker that held a key at the last decision.
	held map[holders.Key]string
	// answers, and the seconds they took, are by service.
	answers, took map[string]*count
}

// New returns a balancer that knows of no demand.
func New(cfg Config) *Balancer {
	return &Balancer{
		cfg: cfg, started: cfg.Now(), keys: make(map[demand.Key]*count), held: make(map[holders.Key]string),
		answers: make(map[string]*count), took: make(map[string]*count),
	}
}

// Restart forgets what was counted: others have decided meanwhile, and this
// balancer was told nothing.
func (b *Balancer) Restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.keys)
	clear(b.held)
	clear(b.answers)
	clear(b.took)
}

// Add takes in what VMs have counted.
func (b *Balancer) Add(r demand.Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Now()
	if len(b.keys) == 0 {
		b.started = now
	}
	for key, n := range r.Keys {
		add(b.keys, key, float64(n), memory, now)
	}
	for service, w := range r.Work {
		add(b.answers, service, float64(w.Answers), workMemory, now)
		add(b.took, service, w.Time.Seconds(), workMemory, now)
	}
}

// Decide moves keys from pressed workers, and forgets the moves to workers that
// are gone. It returns how many keys it moved.
func (b *Balancer) Decide(f Fleet) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Now()
	change := b.forget(now)
	moved := 0
	for service, keys := range b.keysByService(now) {
		s := b.spreadOf(f, service, keys, change)
		s.perAnswer = b.perAnswer(service, now)
		if len(s.loads) == 0 {
			continue
		}
		s.keep(b.held, change)
		if now.Sub(b.started) >= memory { // Before, rates say little.
			moved += s.even(change)
		}
		for _, l := range s.loads {
			for _, k := range l.keys {
				b.held[k.id] = l.worker.ID
			}
		}
	}
	b.cfg.Table.Change(change)
	return moved
}

// forget drops the keys that nobody has asked for in a long time.
func (b *Balancer) forget(now time.Time) holders.Change {
	gone := make(holders.Change)
	for key, c := range b.keys {
		if now.Sub(c.last) <= forgetAfter {
			continue
		}
		delete(b.keys, key)
		id := holders.KeyOf(key.Service, key.Region, key.Hash)
		delete(b.held, id)
		if _, moved := b.cfg.Table.Holder(id); moved {
			gone[id] = ""
		}
	}
	return gone
}

// spreadOf returns which worker holds which keys of a service. Moves to workers
// that are gone, or in a region where the key does not run any more, are taken
// back.
func (b *Balancer) spreadOf(f Fleet, service string, keys []keyed, change holders.Change) *spread {
	s := &spread{loads: make(map[string]*load)}
	for _, w := range f.Workers[service] {
		s.loads[w.ID] = &load{worker: w}
	}
	for _, k := range keys {
		hashed, _ := f.Hashed(k.key)
		l, ok := s.loads[hashed]
		if !ok {
			continue
		}
		if id, moved := b.cfg.Table.Holder(k.id); moved {
			held, ok := s.loads[id]
			if ok && held.worker.Region == l.worker.Region {
				l = held
			} else {
				change[k.id] = ""
			}
		}
		l.add(k)
	}
	return s
}
