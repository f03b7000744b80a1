// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/worker"
	"github.com/ryehill/ryehill/transport/operator"
)

const (
	// maxSignals bounds the workers of which signals are taken from one message.
	maxSignals = 256
	// peerThatAsks stands for a VM that asks for news, whose name is not in its question.
	peerThatAsks = "a VM that asked for news"
)

// toldSignals returns what is known of workers from themselves, and which the store does not
// tell. It goes with every question for news, every answer and every probe: to VMs of other
// regions and those that start, wake or return from a cut as well, and while the store is
// away. A signal ends with the life that it is about.
func (g *Gateway) toldSignals() map[string]*peerpb.WorkerSignals {
	s, known := g.snapshot.Load(), g.loads.SharedSignals()
	if s == nil || len(known) == 0 {
		return nil
	}
	now := clock.Now()
	confirmed := g.replica.ConfirmedAt(g.cfg.Codec.WorkerKind())
	told := make(map[string]*peerpb.WorkerSignals, len(known))
	for life, signals := range known {
		w, ok := s.Workers.ByIncarnation(life)
		if !ok {
			continue
		}
		message := toldLimit(now, signals.RateLimit)
		if leaving := signals.Leaving; !leaving.Until.IsZero() && !w.Leaving {
			// Never less than it is, so that a word which comes back binds no earlier.
			message.LeavingMillis = millis(max(leaving.Until.Sub(now)+time.Millisecond, 0))
		}
		if ended := signals.Exit; ended.Unconfirmed(confirmed, now) {
			message.EndedMillis, message.ReturnedMillis = sinceMillis(now, ended.At), sinceMillis(now, ended.RespondedAt)
			message.LivedFromMillis, message.LivedToMillis = sinceMillis(now, ended.NoExitDuring.From), sinceMillis(now, ended.NoExitDuring.To)
		}
		if message.LeavingMillis != nil || message.EndedMillis != nil || message.LivedToMillis != nil || message.LimitPerS != nil {
			told[life] = message
		}
	}
	return told
}

func millis(d time.Duration) *uint32 {
	ms := uint32(d.Milliseconds())
	return &ms
}

// sinceMillis returns how long ago a moment was, nil for the zero time.
func sinceMillis(now, at time.Time) *uint32 {
	if at.IsZero() {
		return nil
	}
	return millis(now.Sub(at))
}

// before returns the moment so many milliseconds before another, the zero time for nil.
func before(now time.Time, millis *uint32) time.Time {
	if millis == nil {
		return time.Time{}
	}
	return now.Add(-time.Duration(*millis) * time.Millisecond)
}

// hearSignals takes in what workers have told or shown another VM.
func (g *Gateway) hearSignals(from string, told map[string]*peerpb.WorkerSignals) {
	s := g.snapshot.Load()
	if s == nil || len(told) > maxSignals {
		return
	}
	now := clock.Now()
	for life, message := range told {
		w, ok := s.Workers.ByIncarnation(life)
		if !ok {
			continue
		}
		if message.LeavingMillis != nil {
			left := min(time.Duration(message.GetLeavingMillis())*time.Millisecond, g.leaveWithin())
			leaving := worker.Leaving{DrainWindow: worker.DrainWindow{ObservedAt: now, Until: now.Add(left)}, From: from}
			if g.loads.GetOrCreate(life).Observe(leaving) {
				g.log.V(1).Info("workers: another VM tells that one leaves", "worker", w.ID, "peer", from, "for_ms", left.Milliseconds())
			}
		}
		ended := worker.SuspectedExit{
			At: before(now, message.EndedMillis), RespondedAt: before(now, message.ReturnedMillis),
			NoExitDuring: worker.Span{From: before(now, message.LivedFromMillis), To: before(now, message.LivedToMillis)},
		}
		if ended != (worker.SuspectedExit{}) {
			g.loads.GetOrCreate(life).Observe(ended)
		}
		g.hearLimit(now, from, w, message)
	}
}

// toldLimit returns a message that tells a limit, or nothing if there is none to tell.
func toldLimit(now time.Time, r worker.RateLimit) *peerpb.WorkerSignals {
	if r.ReceivedAt.IsZero() {
		return &peerpb.WorkerSignals{}
	}
	return &peerpb.WorkerSignals{LimitPerS: &r.PerSecond, LimitSentMillis: *sinceMillis(now, r.SentAt), LimitHeardMillis: *sinceMillis(now, r.ReceivedAt)}
}

// hearLimit takes in the limit that a worker has named to another VM, if the message tells one.
func (g *Gateway) hearLimit(now time.Time, from string, w *worker.Worker, message *peerpb.WorkerSignals) {
	perS := message.GetLimitPerS()
	if message.LimitPerS == nil || math.IsNaN(perS) || perS < 0 {
		return
	}
	sent, heard := message.GetLimitSentMillis(), message.GetLimitHeardMillis()
	limit := worker.RateLimit{PerSecond: perS, SentAt: before(now, &sent), ReceivedAt: before(now, &heard), From: from}
	if g.loads.GetOrCreate(w.Incarnation()).Observe(limit) {
		g.log.V(1).Info("workers: another VM tells of a limit", "worker", w.ID, "peer", from, "named", limit.Finite(), "per_s", perS)
	}
}

// States of workers that are held back.
const (
	stateLeaving = "leaving"
	stateResting = "resting"
	stateLimited = "limited"
)

// maxHeldBack bounds the workers that operators are shown as held back.
const maxHeldBack = 100

// mayBeHeldBack returns the workers that leave by the store's word, or that this VM knows
// anything against: the few of all that may leave, rest or name a limit.
func (g *Gateway) mayBeHeldBack(s *placement.Snapshot) map[string]*worker.Worker {
	workers := make(map[string]*worker.Worker)
	for _, w := range s.Workers.Leaving() {
		workers[w.ID] = w
	}
	for life := range g.loads.Constrained() {
		if w, ok := s.Workers.ByIncarnation(life); ok {
			workers[w.ID] = w
		}
	}
	return workers
}

// heldBack returns workers that leave, rest or name a limit, for operators, in the order of their ids.
func (g *Gateway) heldBack() []operator.HeldBackWorker {
	s := g.snapshot.Load()
	if s == nil {
		return nil
	}
	now := clock.Now()
	var shown []operator.HeldBackWorker
	for _, w := range g.mayBeHeldBack(s) {
		h := operator.HeldBackWorker{Worker: w.ID, Service: w.Service, Hall: w.Hall}
		if leaving, leaves := g.loads.Leaving(w); leaves {
			h.State, h.From, h.LeftMillis = stateLeaving, leaving.From, max(leaving.Until.Sub(now), 0).Milliseconds()
		} else if !showStanding(&h, g.loads.Availability(w, now), now) {
			continue
		}
		shown = append(shown, h)
	}
	slices.SortFunc(shown, func(a, b operator.HeldBackWorker) int { return strings.Compare(a.Worker, b.Worker) })
	return shown
}

// showStanding fills in why a worker is held back, if it rests or names a limit.
func showStanding(h *operator.HeldBackWorker, standing worker.Availability, now time.Time) bool {
	switch s := standing.(type) {
	case worker.Resting:
		h.State, h.From, h.LeftMillis = stateResting, worker.FromResponse, max(s.Until.Sub(now), 0).Milliseconds()
	case worker.Limited:
		h.State, h.From, h.PerS, h.SinceMillis = stateLimited, s.From, s.PerSecond, now.Sub(s.Since).Milliseconds()
	default:
		return false
	}
	return true
}

// tellHeldBack counts the workers that leave, rest or name a limit for the metrics.
func (g *Gateway) tellHeldBack() {
	counts := make(map[string]int)
	for _, h := range g.heldBack() {
		counts[h.State]++
	}
	for _, state := range []string{stateLeaving, stateResting, stateLimited} {
		g.cfg.Metrics.HeldBack(state, counts[state])
	}
}

// leaveWithin is for how long after its word a worker that leaves may get requests. The
// margin is that of the store's word: a worker that is to end soon after it has spoken
// would else end under the last of them.
func (g *Gateway) leaveWithin() time.Duration { return g.cfg.Bounds.ApplyWithin - applyMargin }
