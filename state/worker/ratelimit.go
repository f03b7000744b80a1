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
	// PerS is the rate in requests per second, math.Inf(1) if the response names no
	// limit.
	PerS float64
	// The response was created between Sent, when its request was sent, and Heard,
	// when it arrived.
	Sent, Heard time.Time
	// From is FromResponse or the VM that relayed the limit.
	From string
}

func (RateLimit) isSignal() {}

// Named reports whether there is a limit.
func (r RateLimit) Named() bool { return !r.Heard.IsZero() && !math.IsInf(r.PerS, 1) }

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
	if !previous.Named() && !r.Named() || !r.Heard.After(previous.Sent) {
		return false
	}
	switch {
	case previous.Named() && r.PerS == previous.PerS:
		s.refresh(r)
		return false
	case previous.Named() && r.PerS > previous.PerS && !r.earliestCreation().After(previous.Heard):
		return false
	}
	s.last = r
	switch {
	case !r.Named():
		s.previousPerSecond = previous.PerS
	case !previous.Named():
		s.limitedSince = now
	}
	return r.Named() != previous.Named() || differMuch(r.PerS, previous.PerS)
}

// refresh updates the times of a limit that is already known.
func (s *rateState) refresh(r RateLimit) {
	if r.From != FromAnswer && r.Heard.Before(s.last.Heard.Add(duplicateSignalWindow)) {
		return
	}
	s.last.Sent, s.last.Heard = later(s.last.Sent, r.Sent), later(s.last.Heard, r.Heard)
}

// earliestCreation returns the earliest time at which the response can have been created.
func (r RateLimit) earliestCreation() time.Time {
	if r.From == FromAnswer {
		return r.Sent
	}
	return r.Sent.Add(-relayMargin)
}

// shared reports whether the limit is to be shared with other VMs.
func (s *rateState) shared(now time.Time) bool {
	return s.last.Named() || now.Sub(s.last.Heard) < limitEndSharedFor
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
	if s.last.Named() {
		return s.last.PerS, true
	}
	steps := now.Sub(s.last.Heard).Seconds() / rateRampStep.Seconds()
	if s.last.Heard.IsZero() || steps >= rateRampSteps {
		return 0, false
	}
	return max(s.previousPerSecond, minRampRate) * math.Exp2(max(steps, 0)), true
}

// RateLimit returns the rate, in requests per second, that all VMs together may send to a
// worker now, if it is limited.
func (l *Loads) RateLimit(w *Worker) (perSecond float64, limited bool) {
	load, constrained := l.Limited()[w.Life()]
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
