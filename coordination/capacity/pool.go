// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package capacity counts the slots of upstreams and lends them to other VMs.
//
// Each worker of a service is owned by one VM of its hall, and the Pool at that
// VM is the only place where its slots are counted. Every use goes through the
// pool: a request of the VM's own callers reserves a slot, and another VM first
// borrows slots under a Grant of a short term and redeems one at each request.
// Two rules hold at every moment, whatever the senders believe:
//
//	a slot is taken only while  slots in use < usable slots
//	slots are lent only while   in use + lent + headroom <= usable slots
//
// The first keeps a hall from more work than its workers can carry. The second
// makes it likely that a grant can be redeemed; but a grant is no claim against
// the hall's own callers, who may use slots that are lent and idle. A holder who
// finds them taken is refused before a byte reaches a worker, and runs the
// request at home. What is usable shrinks when a worker leaves, starts cold,
// falls silent or reports work that the pool did not send.
//
// A Holder is the other side: the grants that a VM holds.
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

// Refusals of a reservation. None of them used a slot.
var (
	ErrFull      = errors.New("capacity: every slot is in use")
	ErrNoWorkers = errors.New("capacity: no usable worker")
	ErrQueueFull = errors.New("capacity: too many requests wait for a slot")
	ErrTimeout   = errors.New("capacity: deadline passed while waiting for a slot")
	ErrGrant     = errors.New("capacity: no such grant, or it has lapsed")
	ErrSpent     = errors.New("capacity: every slot of the grant is in use")
)

const (
	// queuePerSlot bounds how many requests wait, for each usable slot.
	queuePerSlot = 4
	// maxGrants bounds the grants outstanding at one pool.
	maxGrants = 4096
)

// Config sets up a Pool. The zero value is useful.
type Config struct {
	// Now is the clock, which must not run backwards. Default time.Now.
	Now func() time.Time
	// Choice says how a worker is chosen. Default LeastLoaded.
	Choice Choice
	// LeastHeadroom is the part of the usable slots that is never lent.
	LeastHeadroom share.PPM
}

// Pool counts the slots that one VM owns of one service.
// It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu        sync.Mutex
	workers   map[string]*worker
	order     []*worker
	inUse     int
	grants    map[uint64]*grant
	nextGrant uint64
	waiting   *list.List
	turn      int
}

type waiter struct {
	ready chan *Slot
}

// New returns a pool without workers.
func New(cfg Config) *Pool {
	if cfg.Now == nil {
		cfg.Now = time.Now //nolint:forbidigo // The default for embedders.
	}
	if cfg.Choice == nil {
		cfg.Choice = LeastLoaded{}
	}
	return &Pool{
		cfg:     cfg,
		workers: make(map[string]*worker),
		grants:  make(map[uint64]*grant),
		waiting: list.New(),
	}
}

// SetHeadroom changes the part of the usable slots that is never lent.
func (p *Pool) SetHeadroom(least share.PPM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.LeastHeadroom = least
}

// SetWorkers replaces the owned workers. A worker that is no longer listed gets
// no new work at once; its requests in flight stay counted until they end.
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
		w.set(cfg, p.cfg.Now())
	}
	for id, w := range p.workers {
		w.owned = listed[id]
		if !w.owned && w.inUse == 0 {
			delete(p.workers, id)
		}
	}
	p.reorder()
	p.serveWaiting()
}

func (p *Pool) reorder() {
	p.order = p.order[:0]
	for _, w := range p.workers {
		if w.owned {
			p.order = append(p.order, w)
		}
	}
	sortWorkers(p.order)
}

// TryReserve takes a slot at once. It returns ErrFull or ErrNoWorkers if none
// is free, also while others wait.
func (p *Pool) TryReserve() (*Slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting.Len() > 0 {
		return nil, ErrFull
	}
	return p.reserve(nil)
}

// Reserve takes a slot, waiting for one in order of arrival until ctx ends.
// It returns ErrNoWorkers, ErrQueueFull or ErrTimeout.
func (p *Pool) Reserve(ctx context.Context) (*Slot, error) {
	p.mu.Lock()
	if p.waiting.Len() == 0 {
		slot, err := p.reserve(nil)
		if err == nil || errors.Is(err, ErrNoWorkers) {
			p.mu.Unlock()
			return slot, err
		}
	}
	if p.waiting.Len() >= max(1, p.usable()*queuePerSlot) {
		p.mu.Unlock()
		return nil, ErrQueueFull
	}
	w := &waiter{ready: make(chan *Slot, 1)}
	place := p.waiting.PushBack(w)
	p.mu.Unlock()

	select {
	case slot := <-w.ready:
		return slot, nil
	case <-ctx.Done():
		return p.abandon(w, place)
	}
}

// abandon leaves the queue. A slot that was handed over at the same moment is
// taken back, since the caller's time is over.
func (p *Pool) abandon(w *waiter, place *list.Element) (*Slot, error) {
	p.mu.Lock()
	p.waiting.Remove(place)
	p.mu.Unlock()
	select {
	case slot := <-w.ready:
		slot.Release(ResultUnused)
	default:
	}
	return nil, ErrTimeout
}

// reserve takes a free slot, under the grant g or for an own caller without one.
func (p *Pool) reserve(g *grant) (*Slot, error) {
	usable := p.usable()
	if usable == 0 && p.inUse == 0 {
		return nil, ErrNoWorkers
	}
	if p.inUse >= usable || len(p.order) == 0 {
		return nil, ErrFull
	}
	w := p.choose()
	if w == nil {
		return nil, ErrFull
	}
	w.take()
	p.inUse++
	return &Slot{pool: p, worker: w, grant: g, taken: p.cfg.Now(), config: w.Worker, start: w.start}, nil
}

// serveWaiting hands free slots to those who wait, first come first served.
func (p *Pool) serveWaiting() {
	for p.waiting.Len() > 0 {
		slot, err := p.reserve(nil)
		if err != nil {
			return
		}
		w, _ := p.waiting.Remove(p.waiting.Front()).(*waiter)
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
	// Slots is the nominal sum over owned workers.
	Slots int
	// Usable is what may be used now, and Free what is left of it.
	Usable, Free int
	// InUse counts requests in flight, Lent slots lent and not in use.
	InUse, Lent int
	Waiting     int
	// OldestReport is the age of the oldest worker's last load report.
	OldestReport time.Duration
}

// Status returns a snapshot.
func (p *Pool) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	s := Status{Usable: p.usable(), InUse: p.inUse, Lent: p.lent(), Waiting: p.waiting.Len()}
	for _, w := range p.order {
		s.Slots += w.Slots
		s.OldestReport = max(s.OldestReport, now.Sub(w.reported))
	}
	s.Free = max(0, s.Usable-s.InUse-s.Lent-s.Waiting)
	return s
}
