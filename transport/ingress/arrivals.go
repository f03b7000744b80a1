// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"sync"
	"time"
)

const (
	// arrivalInterval is the length of an interval for which arrivals are counted.
	arrivalInterval = 100 * time.Millisecond
	// maxArrivalIntervals bounds the intervals. Later arrivals count in the last one.
	maxArrivalIntervals = 200
)

// arrivals counts the requests that arrive after a time, by interval. It is safe for
// concurrent use.
type arrivals struct {
	mu     sync.Mutex
	since  time.Time
	counts []int
}

// begin starts counting.
func (a *arrivals) begin(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.since = now
}

// record counts a request.
func (a *arrivals) record(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := min(int(now.Sub(a.since)/arrivalInterval), maxArrivalIntervals-1)
	for len(a.counts) <= i {
		a.counts = append(a.counts, 0)
	}
	a.counts[max(i, 0)]++
}

// byInterval returns the number of requests by interval, without empty ones at the end.
func (a *arrivals) byInterval() []int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]int(nil), a.counts...)
}
