// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package capacity

import (
	"slices"
	"strings"
	"time"
)

// Ages of a worker's last report from which on it gets fewer requests.
const (
	// FreshFor is how long a report is taken at face value.
	FreshFor = 3 * time.Second
	// StaleFor is the age of the last report up to which a worker keeps half of its slots.
	// After that it keeps one, so that a request can still find out that it is alive.
	StaleFor = 10 * time.Second
	// newWorkerAge is the initial age of the last report of a worker that has not reported
	// yet.
	newWorkerAge = FreshFor
	// maxFailures is the number of consecutive requests or polls that fail to reach a
	// worker after which it gets no requests until it answers a poll.
	maxFailures   = 2
	latencyWeight = 8
)

// Worker is the configuration of a worker.
type Worker struct {
	ID          string
	Address     string
	Slots       int
	Connections int
	// ColdAnswers is the number of answers after a start that warm the worker's cache.
	ColdAnswers int
	// Leaving is set if an operator or the VM list marks the worker as leaving.
	Leaving bool
	// LeavingStart is a start of the worker that another VM knows to be leaving, or 0. A
	// VM that takes over a worker sends it no requests until it knows that the worker has
	// another start.
	LeavingStart uint64
}

// Report is a worker's report of its load and state.
type Report struct {
	// Start identifies the worker's process; it changes at every restart.
	Start    uint64
	InFlight int
	// Leaving is set if the worker wants no new requests. It holds for the rest of this
	// start, whatever later reports say.
	Leaving bool
	// Answered is the number of requests that the worker has answered since its start.
	Answered uint64
}

type worker struct {
	Worker
	owned            bool
	inUse            int
	peak             int // most slots in use since the last report
	lastPeak         int
	start            uint64
	reportSeen       bool // a report of this start was received
	reportedAt       time.Time
	externalInFlight int
	leaving          bool // sticky for this start
	failures         int
	answered         int
	latency          time.Duration // moving average of answered requests
}

func sortWorkers(list []*worker) {
	slices.SortFunc(list, func(a, b *worker) int { return strings.Compare(a.ID, b.ID) })
}

func (w *worker) configure(cfg Worker, now time.Time) {
	if w.Address != cfg.Address {
		w.reportSeen = false
		w.leaving = false
		w.failures = 0
		w.reportedAt = now.Add(-newWorkerAge)
	}
	w.Worker = cfg
	w.owned = true
}

func (w *worker) reserveSlot() {
	w.inUse++
	w.peak = max(w.peak, w.inUse)
}

// usable returns how many requests the worker may have in flight, including the current
// ones.
func (w *worker) usable(now time.Time) int {
	maybeLeaving := w.LeavingStart != 0 && (!w.reportSeen || w.start == w.LeavingStart)
	if w.leaving || w.Leaving || maybeLeaving || w.failures >= maxFailures {
		return 0
	}
	limit := w.warmSlots()
	switch age := now.Sub(w.reportedAt); {
	case age > StaleFor:
		limit = 1
	case age > FreshFor:
		limit = max(1, limit/2)
	}
	limit -= w.externalInFlight
	if limit < 1 && w.externalInFlight >= w.Slots {
		// A worker that reports to be full of external requests may be wrong. One request
		// at a time finds out; the worker sheds what it cannot run.
		limit = 1
	}
	return max(limit, 0)
}

// warmSlots returns the usable slots of a worker with a cold cache: two at first, growing
// to all of them in proportion to the requests that it has answered.
func (w *worker) warmSlots() int {
	const initialSlots = 2
	if w.ColdAnswers <= 0 || w.answered >= w.ColdAnswers {
		return w.Slots
	}
	return min(w.Slots, initialSlots+(w.Slots-initialSlots)*w.answered/w.ColdAnswers)
}

func (w *worker) report(r Report, now time.Time) {
	if !w.reportSeen || r.Start != w.start {
		// A refusal received before the first report belongs to this start.
		w.leaving = w.leaving && !w.reportSeen
		w.reportSeen = true
		w.start = r.Start
		w.answered = int(min(r.Answered, uint64(w.ColdAnswers)))
		w.latency = 0
	}
	w.leaving = w.leaving || r.Leaving || r.Start == w.LeavingStart
	w.reportedAt = now
	w.failures = 0
	// The report may predate requests that have ended since, so the recent peak of this
	// pool's requests in flight is subtracted, not the current count.
	w.externalInFlight = max(0, r.InFlight-max(w.peak, w.lastPeak))
	w.lastPeak = w.peak
	w.peak = w.inUse
}

// Report processes a worker's report. An unknown id is ignored.
func (p *Pool) Report(id string, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[id]
	if !ok {
		return
	}
	w.report(r, p.cfg.Now())
	p.serveWaiters()
}

// RecordUnreachable records that a worker could not be polled for its load.
func (p *Pool) RecordUnreachable(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w, ok := p.workers[id]; ok {
		w.failures++
	}
}

// LeavingStarts returns the start numbers of the owned workers that are known to be
// leaving, by worker id, to be passed on to other VMs.
func (p *Pool) LeavingStarts() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	starts := make(map[string]uint64)
	for _, w := range p.order {
		if w.leaving && w.reportSeen {
			starts[w.ID] = w.start
		}
	}
	return starts
}

// OwnedWorkers returns the workers that the pool currently owns.
func (p *Pool) OwnedWorkers() []Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	owned := make([]Worker, 0, len(p.order))
	for _, w := range p.order {
		owned = append(owned, w.Worker)
	}
	return owned
}
