// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker

import "time"

// Outcomes are the exchanges with a worker that ended since they were last
// taken. A refusal is neither: the worker has not run it.
type Outcomes struct{ Answered, Failed uint32 }

// Outcome counts an exchange that ended.
func (l *Load) Outcome(failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if failed {
		l.outcomes.Failed++
		return
	}
	l.outcomes.Answered++
}

// Spare gives the worker nothing for a time, unless too many of its service are
// spared.
func (l *Load) Spare(left time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sparedTo = l.now().Add(left)
}

// Spared reports whether the worker is spared.
func (l *Load) Spared() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Before(l.sparedTo)
}

// TakeOutcomes returns the outcomes since the last call, by the worker's id, of
// at most so many workers; the others' are returned by the next call.
func (l *Loads) TakeOutcomes(most int) map[string]Outcomes {
	taken := make(map[string]Outcomes)
	for i := range l.shards {
		l.shards[i].takeOutcomes(taken, most)
	}
	return taken
}

func (s *shard) takeOutcomes(taken map[string]Outcomes, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, load := range s.loads {
		if len(taken) >= most {
			return
		}
		if o := load.takeOutcomes(); o != (Outcomes{}) {
			taken[id] = o
		}
	}
}

func (l *Load) takeOutcomes() Outcomes {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.outcomes
	l.outcomes = Outcomes{}
	return o
}
