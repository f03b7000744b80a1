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
	// maxSignals bounds the workers whose signals are read from one message.
	maxSignals = 256
	// unnamedPeer names the source of signals in a sync request or in the reply of a seed,
	// neither of which carries the name of its sender.
	unnamedPeer = "a VM that asked for news"
	// exitReported is the evidence of a suspected exit that a peer has observed.
	exitReported = "reported by peer"
)

// outgoingSignals returns the signals of workers that the store does not have. They are part
// of each sync request, each reply and each probe, so that they also reach other
// regions, VMs that start or reconnect, and all VMs while the store is unavailable. A
// signal is dropped with the incarnation it is about, but for an exit, which VMs have to know
// that the store serves later.
func (g *Gateway) outgoingSignals() map[string]*peerpb.WorkerSignals {
	s, known, replaced := g.snapshot.Load(), g.loads.SharedSignals(), g.loads.ReplacedExits()
	if s == nil || len(known)+len(replaced) == 0 {
		return nil
	}
	now := clock.Now()
	confirmed, verified := g.replica.ConfirmedAt(g.cfg.Codec.WorkerKind()), g.isolation.monitor.VerifiedUntil()
	messages := make(map[string]*peerpb.WorkerSignals, len(known))
	for incarnation, signals := range known {
		w, ok := s.Workers.ByIncarnation(incarnation)
		if !ok {
			continue
		}
		message := limitMessage(now, signals.RateLimit)
		if leaving := signals.Leaving; !leaving.Until.IsZero() && !w.Leaving {
			// Rounded up, so that a signal that comes back to its sender does not shorten
			// the time.
			message.LeavingMillis = millis(max(leaving.Until.Sub(now)+time.Millisecond, 0))
		}
		if exit := signals.Exit; (!exit.Own || exit.At.Before(verified)) && exit.Unconfirmed(confirmed, now) {
			message.EndedMillis, message.ReturnedMillis = millisSince(now, exit.At), millisSince(now, exit.RespondedAt)
			message.LivedFromMillis, message.LivedToMillis = millisSince(now, exit.NoExitDuring.From), millisSince(now, exit.NoExitDuring.To)
		}
		if remaining := signals.ColdUntil.Sub(now); remaining > 0 {
			message.ColdMillis = millis(remaining)
		}
		if message.LeavingMillis != nil || message.EndedMillis != nil || message.LivedToMillis != nil || message.LimitPerS != nil || message.ColdMillis != nil {
			messages[incarnation] = message
		}
	}
	for incarnation, exit := range replaced {
		if len(messages) >= maxSignals {
			break
		}
		messages[incarnation] = &peerpb.WorkerSignals{EndedMillis: millisSince(now, exit.At), ReturnedMillis: millisSince(now, exit.RespondedAt)}
	}
	return messages
}

func millis(d time.Duration) *uint32 {
	ms := uint32(d.Milliseconds())
	return &ms
}

// millisSince returns the milliseconds since a time, nil for the zero time.
func millisSince(now, at time.Time) *uint32 {
	if at.IsZero() {
		return nil
	}
	return millis(now.Sub(at))
}

// millisBefore returns the time that is some milliseconds before now, the zero time for
// nil.
func millisBefore(now time.Time, millis *uint32) time.Time {
	if millis == nil {
		return time.Time{}
	}
	return now.Add(-time.Duration(*millis) * time.Millisecond)
}

// applySignals applies the signals of workers sent by another VM.
func (g *Gateway) applySignals(from string, messages map[string]*peerpb.WorkerSignals) {
	if len(messages) == 0 || len(messages) > maxSignals {
		return
	}
	now := clock.Now()
	g.withSnapshot(func(s *placement.Snapshot) { g.applySignalsTo(s, now, from, messages) })
}

// applySignalsTo applies the signals of the workers in a snapshot, received at a time.
func (g *Gateway) applySignalsTo(s *placement.Snapshot, now time.Time, from string, messages map[string]*peerpb.WorkerSignals) {
	for incarnation, message := range messages {
		w, ok := s.Workers.ByIncarnation(incarnation)
		if !ok {
			continue
		}
		if message.LeavingMillis != nil {
			remaining := min(time.Duration(message.GetLeavingMillis())*time.Millisecond, g.leavingGrace())
			leaving := worker.Leaving{DrainWindow: worker.DrainWindow{ObservedAt: now, Until: now.Add(remaining)}, From: from}
			if g.loads.GetOrCreate(incarnation).Observe(leaving) {
				g.log.V(1).Info("workers: leaving signal received from peer", "worker", w.ID, "peer", from, "for_ms", remaining.Milliseconds())
			}
		}
		exit := worker.SuspectedExit{
			At: millisBefore(now, message.EndedMillis), RespondedAt: millisBefore(now, message.ReturnedMillis),
			NoExitDuring: worker.Span{From: millisBefore(now, message.LivedFromMillis), To: millisBefore(now, message.LivedToMillis)},
		}
		if exit != (worker.SuspectedExit{}) && g.loads.GetOrCreate(incarnation).Observe(exit) {
			g.cfg.Metrics.SuspectedExit(exitReported)
			g.log.Info("workers: process may have exited", "worker", w.ID, "evidence", exitReported, "peer", from, "exited_ms_ago", now.Sub(exit.At).Milliseconds())
		}
		g.applyLimit(now, from, w, message)
		if message.ColdMillis != nil {
			g.applyCold(w, worker.Cold{Until: now.Add(time.Duration(message.GetColdMillis()) * time.Millisecond), From: from})
		}
	}
}

// limitMessage encodes a rate limit. The message is empty if there is none.
func limitMessage(now time.Time, r worker.RateLimit) *peerpb.WorkerSignals {
	if r.ReceivedAt.IsZero() {
		return &peerpb.WorkerSignals{}
	}
	return &peerpb.WorkerSignals{LimitPerS: &r.PerSecond, LimitSentMillis: *millisSince(now, r.SentAt), LimitHeardMillis: *millisSince(now, r.ReceivedAt)}
}

// applyLimit applies the rate limit in a message, if any.
func (g *Gateway) applyLimit(now time.Time, from string, w *worker.Worker, message *peerpb.WorkerSignals) {
	ratePerSecond := message.GetLimitPerS()
	if message.LimitPerS == nil || math.IsNaN(ratePerSecond) || ratePerSecond < 0 {
		return
	}
	sent, received := message.GetLimitSentMillis(), message.GetLimitHeardMillis()
	limit := worker.RateLimit{PerSecond: ratePerSecond, SentAt: millisBefore(now, &sent), ReceivedAt: millisBefore(now, &received), From: from}
	if g.loads.GetOrCreate(w.Incarnation()).Observe(limit) {
		g.log.V(1).Info("workers: rate limit received from peer", "worker", w.ID, "peer", from, "named", limit.Finite(), "per_s", ratePerSecond)
	}
}

// States of workers that are held back, as shown to operators and in metrics.
const (
	stateLeaving = "leaving"
	stateResting = "resting"
	stateLimited = "limited"
)

// maxHeldBack bounds the held-back workers shown to operators.
const maxHeldBack = 100

// heldBackCandidates returns the workers that are leaving according to the store and
// those with a constraint known to this VM: the few that may be held back.
func (g *Gateway) heldBackCandidates(s *placement.Snapshot) map[string]*worker.Worker {
	workers := make(map[string]*worker.Worker)
	for _, w := range s.Workers.Leaving() {
		workers[w.ID] = w
	}
	for incarnation := range g.loads.Constrained() {
		if w, ok := s.Workers.ByIncarnation(incarnation); ok {
			workers[w.ID] = w
		}
	}
	return workers
}

// heldBack returns the workers that are leaving, resting or rate-limited, sorted by ID,
// for operators.
func (g *Gateway) heldBack() []operator.HeldBackWorker {
	s := g.snapshot.Load()
	if s == nil {
		return nil
	}
	now := clock.Now()
	var workers []operator.HeldBackWorker
	for _, w := range g.heldBackCandidates(s) {
		h := operator.HeldBackWorker{Worker: w.ID, Service: w.Service, Hall: w.Hall}
		if leaving, leaves := g.loads.Leaving(w); leaves {
			h.State, h.From, h.LeftMillis = stateLeaving, leaving.From, max(leaving.Until.Sub(now), 0).Milliseconds()
		} else if !fillHeldBackState(&h, g.loads.Availability(w, now), now) {
			continue
		}
		workers = append(workers, h)
	}
	slices.SortFunc(workers, func(a, b operator.HeldBackWorker) int { return strings.Compare(a.Worker, b.Worker) })
	return workers
}

// fillHeldBackState sets the state of a resting or rate-limited worker. It returns false
// for any other.
func fillHeldBackState(h *operator.HeldBackWorker, availability worker.Availability, now time.Time) bool {
	switch s := availability.(type) {
	case worker.Resting:
		h.State, h.From, h.LeftMillis = stateResting, worker.FromResponse, max(s.Until.Sub(now), 0).Milliseconds()
	case worker.Limited:
		h.State, h.From, h.PerS, h.SinceMillis = stateLimited, s.From, s.PerSecond, now.Sub(s.Since).Milliseconds()
	default:
		return false
	}
	return true
}

// updateHeldBackMetrics updates the metrics on held-back workers.
func (g *Gateway) updateHeldBackMetrics() {
	counts := make(map[string]int)
	for _, h := range g.heldBack() {
		counts[h.State]++
	}
	for _, state := range []string{stateLeaving, stateResting, stateLimited} {
		g.cfg.Metrics.HeldBack(state, counts[state])
	}
}

// leavingGrace is how long a leaving worker may still get requests after its signal. It
// has the same margin as leaving through the store, so that a worker that exits soon
// after its signal does not lose its last requests.
func (g *Gateway) leavingGrace() time.Duration { return g.cfg.Bounds.ApplyWithin - applyMargin }
