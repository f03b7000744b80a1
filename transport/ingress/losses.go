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

// Causes of late responses. For a refused or failed request the cause is its reason.
const (
	// causeRetried means that the request was sent more than once.
	causeRetried = "late: sent again"
	// causeNewKey means that this VM had not recently sent the worker a request with
	// this affinity key. No other worker would have been faster.
	causeNewKey = "late: key new to the worker"
	// causeQueued means that other requests were queued at the worker.
	causeQueued = "late: others waited at the worker"
	// causeSlow means that no other cause applies.
	causeSlow = "late: slow"
)

const (
	// lossLogInterval is the interval of the log lines on losses.
	lossLogInterval = 2 * time.Second
	// maxLossEntries limits the pairs of service and cause in one line. Further ones
	// are counted as causeOther.
	maxLossEntries = 256
	causeOther     = "other"
	// maxRecentKeys is the size of each of the two generations of recent keys. The
	// older one is dropped when the newer one is full.
	maxRecentKeys = 16384
)

// Loss is the number of requests of a service that were late, refused or failed
// for one cause.
type Loss struct {
	Service string `json:"service"`
	Cause   string `json:"cause"`
	Count   int    `json:"count"`
}

// lossCounter counts losses since the last log line. It is safe for concurrent use.
type lossCounter struct {
	mu       sync.Mutex
	requests int
	lost     map[Loss]int // the keys have Count 0
	// recentKeys holds the pairs of worker and affinity key sent by this VM; olderKeys
	// is the previous generation.
	recentKeys, olderKeys map[uint64]struct{}
}

func newLossCounter() *lossCounter {
	return &lossCounter{lost: make(map[Loss]int), recentKeys: make(map[uint64]struct{}), olderKeys: make(map[uint64]struct{})}
}

// markSent records that a worker is sent a request with a key, and reports whether
// this VM has recently sent it one with the same key.
func (l *lossCounter) markSent(worker string, key uint64) bool {
	id := xxhash.Sum64String(worker) ^ key*0x9e3779b97f4a7c15
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.recentKeys[id]
	if _, old := l.olderKeys[id]; old {
		known = true
	}
	l.recentKeys[id] = struct{}{}
	if len(l.recentKeys) >= maxRecentKeys {
		l.olderKeys, l.recentKeys = l.recentKeys, make(map[uint64]struct{})
	}
	return known
}

// countEnded counts a finished request. The cause is empty if it is no loss.
func (l *lossCounter) countEnded(service, cause string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests++
	if cause != "" {
		l.countLoss(service, cause)
	}
}

// countHeld counts a request that countEnded has counted as no loss, but whose response was
// sent too late.
func (l *lossCounter) countHeld(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countLoss(service, causeHeld)
}

// countLoss counts a loss. mu is held.
func (l *lossCounter) countLoss(service, cause string) {
	key := Loss{Service: service, Cause: cause}
	if _, ok := l.lost[key]; !ok && len(l.lost) >= maxLossEntries {
		key = Loss{Cause: causeOther}
	}
	l.lost[key]++
}

// collect returns the counts since the last call and resets them.
func (l *lossCounter) collect() (requests int, lost []Loss) {
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

// LogLosses logs the losses by service and cause every two seconds, if there are any,
// until ctx is canceled. Unlike the log lines of single requests, these counts are
// complete.
func (h *Handler) LogLosses(ctx context.Context) {
	ticker := time.NewTicker(lossLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if requests, lost := h.losses.collect(); len(lost) > 0 {
			h.cfg.Log.Info("ingress: losses", "requests", requests, "lost", lost)
		}
	}
}

// lossCause returns why a request was late, refused or failed, or "" if it was not.
func (q *request) lossCause(reason string, late bool) string {
	switch {
	case reason == reasonAnswered && !late:
		return ""
	case reason != reasonAnswered:
		return reason
	case q.elapsed(q.arrivedAt.Add(q.waited)) < q.objective():
		return causeHeld
	case len(q.tried) > 1:
		return causeRetried
	case q.keyNewToWorker:
		return causeNewKey
	case q.workerQueue > 0:
		return causeQueued
	}
	return causeSlow
}

// busyReason returns the reason of a refusal. It distinguishes a busy region from one
// where another worker had a free slot.
func busyReason(refusal placement.Refusal, capacityElsewhere bool) string {
	if refusal == placement.RefusalBusy && capacityElsewhere {
		return reasonBusyCapacityElsewhere
	}
	return string(refusal)
}
