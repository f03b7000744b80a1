// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker

import "time"

// Signal is what a worker says of itself in the head of an answer, beside its load. It
// concerns the life that said it, and holds at once: the store hears of it seconds
// later, or never.
type Signal interface{ isSignal() }

// Leaving says that the worker is about to end and wants no new requests.
type Leaving struct {
	Ending
	// From is the VM that heard it from the worker, "" for this one.
	From string
}

// Rest says that the worker wants nothing from this VM for a time.
type Rest struct{ For time.Duration }

func (Leaving) isSignal() {}
func (Rest) isSignal()    {}

// signals are what one worker has said of itself.
type signals struct {
	// leaving is the word that binds earliest, the zero value if there is none.
	leaving Leaving
	// restEnd is when the last of the rests ends that the worker asked for.
	restEnd time.Time
}

// leaves reports whether the worker has said that it is about to end.
func (s *signals) leaves() bool { return !s.leaving.Until.IsZero() }

// Hear takes in a signal, and reports whether it is the first one of its kind that
// holds. Whatever the order in which signals come, and however often, the same is
// believed in the end: the earliest word of leaving binds, since a worker that leaves
// does not stay, and each rest lasts to its own end.
func (l *Load) Hear(signal Signal) (first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s := signal.(type) {
	case Leaving:
		first = !l.signals.leaves()
		if first || s.Until.Before(l.signals.leaving.Until) {
			l.signals.leaving = s
		}
	case Rest:
		now := l.now()
		first = !now.Before(l.signals.restEnd)
		if end := now.Add(s.For); end.After(l.signals.restEnd) {
			l.signals.restEnd = end
		}
	}
	return first
}
