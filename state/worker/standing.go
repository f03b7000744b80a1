// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker

import "time"

// Standing says whether this VM may send a worker a new request now, and if not, why and
// until when. Every choice of a worker asks for it, so that no way to a worker passes by
// what is known of it.
type Standing interface{ isStanding() }

// Ready is a worker that may get requests.
type Ready struct{}

// Left is a worker that is about to end and whose time to get requests is over.
type Left struct{ Leaving }

// Resting is a worker that wants nothing from this VM for now.
type Resting struct{ Until time.Time }

// Paused is a worker that failed just now. It is for want of any other.
type Paused struct{ Until time.Time }

// Spared is a worker that fails too much. It gets requests if too many are spared.
type Spared struct{ Until time.Time }

func (Ready) isStanding()   {}
func (Left) isStanding()    {}
func (Resting) isStanding() {}
func (Paused) isStanding()  {}
func (Spared) isStanding()  {}

// Standing returns the standing of a worker at a moment.
func (l *Loads) Standing(w *Worker, now time.Time) Standing {
	if leaving, ok := l.Leaving(w); ok && !leaving.Open(now) {
		return Left{leaving}
	}
	load, limited := l.Limited()[w.Life()]
	if !limited {
		return Ready{}
	}
	return load.standing(now)
}

func (l *Load) standing(now time.Time) Standing {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until, ok := l.signals.rests(l.own, now); ok {
		return Resting{until}
	}
	switch {
	case now.Before(l.pausedTo):
		return Paused{l.pausedTo}
	case now.Before(l.sparedTo):
		return Spared{l.sparedTo}
	}
	return Ready{}
}

// Leaving returns what is known of a worker's leaving, by its own word, another VM's or
// the store's: the one that binds earliest.
func (l *Loads) Leaving(w *Worker) (Leaving, bool) {
	stored := Leaving{Ending: w.Ending, From: FromStore}
	load, limited := l.Limited()[w.Life()]
	if !limited {
		return stored, w.Leaving
	}
	load.mu.Lock()
	defer load.mu.Unlock()
	said := load.signals.leaving
	if load.signals.leaves() && (!w.Leaving || said.Until.Before(stored.Until)) {
		return said, true
	}
	return stored, w.Leaving
}

// maxLeaving bounds the workers that VMs tell each other to be leaving: 8 KB.
const maxLeaving = 256

// LeavingByWord returns, by life, the workers of which it is known by their own or other
// VMs' word that they leave.
func (l *Loads) LeavingByWord() map[string]Leaving {
	var leaving map[string]Leaving
	for life, load := range l.Limited() {
		load.mu.Lock()
		said, leaves := load.signals.leaving, load.signals.leaves()
		load.mu.Unlock()
		if !leaves || len(leaving) >= maxLeaving {
			continue
		}
		if leaving == nil {
			leaving = make(map[string]Leaving)
		}
		leaving[life] = said
	}
	return leaving
}
