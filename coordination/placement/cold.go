// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"sync"
	"time"

	"github.com/ryehill/ryehill/coordination/assign"
	"github.com/ryehill/ryehill/state/worker"
)

const (
	// coldPart of a cold worker's rate is used. Two VMs that both take
	// themselves for its owner stay within what the worker bears.
	coldPart = 0.7
	// coldBurst is how many requests may follow each other at once.
	coldBurst = 2
	// isolatedPart is what an isolated VM uses of its even part of the rate.
	isolatedPart = 0.3
)

// Peers tells which VMs there are.
type Peers interface {
	// Live returns the ids of the VMs of a region that are live as far as
	// this VM can tell, itself among them, and how many are listed there.
	Live(region string) (ids []string, listed int)
}

// ColdConfig sets up a Cold. All fields are required.
type ColdConfig struct {
	VM     string
	Region string
	Peers  Peers
	Now    func() time.Time
}

// Cold keeps the rate of requests to cold workers, summed over all VMs, within
// what such a worker bears. Each cold worker has one owner, a VM of its region
// found by rendezvous hashing over the live ones, and only the owner sends to
// it. A VM that sees less than half of its region's listed VMs may be the one
// that was cut off: it owns nothing and uses a small even part. It is safe for
// concurrent use.
type Cold struct {
	cfg ColdConfig

	mu      sync.Mutex
	buckets map[string]*bucket
}

type bucket struct {
	tokens float64
	filled time.Time
}

// maxBuckets bounds the table; it is emptied of full buckets beyond.
const maxBuckets = 4096

// NewCold returns a Cold.
func NewCold(cfg ColdConfig) *Cold { return &Cold{cfg: cfg, buckets: make(map[string]*bucket)} }

// Take reports whether this VM may send one request to a cold worker now that
// bears a rate, in requests a second, and counts it.
func (c *Cold) Take(w *worker.Worker, rate float64) bool {
	if w.Region != c.cfg.Region {
		return false
	}
	live, listed := c.cfg.Peers.Live(w.Region)
	if 2*len(live) < listed {
		// It begins with nothing in hand: what many VMs that are alone may send
		// at once adds up.
		return c.spend(w.ID, rate*isolatedPart/float64(listed), 0)
	}
	owner := assign.Top(w.ID, live, 1)
	if len(owner) == 0 || owner[0] != c.cfg.VM {
		return false
	}
	return c.spend(w.ID, rate*coldPart, 1)
}

// spend takes a token from a worker's bucket, which has so many at first.
func (c *Cold) spend(id string, rate, first float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	b, ok := c.buckets[id]
	if !ok {
		if len(c.buckets) >= maxBuckets {
			clear(c.buckets)
		}
		b = &bucket{tokens: first, filled: now}
		c.buckets[id] = b
	}
	b.tokens = min(coldBurst, b.tokens+rate*now.Sub(b.filled).Seconds())
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
