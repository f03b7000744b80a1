// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker

import (
	"math"
	"time"
)

const (
	// rateRampStep is the time in which the rate doubles after a worker has stopped naming
	// a limit, and rateRampSteps the number of steps after which it is unlimited.
	rateRampStep  = 500 * time.Millisecond
	rateRampSteps = 6
	// minRampRate is the minimum rate at the start of the ramp, in requests per second.
	minRampRate = 2.0
	// relayMargin is added to the age of a looser limit that another VM relayed, since its
	// age excludes the transit time.
	relayMargin = 200 * time.Millisecond
	// limitEndSharedFor is how long VMs share the end of a limit.
	limitEndSharedFor = 10 * time.Second
)

// RateLimit is the rate that a worker accepts from all VMs together, as named in a response.
type RateLimit struct {
	// PerSecond is the rate in requests per second, math.Inf(1) if the response names no
	// limit.
	PerSecond float64
	// The response was created between SentAt, when its request was sent, and ReceivedAt,
	// when it arrived.
	SentAt, ReceivedAt time.Time
	// From is FromResponse or the VM that relayed the limit.
	From string
}

func (RateLimit) isSignal() {}

// Finite reports whether there is a limit.
func (r RateLimit) Finite() bool { return !r.ReceivedAt.IsZero() && !math.IsInf(r.PerSecond, 1) }

// rateState is the known rate limit of one process of a worker.
type rateState struct {
	last RateLimit
	// limitedSince is when this VM first learned of the limit in force.
	limitedSince time.Time
	// previousPerSecond is the last limit, if the latest response names none.
	previousPerSecond float64
}

// observe applies a limit. Responses can arrive out of order, so a tighter limit applies
// immediately unless it is certainly older, and a looser one, or none, only if its request
// was sent after the last response with the tighter limit had arrived. It reports whether a
// limit begins, changes by much or ends.
func (s *rateState) observe(r RateLimit, now time.Time) (notable bool) {
	previous := s.last
	if !previous.Finite() && !r.Finite() || !r.ReceivedAt.After(previous.SentAt) {
		return false
	}
	switch {
	case previous.Finite() && r.PerSecond == previous.PerSecond:
		s.refresh(r)
		return false
	case previous.Finite() && r.PerSecond > previous.PerSecond && !r.earliestCreation().After(previous.ReceivedAt):
		return false
	}
	s.last = r
	switch {
	case !r.Finite():
		s.previousPerSecond = previous.PerSecond
	case !previous.Finite():
		s.limitedSince = now
	}
	return r.Finite() != previous.Finite() || differMuch(r.PerSecond, previous.PerSecond)
}

// refresh updates the times of a limit that is already known.
func (s *rateState) refresh(r RateLimit) {
	if r.From != FromResponse && r.ReceivedAt.Before(s.last.ReceivedAt.Add(duplicateSignalWindow)) {
		return
	}
	s.last.SentAt, s.last.ReceivedAt = later(s.last.SentAt, r.SentAt), later(s.last.ReceivedAt, r.ReceivedAt)
}

// earliestCreation returns the earliest time at which the response can have been created.
func (r RateLimit) earliestCreation() time.Time {
	if r.From == FromResponse {
		return r.SentAt
	}
	return r.SentAt.Add(-relayMargin)
}

// shared reports whether the limit is to be shared with other VMs.
func (s *rateState) shared(now time.Time) bool {
	return s.last.Finite() || now.Sub(s.last.ReceivedAt) < limitEndSharedFor
}

// differMuch reports whether one rate is more than 1.5 times the other.
func differMuch(a, b float64) bool {
	const much = 1.5
	return max(a, b) > much*min(a, b)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// rate returns the rate that all VMs together may use now, if it is limited. After the end
// of a limit the rate doubles in steps, so that the requests held back don't arrive all at
// once.
func (s *rateState) rate(now time.Time) (perSecond float64, limited bool) {
	if s.last.Finite() {
		return s.last.PerSecond, true
	}
	steps := now.Sub(s.last.ReceivedAt).Seconds() / rateRampStep.Seconds()
	if s.last.ReceivedAt.IsZero() || steps >= rateRampSteps {
		return 0, false
	}
	return max(s.previousPerSecond, minRampRate) * math.Exp2(max(steps, 0)), true
}

// RateLimit returns the rate, in requests per second, that all VMs together may send to a
// worker now, if it is limited.
func (l *Loads) RateLimit(w *Worker) (perSecond float64, limited bool) {
	load, constrained := l.Constrained()[w.Incarnation()]
	if !constrained {
		return 0, false
	}
	load.mu.Lock()
	defer load.mu.Unlock()
	return load.signals.rate.rate(load.now())
}

// RateLimit returns the limit that the worker named last.
func (l *Load) RateLimit() RateLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.signals.rate.last
}
