// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package quota limits the fraction of requests that a VM moves elsewhere with a
// token bucket per cap.
//
// A bucket gains the cap's fraction of one request for every request that arrives
// and pays one whole request for every request that is moved. It starts empty and
// never holds more than Burst requests plus one arrival's fraction. Each VM therefore
// keeps two bounds without talking to any other VM:
//
//   - after n requests, at most floor(cap * n) were moved;
//   - among any n consecutive requests, at most cap * n + Burst were moved.
//
// The first bound therefore also holds for the sum of any set of VMs, even when some
// of them are paused, partitioned or restarted.
//
// # Usage
//
//	b := quota.New(10 * share.Percent)
//	b.AddRequest()
//	if quota.TakeAll(b, total) { /* move the request */ }
package quota

import (
	"sync"

	"github.com/ryehill/ryehill/state/share"
)

// Burst is how many requests can be moved back to back after an idle period, on top
// of the cap's fraction of the requests that arrive meanwhile.
const Burst = 3

const requestCost = uint64(share.Whole)

// Bucket is the token bucket of one cap at one VM.
// It is safe for concurrent use.
type Bucket struct {
	mu     sync.Mutex
	limit  share.PPM
	tokens uint64
	total  uint64
	moved  uint64
}

// New returns an empty bucket for a cap.
func New(limit share.PPM) *Bucket { return &Bucket{limit: limit} }

// AddRequest counts one request to which the cap applies, moved or not, and adds the
// cap's fraction to the bucket.
func (b *Bucket) AddRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total++
	b.tokens = min(b.tokens+uint64(b.limit), requestCost*Burst+uint64(b.limit))
}

// SetLimit changes the cap. Lowering it empties the bucket, so that the new cap
// holds from the next request on.
func (b *Bucket) SetLimit(limit share.PPM) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if limit < b.limit {
		b.tokens = 0
	}
	b.limit = limit
}

// Counts returns how many requests arrived and how many of them were moved.
func (b *Bucket) Counts() (total, moved uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total, b.moved
}

// Limit returns the cap.
func (b *Bucket) Limit() share.PPM {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit
}

func (b *Bucket) tryTake() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < requestCost {
		return false
	}
	b.tokens -= requestCost
	b.moved++
	return true
}

// nearlyFull reports whether the bucket holds more than Burst-1 requests, so that
// further tokens would soon be discarded.
func (b *Bucket) nearlyFull() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens > requestCost*(Burst-1)
}

func (b *Bucket) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+requestCost, requestCost*Burst+uint64(b.limit))
	b.moved--
}

// TakeAll takes the tokens of one moved request from every bucket, or from none.
// It reports whether all buckets had enough.
func TakeAll(buckets ...*Bucket) bool {
	for i, b := range buckets {
		if b.tryTake() {
			continue
		}
		for _, paid := range buckets[:i] {
			paid.refund()
		}
		return false
	}
	return true
}

// TakeSurplus is like TakeAll, but takes tokens only if the first bucket is nearly
// full. It lets other requests use up surplus tokens without displacing the
// requests that the cap is meant for.
func TakeSurplus(first *Bucket, others ...*Bucket) bool {
	return first.nearlyFull() && TakeAll(append([]*Bucket{first}, others...)...)
}

// Refund returns the tokens of a request that is known not to have been moved.
func Refund(buckets ...*Bucket) {
	for _, b := range buckets {
		b.refund()
	}
}
