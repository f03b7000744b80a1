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
	// reportTTL is the age at which a load report stops counting. VMs of a region poll each
	// other often enough to receive a report well before that.
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

const (
	// refusedColdTime is how long after a refused connection the worker may be a new
	// process that is missing in the store. A worker writes its entry at its start and
	// every 1.5 s, and the change takes up to a second to arrive.
	refusedColdTime = 3 * time.Second
	// startPropagation is the time after an exit by which the store has the entry of a
	// process that has replaced it.
	startPropagation = 1500 * time.Millisecond
	// storeSilentAfter is the age of the store's data at which the store counts as silent.
	// It is above the usual maximum of 1.5 s.
	storeSilentAfter = 2 * time.Second
	// maxUnconfirmedCold bounds how long a worker may count as cold without confirmation
	// from the store.
	maxUnconfirmedCold = 30 * time.Second
)

// RecordConnectionRefused records that the worker's port refused a connection, which means
// that its process has exited.
func (l *Load) RecordConnectionRefused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusedAt = l.now()
}

// RecordAllConnectionsClosed records that the worker closed all connections that were
// checked. Its process may have exited.
func (l *Load) RecordAllConnectionsClosed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordExit(l.now())
	l.uncertain = false
	l.constrained.add(l)
}

// RecordConnectionClosed records that the worker closed one connection during a request.
// Its process may have exited, or only a response was lost.
func (l *Load) RecordConnectionClosed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.uncertain = l.lastExit().Before(l.now().Add(-duplicateSignalWindow)) || l.uncertain
	l.recordExit(l.now())
	l.constrained.add(l)
}

// exit is a suspected exit of a process and the first response after it at any VM.
type exit struct{ at, respondedAt time.Time }

// recordExit records a suspected exit, which may be retracted later.
func (l *Load) recordExit(at time.Time) {
	if l.previousExit.at.IsZero() || at.Sub(l.previousExit.at) >= maxUnconfirmedCold {
		l.previousExit = exit{l.exitedAt, l.respondedAt}
	}
	l.exitedAt = at
}

// MayBeCold reports whether the worker may be a process that has just started although the
// entry describes its predecessor. storeConfirmed is when the store last confirmed the
// known entries, coldStart how long a worker is cold after its start. Until the store can
// reflect a restart, only the connections reveal it. The cold time counts from the first
// response after the exit at any VM, since the port is closed for a while first.
func (l *Load) MayBeCold(storeConfirmed time.Time, coldStart time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if !l.refusedAt.IsZero() && now.Sub(l.refusedAt) < refusedColdTime {
		return true
	}
	started := l.lastExit()
	if started.IsZero() || now.Sub(started) >= maxUnconfirmedCold {
		return false
	}
	if l.respondedAt.After(started) {
		started = l.respondedAt
		if now.Sub(started) >= max(coldStart, refusedColdTime) {
			return false
		}
	}
	silent := now.Sub(storeConfirmed) > storeSilentAfter
	return storeConfirmed.Before(started) && !l.uncertain || silent && storeConfirmed.Before(started.Add(startPropagation))
}

// exitObservationSkew is the maximum time between an exit and its observation. Responses in
// flight may still arrive for this long, also between distant regions.
const exitObservationSkew = 200 * time.Millisecond

// Span is a time during which one process of a worker is known to have been running, from
// the opening of a connection to a response over it. Overlapping times are joined.
type Span struct{ From, To time.Time }

// contains reports whether a time lies within the span and outside the skew at its ends.
func (s Span) contains(at time.Time) bool {
	return s.From.Before(at.Add(-exitObservationSkew)) && s.To.After(at.Add(exitObservationSkew))
}

// ConfirmAlive records a response over a connection that was opened at the given time. A
// connection doesn't outlive the process at its other end, so a suspected exit in between
// is wrong: only other connections were lost.
func (l *Load) ConfirmAlive(connectionOpened time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if connectionOpened.After(l.provenAlive.To) || connectionOpened.Before(l.provenAlive.From) {
		l.provenAlive.From = connectionOpened
	}
	l.provenAlive.To = l.now()
	l.retractOutlivedExit(l.provenAlive)
}

// retractOutlivedExit discards a suspected exit that the process outlived. It restores the
// exit before, since the discarded one may be a late observation of it.
func (l *Load) retractOutlivedExit(s Span) {
	if l.exitedAt.IsZero() || !s.contains(l.exitedAt) {
		return
	}
	l.noExitDuring = s
	l.exitedAt, l.respondedAt, l.previousExit = l.previousExit.at, l.previousExit.respondedAt, exit{}
	if s.contains(l.exitedAt) {
		l.exitedAt, l.respondedAt = time.Time{}, time.Time{}
	}
}

// lastExit returns when the worker's process last seemed to have exited, zero if never.
func (l *Load) lastExit() time.Time {
	if l.exitedAt.After(l.refusedAt) {
		return l.exitedAt
	}
	return l.refusedAt
}

// exitedRecently reports whether the last exit can still affect MayBeCold.
func (l *Load) exitedRecently() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.lastExit()
	return !last.IsZero() && l.now().Sub(last) < maxUnconfirmedCold
}

// Paused reports whether the worker is paused after a failure.
func (l *Load) Paused() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Before(l.pausedUntil)
}
