// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package capacity

import (
	"slices"
	"strings"
	"time"
)

// Ages at which a worker's last report counts for less.
const (
	// FreshFor is how long a report is taken at its word.
	FreshFor = 3 * time.Second
	// StaleFor is how long a worker without a newer report keeps half of its
	// slots. After that it keeps one, so that it can prove itself alive.
	StaleFor = 10 * time.Second
	// newWorkerGrace lets a worker that was never asked count as stale.
	newWorkerGrace = FreshFor
	// failuresToDown is how many sends or polls in a row must fail to reach a
	// worker before it gets no work until it answers a poll.
	failuresToDown = 2
	latencyWeight  = 8
)

// Worker is an upstream as the pool is told of it.
type Worker struct {
	ID          string
	Address     string
	Slots       int
	Connections int
	// ColdAnswers is how many answers after its start warm its cache.
	ColdAnswers int
	// Leaving is set if an operator or the VM list says that it leaves.
	Leaving bool
	// LeavingStart is a start of the worker that another VM knows to leave,
	// or 0. A VM that takes a worker over gives it nothing until it knows
	// that its start is another one.
	LeavingStart uint64
}

// Report is what a worker says of itself.
type Report struct {
	// Start numbers the worker's process; it changes at every restart.
	Start    uint64
	InFlight int
	// Leaving is set if the worker wants no new work. It is believed for
	// the whole life of this start, whatever later reports say.
	Leaving bool
	// Answered is how many requests it has answered since its start.
	Answered uint64
}

type worker struct {
	Worker
	owned    bool
	inUse    int
	peak     int // the most in use since the last report but one
	lastPeak int
	start    uint64
	known    bool // a report of this start was seen
	reported time.Time
	foreign  int
	leaving  bool // sticky for this start
	failures int
	answered int
	latency  time.Duration // moving average of answered requests
}

func sortWorkers(list []*worker) {
	slices.SortFunc(list, func(a, b *worker) int { return strings.Compare(a.ID, b.ID) })
}

func (w *worker) set(cfg Worker, now time.Time) {
	if w.Address != cfg.Address {
		w.known = false
		w.leaving = false
		w.failures = 0
		w.reported = now.Add(-newWorkerGrace)
	}
	w.Worker = cfg
	w.owned = true
}

func (w *worker) take() {
	w.inUse++
	w.peak = max(w.peak, w.inUse)
}

// usable returns how many requests the worker may carry now, those in flight
// included.
func (w *worker) usable(now time.Time) int {
	unsure := w.LeavingStart != 0 && (!w.known || w.start == w.LeavingStart)
	if w.leaving || w.Leaving || unsure || w.failures >= failuresToDown {
		return 0
	}
	limit := w.warm()
	switch age := now.Sub(w.reported); {
	case age > StaleFor:
		limit = 1
	case age > FreshFor:
		limit = max(1, limit/2)
	}
	limit -= w.foreign
	if limit < 1 && w.foreign >= w.Slots {
		// A worker that claims to be full of others' work may lie. One
		// request at a time finds out; it sheds what it cannot take.
		limit = 1
	}
	return max(limit, 0)
}

// warm returns the slots of a worker whose cache still fills: two to begin
// with, growing to all in proportion to what it has answered.
func (w *worker) warm() int {
	const first = 2
	if w.ColdAnswers <= 0 || w.answered >= w.ColdAnswers {
		return w.Slots
	}
	return min(w.Slots, first+(w.Slots-first)*w.answered/w.ColdAnswers)
}

func (w *worker) report(r Report, now time.Time) {
	if !w.known || r.Start != w.start {
		// A refusal that came before the first report is of this start.
		w.leaving = w.leaving && !w.known
		w.known = true
		w.start = r.Start
		w.answered = int(min(r.Answered, uint64(w.ColdAnswers)))
		w.latency = 0
	}
	w.leaving = w.leaving || r.Leaving || r.Start == w.LeavingStart
	w.reported = now
	w.failures = 0
	// The report may be older than requests that ended since, so the most
	// that this pool had in flight lately is taken off, not the present count.
	w.foreign = max(0, r.InFlight-max(w.peak, w.lastPeak))
	w.lastPeak = w.peak
	w.peak = w.inUse
}

// Report takes in what a worker says of itself. An unknown id is ignored.
func (p *Pool) Report(id string, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[id]
	if !ok {
		return
	}
	w.report(r, p.cfg.Now())
	p.serveWaiting()
}

// Unreachable notes that a worker could not be asked for its load.
func (p *Pool) Unreachable(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w, ok := p.workers[id]; ok {
		w.failures++
	}
}

// LeavingStarts returns the owned workers that are known to leave, with their
// start numbers, so that other VMs can be told.
func (p *Pool) LeavingStarts() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	starts := make(map[string]uint64)
	for _, w := range p.order {
		if w.leaving && w.known {
			starts[w.ID] = w.start
		}
	}
	return starts
}

// Owned returns the workers that the pool owns now.
func (p *Pool) Owned() []Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	owned := make([]Worker, 0, len(p.order))
	for _, w := range p.order {
		owned = append(owned, w.Worker)
	}
	return owned
}
