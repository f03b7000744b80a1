// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker

import (
	"math"
	"time"
)

// outcomeDecayTime is the time in which the count of successes decays to 1/e. A failure is
// reported together with the responses of about this time before it.
const outcomeDecayTime = 4 * time.Second

const (
	// addressReuseFailures is the number of failures that a reused address counts for. It
	// is high enough for all VMs to eject the worker, so that they don't have to find out
	// one by one: 366 reused addresses cost 295 VMs 1,778 requests in two seconds.
	addressReuseFailures = 3
	// addressReusePause is how long a worker whose address was reused gets no requests. The
	// store drops its entry earlier.
	addressReusePause = 30 * time.Second
)

// Outcomes counts recent exchanges with a worker. Refused requests count as neither, since
// the worker didn't run them.
type Outcomes struct{ Succeeded, Failed uint32 }

// outcomes counts the exchanges with one worker since the last drain.
type outcomes struct {
	succeeded   float64
	succeededAt time.Time
	failed      uint32
}

// RecordOutcome counts a finished exchange.
func (l *Load) RecordOutcome(failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if failed {
		l.outcomes.failed++
		return
	}
	now := l.now()
	l.outcomes.succeeded = 1 + l.outcomes.decayedSuccesses(now)
	l.outcomes.succeededAt = now
}

// MarkAddressReused records that the worker's address now belongs to another worker, which
// means that its process has exited. It pauses the worker and counts addressReuseFailures,
// so that other VMs eject it without trying it.
func (l *Load) MarkAddressReused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes.failed += addressReuseFailures
	l.pausedUntil = l.now().Add(addressReusePause)
	l.constrained.add(l)
}

// decayedSuccesses returns the decayed count of successful exchanges.
func (o outcomes) decayedSuccesses(now time.Time) float64 {
	return o.succeeded * math.Exp(-now.Sub(o.succeededAt).Seconds()/outcomeDecayTime.Seconds())
}

// Eject excludes the worker for a time. It still gets requests if too many workers of its
// service are ejected.
func (l *Load) Eject(duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ejectedUntil = l.now().Add(duration)
	l.constrained.add(l)
}

// Ejected reports whether the worker is ejected.
func (l *Load) Ejected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Before(l.ejectedUntil)
}

// DrainOutcomes returns and resets the outcomes of at most limit workers that have failed
// since the last call, by incarnation ID. Workers without failures are left out.
func (l *Loads) DrainOutcomes(limit int) map[string]Outcomes {
	drained := make(map[string]Outcomes)
	for i := range l.shards {
		l.shards[i].drainOutcomes(drained, limit)
	}
	return drained
}

func (s *shard) drainOutcomes(drained map[string]Outcomes, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, load := range s.loads {
		if len(drained) >= limit {
			return
		}
		if o, failed := load.drainOutcomes(); failed {
			drained[id] = o
		}
	}
}

func (l *Load) drainOutcomes() (Outcomes, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outcomes.failed == 0 {
		return Outcomes{}, false
	}
	o := Outcomes{Succeeded: uint32(math.Round(l.outcomes.decayedSuccesses(l.now()))), Failed: l.outcomes.failed}
	l.outcomes = outcomes{}
	return o, true
}
