// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package capacity

import (
	"sync"
	"time"
)

// Result says how the use of a slot ended.
type Result int

// Results of a slot.
const (
	// ResultAnswered means that the worker answered in full.
	ResultAnswered Result = iota
	// ResultUnused means that no byte was sent to the worker.
	ResultUnused
	// ResultShed means that the worker refused for lack of room.
	ResultShed
	// ResultLeaving means that the worker refused because it leaves.
	ResultLeaving
	// ResultUnreachable means that no connection could be opened.
	ResultUnreachable
	// ResultBroken means that the exchange broke off.
	ResultBroken
)

// Slot is the right to have one request in flight at one worker.
type Slot struct {
	pool   *Pool
	worker *worker
	grant  *grant
	config Worker
	start  uint64
	taken  time.Time
	once   sync.Once
}

// Worker returns the worker that the slot is at.
func (s *Slot) Worker() Worker { return s.config }

// Release gives the slot back. Only the first call counts.
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
	p.learn(w, s, r)
	if !w.owned && w.inUse == 0 {
		delete(p.workers, w.ID)
	}
	p.serveWaiting()
}

// learn takes in what a request showed of its worker. Results from an earlier
// start of the worker say nothing about the present one.
func (p *Pool) learn(w *worker, s *Slot, r Result) {
	if s.start != w.start {
		return
	}
	now := p.cfg.Now()
	switch r {
	case ResultAnswered:
		w.failures = 0
		w.answered = min(w.answered+1, max(w.ColdAnswers, 0))
		took := now.Sub(s.taken)
		if w.latency == 0 {
			w.latency = took
		}
		w.latency += (took - w.latency) / latencyWeight
	case ResultLeaving:
		w.leaving = true
	case ResultUnreachable:
		w.failures++
	case ResultShed:
		// The worker is full of work that this pool did not count: believe
		// it until the next report.
		w.foreign = max(w.foreign, w.Slots-w.inUse)
	case ResultUnused, ResultBroken:
	}
}
