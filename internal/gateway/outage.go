// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"sync"
	"time"

	"github.com/ryehill/ryehill/state/worker"
)

const (
	// outageMargin is how much older than StaleAfter the replica must be for the store
	// to count as having been unavailable. By then this VM's own calls have failed as
	// well.
	outageMargin = time.Second
	// lapseGrace is how long after an outage of the store workers with missing entries
	// are still used. Workers cannot renew their entries during the outage; live ones
	// have rewritten them by the end of the grace period.
	lapseGrace = 2 * time.Second
)

// storeOutage records the end of the last outage of the store, derived from the age of the
// replica. It is safe for concurrent use.
type storeOutage struct {
	mu       sync.Mutex
	returned time.Time
	// confirmed is when the store had last confirmed the replica before the outage.
	confirmed time.Time
}

// record detects the end of an outage. It takes the time at which a kind was last
// confirmed, and is called before newer state of the kind is applied. It reports whether
// the outage is not known yet.
func (o *storeOutage) record(confirmed, now time.Time, outageAfter time.Duration) (first bool) {
	if confirmed.IsZero() || now.Sub(confirmed) < outageAfter {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	first = !o.confirmed.Equal(confirmed)
	o.returned, o.confirmed = now, confirmed
	return first
}

// graceEnd returns the time until which workers with missing entries are used.
func (o *storeOutage) graceEnd() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.returned.Add(lapseGrace)
}

// lastConfirmed returns when the store had last confirmed the entries that the outage
// may have removed.
func (o *storeOutage) lastConfirmed() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.confirmed
}

// recordOutage records the end of an outage of the store, if there was one. It must be
// called before changes from the store or a peer are applied.
func (g *Gateway) recordOutage(now time.Time) {
	confirmed := g.replica.ConfirmedAt(g.cfg.Codec.WorkerKind())
	if g.outage.record(confirmed, now, g.cfg.StaleAfter+outageMargin) {
		g.log.Info("store: an outage may have ended, keeping entries that lapse now", "confirmed_ms_ago", now.Sub(confirmed).Milliseconds(), "for_ms", lapseGrace.Milliseconds())
	}
}

// lapsedWorkers returns the workers whose entries are missing but may only have expired while
// the store was unavailable. It omits workers that announced that they leave, in the
// store or in responses.
func lapsedWorkers(previous, listed map[string]*worker.Worker, now time.Time, outage *storeOutage, loads *worker.Loads) []*worker.Worker {
	if !now.Before(outage.graceEnd()) {
		return nil
	}
	var retained []*worker.Worker
	for id, w := range previous {
		if _, ok := listed[id]; ok {
			continue
		}
		if _, leaves := loads.Leaving(w); leaves {
			continue
		}
		lapsed := *w
		if lapsed.Confirmed.IsZero() {
			lapsed.Confirmed = outage.lastConfirmed()
		}
		retained = append(retained, &lapsed)
	}
	return retained
}
