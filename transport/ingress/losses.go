// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ryehill/ryehill/coordination/placement"
)

// Causes of late answers. A request that was refused or failed has its reason as
// its cause.
const (
	// causeRetried is a request that was sent more than once.
	causeRetried = "late: sent again"
	// causeFirst is the first request with its key that this VM sends the
	// worker: the worker is slow with it, and no worker would be faster.
	causeFirst = "late: key new to the worker"
	// causeQueued is a request that waited behind others at the worker.
	causeQueued = "late: others waited at the worker"
	// causeSlow is none of these.
	causeSlow = "late: slow"
)

const (
	// lossInterval is the time between two lines on losses.
	lossInterval = 2 * time.Second
	// maxCauses bounds the services and causes of one line; what is beyond is
	// counted as causeOther.
	maxCauses  = 256
	causeOther = "other"
	// maxKnown bounds the keys of workers that are remembered in each of two
	// halves, the older of which is forgotten: 1 MB at most.
	maxKnown = 16384
)

// Loss is how many requests of a service were late, refused or failed for one
// cause.
type Loss struct {
	Service string `json:"service"`
	Cause   string `json:"cause"`
	Count   int    `json:"count"`
}

// losses counts what was lost since the last line. It is safe for concurrent use.
type losses struct {
	mu       sync.Mutex
	requests int
	lost     map[Loss]int // keyed without a count
	// known are the keys that workers have had from this VM; older is the half
	// that is forgotten next.
	known, older map[uint64]struct{}
}

func newLosses() *losses {
	return &losses{lost: make(map[Loss]int), known: make(map[uint64]struct{}), older: make(map[uint64]struct{})}
}

// sent notes that a worker gets a request with a key, and reports whether this
// VM has sent it one with that key lately.
func (l *losses) sent(worker string, key uint64) bool {
	id := xxhash.Sum64String(worker) ^ key*0x9e3779b97f4a7c15
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.known[id]
	if _, old := l.older[id]; old {
		known = true
	}
	l.known[id] = struct{}{}
	if len(l.known) >= maxKnown {
		l.older, l.known = l.known, make(map[uint64]struct{})
	}
	return known
}

// ended counts a request that ended; cause is "" if nothing was lost.
func (l *losses) ended(service, cause string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests++
	if cause == "" {
		return
	}
	key := Loss{Service: service, Cause: cause}
	if _, ok := l.lost[key]; !ok && len(l.lost) >= maxCauses {
		key = Loss{Cause: causeOther}
	}
	l.lost[key]++
}

// take returns the requests that ended since the last call, and what was lost.
func (l *losses) take() (requests int, lost []Loss) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, n := range l.lost {
		key.Count = n
		lost = append(lost, key)
	}
	requests = l.requests
	l.requests = 0
	clear(l.lost)
	return requests, lost
}

// LogLosses writes a line on what was lost, and why, every two seconds in which
// anything was, until ctx ends. Lines on single requests are bounded; these
// count all.
func (h *Handler) LogLosses(ctx context.Context) {
	ticker := time.NewTicker(lossInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if requests, lost := h.losses.take(); len(lost) > 0 {
			h.cfg.Log.Info("ingress: losses", "requests", requests, "lost", lost)
		}
	}
}

// lossCause says why a request that ended earned less than it might, or "".
func (q *request) lossCause(reason string, late bool) string {
	switch {
	case reason == reasonAnswered && !late:
		return ""
	case reason != reasonAnswered:
		return reason
	case len(q.tried) > 1:
		return causeRetried
	case q.newKey:
		return causeFirst
	case q.waiting > 0:
		return causeQueued
	}
	return causeSlow
}

// busyReason tells a refusal that could have been avoided from one that could
// not.
func busyReason(refusal placement.Refusal, elsewhere bool) string {
	if refusal == placement.RefusalBusy && elsewhere {
		return reasonBusyRoom
	}
	return string(refusal)
}
