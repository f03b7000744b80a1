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
	// endToldFor is for how long VMs tell each other that a worker names no limit any more.
	endToldFor = 10 * time.Second
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
	switch {
	case held.Named() && r.PerS == held.PerS:
		s.refresh(r)
		return false
	case held.Named() && r.PerS > held.PerS && !r.certain().After(held.Heard):
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

// refresh takes in a limit that is known already.
func (s *rateState) refresh(r RateLimit) {
	if r.From != FromAnswer && r.Heard.Before(s.last.Heard.Add(sameEnd)) {
		return
	}
	s.last.Sent, s.last.Heard = later(s.last.Sent, r.Sent), later(s.last.Heard, r.Heard)
}

// certain returns the moment after which the answer was made for certain.
func (r RateLimit) certain() time.Time {
	if r.From == FromAnswer {
		return r.Sent
	}
	return r.Sent.Add(-relayMargin)
}

// tells reports whether other VMs are to be told.
func (s *rateState) tells(now time.Time) bool {
	return s.last.Named() || now.Sub(s.last.Heard) < endToldFor
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

// RateLimit returns the rate, in requests a second, that all VMs together may send to a
// worker now, if it is bounded.
func (l *Loads) RateLimit(w *Worker) (perS float64, limited bool) {
	load, held := l.Limited()[w.Life()]
	if !held {
		return 0, false
	}
	load.mu.Lock()
	defer load.mu.Unlock()
	return load.signals.rate.rate(load.now())
}

// RateLimit returns what the worker has last said of its limit.
func (l *Load) RateLimit() RateLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.signals.rate.last
}
