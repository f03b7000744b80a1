// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"sync"
	"time"

	"github.com/ryehill/ryehill/state/workspace"
)

const (
	// LoanDuration is the duration of a loan, from the moment that the VM offers it: long
	// enough that two of three renewals may be lost, short enough that another VM of the
	// region takes over soon after a pool fails.
	LoanDuration = 750 * time.Millisecond
	// maxLenders bounds the VMs that lend to one pool.
	maxLenders = 4096
	// maxPoolWorkspaces bounds the workspaces of a pool. A pool that exceeds it is
	// cleared, and its buckets start empty again.
	maxPoolWorkspaces = 65_536
)

// Loan is one VM's loan of its shares of all workspaces to a pool.
type Loan struct {
	VM string
	// VMs is the number of VMs among which the lender divides each allowance.
	VMs int
	// Until is when the loan expires, by the clock of the pool. A time in the past ends
	// the loan at once.
	Until time.Time
}

// Grant is the answer to a request for tokens of one workspace or worker.
type Grant struct {
	Requests int
	// RetryAfter is the delay after which the last of the refused requests may be retried,
	// if fewer requests are granted than were wanted.
	RetryAfter time.Duration
}

// Pool grants requests from the shares that other VMs, and its own VM, lend to it. It is
// safe for concurrent use.
type Pool struct {
	bounds Bounds
	now    func() time.Time

	mu      sync.Mutex
	lenders map[string]Loan
	// lendersByVMs counts the lenders by the number of VMs among which they divide
	// allowances. lendersChanged is when they last changed or the buckets were cleared.
	lendersByVMs   map[int]int
	lendersChanged time.Time
	buckets        map[string]*poolBucket
}

// poolBucket is the bucket of a workspace with the limit of its last refill.
type poolBucket struct {
	bucket
	limit workspace.Limit
	retrySchedule
}

// retrySchedule spreads the retries of refused requests over time.
type retrySchedule struct {
	// reservedUntil is the time up to which future tokens are reserved for refused
	// requests.
	reservedUntil time.Time
}

// nextDelay returns the delay after which a refused request may be retried. Each request
// gets a slot of its own at the refill rate: clients retry once, and if all of them
// retried at the time of the next token, most would be refused for good.
func (s *retrySchedule) nextDelay(params bucketParams, now time.Time, maxDelay time.Duration) time.Duration {
	if params.rate <= 0 {
		return maxDelay
	}
	if s.reservedUntil.Before(now) {
		s.reservedUntil = now
	}
	if latest := now.Add(maxDelay); s.reservedUntil.After(latest) {
		s.reservedUntil = latest
		return maxDelay
	}
	s.reservedUntil = s.reservedUntil.Add(time.Duration(float64(time.Second) / params.rate))
	return min(s.reservedUntil.Sub(now), maxDelay)
}

// NewPool returns a Pool without loans.
func NewPool(bounds Bounds, now func() time.Time) *Pool {
	return &Pool{
		bounds: bounds, now: now, lendersChanged: now(), lenders: make(map[string]Loan), lendersByVMs: make(map[int]int), buckets: make(map[string]*poolBucket),
	}
}

// AddLoan adds a loan, which replaces the lender's earlier one. A loan lasts for
// LoanDuration at most.
func (p *Pool) AddLoan(l Loan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.expireLoans(now)
	if latest := now.Add(LoanDuration); l.Until.After(latest) {
		l.Until = latest
	}
	previous, known := p.lenders[l.VM]
	switch {
	case l.VMs < 1 || !l.Until.After(now):
		if known {
			p.removeLoan(previous, now)
		}
	case known && previous.VMs == l.VMs:
		p.lenders[l.VM] = l
	case known || len(p.lenders) < maxLenders:
		if known {
			p.removeLoan(previous, now)
		}
		p.refillAll(now)
		p.lenders[l.VM] = l
		p.lendersByVMs[l.VMs]++
	}
}

// LenderCount returns the number of VMs that lend to the pool.
func (p *Pool) LenderCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLoans(p.now())
	return len(p.lenders)
}

// TakeTokens grants up to maxTokens requests of a workspace.
func (p *Pool) TakeTokens(name string, limit workspace.Limit, maxTokens int) Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.expireLoans(now)
	b := p.bucket(name, limit)
	b.refill(p.bucketParams(b.limit), now)
	b.limit = limit
	params := p.bucketParams(limit)
	b.refill(params, now)
	g := Grant{Requests: b.takeTokens(maxTokens)}
	for range maxTokens - g.Requests {
		g.RetryAfter = b.nextDelay(params, now, p.bounds.Window)
	}
	return g
}

// bucket returns the bucket of a workspace. A new one is refilled from the last change of
// the lenders on.
func (p *Pool) bucket(name string, limit workspace.Limit) *poolBucket {
	b, ok := p.buckets[name]
	if ok {
		return b
	}
	if len(p.buckets) >= maxPoolWorkspaces {
		clear(p.buckets)
		p.lendersChanged = p.now()
	}
	b = &poolBucket{bucket: bucket{lastRefill: p.lendersChanged}, limit: limit}
	p.buckets[name] = b
	return b
}

// bucketParams returns the parameters of a workspace's bucket from the portions that are
// lent.
func (p *Pool) bucketParams(limit workspace.Limit) bucketParams {
	amount := 0.0
	for vms, lenders := range p.lendersByVMs {
		_, lent := p.bounds.splitShare(limit, vms)
		amount += lent * float64(lenders)
	}
	return paramsFor(amount, p.bounds.Window+GrantDuration)
}

// expireLoans removes expired loans in the order of their expiry, so that each one counts
// until its end and not longer.
func (p *Pool) expireLoans(now time.Time) {
	for {
		var first Loan
		for _, l := range p.lenders {
			if !l.Until.After(now) && (first.VM == "" || l.Until.Before(first.Until)) {
				first = l
			}
		}
		if first.VM == "" {
			return
		}
		p.removeLoan(first, first.Until)
	}
}

// removeLoan ends a loan at the given time.
func (p *Pool) removeLoan(l Loan, when time.Time) {
	p.refillAll(when)
	delete(p.lenders, l.VM)
	if p.lendersByVMs[l.VMs]--; p.lendersByVMs[l.VMs] == 0 {
		delete(p.lendersByVMs, l.VMs)
	}
}

// refillAll refills all buckets up to the time at which the set of lenders changes.
func (p *Pool) refillAll(when time.Time) {
	for _, b := range p.buckets {
		b.refill(p.bucketParams(b.limit), when)
	}
	p.lendersChanged = when
}
