// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"slices"
	"testing"
	"time"
)

const (
	// limitWindow is the window over which requests at a limited worker are counted. The
	// check starts one window after the first answer that names a limit.
	limitWindow = 4 * time.Second
	// limitInFlightGrace is the time after a VM receives a limit in which its requests
	// don't count.
	limitInFlightGrace = 500 * time.Millisecond
	// limitFactor and limitSlack are the tolerance above a worker's limit.
	limitFactor, limitSlack = 1.5, 5
	// minLimitUtilization is the least part of the limits that must be used under excess
	// load.
	minLimitUtilization = 0.7
)

// setLimit sets the limit that the worker names in its answers, below 0 for none.
func (m *signalWorker) setLimit(perSecond float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = perSecond
}

// overLimit returns the count and the allowed number of requests of the window that exceeds
// its limit the most. It counts requests of VMs that knew the limit; a window's limit is the
// highest one named in it.
func (m *signalWorker) overLimit() (got, allowed float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	arrivals := slices.Clone(m.arrivals)
	slices.SortFunc(arrivals, func(a, b signalArrival) int { return a.at.Compare(b.at) })
	limitKnownSince := make(map[string]time.Time)
	var first time.Time
	for _, a := range arrivals {
		if a.limit < 0 {
			continue
		}
		if at, ok := limitKnownSince[a.vm]; !ok || a.answered.Before(at) {
			limitKnownSince[a.vm] = a.answered
		}
		if first.IsZero() || a.answered.Before(first) {
			first = a.answered
		}
	}
	for i, last := range arrivals {
		if first.IsZero() || last.limit < 0 || last.at.Before(first.Add(limitWindow)) {
			continue
		}
		n, highest := 0.0, 0.0
		for _, a := range arrivals[:i+1] {
			at, known := limitKnownSince[a.vm]
			if a.at.After(last.at.Add(-limitWindow)) && known && a.at.After(at.Add(limitInFlightGrace)) {
				n, highest = n+1, max(highest, a.limit)
			}
		}
		if limit := limitFactor*limitWindow.Seconds()*highest + limitSlack; allowed == 0 || n-limit > got-allowed {
			got, allowed = n, limit
		}
	}
	return got, allowed
}

// Guards against VMs together exceeding a worker's limit that each obeys alone.
func TestWorkersThatNameALimit(t *testing.T) {
	t.Parallel()
	const limitedWorkers = 2 // of six workers
	cases := map[string]struct {
		limit  float64
		before func(f *fleet)
		during func(workers []*signalWorker)
	}{
		"a fraction":        {limit: 3.5},
		"the store is away": {limit: 2.8, before: func(f *fleet) { f.setStoreUnavailable(true) }},
		"less than one":     {limit: 0.4},
		"nothing":           {limit: 0},
		"it changes": {limit: 12, during: func(workers []*signalWorker) {
			for i := range 5 {
				time.Sleep(1500 * time.Millisecond)
				for _, w := range workers {
					w.setLimit([]float64{3, 12}[i%2])
				}
			}
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, workers := startSignalFleet(t, 5, 6)
			if c.before != nil {
				c.before(f)
			}
			stop, ended := make(chan struct{}), make(chan *outcomes)
			go func() { ended <- f.generateLoad(5*time.Millisecond, stop) }()
			for _, w := range workers[:limitedWorkers] {
				w.setLimit(c.limit)
			}
			if c.during != nil {
				c.during(workers[:limitedWorkers])
			} else {
				time.Sleep(2 * limitWindow)
			}
			close(stop)
			served, lost := (<-ended).counts()
			for _, w := range workers[:limitedWorkers] {
				if got, allowed := w.overLimit(); got > allowed {
					t.Errorf("%s got %.0f requests in %s, %.1f allowed", w.id, got, limitWindow, allowed)
				}
			}
			if lost*100 > served+lost {
				t.Errorf("%d of %d requests were lost although other workers had capacity", lost, served+lost)
			}
		})
	}
}

// Guards against exceeding or underusing limits whose sum is below the load.
func TestAllWorkersNameALimit(t *testing.T) {
	t.Parallel()
	const limit = 8.0
	f, workers := startSignalFleet(t, 5, 6)
	for _, w := range workers {
		w.setLimit(limit)
	}
	stop, ended := make(chan struct{}), make(chan *outcomes)
	go func() { ended <- f.generateLoad(5*time.Millisecond, stop) }()
	time.Sleep(limitWindow)
	settled := time.Now()
	time.Sleep(limitWindow)
	span := time.Since(settled)
	used := 0
	for _, w := range workers {
		used += w.arrivalsAfter(settled)
	}
	close(stop)
	<-ended
	for _, w := range workers {
		if got, allowed := w.overLimit(); got > allowed {
			t.Errorf("%s got %.0f requests in %s, %.1f allowed", w.id, got, limitWindow, allowed)
		}
	}
	if capacity := limit * float64(len(workers)) * span.Seconds(); float64(used) < minLimitUtilization*capacity {
		t.Errorf("%d requests ran, the limits allow %.0f", used, capacity)
	}
}

// Guards against a worker staying limited after it stops naming a limit.
func TestWorkerThatNoLongerNamesALimit(t *testing.T) {
	t.Parallel()
	f, workers := startSignalFleet(t, 3, 3)
	stop, ended := make(chan struct{}), make(chan *outcomes)
	go func() { ended <- f.generateLoad(5*time.Millisecond, stop) }()
	limited := workers[0]
	limited.setLimit(0.5)
	time.Sleep(3 * time.Second)
	limited.setLimit(-1)
	time.Sleep(8 * time.Second)
	recovered := time.Now()
	time.Sleep(2 * time.Second)
	n := limited.arrivalsAfter(recovered)
	all := n + workers[1].arrivalsAfter(recovered) + workers[2].arrivalsAfter(recovered)
	close(stop)
	<-ended
	if n*6 < all {
		t.Errorf("the formerly limited worker gets %d of %d requests", n, all)
	}
}

// Guards against several VMs issuing permits for the same worker.
func TestOnlyTheIssuerHandsOutPermits(t *testing.T) {
	t.Parallel()
	f, workers := startSignalFleet(t, 4, 1)
	workers[0].setLimit(40)
	f.generateLoadFor(5*time.Millisecond, 3*time.Second)
	for _, v := range f.vms {
		v.IssuePermits(workers[0].id) // A VM issues nothing on its first request.
	}
	time.Sleep(time.Second)
	var issuers []string
	for _, v := range f.vms {
		if v.IssuePermits(workers[0].id) > 0 {
			issuers = append(issuers, v.name)
		}
	}
	if len(issuers) != 1 {
		t.Errorf("%v issue permits, want exactly one VM", issuers)
	}
}
