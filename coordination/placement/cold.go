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
	// coldRateShare is the fraction of a cold worker's rate that its owner uses. It keeps
	// the total within the rate while two VMs both consider themselves the owner.
	coldRateShare = 0.7
	// coldBurst is the burst size of a bucket, in requests.
	coldBurst = 2
	// isolatedRateShare is the fraction that an isolated VM uses of its even share of the
	// rate.
	isolatedRateShare = 0.3
)

// Peers provides the VMs of a region.
type Peers interface {
	// Live returns the ids of the VMs of a region that this VM considers live, including
	// itself, and how many VMs are listed there.
	Live(region string) (ids []string, listed int)
}

// ColdLimiterConfig configures a ColdLimiter. All fields are required.
type ColdLimiterConfig struct {
	VM     string
	Region string
	Peers  Peers
	Now    func() time.Time
}

// ColdLimiter limits the request rate to cold workers, summed over all VMs, to what such a worker
// can take. Each cold worker has one owner, a VM of its region chosen by rendezvous
// hashing over the live VMs, and only the owner sends to it. A VM that sees less than half
// of the listed VMs of its region may be partitioned from the others: it owns no workers
// and uses a small even share of the rate. It is safe for concurrent use.
type ColdLimiter struct {
	cfg ColdLimiterConfig

	mu      sync.Mutex
	buckets map[string]*bucket
}

type bucket struct {
	tokens float64
	filled time.Time
}

// maxBuckets bounds the table, which is cleared when it is full.
const maxBuckets = 4096

// NewColdLimiter returns a ColdLimiter without buckets.
func NewColdLimiter(cfg ColdLimiterConfig) *ColdLimiter {
	return &ColdLimiter{cfg: cfg, buckets: make(map[string]*bucket)}
}

// Allow reports whether this VM may now send one request to a cold worker that takes rate
// requests per second, and counts the request.
func (c *ColdLimiter) Allow(w *worker.Worker, rate float64) bool {
	if w.Region != c.cfg.Region {
		return false
	}
	live, listed := c.cfg.Peers.Live(w.Region)
	if 2*len(live) < listed {
		// The bucket starts empty, since initial tokens would add up over many isolated
		// VMs.
		return c.takeToken(w.ID, rate*isolatedRateShare/float64(listed), 0)
	}
	return c.owns(w, live) && c.takeToken(w.ID, rate*coldRateShare, 1)
}

// Owned returns the workers of a list whose rate this VM owns now.
func (c *ColdLimiter) Owned(workers []*worker.Worker) (owned []*worker.Worker) {
	live, listed := c.cfg.Peers.Live(c.cfg.Region)
	if 2*len(live) < listed {
		return nil
	}
	for _, w := range workers {
		if w.Region == c.cfg.Region && c.owns(w, live) {
			owned = append(owned, w)
		}
	}
	return owned
}

// owns reports whether this VM owns the rate of a worker of its region, given the live VMs.
func (c *ColdLimiter) owns(w *worker.Worker, live []string) bool {
	owner := assign.Top(w.ID, live, 1)
	return len(owner) > 0 && owner[0] == c.cfg.VM
}

// takeToken takes a token from a worker's bucket. A new bucket starts with initial tokens.
func (c *ColdLimiter) takeToken(id string, rate, initial float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	b, ok := c.buckets[id]
	if !ok {
		if len(c.buckets) >= maxBuckets {
			clear(c.buckets)
		}
		b = &bucket{tokens: initial, filled: now}
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
