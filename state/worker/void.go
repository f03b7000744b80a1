// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker

import "time"

// VoidFailures discards the pauses and counted failures of all workers. A VM that turns out
// to reach no worker calls it, since these failures were its own.
func (l *Loads) VoidFailures() {
	l.each(func(load *Load) {
		load.mu.Lock()
		defer load.mu.Unlock()
		load.outcomes.failed = 0
		if load.pausedUntil.Sub(load.now()) <= maxPause { // Longer ones rest on a response.
			load.failures, load.pausedUntil = 0, time.Time{}
		}
	})
}

// VoidExits discards the exits of processes that this VM has suspected since a time, but
// not those that another VM has reported.
func (l *Loads) VoidExits(since time.Time) {
	l.each(func(load *Load) {
		load.mu.Lock()
		defer load.mu.Unlock()
		if !load.refusedAt.Before(since) {
			load.refusedAt = time.Time{}
		}
		isVoid := func(at time.Time) bool { return !at.IsZero() && !at.Before(since) }
		if isVoid(load.exitedAt) && !load.exitReported {
			load.discardExit(isVoid)
		}
	})
}

// each calls f for each load, without the lock of its shard.
func (l *Loads) each(f func(*Load)) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		loads := make([]*Load, 0, len(s.loads))
		for _, load := range s.loads {
			loads = append(loads, load)
		}
		s.mu.Unlock()
		for _, load := range loads {
			f(load)
		}
	}
}
