// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package capacity

import (
	"sync"
	"time"
)

// Result is the outcome of a request that held a slot.
type Result int

// Outcomes of a request.
const (
	// ResultAnswered means that the worker answered in full.
	ResultAnswered Result = iota
	// ResultUnused means that no byte was sent to the worker.
	ResultUnused
	// ResultShed means that the worker refused because it is overloaded.
	ResultShed
	// ResultLeaving means that the worker refused because it leaves.
	ResultLeaving
	// ResultUnreachable means that no connection could be opened.
	ResultUnreachable
	// ResultBroken means that the exchange broke off.
	ResultBroken
)

// Slot allows one request in flight at one worker.
type Slot struct {
	pool         *Pool
	worker       *worker
	grant        *grant
	workerConfig Worker
	start        uint64
	reservedAt   time.Time
	once         sync.Once
}

// Worker returns the worker of the slot.
func (s *Slot) Worker() Worker { return s.workerConfig }

// Release returns the slot to its pool. Only the first call has an effect.
func (s *Slot) Release(r Result) {
	s.once.Do(func() { s.pool.release(s, r) })
}

func (p *Pool) release(s *Slot, r Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := s.worker
	w.inUse--
	p.inUse--
	if s.grant != nil {
		s.grant.inUse--
	}
	p.recordResult(w, s, r)
	if !w.owned && w.inUse == 0 {
		delete(p.workers, w.ID)
	}
	p.serveWaiters()
}

// recordResult updates a worker's state from the result of a request. Results from an
// earlier start of the worker are ignored.
func (p *Pool) recordResult(w *worker, s *Slot, r Result) {
	if s.start != w.start {
		return
	}
	now := p.cfg.Now()
	switch r {
	case ResultAnswered:
		w.failures = 0
		w.answered = min(w.answered+1, max(w.ColdAnswers, 0))
		elapsed := now.Sub(s.reservedAt)
		if w.latency == 0 {
			w.latency = elapsed
		}
		w.latency += (elapsed - w.latency) / latencyWeight
	case ResultLeaving:
		w.leaving = true
	case ResultUnreachable:
		w.failures++
	case ResultShed:
		// The worker is busy with requests that this pool did not count: assume that it is
		// full until the next report.
		w.externalInFlight = max(w.externalInFlight, w.Slots-w.inUse)
	case ResultUnused, ResultBroken:
	}
}
