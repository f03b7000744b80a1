// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/ryehill/ryehill/state/holders"
	"github.com/ryehill/ryehill/state/worker"
)

// eligible groups the workers of a service that match a request by availability.
type eligible struct {
	// available workers may get the request now, resting ones after the rest they asked for.
	available, resting []*worker.Worker
	// departed workers are shutting down, and their deadline for new requests has passed.
	departed []*worker.Worker
	// firstToResume is the resting worker that is available first, at resumesAt.
	firstToResume *worker.Worker
	resumesAt     time.Time
	now           time.Time
}

// availableOrResting returns the workers that may get the request now or after a rest.
func (e eligible) availableOrResting() []*worker.Worker {
	if len(e.resting) == 0 {
		return e.available
	}
	return slices.Concat(e.available, e.resting)
}

// outsideRegion returns the workers that are not in a region.
func outsideRegion(workers []*worker.Worker, region string) []*worker.Worker {
	var others []*worker.Worker
	for _, w := range workers {
		if w.Region != region {
			others = append(others, w)
		}
	}
	return others
}

// addResting adds a worker that has asked for a rest until a time.
func (e *eligible) addResting(w *worker.Worker, until time.Time) {
	if len(e.resting) == 0 || until.Before(e.resumesAt) {
		e.firstToResume, e.resumesAt = w, until
	}
	e.resting = append(e.resting, w)
}

// maxEjectedShare is the largest fraction of a service's workers that may be
// excluded as ejected, so that the others can carry the load.
const maxEjectedShare = 1.0 / 3

// drained reports whether an operator has drained a service out of a hall. Its workers get
// no requests then, even if the targets of the move are full.
func (s *Snapshot) drained(service, hall string) bool {
	if s.Traffic == nil {
		return false
	}
	for _, m := range s.Traffic.Moves(service, hall) {
		if m.DrainCompleted() {
			return true
		}
	}
	return false
}

// eligibleWorkers returns the workers that may get the request. Workers that failed
// recently are used only if no others are available, and ejected ones only if they exceed
// maxEjectedShare. Resting and departed workers never get a request.
func (p *Placer) eligibleWorkers(s *Snapshot, r Request) eligible {
	all := s.Workers.Track(r.Service, r.Track)
	e := eligible{available: make([]*worker.Worker, 0, len(all)), now: p.cfg.Now()}
	var paused, ejected []*worker.Worker
	view := p.cfg.Loads.AvailabilityView()
	for _, w := range all {
		if slices.Contains(r.Tried, w.ID) || r.Allows != nil && !r.Allows(w.Region) || s.drained(r.Service, w.Hall) {
			continue
		}
		switch availability := s.availability(view, w, e.now).(type) {
		case worker.Departed:
			e.departed = append(e.departed, w)
		case worker.Resting:
			e.addResting(w, availability.Until)
		case worker.Paused:
			paused = append(paused, w)
		case worker.Ejected:
			ejected = append(ejected, w)
		case worker.Ready, worker.Limited:
			e.available = append(e.available, w)
		}
	}
	if float64(len(ejected)) > maxEjectedShare*float64(len(e.available)+len(ejected)) {
		e.available = append(e.available, ejected...)
	}
	if len(e.available) == 0 {
		e.available = paused
	}
	return e
}

// Availability returns a function that returns the availability of a worker, taking into
// account whether its hall is closed.
func (p *Placer) Availability(s *Snapshot) func(w *worker.Worker) worker.Availability {
	view, now := p.cfg.Loads.AvailabilityView(), p.cfg.Now()
	return func(w *worker.Worker) worker.Availability { return s.availability(view, w, now) }
}

// Load returns the load of a worker.
func (p *Placer) Load(w *worker.Worker) *worker.Load { return p.cfg.Loads.GetOrCreate(w.Incarnation()) }

// restingHolder returns the worker of a region that holds the key, if it is resting.
func (p *Placer) restingHolder(r Request, e eligible, region string) (*worker.Worker, bool) {
	if len(e.resting) == 0 || !r.Keyed {
		return nil, false
	}
	first, ok := p.rankWorkers(r, e.availableOrResting(), region).first()
	return first, ok && slices.Contains(e.resting, first)
}

// refuseNoneAvailable refuses a request for which no worker is available.
func (p *Placer) refuseNoneAvailable(e eligible) (Choice, Refusal) {
	if len(e.resting) == 0 {
		return Choice{}, RefusalNoWorker
	}
	return p.refuseResting(e.firstToResume, e.now, nil)
}

// refuseResting refuses a request until the rest of a worker is over.
func (p *Placer) refuseResting(w *worker.Worker, now time.Time, considered []Considered) (Choice, Refusal) {
	choice := Choice{skippedHolder: p.describeUnavailable(w, now), considered: considered}
	if resting, ok := p.cfg.Loads.Availability(w, now).(worker.Resting); ok {
		choice.retryAfter = max(resting.Until.Sub(now), 0)
	}
	return choice, RefusalResting
}

// skippedHolder describes the worker that would hold the request's key instead of the
// chosen one, if it was skipped because it is resting or shutting down.
func (p *Placer) skippedHolder(r Request, e eligible, c Choice) string {
	if !r.Keyed || c.worker == nil {
		return ""
	}
	holder, _ := p.cfg.Holders.Holder(holders.KeyOf(r.Service, p.cfg.Region, r.Key))
	weight := func(w *worker.Worker) uint64 {
		if w.ID == holder {
			return math.MaxUint64
		}
		return mix(r.Key ^ w.Hash())
	}
	first := c.worker
	for _, w := range slices.Concat(e.resting, e.departed) {
		if w.Region == c.worker.Region && weight(w) > weight(first) {
			first = w
		}
	}
	if first == c.worker {
		return ""
	}
	return p.describeUnavailable(first, e.now)
}

// describeUnavailable describes why a worker gets no requests, since or until when, and
// the source of that information.
func (p *Placer) describeUnavailable(w *worker.Worker, now time.Time) string {
	if leaving, leaves := p.cfg.Loads.Leaving(w); leaves {
		return fmt.Sprintf("%s leaves, by %s, heard %d ms ago", w.ID, leaving.From, now.Sub(leaving.ObservedAt).Milliseconds())
	}
	if resting, ok := p.cfg.Loads.Availability(w, now).(worker.Resting); ok {
		return fmt.Sprintf("%s rests by %s, for %d ms more", w.ID, worker.FromResponse, resting.Until.Sub(now).Milliseconds())
	}
	return w.ID + " is in a closed hall"
}
