// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"time"

	"github.com/ryehill/ryehill/state/worker"
)

const (
	// maxDenied bounds the workers of a region of which one request is denied a permit: each
	// question may take as long as the way to their issuer.
	maxDenied = 4
	// maxDeniedElsewhere is the same for another region than the one that holds the key.
	maxDeniedElsewhere = 1
)

// Permits hands out the requests that workers which name a limit take from all VMs
// together.
type Permits interface {
	// Take takes a permit for one request of a priority, 0 being the most urgent, to a
	// worker that takes a rate, in requests a second. Without one it returns after what
	// time there may be one. It may ask another VM and wait for its answer.
	Take(w *worker.Worker, perS float64, priority int) (wait time.Duration, ok bool)
}

// unbounded permits everything.
type unbounded struct{}

// Take implements Permits.
func (unbounded) Take(*worker.Worker, float64, int) (time.Duration, bool) { return 0, true }

// search goes through the workers of a region, best first, for one request.
type search struct {
	placer   *Placer
	snapshot *Snapshot
	request  Request
	coldRate float64
	// rooms is how many requests each holder of the key may have at most, in parts of its
	// slots.
	rooms      []float64
	considered []Considered
	// mostDenied is how many workers that name a limit are asked for.
	mostDenied int
	// cold, full and denied count the workers that were not taken, by reason.
	cold, full, denied int
	// wait is after what time the first of those that were denied may be asked again.
	wait time.Duration
}

// newSearch returns a search that has looked at no worker.
func (p *Placer) newSearch(s *Snapshot, r Request) *search {
	service, _ := s.Routes.Service(r.Service)
	rooms := holderRoom[:]
	if r.displaced {
		rooms = restRoom[:]
	}
	mostDenied := maxDenied
	if r.elsewhere {
		mostDenied = maxDeniedElsewhere
	}
	return &search{placer: p, snapshot: s, request: r, coldRate: service.ColdRate, rooms: rooms, mostDenied: mostDenied}
}

// over reports whether no other worker is to be looked at.
func (s *search) over() bool { return s.full >= len(s.rooms) }

// admits reports whether a worker may take the request, and notes it if not.
func (s *search) admits(w *worker.Worker, region string) bool {
	p := s.placer
	perS, limited := p.cfg.Loads.RateLimit(w)
	if limited && s.denied >= s.mostDenied {
		return false
	}
	seen := Considered{ID: w.ID, Hall: w.Hall, Region: region, Cold: p.Cold(s.snapshot, w)}
	if !seen.Cold {
		seen.Busy, seen.Room = p.cfg.Loads.Of(w.Life()).Busy(), s.rooms[s.full]*float64(w.Slots)
	}
	s.considered = append(s.considered, seen)
	switch {
	case seen.Cold && !p.cfg.Cold.Take(w, s.coldRate):
		s.cold++ // Another holds the key until this one is warm.
		return false
	case !seen.Cold && seen.Busy >= seen.Room:
		s.full++
		return false
	}
	if !limited {
		return true
	}
	wait, ok := p.cfg.Permits.Take(w, perS, s.request.Priority)
	if !ok {
		s.deny(perS, wait)
	}
	return ok
}

// deny notes that there is no permit for the last worker. Its keys go to others as those of
// a worker that rests do.
func (s *search) deny(perS float64, wait time.Duration) {
	last := &s.considered[len(s.considered)-1]
	last.Limited, last.PerS = true, perS
	if s.denied == 0 || wait < s.wait {
		s.wait = wait
	}
	s.denied++
	if len(s.rooms) < len(restRoom) {
		s.rooms = restRoom[:]
	}
}

// refusal says why no worker was found.
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
