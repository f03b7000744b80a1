// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package capacity counts the slots of workers and lends them to other VMs.
//
// Each worker of a service is owned by one VM of its hall, and the Pool at that VM is the
// only place where its slots are counted. Every use goes through the pool: a request of
// the VM's own callers reserves a slot, and another VM first borrows slots under a Grant
// with a short term and redeems one for each request. Two invariants hold, whatever the
// senders believe:
//
//	a slot is taken only while  slots in use < usable slots
//	slots are lent only while   in use + lent + headroom <= usable slots
//
// The first protects the workers from overload. The second makes it likely that a grant
// can be redeemed, but a grant is no reservation: the hall's own callers may use slots
// that are lent and idle. A holder that finds them in use is refused before a byte reaches
// a worker, and runs the request in its own hall. The number of usable slots shrinks when
// a worker leaves, starts cold, stops reporting or reports requests that the pool did not
// send.
//
// A GrantHolder is the counterpart: it tracks the grants that a VM holds.
//
// # Usage
//
//	pool := capacity.New(capacity.Config{Now: time.Now})
//	pool.SetWorkers(workers)
//	slot, err := pool.Reserve(ctx)
//	// send the request to slot.Worker()
//	slot.Release(capacity.ResultAnswered)
package capacity

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/state/share"
)

// Errors of a reservation. None of them takes a slot.
var (
	ErrFull           = errors.New("capacity: every slot is in use")
	ErrNoWorkers      = errors.New("capacity: no usable worker")
	ErrQueueFull      = errors.New("capacity: too many requests wait for a slot")
	ErrTimeout        = errors.New("capacity: deadline passed while waiting for a slot")
	ErrUnknownGrant   = errors.New("capacity: unknown or expired grant")
	ErrGrantExhausted = errors.New("capacity: every slot of the grant is in use")
)

const (
	// queuePerSlot bounds the waiting requests per usable slot.
	queuePerSlot = 4
	// maxGrants bounds the grants outstanding at one pool.
	maxGrants = 4096
)

// Config configures a Pool. The zero value is valid.
type Config struct {
	// Now is the clock, which must not run backwards. Default time.Now.
	Now func() time.Time
	// Policy selects the worker of a reservation. Default LeastLoaded.
	Policy SelectionPolicy
	// MinHeadroom is the fraction of the usable slots that is never lent.
	MinHeadroom share.PPM
}

// Pool counts the slots of the workers of one service that one VM owns. It is safe for
// concurrent use.
type Pool struct {
	cfg Config

	mu        sync.Mutex
	workers   map[string]*worker
	order     []*worker
	inUse     int
	grants    map[uint64]*grant
	nextGrant uint64
	waiters   *list.List
	rotation  int
}

type waiter struct {
	ready chan *Slot
}

// New returns a pool without workers.
func New(cfg Config) *Pool {
	if cfg.Now == nil {
		cfg.Now = time.Now //nolint:forbidigo // The default for embedders.
	}
	if cfg.Policy == nil {
		cfg.Policy = LeastLoaded{}
	}
	return &Pool{
		cfg:     cfg,
		workers: make(map[string]*worker),
		grants:  make(map[uint64]*grant),
		waiters: list.New(),
	}
}

// SetHeadroom sets the fraction of the usable slots that is never lent.
func (p *Pool) SetHeadroom(least share.PPM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.MinHeadroom = least
}

// SetWorkers replaces the owned workers. A worker that is no longer listed gets no new
// requests; its requests in flight stay counted until they end.
func (p *Pool) SetWorkers(workers []Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]bool, len(workers))
	for _, cfg := range workers {
		listed[cfg.ID] = true
		w, ok := p.workers[cfg.ID]
		if !ok {
			w = &worker{}
			p.workers[cfg.ID] = w
		}
		w.configure(cfg, p.cfg.Now())
	}
	for id, w := range p.workers {
		w.owned = listed[id]
		if !w.owned && w.inUse == 0 {
			delete(p.workers, id)
		}
	}
	p.rebuildOrder()
	p.serveWaiters()
}

func (p *Pool) rebuildOrder() {
	p.order = p.order[:0]
	for _, w := range p.workers {
		if w.owned {
			p.order = append(p.order, w)
		}
	}
	sortWorkers(p.order)
}

// TryReserve reserves a slot without waiting. It returns ErrFull if no slot is free or
// other requests wait, and ErrNoWorkers if no worker is usable.
func (p *Pool) TryReserve() (*Slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiters.Len() > 0 {
		return nil, ErrFull
	}
	return p.reserve(nil)
}

// Reserve reserves a slot and waits for one in order of arrival until ctx ends. It returns
// ErrNoWorkers, ErrQueueFull or ErrTimeout.
func (p *Pool) Reserve(ctx context.Context) (*Slot, error) {
	p.mu.Lock()
	if p.waiters.Len() == 0 {
		slot, err := p.reserve(nil)
		if err == nil || errors.Is(err, ErrNoWorkers) {
			p.mu.Unlock()
			return slot, err
		}
	}
	if p.waiters.Len() >= max(1, p.usable()*queuePerSlot) {
		p.mu.Unlock()
		return nil, ErrQueueFull
	}
	w := &waiter{ready: make(chan *Slot, 1)}
	element := p.waiters.PushBack(w)
	p.mu.Unlock()

	select {
	case slot := <-w.ready:
		return slot, nil
	case <-ctx.Done():
		return p.cancelWait(w, element)
	}
}

// cancelWait removes a waiter from the queue. A slot that was handed over at the same time
// is released, since the caller's deadline has passed.
func (p *Pool) cancelWait(w *waiter, element *list.Element) (*Slot, error) {
	p.mu.Lock()
	p.waiters.Remove(element)
	p.mu.Unlock()
	select {
	case slot := <-w.ready:
		slot.Release(ResultUnused)
	default:
	}
	return nil, ErrTimeout
}

// reserve reserves a free slot, under the grant g, or for one of the pool's own callers if
// g is nil.
func (p *Pool) reserve(g *grant) (*Slot, error) {
	usable := p.usable()
	if usable == 0 && p.inUse == 0 {
		return nil, ErrNoWorkers
	}
	if p.inUse >= usable || len(p.order) == 0 {
		return nil, ErrFull
	}
	w := p.pickWorker()
	if w == nil {
		return nil, ErrFull
	}
	w.reserveSlot()
	p.inUse++
	return &Slot{pool: p, worker: w, grant: g, reservedAt: p.cfg.Now(), workerConfig: w.Worker, start: w.start}, nil
}

// serveWaiters hands free slots to the waiters, first come first served.
func (p *Pool) serveWaiters() {
	for p.waiters.Len() > 0 {
		slot, err := p.reserve(nil)
		if err != nil {
			return
		}
		w, _ := p.waiters.Remove(p.waiters.Front()).(*waiter)
		w.ready <- slot
	}
}

func (p *Pool) usable() int {
	now := p.cfg.Now()
	total := 0
	for _, w := range p.order {
		total += w.usable(now)
	}
	return total
}

// Status is a snapshot of a pool, in slots.
type Status struct {
	// Slots is the total of the configured slots of the owned workers.
	Slots int
	// Usable is the number of slots that may be used now, and Free how many of them are
	// free.
	Usable, Free int
	// InUse counts requests in flight, Lent the slots that are lent and not in use.
	InUse, Lent int
	Waiting     int
	// OldestReport is the age of the least recent load report among the workers.
	OldestReport time.Duration
}

// Status returns a snapshot.
func (p *Pool) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	s := Status{Usable: p.usable(), InUse: p.inUse, Lent: p.lentUnused(), Waiting: p.waiters.Len()}
	for _, w := range p.order {
		s.Slots += w.Slots
		s.OldestReport = max(s.OldestReport, now.Sub(w.reportedAt))
	}
	s.Free = max(0, s.Usable-s.InUse-s.Lent-s.Waiting)
	return s
}
