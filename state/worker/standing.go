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

// Limited is a worker that takes a limited rate from all VMs together. Each request to it
// needs a permit.
type Limited struct {
	// PerS is the rate in requests a second, From who has last told of it, and Since when
	// this VM first knew of a limit.
	PerS  float64
	From  string
	Since time.Time
}

func (Ready) isStanding()   {}
func (Left) isStanding()    {}
func (Resting) isStanding() {}
func (Paused) isStanding()  {}
func (Spared) isStanding()  {}
func (Limited) isStanding() {}

// Standings tells the standings of many workers. It looks up once what Loads.Standing looks
// up for each.
type Standings struct{ limited map[string]*Load }

// Standings returns the standings of all workers.
func (l *Loads) Standings() Standings { return Standings{l.Limited()} }

// Standing returns the standing of a worker at a moment.
func (l *Loads) Standing(w *Worker, now time.Time) Standing { return l.Standings().Of(w, now) }

// Of returns the standing of a worker at a moment. Nearly all workers have none of their
// own: the choice among 1,047 takes 41 us, and 209 where each is asked for all it may have
// said (BenchmarkPlace).
func (s Standings) Of(w *Worker, now time.Time) Standing {
	load, limited := s.limited[w.Life()]
	if !limited && !w.Leaving {
		return Ready{}
	}
	if leaving, ok := leavingOf(w, load); ok && !leaving.Open(now) {
		return Left{leaving}
	}
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
	rate := &l.signals.rate
	if perS, limited := rate.rate(now); limited {
		return Limited{PerS: perS, From: rate.last.From, Since: rate.since}
	}
	return Ready{}
}

// Leaving returns what is known of a worker's leaving, by its own word, another VM's or
// the store's: the one that binds earliest.
func (l *Loads) Leaving(w *Worker) (Leaving, bool) { return leavingOf(w, l.Limited()[w.Life()]) }

// leavingOf does the same for a worker of which a load is held, or nil.
func leavingOf(w *Worker, load *Load) (Leaving, bool) {
	stored := Leaving{Ending: w.Ending, From: FromStore}
	if load == nil {
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

// maxTold bounds the workers of which VMs tell each other signals: 8 KB.
const maxTold = 256

// Told are the signals of one worker that VMs tell each other; the zero value of a field is
// none.
type Told struct {
	// Leaving says that it leaves, by its own or another VM's word.
	Leaving Leaving
	// Ended says when its process seemed to have ended.
	Ended Ended
	// RateLimit is the limit that it last named, or that it names none any more.
	RateLimit RateLimit
}

// Told returns, by life, the signals that VMs tell each other.
func (l *Loads) Told() map[string]Told {
	var told map[string]Told
	for life, load := range l.Limited() {
		t, any := load.tell()
		if !any || len(told) >= maxTold {
			continue
		}
		if told == nil {
			told = make(map[string]Told)
		}
		told[life] = t
	}
	return told
}

func (l *Load) tell() (t Told, any bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.Leaving = l.signals.leaving
	if last := l.lastEnd(); l.now().Sub(last) < maxColdStart {
		t.Ended.At, t.Ended.Doubtful = last, l.doubtful
		if l.returned.After(last) {
			t.Ended.Returned = l.returned
		}
	}
	if l.now().Sub(l.lived.To) < maxColdStart {
		t.Ended.Lived = l.lived
	}
	limited := l.signals.rate.tells(l.now())
	if limited {
		t.RateLimit = l.signals.rate.last
	}
	return t, limited || l.signals.leaves() || t.Ended != Ended{}
}
