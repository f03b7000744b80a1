// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker

import (
	"math"
	"time"
)

// outcomeMemory is the time in which answers fade to 1/e. A failure is told with
// the answers of about that time before it.
const outcomeMemory = 4 * time.Second

const (
	// goneFailures is for how many failures the word of another worker at the
	// address stands: enough for a worker to be spared by all VMs. Where each of
	// 295 VMs found out by itself, 366 workers whose addresses had passed to
	// others cost 1,778 requests in two seconds.
	goneFailures = 3
	// gonePause is for how long a worker that has ended gets nothing: the store
	// drops its entry sooner.
	gonePause = 30 * time.Second
)

// Outcomes are the exchanges with a worker that ended lately. A refusal is
// neither: the worker has not run it.
type Outcomes struct{ Answered, Failed uint32 }

// outcomes are those of one worker that were not taken yet.
type outcomes struct {
	answered float64
	at       time.Time
	failed   uint32
}

// Outcome counts an exchange that ended.
func (l *Load) Outcome(failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if failed {
		l.outcomes.failed++
		return
	}
	now := l.now()
	l.outcomes.answered = 1 + l.outcomes.left(now)
	l.outcomes.at = now
}

// Gone notes that another worker has the address of this one, which therefore has
// ended. It gets nothing more, and counts as goneFailures, so that the other VMs
// need not ask it to find out.
func (l *Load) Gone() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes.failed += goneFailures
	l.pausedTo = l.now().Add(gonePause)
	l.limits.add(l)
}

// left returns how many answers have not faded.
func (o outcomes) left(now time.Time) float64 {
	return o.answered * math.Exp(-now.Sub(o.at).Seconds()/outcomeMemory.Seconds())
}

// Spare gives the worker nothing for a time, unless too many of its service are
// spared.
func (l *Load) Spare(left time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sparedTo = l.now().Add(left)
	l.limits.add(l)
}

// Spared reports whether the worker is spared.
func (l *Load) Spared() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Before(l.sparedTo)
}

// TakeOutcomes returns the outcomes, by the worker's id, of at most so many
// workers that have failed since the last call; a sound worker costs nothing to
// tell of.
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
		if o, failed := load.takeOutcomes(); failed {
			taken[id] = o
		}
	}
}

func (l *Load) takeOutcomes() (Outcomes, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outcomes.failed == 0 {
		return Outcomes{}, false
	}
	o := Outcomes{Answered: uint32(math.Round(l.outcomes.left(l.now()))), Failed: l.outcomes.failed}
	l.outcomes = outcomes{}
	return o, true
}
