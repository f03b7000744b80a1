// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package outlier finds workers that fail too many of their requests, whatever
// their health checks say.
//
// One VM sends a worker too few requests to tell soon, so VMs add up what they
// have seen: each VM judges by its own outcomes, and the VM that watches the
// store for a region by those of all that ask it. A VM tells of a worker only
// what has failed, with the answers shortly before, so what the sum says of a
// worker's part of failures is at most too much; the least number of failures
// guards against that. A worker that is found to fail
// is spared for a while, and for twice as long each time it is found again soon
// after. Between, it gets requests as any other, so that one which has recovered
// is taken back.
//
// # Usage
//
//	judge := outlier.New(outlier.Config{Now: time.Now})
//	judge.Add(map[string]worker.Outcomes{"w-1": {Answered: 4, Failed: 3}})
//	for id, left := range judge.Spared() { loads.Of(id).Spare(left) }
package outlier

import (
	"math"
	"sync"
	"time"

	"github.com/ryehill/ryehill/state/worker"
)

const (
	// memory is the time in which what was seen fades to 1/e.
	memory = 4 * time.Second
	// leastFailed and leastPart are the failures, and the part of all
	// exchanges, from which on a worker is spared. Failures of the application
	// itself, below one in a hundred, stay far under them.
	leastFailed = 2.5
	leastPart   = 0.2
	// firstSpell and longestSpell bound for how long a worker is spared.
	firstSpell   = 2 * time.Second
	longestSpell = 16 * time.Second
	// forgiven is after how long without a new finding a worker's next spell
	// is as short as its first.
	forgiven = 30 * time.Second
	// maxWorkers bounds the workers that are remembered.
	maxWorkers = 16384
)

// Config sets up a Judge. Now is required.
type Config struct{ Now func() time.Time }

// Judge adds up outcomes of workers. It is safe for concurrent use.
type Judge struct {
	cfg Config

	mu      sync.Mutex
	workers map[string]*suspect
}

// suspect is what was seen of one worker.
type suspect struct {
	answered, failed float64
	seen             time.Time
	spell            time.Duration
	found            time.Time
	sparedTo         time.Time
}

// New returns a judge that has seen nothing.
func New(cfg Config) *Judge { return &Judge{cfg: cfg, workers: make(map[string]*suspect)} }

// Add takes in outcomes by the id of the worker.
func (j *Judge) Add(outcomes map[string]worker.Outcomes) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.cfg.Now()
	for id, o := range outcomes {
		s, ok := j.workers[id]
		if !ok {
			if len(j.workers) >= maxWorkers {
				j.forget(now)
			}
			s = &suspect{seen: now}
			j.workers[id] = s
		}
		s.add(o, now)
	}
}

func (s *suspect) add(o worker.Outcomes, now time.Time) {
	fade := math.Exp(-now.Sub(s.seen).Seconds() / memory.Seconds())
	s.answered = s.answered*fade + float64(o.Answered)
	s.failed = s.failed*fade + float64(o.Failed)
	s.seen = now
	if s.failed < leastFailed || s.failed < leastPart*(s.answered+s.failed) || now.Before(s.sparedTo) {
		return
	}
	if now.Sub(s.found) > forgiven {
		s.spell = firstSpell / 2
	}
	s.spell = min(2*s.spell, longestSpell)
	s.found, s.sparedTo = now, now.Add(s.spell)
	// What follows is judged by itself: half of the failures are enough, since
	// it has failed before.
	s.answered, s.failed = 0, leastFailed/2
}

// forget drops the workers that nothing was seen of for long.
func (j *Judge) forget(now time.Time) {
	for id, s := range j.workers {
		if now.Sub(s.seen) > forgiven {
			delete(j.workers, id)
		}
	}
	if len(j.workers) >= maxWorkers {
		clear(j.workers)
	}
}

// Spared returns the workers that are to be spared, and for how much longer.
func (j *Judge) Spared() map[string]time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.cfg.Now()
	spared := make(map[string]time.Duration)
	for id, s := range j.workers {
		if left := s.sparedTo.Sub(now); left > 0 {
			spared[id] = left
		}
	}
	return spared
}
