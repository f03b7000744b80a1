// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker

import (
	"math"
	"time"
)

const (
	// rampStep is the time in which the rate of a worker that no longer names a limit
	// doubles, and rampSteps after how many of these the rate is unlimited.
	rampStep  = 500 * time.Millisecond
	rampSteps = 6
	// leastRamp is the rate, in requests a second, from which the ramp begins at least.
	leastRamp = 2.0
	// relayMargin is how much older than it seems a looser limit is taken to be that another
	// VM has told: its age does not count its way.
	relayMargin = 200 * time.Millisecond
)

// RateLimit is what a worker says in an answer of the rate that it takes from all VMs
// together.
type RateLimit struct {
	// PerS is the rate in requests a second, math.Inf(1) if the answer names none.
	PerS float64
	// The answer was made between the moment at which its request was sent and the moment
	// at which it came.
	Sent, Heard time.Time
	// From is FromAnswer or the VM that has told it.
	From string
}

func (RateLimit) isSignal() {}

// Named reports whether there is a limit.
func (r RateLimit) Named() bool { return !r.Heard.IsZero() && !math.IsInf(r.PerS, 1) }

// rateState is what is known of the limit of one life of a worker.
type rateState struct {
	last RateLimit
	// since is when this VM first heard of the limit that is in force.
	since time.Time
	// before is the last limit that was named, if last names none.
	before float64
}

// hear takes in a limit. Answers overtake each other, so a tighter limit holds at once
// unless it is older for certain, and a looser one, or none, only if its request was sent
// after the last answer with the tighter one had come. It reports whether a limit begins,
// changes by much or ends.
func (s *rateState) hear(r RateLimit, now time.Time) (notable bool) {
	held := s.last
	if !held.Named() && !r.Named() || !r.Heard.After(held.Sent) {
		return false
	}
	same := r.Named() && held.Named() && r.PerS == held.PerS
	switch {
	case same:
		s.last.Sent, s.last.Heard = later(held.Sent, r.Sent), later(held.Heard, r.Heard)
		return false
	case !r.Sent.After(held.Heard) && held.Named() && r.PerS > held.PerS:
		return false
	}
	s.last = r
	switch {
	case !r.Named():
		s.before = held.PerS
	case !held.Named():
		s.since = now
	}
	return r.Named() != held.Named() || muchApart(r.PerS, held.PerS)
}

// muchApart reports whether one rate is more than half as much again as the other.
func muchApart(a, b float64) bool {
	const much = 1.5
	return max(a, b) > much*min(a, b)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// rate returns the rate that all VMs together may use at a moment, if it is bounded. After
// the worker has stopped naming a limit the rate doubles step by step: all that was kept
// away would else come at once.
func (s *rateState) rate(now time.Time) (perS float64, limited bool) {
	if s.last.Named() {
		return s.last.PerS, true
	}
	steps := now.Sub(s.last.Heard).Seconds() / rampStep.Seconds()
	if s.last.Heard.IsZero() || steps >= rampSteps {
		return 0, false
	}
	return max(s.before, leastRamp) * math.Exp2(max(steps, 0)), true
}
