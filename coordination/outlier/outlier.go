// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package outlier detects workers that fail too many of their requests, whatever their
// health checks report.
//
// A single VM sends a worker too few requests to detect this quickly, so VMs aggregate
// their outcomes: each VM evaluates its own, and the VM that watches the store for a
// region evaluates those of all VMs that query it. A VM reports a worker only when it has
// failed, with the successes shortly before, so the aggregated failure ratio is too high
// rather than too low; the minimum number of failures guards against that. A worker that
// is detected is ejected for a while, and for twice as long each time it is detected again
// soon after. Between ejections it gets requests like any other worker, so that one that
// has recovered is used again.
//
// # Usage
//
//	detector := outlier.New(outlier.Config{Now: time.Now})
//	detector.AddOutcomes(map[string]worker.Outcomes{"w-1": {Succeeded: 4, Failed: 3}})
//	for id, left := range detector.Ejected() { /* send id nothing for the time left */ }
package outlier

import (
	"math"
	"sync"
	"time"

	"github.com/ryehill/ryehill/state/worker"
)

const (
	// decayTime is the time in which counts decay to 1/e.
	decayTime = 4 * time.Second
	// minFailures and minFailureRatio are the number of failures and the fraction of all
	// exchanges from which on a worker is ejected. The usual failures of an application,
	// below one in a hundred, stay far below them.
	minFailures     = 2.5
	minFailureRatio = 0.2
	// minEjection and maxEjection bound the duration of an ejection.
	minEjection = 2 * time.Second
	maxEjection = 16 * time.Second
	// resetAfter is the time without a new ejection after which the duration of the next
	// one starts again at minEjection.
	resetAfter = 30 * time.Second
	// maxWorkers bounds the workers that are tracked.
	maxWorkers = 16384
)

// Config configures a Detector. Now is required.
type Config struct{ Now func() time.Time }

// Detector aggregates the outcomes of workers and detects those that fail too often. It is
// safe for concurrent use.
type Detector struct {
	cfg Config

	mu      sync.Mutex
	workers map[string]*workerStats
}

// workerStats holds the decaying counts and the ejection state of one worker.
type workerStats struct {
	succeeded, failed float64
	updatedAt         time.Time
	ejection          time.Duration
	ejectedAt         time.Time
	ejectedUntil      time.Time
}

// New returns a Detector without outcomes.
func New(cfg Config) *Detector { return &Detector{cfg: cfg, workers: make(map[string]*workerStats)} }

// AddOutcomes adds outcomes by incarnation ID.
func (d *Detector) AddOutcomes(outcomes map[string]worker.Outcomes) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	for id, o := range outcomes {
		s, ok := d.workers[id]
		if !ok {
			if len(d.workers) >= maxWorkers {
				d.dropStale(now)
			}
			s = &workerStats{updatedAt: now}
			d.workers[id] = s
		}
		s.add(o, now)
	}
}

func (s *workerStats) add(o worker.Outcomes, now time.Time) {
	decay := math.Exp(-now.Sub(s.updatedAt).Seconds() / decayTime.Seconds())
	s.succeeded = s.succeeded*decay + float64(o.Succeeded)
	s.failed = s.failed*decay + float64(o.Failed)
	s.updatedAt = now
	if s.failed < minFailures || s.failed < minFailureRatio*(s.succeeded+s.failed) || now.Before(s.ejectedUntil) {
		return
	}
	if now.Sub(s.ejectedAt) > resetAfter {
		s.ejection = minEjection / 2
	}
	s.ejection = min(2*s.ejection, maxEjection)
	s.ejectedAt, s.ejectedUntil = now, now.Add(s.ejection)
	// After an ejection half of the failures are enough, since the worker has failed
	// before.
	s.succeeded, s.failed = 0, minFailures/2
}

// dropStale removes the workers without recent outcomes, or all if too many remain.
func (d *Detector) dropStale(now time.Time) {
	for id, s := range d.workers {
		if now.Sub(s.updatedAt) > resetAfter {
			delete(d.workers, id)
		}
	}
	if len(d.workers) >= maxWorkers {
		clear(d.workers)
	}
}

// Ejected returns how much longer workers are ejected, by incarnation ID.
func (d *Detector) Ejected() map[string]time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	ejected := make(map[string]time.Duration)
	for id, s := range d.workers {
		if left := s.ejectedUntil.Sub(now); left > 0 {
			ejected[id] = left
		}
	}
	return ejected
}
