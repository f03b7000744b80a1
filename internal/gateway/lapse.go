// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"sync"
	"time"

	"github.com/ryehill/ryehill/state/worker"
)

const (
	// awayMargin is how much older than StaleAfter knowledge must have become
	// for the store to count as having been away: by then this VM's own calls
	// have failed as well.
	awayMargin = time.Second
	// lapseGrace is for how long after the store's return an entry that is
	// missing from it is still believed. Workers cannot renew their entries
	// while the store is away; those that live have written them again by then
	// (the platform's operators).
	lapseGrace = 2 * time.Second
)

// absence is when the store last came back after it had been away, as far as
// this VM can tell from the age of what it knows. It is safe for concurrent use.
type absence struct {
	mu       sync.Mutex
	returned time.Time
	// confirmed is when the store had last confirmed what was known before it went away.
	confirmed time.Time
}

// note is told, before news of a kind is taken in, when that kind was last
// confirmed.
func (a *absence) note(confirmed, now time.Time, awayAfter time.Duration) {
	if confirmed.IsZero() || now.Sub(confirmed) < awayAfter {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.returned, a.confirmed = now, confirmed
}

// graceEnd returns until when missing entries are believed.
func (a *absence) graceEnd() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.returned.Add(lapseGrace)
}

// lastConfirmed returns when the store had last confirmed an entry that is missing since.
func (a *absence) lastConfirmed() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.confirmed
}

// noteAbsence is to be called before news of workers is taken in.
func (g *Gateway) noteAbsence(now time.Time) {
	confirmed := g.replica.ConfirmedAt(g.cfg.Codec.WorkerKind())
	g.away.note(confirmed, now, g.cfg.StaleAfter+awayMargin)
}

// lapsed returns the workers that were believed and whose entries are missing,
// but may only have lapsed while the store was away. Workers that had said that
// they leave, to the store or in answers, are not among them.
func lapsed(before, listed map[string]*worker.Worker, now time.Time, away *absence, loads *worker.Loads) []*worker.Worker {
	if !now.Before(away.graceEnd()) {
		return nil
	}
	var kept []*worker.Worker
	for id, w := range before {
		if _, ok := listed[id]; ok {
			continue
		}
		if _, leaves := loads.Leaving(w); leaves {
			continue
		}
		missing := *w
		if missing.Confirmed.IsZero() {
			missing.Confirmed = away.lastConfirmed()
		}
		kept = append(kept, &missing)
	}
	return kept
}
