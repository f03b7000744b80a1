// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"sync"
	"time"
)

// driftPart is how much longer than the pool a lender takes a loan to last, in parts
// of LoanFor: clocks that differ by less in their rates are borne.
const driftPart = 0.1

// Lender lends a VM's parts to one pool at a time: it lends them to another one only
// after the earlier loan has ended for certain. The end of a loan is told by the
// clock of the pool, so that one which is long on its way lasts no longer. It is safe
// for concurrent use.
type Lender struct {
	now func() time.Time

	mu sync.Mutex
	// pool has this VM's parts until the last loan has ended for certain.
	pool  string
	until time.Time
	// clocks are those of the VMs that have answered as pools, bounded by maxClocks.
	clocks map[string]clock
	// base is the zero of this VM's clock.
	base time.Time
}

// clock is what is known of the clock of a pool's process: the number of its start,
// and by what it is ahead of this VM's at least.
type clock struct {
	start  uint64
	offset time.Duration
}

// maxClocks bounds the pools whose clocks are remembered.
const maxClocks = 64

// NewLender returns a lender that has lent nothing.
func NewLender(now func() time.Time) *Lender {
	return &Lender{now: now, base: now(), clocks: make(map[string]clock)}
}

// Offer returns what to tell a pool: up to when, by its process's clock, it has this
// VM's parts. It returns false while the pool's clock is not known or another one has
// the parts.
func (l *Lender) Offer(pool string) (start uint64, until time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if pool != l.pool && now.Before(l.until) {
		return 0, 0, false
	}
	c, known := l.clocks[pool]
	if !known {
		return 0, 0, false
	}
	l.pool, l.until = pool, now.Add(LoanFor+time.Duration(driftPart*float64(LoanFor)))
	return c.start, now.Sub(l.base) + c.offset + LoanFor, true
}

// Answered takes in an answer of a pool: the start of its process and what its clock
// showed.
func (l *Lender) Answered(pool string, start uint64, reading time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.clocks) >= maxClocks {
		clear(l.clocks)
	}
	l.clocks[pool] = clock{start: start, offset: reading - l.now().Sub(l.base)}
}

// Holds returns the pool that has this VM's parts now.
func (l *Lender) Holds() (pool string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pool, l.now().Before(l.until)
}

// Returned notes that a pool has confirmed that it gave the parts back.
func (l *Lender) Returned(pool string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if pool == l.pool {
		l.until = time.Time{}
	}
}
