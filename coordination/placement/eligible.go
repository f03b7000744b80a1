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

// eligible are the workers that may get a request.
type eligible struct {
	// awake may get it now, resting once their rest is over.
	awake, resting []*worker.Worker
	// left are about to end, and their time to get requests is over.
	left []*worker.Worker
	// wakesFirst is the one of those that rest which may get it first, at wake.
	wakesFirst *worker.Worker
	wake       time.Time
	now        time.Time
}

// all returns those that may get the request now or soon.
func (e eligible) all() []*worker.Worker {
	if len(e.resting) == 0 {
		return e.awake
	}
	return slices.Concat(e.awake, e.resting)
}

// outside returns the workers that are not in a region.
func outside(workers []*worker.Worker, region string) []*worker.Worker {
	var others []*worker.Worker
	for _, w := range workers {
		if w.Region != region {
			others = append(others, w)
		}
	}
	return others
}

// rest adds a worker that rests.
func (e *eligible) rest(w *worker.Worker, until time.Time) {
	if len(e.resting) == 0 || until.Before(e.wake) {
		e.wakesFirst, e.wake = w, until
	}
	e.resting = append(e.resting, w)
}

// mostSpared is the part of a service's workers that may be spared at most:
// the others have to carry the load.
const mostSpared = 1.0 / 3

// drained reports whether an operator has drained a service out of a hall, so
// that it must get nothing more, also while the move's targets have no room.
func (s *Snapshot) drained(service, hall string) bool {
	if s.Traffic == nil {
		return false
	}
	for _, m := range s.Traffic.Moves(service, hall) {
		if m.Settled() {
			return true
		}
	}
	return false
}

// eligible returns the workers that may get the request. Those that failed just
// now are left out unless nothing else is there, and so are those that are
// spared, unless these are too many. Those that rest or have left get nothing whatever
// happens.
func (p *Placer) eligible(s *Snapshot, r Request) eligible {
	all := s.Workers.Track(r.Service, r.Track)
	e := eligible{awake: make([]*worker.Worker, 0, len(all)), now: p.cfg.Now()}
	var paused, spared []*worker.Worker
	standings := p.cfg.Loads.Standings()
	for _, w := range all {
		if slices.Contains(r.Tried, w.ID) || r.Allows != nil && !r.Allows(w.Region) || s.drained(r.Service, w.Hall) {
			continue
		}
		switch standing := s.standing(standings, w, e.now).(type) {
		case worker.Left:
			e.left = append(e.left, w)
		case worker.Resting:
			e.rest(w, standing.Until)
		case worker.Paused:
			paused = append(paused, w)
		case worker.Spared:
			spared = append(spared, w)
		case worker.Ready, worker.Limited:
			e.awake = append(e.awake, w)
		}
	}
	if float64(len(spared)) > mostSpared*float64(len(e.awake)+len(spared)) {
		e.awake = append(e.awake, spared...)
	}
	if len(e.awake) == 0 {
		e.awake = paused
	}
	return e
}

// restingHolder returns the worker of a region that holds the key, if it rests.
func (p *Placer) restingHolder(r Request, e eligible, region string) (*worker.Worker, bool) {
	if len(e.resting) == 0 || !r.Keyed {
		return nil, false
	}
	first, ok := p.ranked(r, e.all(), region).first()
	return first, ok && slices.Contains(e.resting, first)
}

// noneAwake refuses a request for which no worker is awake.
func (p *Placer) noneAwake(e eligible) (Choice, Refusal) {
	if len(e.resting) == 0 {
		return Choice{}, RefusalNoWorker
	}
	return p.refuseResting(e.wakesFirst, e.now, nil)
}

// refuseResting refuses a request until a worker has rested.
func (p *Placer) refuseResting(w *worker.Worker, now time.Time, considered []Considered) (Choice, Refusal) {
	choice := Choice{passedOver: p.describe(w, now), considered: considered}
	if resting, ok := p.cfg.Loads.Standing(w, now).(worker.Resting); ok {
		choice.wait = max(resting.Until.Sub(now), 0)
	}
	return choice, RefusalResting
}

// passedOver describes the worker that would hold the request's key rather than the one
// chosen, if what it has said of itself kept it from the request.
func (p *Placer) passedOver(r Request, e eligible, c Choice) string {
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
	for _, w := range slices.Concat(e.resting, e.left) {
		if w.Region == c.worker.Region && weight(w) > weight(first) {
			first = w
		}
	}
	if first == c.worker {
		return ""
	}
	return p.describe(first, e.now)
}

// describe says what keeps a worker from a request, since when or until when, and who has
// said it.
func (p *Placer) describe(w *worker.Worker, now time.Time) string {
	if leaving, leaves := p.cfg.Loads.Leaving(w); leaves {
		return fmt.Sprintf("%s leaves, by %s, heard %d ms ago", w.ID, leaving.From, now.Sub(leaving.Heard).Milliseconds())
	}
	if resting, ok := p.cfg.Loads.Standing(w, now).(worker.Resting); ok {
		return fmt.Sprintf("%s rests by %s, for %d ms more", w.ID, worker.FromAnswer, resting.Until.Sub(now).Milliseconds())
	}
	return w.ID + " is in a closed hall"
}
