// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/ryehill/ryehill/state/worker"
)

// When a worker shuts down, its keys move to other workers, where the first requests of
// each key are slow. The worker still serves requests for some seconds, so a few requests
// of each key go to the next holder early and warm it up, and the others follow after the
// deadline. Each VM sees only a small part of the requests of a key, so it decides at
// random.
const (
	// handoverDecay is the time constant with which the probability of sending a request
	// to the next holder decays, counted from when a VM learns that the worker is shutting
	// down. In total, the VMs of a region send about as many requests early as arrive in
	// that time.
	handoverDecay = 300 * time.Millisecond
	// minHandoverProbability is the lower bound of that probability. It covers keys that
	// had no request to the next holder before.
	minHandoverProbability = 0.05
)

// hallClosing returns the deadline of the workers of a hall, if the hall is closed.
func (s *Snapshot) hallClosing(hall string) (worker.Leaving, bool) {
	return worker.Leaving{DrainWindow: s.Closing[hall], From: worker.FromStore}, s.Closed[hall]
}

// leaving returns the deadline of a worker that is shutting down or whose hall is closed,
// whichever is earlier.
func (p *Placer) leaving(s *Snapshot, w *worker.Worker) (worker.Leaving, bool) {
	closing, closed := s.hallClosing(w.Hall)
	leaving, leaves := p.cfg.Loads.Leaving(w)
	if closed && (!leaves || closing.Until.Before(leaving.Until)) {
		return closing, true
	}
	return leaving, leaves
}

// availability returns the availability of a worker, taking into account whether its hall
// is closed.
func (s *Snapshot) availability(view worker.AvailabilityView, w *worker.Worker, now time.Time) worker.Availability {
	if s.Closed[w.Hall] {
		if closing, _ := s.hallClosing(w.Hall); !closing.Open(now) {
			return worker.Departed{Leaving: closing}
		}
	}
	return view.Get(w, now)
}

// preferSuccessors ranks workers that are shutting down last, for a request that is sent
// to the next holder of its key early and for one without a key.
func (p *Placer) preferSuccessors(s *Snapshot, r Request, list *ranking) {
	first, ok := list.first()
	if !ok {
		return
	}
	leaving, leaves := p.leaving(s, first)
	if !leaves || r.Keyed && !sendsToSuccessor(p.cfg.Now().Sub(leaving.ObservedAt)) {
		return
	}
	list.demote(func(w *worker.Worker) bool {
		_, leaves := p.leaving(s, w)
		return leaves
	})
}

// sendsToSuccessor decides at random whether a request goes to the next holder, given the
// time since this VM learned that the worker is shutting down.
func sendsToSuccessor(since time.Duration) bool {
	return rand.Float64() < max(math.Exp(-since.Seconds()/handoverDecay.Seconds()), minHandoverProbability)
}
