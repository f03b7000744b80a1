// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"time"

	"github.com/ryehill/ryehill/state/worker"
)

const (
	// maxDenied bounds the workers of a region for which a request asks for a permit,
	// since each call may take a round trip to the VM that issues it.
	maxDenied = 4
	// maxDeniedSpillover is the same bound for a region other than the one that holds the
	// key.
	maxDeniedSpillover = 1
)

// Permits issues permits for workers that limit their rate over all VMs.
type Permits interface {
	// Acquire takes a permit to send one request to a worker that takes perSecond requests
	// per second. Priority 0 is the most urgent. Without a permit it returns the time after
	// which to ask again. It may call another VM and wait for the answer.
	Acquire(w *worker.Worker, perSecond float64, priority int) (wait time.Duration, ok bool)
}

// unlimitedPermits grants every permit.
type unlimitedPermits struct{}

// Acquire implements Permits.
func (unlimitedPermits) Acquire(*worker.Worker, float64, int) (time.Duration, bool) { return 0, true }

// search checks the workers of a region, best first, for one request.
type search struct {
	placer   *Placer
	snapshot *Snapshot
	request  Request
	coldRate float64
	// limits contains the load limits of the holders of the key, as multiples of their
	// slots.
	limits     []float64
	considered []Considered
	// denialLimit is the number of denied permits after which rate-limited workers are
	// skipped.
	denialLimit int
	// cold, full and denied count the rejected workers by reason.
	cold, full, denied int
	// retryAfter is the shortest time after which a denied permit may be available.
	retryAfter time.Duration
	// roomAfter is the time in which the first full worker is expected to have room.
	roomAfter time.Duration
}

// newSearch returns a search that has checked no workers.
func (p *Placer) newSearch(s *Snapshot, r Request) *search {
	service, _ := s.Routes.Service(r.Service)
	limits := holderLimits[:]
	if r.displaced {
		limits = displacedLimits[:]
	}
	denialLimit := maxDenied
	if r.spillover {
		denialLimit = maxDeniedSpillover
	}
	return &search{placer: p, snapshot: s, request: r, coldRate: service.ColdRate, limits: limits, denialLimit: denialLimit}
}

// done reports whether no further worker should be checked.
func (s *search) done() bool { return s.full >= len(s.limits) }

// tryAdmit reports whether a worker may get the request, and records the reason if not.
func (s *search) tryAdmit(w *worker.Worker, region string) bool {
	p := s.placer
	perSecond, limited := p.cfg.Loads.RateLimit(w)
	if limited && s.denied >= s.denialLimit {
		return false
	}
	seen := Considered{ID: w.ID, Hall: w.Hall, Region: region, Cold: p.IsCold(s.snapshot, w)}
	if !seen.Cold {
		s.measure(&seen, w)
	}
	s.considered = append(s.considered, seen)
	switch {
	case seen.Cold && !p.cfg.ColdLimiter.Allow(w, s.coldRate):
		s.cold++ // The next holder serves the key until this worker is warm.
		return false
	case !seen.Cold && seen.Busy >= seen.MaxBusy:
		s.addFull(seen)
		return false
	}
	if !limited {
		return true
	}
	wait, ok := p.cfg.Permits.Acquire(w, perSecond, s.request.Priority)
	if !ok {
		s.deny(perSecond, wait)
	}
	return ok
}

// measure sets the load of a warm worker and the limit for the next holder of the key.
func (s *search) measure(seen *Considered, w *worker.Worker) {
	seen.Slots, seen.Busy = float64(w.Slots), s.placer.cfg.Loads.GetOrCreate(w.Incarnation()).Busy()
	seen.Unreserved = s.limits[s.full] * seen.Slots
	seen.MaxBusy = s.request.reservation.Limit(seen.Slots, seen.Unreserved)
	seen.ReservedFor = s.request.reservation.ReservedFor()
}

// addFull records that the last worker is full.
func (s *search) addFull(seen Considered) {
	if s.full == 0 {
		s.roomAfter = s.request.reservation.RoomAfter(seen.Slots, seen.Busy, seen.MaxBusy)
	}
	s.full++
}

// earliestRetry returns the time after which a refused request may be served.
func (s *search) earliestRetry() time.Duration {
	if s.refusal() == RefusalBusy {
		return s.roomAfter
	}
	return s.retryAfter
}

// deny records that there is no permit for the last worker. Its keys move to other workers
// like those of a resting worker.
func (s *search) deny(perSecond float64, wait time.Duration) {
	last := &s.considered[len(s.considered)-1]
	last.Limited, last.PerSecond = true, perSecond
	if s.denied == 0 || wait < s.retryAfter {
		s.retryAfter = wait
	}
	s.denied++
	if len(s.limits) < len(displacedLimits) {
		s.limits = displacedLimits[:]
	}
}

// refusal returns the reason why no worker was chosen.
func (s *search) refusal() Refusal {
	switch {
	case s.denied > 0:
		return RefusalLimited
	case s.full > 0:
		return RefusalBusy
	case s.cold > 0:
		return RefusalCold
	}
	return RefusalNoWorker
}
