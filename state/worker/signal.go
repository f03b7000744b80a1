// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker

import (
	"math/rand/v2"
	"time"
)

const (
	// maxRest bounds a rest. A worker that asks for more, by mistake or not, is tried
	// again after so long, since nothing but an answer can end a rest.
	maxRest = 5 * time.Minute
	// restSpread is by what part of its length a rest is prolonged at most, by chance,
	// and maxRestSpread bounds that: VMs that were turned away together come back apart.
	restSpread    = 0.2
	maxRestSpread = 500 * time.Millisecond
	// rampLimit is up to how many requests of this VM a worker that has rested is
	// brought by and by, from one on, twice as many after each answer. rampFor bounds
	// the time that takes.
	rampLimit = 16
	rampFor   = 5 * time.Second
	// sameEnd is by how much later an end may seem that is known already: its age does not
	// count its way. Without it an end that comes back from the VM that was told of it
	// would seem ever later.
	sameEnd = time.Second
	// leavingKept is for how long it is remembered that a worker leaves whose entry is
	// gone: entries that lapse while the store is away come back, and say ready.
	leavingKept = 2 * time.Minute
)

// Where it is known from that a worker leaves, if not from a VM.
const (
	FromAnswer = "its answer"
	FromStore  = "the store"
)

// Signal is what a worker says of itself in the head of an answer, beside its load, or
// shows by its connections. It concerns the life that said it, and holds at once: the store
// hears of it seconds later, or never.
type Signal interface{ isSignal() }

// Leaving says that the worker is about to end and wants no new requests.
type Leaving struct {
	Ending
	// From is FromAnswer, FromStore or the VM that has told it.
	From string
}

// Rest says that the worker wants nothing from this VM for a time.
type Rest struct{ For time.Duration }

// Ended says that the worker's process seemed to another VM to have ended at a moment: all
// connections to it that were looked at ended, or its port was closed.
type Ended struct {
	At time.Time
	// Returned is when a VM first had an answer after that, zero if none had.
	Returned time.Time
	// Lived is when the process is known not to have ended though it had seemed to, zero if
	// there is no such time.
	Lived Span
	// Doubtful is set if it rests on one connection, which may have been lost alone.
	Doubtful bool
}

// Unsettled reports whether the store, which last confirmed what is known of workers at a
// moment, may not have told yet whether the process ended. In calm nothing is made of a
// doubtful end.
func (e Ended) Unsettled(confirmed, now time.Time) bool {
	if e.Doubtful && now.Sub(confirmed) <= storeSilent {
		return false
	}
	last := later(later(e.At, e.Returned), e.Lived.To)
	return confirmed.Before(last.Add(newsOfStart))
}

func (Leaving) isSignal() {}
func (Ended) isSignal()   {}
func (Rest) isSignal()    {}

// signals are what one life of a worker has said of itself.
type signals struct {
	// leaving is the word that binds earliest, the zero value if there is none.
	leaving Leaving
	// restEnd is when the last of the rests ends that the worker asked for, and awake
	// when this VM comes back, which is not before that.
	restEnd, awake time.Time
	// allowance is how many requests of this VM the worker may have under way after its
	// rest, 0 for any number.
	allowance int
	rate      rateState
}

// leaves reports whether the worker is known to be about to end.
func (s *signals) leaves() bool { return !s.leaving.Until.IsZero() }

// Hear takes in a signal, and reports whether it is the first one of its kind that
// holds, or, of a limit, whether that begins, changes by much or ends. Whatever the order in which signals come, and however often, the same is
// believed in the end: the earliest word of leaving binds, since a worker that leaves
// does not stay, and each rest lasts to its own end, which a shorter one after it does
// not bring forward.
func (l *Load) Hear(signal Signal) (first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s := signal.(type) {
	case Leaving:
		first = !l.signals.leaves()
		if first || s.Until.Before(l.signals.leaving.Until) {
			l.signals.leaving = s
		}
	case Ended:
		first = l.hearEnd(s)
	case Rest:
		first = l.signals.hearRest(min(s.For, maxRest), l.now())
	case RateLimit:
		first = l.signals.rate.hear(s, l.now())
		if !first && !s.Named() {
			return false
		}
	}
	l.limits.add(l)
	return first
}

// hearEnd takes in an end that another VM has seen: the last end, and the first answer after
// it; or that there was none.
func (l *Load) hearEnd(e Ended) (first bool) {
	l.acquit(e.Lived)
	if first = e.At.After(l.lastEnd().Add(sameEnd)) && !l.lived.holds(e.At); first {
		l.endAt(e.At)
		l.doubtful = false
		l.acquit(l.proved)
	}
	unknown := l.returned.Before(l.lastEnd())
	if e.Returned.After(l.lastEnd()) && (unknown || e.Returned.Before(l.returned)) {
		l.returned = e.Returned
	}
	return first
}

func (s *signals) hearRest(rest time.Duration, now time.Time) (first bool) {
	first = !now.Before(s.restEnd)
	if end := now.Add(rest); end.After(s.restEnd) {
		spread := min(time.Duration(float64(rest)*restSpread), maxRestSpread)
		s.restEnd, s.awake = end, end.Add(rand.N(spread+1))
	}
	s.allowance = 1
	return first
}

// answered brings the worker more requests after its rest.
func (s *signals) answered(now time.Time) {
	if s.allowance == 0 || now.Before(s.awake) {
		return
	}
	if s.allowance *= 2; s.allowance > rampLimit {
		s.allowance = 0
	}
}

// rests returns when the worker may get a request again, with so many of this VM under
// way, if that is not now.
func (s *signals) rests(own int, now time.Time) (until time.Time, ok bool) {
	if now.Before(s.awake) {
		return s.awake, true
	}
	ramped := s.allowance == 0 || now.Sub(s.awake) >= rampFor
	return now, !ramped && own >= s.allowance
}

// held reports whether the signals still matter at a moment, of a worker that has an entry
// or of one that has none.
func (s *signals) held(living bool, now time.Time) bool {
	return s.leaves() && (living || now.Sub(s.leaving.Heard) < leavingKept) || now.Sub(s.awake) < rampFor || living && s.rate.tells(now)
}
