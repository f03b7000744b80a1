// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	shardCount = 16
	// reportTTL is the age at which a load report stops counting. VMs of a region
	// receive each other's reports within about 0.7 s, two syncs.
	reportTTL = 2 * time.Second
	// minPause and maxPause bound how long a worker gets no requests after a failure. The
	// pause doubles with each consecutive failure.
	minPause = 500 * time.Millisecond
	maxPause = 4 * time.Second
)

// Loads holds a Load for each worker. It is safe for concurrent use; each shard has a lock
// of its own.
type Loads struct {
	now           func() time.Time
	lastReportSeq atomic.Uint64 // of the last load report
	shards        [shardCount]shard

	constrained constrainedLoads
	replaced    replaced
}

type shard struct {
	mu    sync.Mutex
	loads map[string]*Load
}

// NewLoads returns an empty Loads.
func NewLoads(now func() time.Time) *Loads {
	l := &Loads{now: now}
	for i := range l.shards {
		l.shards[i].loads = make(map[string]*Load)
	}
	return l
}

// GetOrCreate returns the load of a worker by its incarnation ID, and creates it if needed.
func (l *Loads) GetOrCreate(id string) *Load {
	s := &l.shards[xxhash.Sum64String(id)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	load, ok := s.loads[id]
	if !ok {
		load = &Load{id: id, now: l.now, lastReportSeq: &l.lastReportSeq, constrained: &l.constrained}
		s.loads[id] = load
	}
	return load
}

// Lookup returns the load of a worker by its incarnation ID, if there is one.
func (l *Loads) Lookup(id string) (*Load, bool) {
	s := &l.shards[xxhash.Sum64String(id)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	load, ok := s.loads[id]
	return load, ok
}

// signalsRelevant reports whether the worker's signals still matter. hasEntry is whether
// the store has an entry of the worker.
func (l *Load) signalsRelevant(hasEntry bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.signals.relevant(hasEntry, l.now())
}

// Prune removes the loads for which wanted returns false. It keeps those with requests in
// flight and those whose signals still matter.
func (l *Loads) Prune(wanted func(id string) bool) {
	l.constrained.prune(func(load *Load) bool {
		hasEntry := wanted(load.id)
		return load.signalsRelevant(hasEntry) || hasEntry && (load.Paused() || load.Ejected() || load.exitedRecently())
	})
	constrained := l.Constrained()
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for id, load := range s.loads {
			if !wanted(id) && load.InFlight() == 0 && constrained[id] != load {
				delete(s.loads, id)
			}
		}
		s.mu.Unlock()
	}
}

// Load is what this VM knows of the load and availability of one worker. It is safe for
// concurrent use.
type Load struct {
	id            string
	now           func() time.Time
	lastReportSeq *atomic.Uint64
	constrained   *constrainedLoads

	mu             sync.Mutex
	inFlight       int // requests of this VM
	othersInFlight int // requests of other VMs, by the last report
	reportedAt     time.Time
	reportedTotal  int  // requests of all VMs, by the last report
	unsentReport   bool // set if DrainReports has not returned the report yet
	reportSeq      uint64
	failures       int // consecutive
	pausedUntil    time.Time
	outcomes       outcomes
	ejectedUntil   time.Time
	refusedAt      time.Time // when its port last refused a connection
	exitedAt       time.Time // when its process last seemed to have exited
	respondedAt    time.Time // first response after the exit at any VM
	previousExit   exit      // restored if the last exit is retracted
	uncertain      bool      // set if one closed connection is the only evidence
	exitReported   bool      // set if another VM has observed the exit at exitedAt
	provenAlive    Span
	noExitDuring   Span // refutes suspected exits within it
	signals        signals
}

// Begin counts a request that this VM starts.
func (l *Load) Begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
}

// End removes a request of this VM that has finished.
func (l *Load) End() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}

// InFlight returns the number of requests of this VM in flight.
func (l *Load) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}

// RecordReport records the worker's report of its running and waiting requests. It must be
// called before End of the request whose response carried the report.
func (l *Load) RecordReport(running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.othersInFlight = max(0, running+waiting-(l.inFlight-1))
	l.reportedAt = l.now()
	l.reportedTotal, l.unsentReport = running+waiting, true
	l.reportSeq = l.lastReportSeq.Add(1)
}

// Busy returns the estimated number of requests at the worker: those of this VM, plus those
// of other VMs by the last report, weighted down linearly to 0 over reportTTL.
func (l *Load) Busy() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	age := l.now().Sub(l.reportedAt)
	if age >= reportTTL {
		return float64(l.inFlight)
	}
	return float64(l.inFlight) + float64(l.othersInFlight)*(1-age.Seconds()/reportTTL.Seconds())
}

// RecordFailure records that the worker didn't respond, and pauses it.
func (l *Load) RecordFailure() {
	l.mu.Lock()
	defer l.mu.Unlock()
	pause := min(minPause<<min(l.failures, 8), maxPause)
	l.failures++
	l.pausedUntil = l.now().Add(pause)
	l.constrained.add(l)
}

// RecordResponse records a response, and ends a pause.
func (l *Load) RecordResponse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = 0
	l.pausedUntil = time.Time{}
	l.signals.recordResponse(l.now())
	if last := l.lastExit(); !last.IsZero() && l.respondedAt.Before(last) {
		l.respondedAt = l.now()
	}
}

// Paused reports whether the worker is paused after a failure.
func (l *Load) Paused() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Before(l.pausedUntil)
}
