// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker

import "time"

// Availability says whether this VM may send a new request to a worker now, and if not, why
// and until when. All selections of a worker go through it, so that none ignores a known
// restriction.
type Availability interface{ isAvailability() }

// Ready is a worker that may get requests.
type Ready struct{}

// Departed is a worker that is shutting down and whose time for new requests has passed.
type Departed struct{ Leaving }

// Resting is a worker that asked this VM for a rest.
type Resting struct{ Until time.Time }

// Paused is a worker that failed just now. It is used only if no other worker is left.
type Paused struct{ Until time.Time }

// Ejected is a worker with a high failure rate. It still gets requests if too many workers
// are ejected.
type Ejected struct{ Until time.Time }

// Limited is a worker that accepts a limited rate from all VMs together. Each request to it
// needs a permit.
type Limited struct {
	// PerSecond is the rate in requests per second, From the source of the limit, and Since
	// when this VM first learned of a limit.
	PerSecond float64
	From      string
	Since     time.Time
}

func (Ready) isAvailability()    {}
func (Departed) isAvailability() {}
func (Resting) isAvailability()  {}
func (Paused) isAvailability()   {}
func (Ejected) isAvailability()  {}
func (Limited) isAvailability()  {}

// AvailabilityView returns the availability of many workers from one snapshot.
type AvailabilityView struct{ constrained map[string]*Load }

// AvailabilityView returns a snapshot for checking many workers.
func (l *Loads) AvailabilityView() AvailabilityView { return AvailabilityView{l.Constrained()} }

// Availability returns the availability of a worker at a time.
func (l *Loads) Availability(w *Worker, now time.Time) Availability {
	return l.AvailabilityView().Get(w, now)
}

// Get returns the availability of a worker at a time. Most workers have no restriction, and
// for these it takes no lock.
func (s AvailabilityView) Get(w *Worker, now time.Time) Availability {
	load, constrained := s.constrained[w.Incarnation()]
	if !constrained && !w.Leaving {
		return Ready{}
	}
	if leaving, ok := earliestLeaving(w, load); ok && !leaving.Open(now) {
		return Departed{leaving}
	}
	if !constrained {
		return Ready{}
	}
	return load.availability(now)
}

func (l *Load) availability(now time.Time) Availability {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until, ok := l.signals.restUntil(l.inFlight, now); ok {
		return Resting{until}
	}
	switch {
	case now.Before(l.pausedUntil):
		return Paused{l.pausedUntil}
	case now.Before(l.ejectedUntil):
		return Ejected{l.ejectedUntil}
	}
	rate := &l.signals.rate
	if perSecond, limited := rate.rate(now); limited {
		return Limited{PerSecond: perSecond, From: rate.last.From, Since: rate.limitedSince}
	}
	return Ready{}
}

// Leaving returns the earliest known deadline of a worker that is shutting down, as
// reported by the worker, another VM or the store. The result is false if the worker isn't
// shutting down.
func (l *Loads) Leaving(w *Worker) (Leaving, bool) {
	return earliestLeaving(w, l.Constrained()[w.Incarnation()])
}

// earliestLeaving implements Leaving. The load may be nil.
func earliestLeaving(w *Worker, load *Load) (Leaving, bool) {
	stored := Leaving{DrainWindow: w.DrainWindow, From: FromStore}
	if load == nil {
		return stored, w.Leaving
	}
	load.mu.Lock()
	defer load.mu.Unlock()
	signaled := load.signals.leaving
	if load.signals.isLeaving() && (!w.Leaving || signaled.Until.Before(stored.Until)) {
		return signaled, true
	}
	return stored, w.Leaving
}

// maxSharedSignals bounds the workers in one message of signals to 8 KB.
const maxSharedSignals = 256

// SharedSignals holds the signals of one worker that VMs share. The zero value of a field
// means no signal.
type SharedSignals struct {
	// Leaving is set if the worker is shutting down, as reported by itself or another VM.
	Leaving Leaving
	// Exit is when its process seemed to have exited.
	Exit SuspectedExit
	// RateLimit is the last limit that the worker named, or the end of it.
	RateLimit RateLimit
	// ColdUntil is the end of the cold time that its health answer told.
	ColdUntil time.Time
}

// SharedSignals returns the signals to share with other VMs, by incarnation ID.
func (l *Loads) SharedSignals() map[string]SharedSignals {
	var shared map[string]SharedSignals
	for id, load := range l.Constrained() {
		s, found := load.sharedSignals()
		if !found || len(shared) >= maxSharedSignals {
			continue
		}
		if shared == nil {
			shared = make(map[string]SharedSignals)
		}
		shared[id] = s
	}
	return shared
}

func (l *Load) sharedSignals() (shared SharedSignals, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	shared.Leaving = l.signals.leaving
	if last := l.lastExit(); l.now().Sub(last) < maxUnconfirmedCold {
		shared.Exit.At, shared.Exit.Uncertain = last, l.uncertain
		shared.Exit.Own = !l.exitReported || last.Sub(l.exitedAt) > duplicateSignalWindow
		if l.respondedAt.After(last) {
			shared.Exit.RespondedAt = l.respondedAt
		}
	}
	if l.now().Sub(l.noExitDuring.To) < maxUnconfirmedCold {
		shared.Exit.NoExitDuring = l.noExitDuring
	}
	hasLimit := l.signals.rate.shared(l.now())
	if hasLimit {
		shared.RateLimit = l.signals.rate.last
	}
	isCold := l.now().Before(l.signals.coldUntil)
	if isCold {
		shared.ColdUntil = l.signals.coldUntil
	}
	return shared, hasLimit || isCold || l.signals.isLeaving() || shared.Exit != SuspectedExit{}
}
