// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"sync"
	"time"

	"github.com/ryehill/ryehill/state/workspace"
)

const (
	// LoanFor is for how long a VM lends its parts, from the moment that it says so:
	// long enough that two of three renewals may be lost, short enough that another
	// VM of the region takes over soon after a pool has died.
	LoanFor = 750 * time.Millisecond
	// maxLenders bounds the VMs that lend to one pool.
	maxLenders = 4096
	// maxPooled bounds the workspaces of a pool: 10 MB. Beyond, all are forgotten and
	// start empty.
	maxPooled = 65_536
)

// Loan is what a VM lends to a pool: its parts of all workspaces.
type Loan struct {
	VM string
	// VMs is among how many the lender takes each allowance to be divided.
	VMs int
	// Until is when the loan ends, by the clock of the pool. A time that has passed
	// ends it at once.
	Until time.Time
}

// Grant is what a pool gives for one workspace.
type Grant struct {
	Requests int
	// Wait is, where less is granted than was wanted, after what time the last of those
	// that are left may come back.
	Wait time.Duration
}

// Pool hands out what other VMs, and its own one, lend it. It is safe for concurrent
// use.
type Pool struct {
	bounds Bounds
	now    func() time.Time

	mu      sync.Mutex
	lenders map[string]Loan
	// lent counts the lenders by the number of VMs that they divide by; it changes
	// with them, at the moment since.
	lent    map[int]int
	since   time.Time
	buckets map[string]*pooled
}

// pooled is the bucket of a workspace with the limit that it was last filled by.
type pooled struct {
	bucket
	limit workspace.Limit
	turns
}

// turns are the moments at which requests that were refused may come back.
type turns struct {
	// promised is up to when what comes is promised to them.
	promised time.Time
}

// next returns after what time the next request that is refused may come back: each
// gets a moment of its own, at the pace at which requests may run. Clients come back
// once, so one that is told the same moment as all others is refused for good. Of the
// requests of the two seconds after 74 VMs had lost power, 833 and 528 were refused for
// good on two days, and 1,069 and 792 while each was told when the next token comes.
func (t *turns) next(f flow, now time.Time, longest time.Duration) time.Duration {
	if f.rate <= 0 {
		return longest
	}
	if t.promised.Before(now) {
		t.promised = now
	}
	if latest := now.Add(longest); t.promised.After(latest) {
		t.promised = latest
		return longest
	}
	t.promised = t.promised.Add(time.Duration(float64(time.Second) / f.rate))
	return min(t.promised.Sub(now), longest)
}

// NewPool returns a pool that was lent nothing.
func NewPool(bounds Bounds, now func() time.Time) *Pool {
	return &Pool{
		bounds: bounds, now: now, since: now(), lenders: make(map[string]Loan), lent: make(map[int]int), buckets: make(map[string]*pooled),
	}
}

// Lend takes in a loan, which replaces the lender's earlier one. A loan never lasts
// for longer than LoanFor.
func (p *Pool) Lend(l Loan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.expire(now)
	if latest := now.Add(LoanFor); l.Until.After(latest) {
		l.Until = latest
	}
	before, known := p.lenders[l.VM]
	switch {
	case l.VMs < 1 || !l.Until.After(now):
		if known {
			p.drop(before, now)
		}
	case known && before.VMs == l.VMs:
		p.lenders[l.VM] = l
	case known || len(p.lenders) < maxLenders:
		if known {
			p.drop(before, now)
		}
		p.change(now)
		p.lenders[l.VM] = l
		p.lent[l.VMs]++
	}
}

// Lenders returns how many VMs lend to this one.
func (p *Pool) Lenders() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(p.now())
	return len(p.lenders)
}

// Take grants requests of a workspace, up to a number.
func (p *Pool) Take(name string, limit workspace.Limit, most int) Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.expire(now)
	b := p.bucket(name, limit)
	b.fill(p.flow(b.limit), now)
	b.limit = limit
	f := p.flow(limit)
	b.fill(f, now)
	g := Grant{Requests: b.take(most)}
	for range most - g.Requests {
		g.Wait = b.next(f, now, p.bounds.Window)
	}
	return g
}

// bucket returns the bucket of a workspace. One that nobody has asked for yet has
// been filled since the lenders changed.
func (p *Pool) bucket(name string, limit workspace.Limit) *pooled {
	b, ok := p.buckets[name]
	if ok {
		return b
	}
	if len(p.buckets) >= maxPooled {
		clear(p.buckets)
		p.since = p.now()
	}
	b = &pooled{bucket: bucket{filled: p.since}, limit: limit}
	p.buckets[name] = b
	return b
}

// flow returns the bucket that is made of what is lent of a workspace. What a VM that
// is cut off from all others lends itself makes at least one request at a time.
func (p *Pool) flow(limit workspace.Limit) flow {
	amount := 0.0
	for vms, lenders := range p.lent {
		_, lent := p.bounds.divide(limit, vms)
		amount += lent * float64(lenders)
	}
	return flowOf(amount, p.bounds.Window+GrantFor)
}

// expire ends the loans whose time is over, in the order of their ends: what each
// brought until then counts, and nothing after.
func (p *Pool) expire(now time.Time) {
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
		p.drop(first, first.Until)
	}
}

// drop ends a loan.
func (p *Pool) drop(l Loan, when time.Time) {
	p.change(when)
	delete(p.lenders, l.VM)
	if p.lent[l.VMs]--; p.lent[l.VMs] == 0 {
		delete(p.lent, l.VMs)
	}
}

// change fills all buckets up to a moment at which the lenders change.
func (p *Pool) change(when time.Time) {
	for _, b := range p.buckets {
		b.fill(p.flow(b.limit), when)
	}
	p.since = when
}
