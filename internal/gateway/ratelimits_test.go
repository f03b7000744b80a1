// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"slices"
	"testing"
	"time"
)

const (
	// limitWindow is the span in which the requests at a limited worker are counted, and
	// after which from its first word on they are judged.
	limitWindow = 4 * time.Second
	// limitUnderWay is for how long after a VM has passed on a limit its requests do not
	// count.
	limitUnderWay = 500 * time.Millisecond
	// limitFactor and limitSlack are how much more than its limit a worker may get.
	limitFactor, limitSlack = 1.5, 5
	// limitUsed is the least part of their limits that workers get while callers ask for
	// more.
	limitUsed = 0.7
)

// name makes the worker name a limit in all answers from now on, below 0 for none.
func (m *signalWorker) name(perS float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = perS
}

// overLimit returns the most requests in a window from VMs that knew the worker's limit,
// and how many that limit allows, of the window that is furthest beyond. The limit of a
// window is the highest one named in it.
func (m *signalWorker) overLimit() (got, allowed float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	arrivals := slices.Clone(m.arrivals)
	slices.SortFunc(arrivals, func(a, b signalArrival) int { return a.at.Compare(b.at) })
	told := make(map[string]time.Time)
	var first time.Time
	for _, a := range arrivals {
		if a.limit < 0 {
			continue
		}
		if at, ok := told[a.vm]; !ok || a.answered.Before(at) {
			told[a.vm] = a.answered
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
			at, knew := told[a.vm]
			if a.at.After(last.at.Add(-limitWindow)) && knew && a.at.After(at.Add(limitUnderWay)) {
				n, highest = n+1, max(highest, a.limit)
			}
		}
		if may := limitFactor*limitWindow.Seconds()*highest + limitSlack; allowed == 0 || n-may > got-allowed {
			got, allowed = n, may
		}
	}
	return got, allowed
}

// Each VM alone was within the limit that a worker had named for all of them together.
func TestWorkersThatNameALimit(t *testing.T) {
	t.Parallel()
	const names = 2 // of six workers
	cases := map[string]struct {
		limit  float64
		before func(f *fleet)
		during func(workers []*signalWorker)
	}{
		"a fraction":        {limit: 3.5},
		"the store is away": {limit: 2.8, before: func(f *fleet) { f.shutStore(true) }},
		"less than one":     {limit: 0.4},
		"nothing":           {limit: 0},
		"it changes": {limit: 12, during: func(workers []*signalWorker) {
			for i := range 5 {
				time.Sleep(1500 * time.Millisecond)
				for _, w := range workers {
					w.name([]float64{3, 12}[i%2])
				}
			}
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, workers := signalFleet(t, 5, 6)
			if c.before != nil {
				c.before(f)
			}
			stop, ended := make(chan struct{}), make(chan *answers)
			go func() { ended <- f.load(5*time.Millisecond, stop) }()
			for _, w := range workers[:names] {
				w.name(c.limit)
			}
			if c.during != nil {
				c.during(workers[:names])
			} else {
				time.Sleep(2 * limitWindow)
			}
			close(stop)
			served, lost := (<-ended).counts()
			for _, w := range workers[:names] {
				if got, allowed := w.overLimit(); got > allowed {
					t.Errorf("%s got %.0f requests in %s, %.1f allowed", w.id, got, limitWindow, allowed)
				}
			}
			if lost*100 > served+lost {
				t.Errorf("%d of %d requests were lost though others have room", lost, served+lost)
			}
		})
	}
}

// Limits whose sum is less than callers ask for must hold and be used.
func TestAllWorkersNameALimit(t *testing.T) {
	t.Parallel()
	const limit = 8.0
	f, workers := signalFleet(t, 5, 6)
	for _, w := range workers {
		w.name(limit)
	}
	stop, ended := make(chan struct{}), make(chan *answers)
	go func() { ended <- f.load(5*time.Millisecond, stop) }()
	time.Sleep(limitWindow)
	settled := time.Now()
	time.Sleep(limitWindow)
	span := time.Since(settled)
	used := 0
	for _, w := range workers {
		used += w.since(settled)
	}
	close(stop)
	<-ended
	for _, w := range workers {
		if got, allowed := w.overLimit(); got > allowed {
			t.Errorf("%s got %.0f requests in %s, %.1f allowed", w.id, got, limitWindow, allowed)
		}
	}
	if most := limit * float64(len(workers)) * span.Seconds(); float64(used) < limitUsed*most {
		t.Errorf("%d requests were run where %.0f would have been taken", used, most)
	}
}

// A worker that no longer names a limit must get its usual requests again.
func TestWorkerThatNoLongerNamesALimit(t *testing.T) {
	t.Parallel()
	f, workers := signalFleet(t, 3, 3)
	stop, ended := make(chan struct{}), make(chan *answers)
	go func() { ended <- f.load(5*time.Millisecond, stop) }()
	limited := workers[0]
	limited.name(0.5)
	time.Sleep(3 * time.Second)
	limited.name(-1)
	time.Sleep(8 * time.Second)
	free := time.Now()
	time.Sleep(2 * time.Second)
	n := limited.since(free)
	all := n + workers[1].since(free) + workers[2].since(free)
	close(stop)
	<-ended
	if n*6 < all {
		t.Errorf("it gets %d of %d requests", n, all)
	}
}

// Of all VMs that are asked for permits, only one hands any out.
func TestOnlyTheIssuerHandsOut(t *testing.T) {
	t.Parallel()
	f, workers := signalFleet(t, 4, 1)
	workers[0].name(40)
	f.loadFor(5*time.Millisecond, 3*time.Second)
	for _, v := range f.vms {
		v.Issues(workers[0].id) // A VM that has never been asked has nothing in hand.
	}
	time.Sleep(time.Second)
	var issuers []string
	for _, v := range f.vms {
		if v.Issues(workers[0].id) > 0 {
			issuers = append(issuers, v.name)
		}
	}
	if len(issuers) != 1 {
		t.Errorf("%v hand out what one worker takes", issuers)
	}
}
