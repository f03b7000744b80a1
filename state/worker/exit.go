// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker

import "time"

const (
	// refusedColdTime is how long after a refused connection the worker may be a new
	// process that is missing in the store. A worker writes its entry at its start and
	// every 1.5 s, and the change takes up to a second to arrive.
	refusedColdTime = 3 * time.Second
	// startPropagation is the time after an exit by which the store has the entry of a
	// process that has replaced it.
	startPropagation = 1500 * time.Millisecond
	// StoreSilentAfter is the age of the store's data at which the store counts as silent.
	// It is above the usual maximum of 1.5 s.
	StoreSilentAfter = 2 * time.Second
	// maxUnconfirmedCold bounds how long a worker may count as cold without confirmation
	// from the store.
	maxUnconfirmedCold = 30 * time.Second
)

// RecordConnectionRefused records that the worker's port refused a connection, which means
// that its process has exited. It reports whether no exit, or only an uncertain one, was
// known within duplicateSignalWindow.
func (l *Load) RecordConnectionRefused() (first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first = l.isNewExit(l.now()) || l.uncertain
	l.refusedAt, l.uncertain = l.now(), false
	l.constrained.add(l)
	return first
}

// RecordAllConnectionsClosed records that the worker closed all connections that were
// checked. Its process may have exited. It reports whether no exit, or only an uncertain
// one, was known within duplicateSignalWindow.
func (l *Load) RecordAllConnectionsClosed() (first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first = l.isNewExit(l.now()) || l.uncertain
	l.recordExit(l.now())
	l.uncertain = false
	l.constrained.add(l)
	return first
}

// RecordConnectionClosed records that the worker closed one connection during a request.
// Its process may have exited, or only a response was lost. It reports whether no exit was
// known within duplicateSignalWindow.
func (l *Load) RecordConnectionClosed() (first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first = l.isNewExit(l.now())
	uncertain := l.uncertain || first && !l.certainExitInForce()
	l.recordExit(l.now())
	l.uncertain = uncertain
	l.constrained.add(l)
	return first
}

// certainExitInForce reports whether a known exit may still make the worker count as cold
// while the store is not silent.
func (l *Load) certainExitInForce() bool {
	last := later(l.lastExit(), l.respondedAt)
	return !l.uncertain && l.now().Sub(last) < startPropagation+StoreSilentAfter
}

// isNewExit reports whether an exit at the given time is not an observation of the last
// known one. A response since then is from the next process, which may exit at once.
func (l *Load) isNewExit(at time.Time) bool {
	last := l.lastExit()
	if at.After(last.Add(duplicateSignalWindow)) {
		return true
	}
	return l.respondedAt.After(last) && at.After(l.respondedAt.Add(exitObservationSkew))
}

// exit is a suspected exit of a process and the first response after it at any VM.
type exit struct {
	at, respondedAt     time.Time
	uncertain, reported bool
}

// recordExit records a suspected exit, which may be retracted later.
func (l *Load) recordExit(at time.Time) {
	if l.previousExit.at.IsZero() || at.Sub(l.previousExit.at) >= maxUnconfirmedCold {
		l.previousExit = exit{l.exitedAt, l.respondedAt, l.uncertain, l.exitReported}
	}
	l.exitedAt, l.exitReported = at, false
}

// IsCold reports whether the worker has told, when asked for its health, that it is cold.
func (l *Load) IsCold() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Before(l.signals.coldUntil)
}

// MayBeCold reports whether the worker may be a process that has just started although the
// entry describes its predecessor. storeConfirmed is when the store last confirmed the
// known entries, coldStart how long a worker is cold after its start. Until the store can
// reflect a restart, only the connections reveal it. The cold time counts from the first
// response after the exit at any VM, since the port is closed for a while first.
func (l *Load) MayBeCold(storeConfirmed time.Time, coldStart time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if !l.refusedAt.IsZero() && now.Sub(l.refusedAt) < refusedColdTime {
		return true
	}
	started := l.lastExit()
	if started.IsZero() || now.Sub(started) >= maxUnconfirmedCold {
		return false
	}
	if l.respondedAt.After(started) {
		started = l.respondedAt
		if now.Sub(started) >= max(coldStart, refusedColdTime) {
			return false
		}
	}
	// An earlier confirmation can still show the entry of the predecessor.
	unconfirmed := storeConfirmed.Before(started.Add(startPropagation))
	silent := now.Sub(storeConfirmed) > StoreSilentAfter
	return unconfirmed && (silent || !l.uncertain)
}

// exitObservationSkew is the maximum time between an exit and its observation. Responses in
// flight may still arrive for this long, also between distant regions.
const exitObservationSkew = 200 * time.Millisecond

// Span is a time during which one process of a worker is known to have been running, from
// the opening of a connection to a response over it. Overlapping times are joined.
type Span struct{ From, To time.Time }

// contains reports whether a time lies within the span and outside the skew at its ends.
func (s Span) contains(at time.Time) bool {
	return s.From.Before(at.Add(-exitObservationSkew)) && s.To.After(at.Add(exitObservationSkew))
}

// ConfirmAlive records a response over a connection that was opened at the given time. A
// connection doesn't outlive the process at its other end, so a suspected exit in between
// is wrong: only other connections were lost. It reports whether it retracted one.
func (l *Load) ConfirmAlive(connectionOpened time.Time) (retracted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if connectionOpened.After(l.provenAlive.To) || connectionOpened.Before(l.provenAlive.From) {
		l.provenAlive.From = connectionOpened
	}
	l.provenAlive.To = l.now()
	return l.retractOutlivedExit(l.provenAlive)
}

// retractOutlivedExit discards a suspected exit that the process outlived, and reports
// whether it did. It restores the exit before, since the discarded one may be a late
// observation of it.
func (l *Load) retractOutlivedExit(s Span) bool {
	if l.exitedAt.IsZero() || !s.contains(l.exitedAt) {
		return false
	}
	l.noExitDuring = s
	l.discardExit(s.contains)
	return true
}

// discardExit discards the last suspected exit and restores the one before, unless wrong
// returns true for its time.
func (l *Load) discardExit(wrong func(at time.Time) bool) {
	previous := l.previousExit
	if wrong(previous.at) {
		previous = exit{}
	}
	l.exitedAt, l.respondedAt, l.uncertain, l.exitReported, l.previousExit = previous.at, previous.respondedAt, previous.uncertain, previous.reported, exit{}
}

// lastExit returns when the worker's process last seemed to have exited, zero if never.
func (l *Load) lastExit() time.Time {
	if l.exitedAt.After(l.refusedAt) {
		return l.exitedAt
	}
	return l.refusedAt
}

// exitedRecently reports whether the last exit can still affect MayBeCold.
func (l *Load) exitedRecently() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.lastExit()
	return !last.IsZero() && l.now().Sub(last) < maxUnconfirmedCold
}
