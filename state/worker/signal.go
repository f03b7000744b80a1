// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker

import (
	"math/rand/v2"
	"time"
)

const (
	// maxRest bounds a rest. A worker that gets no requests could not correct an
	// excessive value.
	maxRest = 5 * time.Minute
	// restJitter is the maximum random extension of a rest as a fraction of its length, and
	// maxRestJitter its upper bound. It spreads the return of VMs that were told to rest at
	// the same time.
	restJitter    = 0.2
	maxRestJitter = 500 * time.Millisecond
	// maxRampAllowance is the number of concurrent requests of this VM at which the ramp
	// after a rest ends. The allowance starts at 1 and doubles with each response.
	// rampDuration bounds the time that the ramp takes.
	maxRampAllowance = 16
	rampDuration     = 5 * time.Second
	// duplicateSignalWindow is how much later than a known exit another one must seem to
	// count as new. The age of a relayed signal excludes its transit time; without the
	// window a signal that returns to the VM that sent it would seem ever later.
	duplicateSignalWindow = time.Second
	// leavingRetention is how long a shutdown is remembered after the worker's entry has
	// disappeared. Entries that expire during an outage of the store can return without it.
	leavingRetention = 2 * time.Minute
)

// Sources of a signal other than a VM.
const (
	FromResponse = "its answer"
	FromStore    = "the store"
)

// Signal is what a worker says of its own state in a response header, beside its load, or
// what its connections show. It applies to one process and takes effect immediately: the
// store learns of it seconds later, or never.
type Signal interface{ isSignal() }

// Leaving says that the worker is shutting down and wants no new requests.
type Leaving struct {
	DrainWindow
	// From is FromResponse, FromStore or the VM that relayed the signal.
	From string
}

// Rest says that the worker wants no requests from this VM for a time.
type Rest struct{ For time.Duration }

// Cold says until when the worker is cold, as it answered when asked for its health.
type Cold struct {
	Until time.Time
	// From is FromResponse or the VM that relayed the signal.
	From string
}

// SuspectedExit says that the worker's process seemed to have exited at a time, as seen by
// another VM: all checked connections to it were closed, or its port refused connections.
type SuspectedExit struct {
	At time.Time
	// RespondedAt is when a VM first received a response after the exit, zero if none did.
	RespondedAt time.Time
	// NoExitDuring is a time during which the process is known not to have exited although
	// it had seemed to, zero if there is none.
	NoExitDuring Span
	// Uncertain is set if the only evidence is one closed connection, which may have failed
	// alone.
	Uncertain bool
	// Own is set if no other VM has reported the exit.
	Own bool
}

// Unconfirmed reports whether the store, which last confirmed the known entries at the
// given time, may not have reflected the exit yet. It ignores an uncertain exit unless the
// store is silent.
func (e SuspectedExit) Unconfirmed(confirmed, now time.Time) bool {
	if e.Uncertain && now.Sub(confirmed) <= StoreSilentAfter {
		return false
	}
	last := later(later(e.At, e.RespondedAt), e.NoExitDuring.To)
	return confirmed.Before(last.Add(startPropagation))
}

func (Leaving) isSignal()       {}
func (SuspectedExit) isSignal() {}
func (Rest) isSignal()          {}
func (Cold) isSignal()          {}

// signals is the state that one process of a worker has signaled.
type signals struct {
	// leaving is the signal with the earliest deadline, zero if there is none.
	leaving Leaving
	// restEnd is when the last requested rest ends, and resumeAt when this VM resumes
	// sending requests, which is not earlier.
	restEnd, resumeAt time.Time
	// restAskedAt is when the worker last asked for a rest.
	restAskedAt time.Time
	// allowance is the number of concurrent requests of this VM that the worker may have
	// after a rest, 0 for no limit.
	allowance int
	rate      rateState
	// coldUntil is the latest known end of a cold time.
	coldUntil time.Time
}

// isLeaving reports whether the worker is shutting down.
func (s *signals) isLeaving() bool { return !s.leaving.Until.IsZero() }

// Observe applies a signal. It reports whether the signal is the first one of its kind in
// force; for a rate limit, whether the limit begins, changes by much or ends. The result
// doesn't depend on the order or repetition of signals: of several shutdown signals the
// earliest deadline holds, since a worker doesn't cancel its shutdown, and a shorter rest
// doesn't end a longer one.
func (l *Load) Observe(signal Signal) (first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s := signal.(type) {
	case Leaving:
		first = !l.signals.isLeaving()
		if first || s.Until.Before(l.signals.leaving.Until) {
			l.signals.leaving = s
		}
	case SuspectedExit:
		first = l.observeExit(s)
	case Rest:
		first = l.signals.observeRest(min(s.For, maxRest), l.now())
	case Cold:
		first = l.signals.observeCold(s, l.now())
	case RateLimit:
		first = l.signals.rate.observe(s, l.now())
		if !first && !s.Finite() {
			return false
		}
	}
	l.constrained.add(l)
	return first
}

// Transferred tells which signals have moved to the next process of a worker.
type Transferred struct{ Leaving, Rest, RateLimit bool }

// TransferSignals moves the signals of a process of a worker that the next one sent before its
// entry arrived: those that came after its start. A leaving signal moves only if the previous
// process also seemed to have exited before: it holds for as long as the process runs.
func (l *Loads) TransferSignals(previous, next *Worker) (moved Transferred) {
	from, ok := l.Lookup(previous.Incarnation())
	if !ok {
		return Transferred{}
	}
	said, exitedAt := from.signalsAndLastExit()
	started := time.UnixMilli(int64(next.Start))
	isNext := func(at time.Time) bool { return !at.IsZero() && !started.After(at) }
	to := l.GetOrCreate(next.Incarnation())
	if observed := said.leaving.ObservedAt; said.isLeaving() && isNext(observed) && !exitedAt.IsZero() && !exitedAt.After(observed) {
		to.Observe(said.leaving)
		moved.Leaving = true
	}
	if isNext(said.restAskedAt) {
		to.takeRest(said)
		moved.Rest = true
	}
	if limit := said.rate.last; isNext(limit.ReceivedAt) {
		to.Observe(limit)
		moved.RateLimit = limit.Finite()
	}
	return moved
}

func (l *Load) signalsAndLastExit() (said signals, exitedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.signals, l.lastExit()
}

// takeRest takes over the rest of an earlier load of the same process.
func (l *Load) takeRest(s signals) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.restEnd.After(l.signals.restEnd) {
		l.signals.restEnd, l.signals.resumeAt, l.signals.restAskedAt = s.restEnd, s.resumeAt, s.restAskedAt
	}
	l.signals.allowance = s.allowance
	l.constrained.add(l)
}

// observeExit applies an exit that another VM observed, the first response after it, or the
// retraction of an earlier one.
func (l *Load) observeExit(e SuspectedExit) (first bool) {
	l.retractOutlivedExit(e.NoExitDuring)
	switch {
	case l.noExitDuring.contains(e.At):
	case l.isNewExit(e.At):
		first = true
		l.recordExit(e.At)
		l.uncertain, l.exitReported = false, true
		l.retractOutlivedExit(l.provenAlive)
	case l.uncertain && l.exitedAt.Sub(e.At) <= duplicateSignalWindow:
		first = true
		l.uncertain = false
	}
	if !e.At.IsZero() && l.exitedAt.Sub(e.At).Abs() <= duplicateSignalWindow {
		l.exitReported = true
	}
	noResponse := l.respondedAt.Before(l.lastExit())
	if e.RespondedAt.After(l.lastExit()) && (noResponse || e.RespondedAt.Before(l.respondedAt)) {
		l.respondedAt = e.RespondedAt
	}
	return first
}

// observeCold applies a cold time. A relayed one counts only if it ends later by more than
// duplicateSignalWindow, since its remainder excludes the transit time.
func (s *signals) observeCold(c Cold, now time.Time) (first bool) {
	known := s.coldUntil
	if c.From != FromResponse {
		known = known.Add(duplicateSignalWindow)
	}
	until := c.Until
	if latest := now.Add(maxUnconfirmedCold); until.After(latest) {
		until = latest
	}
	if !until.After(now) || !until.After(known) {
		return false
	}
	first = !now.Before(s.coldUntil)
	s.coldUntil = until
	return first
}

func (s *signals) observeRest(rest time.Duration, now time.Time) (first bool) {
	first = !now.Before(s.restEnd)
	if end := now.Add(rest); end.After(s.restEnd) {
		spread := min(time.Duration(float64(rest)*restJitter), maxRestJitter)
		s.restEnd, s.resumeAt = end, end.Add(rand.N(spread+1))
	}
	s.allowance, s.restAskedAt = 1, now
	return first
}

// recordResponse doubles the allowance after a rest.
func (s *signals) recordResponse(now time.Time) {
	if s.allowance == 0 || now.Before(s.resumeAt) {
		return
	}
	if s.allowance *= 2; s.allowance > maxRampAllowance {
		s.allowance = 0
	}
}

// restUntil reports whether the worker must not get another request now, given the number
// of requests of this VM in flight, and until when.
func (s *signals) restUntil(inFlight int, now time.Time) (until time.Time, ok bool) {
	if now.Before(s.resumeAt) {
		return s.resumeAt, true
	}
	ramped := s.allowance == 0 || now.Sub(s.resumeAt) >= rampDuration
	return now, !ramped && inFlight >= s.allowance
}

// relevant reports whether the signals still matter. hasEntry is whether the store has an
// entry of the worker.
func (s *signals) relevant(hasEntry bool, now time.Time) bool {
	return s.isLeaving() && (hasEntry || now.Sub(s.leaving.ObservedAt) < leavingRetention) || now.Sub(s.resumeAt) < rampDuration || hasEntry && (s.rate.shared(now) || now.Before(s.coldUntil))
}
