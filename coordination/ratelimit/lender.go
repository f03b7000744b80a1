// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"sync"
	"time"
)

// driftFraction is the fraction of LoanDuration by which the lender extends its own view of a
// loan, so that clocks whose rates differ by less cannot lend a share twice.
const driftFraction = 0.1

// Lender lends a VM's shares to one pool at a time: it switches to another pool only once
// the previous loan has certainly expired. The expiry is expressed in the pool's clock, so
// that a delayed message does not extend the loan. It is safe for concurrent use.
type Lender struct {
	now func() time.Time

	mu sync.Mutex
	// pool holds this VM's shares until the time in until.
	pool  string
	until time.Time
	// clocks holds the clocks of VMs that have answered as pools, at most maxClocks.
	clocks map[string]poolClock
	// epoch is the origin of this VM's clock readings.
	epoch time.Time
}

// poolClock describes the clock of a pool's process: the number of the process's start and
// a lower bound of the clock's offset from this VM's clock.
type poolClock struct {
	processStart uint64
	offset       time.Duration
}

// maxClocks bounds the pools whose clocks are remembered.
const maxClocks = 64

// NewLender returns a Lender without a loan.
func NewLender(now func() time.Time) *Lender {
	return &Lender{now: now, epoch: now(), clocks: make(map[string]poolClock)}
}

// OfferLoan starts or renews the loan to a pool. It returns the start number of the pool's
// process and when the loan ends by the clock of that process. It returns false while the
// pool's clock is unknown or another pool holds the shares.
func (l *Lender) OfferLoan(pool string) (start uint64, until time.Duration, ok bool) {
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
	l.pool, l.until = pool, now.Add(LoanDuration+time.Duration(driftFraction*float64(LoanDuration)))
	return c.processStart, now.Sub(l.epoch) + c.offset + LoanDuration, true
}

// ObserveClock records a pool's answer: the start number of its process and its clock
// reading.
func (l *Lender) ObserveClock(pool string, start uint64, reading time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.clocks) >= maxClocks {
		clear(l.clocks)
	}
	l.clocks[pool] = poolClock{processStart: start, offset: reading - l.now().Sub(l.epoch)}
}

// CurrentPool returns the pool that holds this VM's shares now, if any.
func (l *Lender) CurrentPool() (pool string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pool, l.now().Before(l.until)
}

// LoanReturned records that a pool has confirmed the return of the shares.
func (l *Lender) LoanReturned(pool string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if pool == l.pool {
		l.until = time.Time{}
	}
}
