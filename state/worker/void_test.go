// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/ryehill/ryehill/state/worker"
)

// Guards against voiding, or not passing on, exits that another VM has observed.
func TestOwnExitsAreVoid(t *testing.T) {
	const coldStart = 5 * time.Second
	own := func(l *worker.Load) { l.RecordAllConnectionsClosed() }
	cases := map[string]struct {
		observe  func(l *worker.Load, c *clockwork.FakeClock)
		own      bool // whether the shared exit is this VM's alone
		coldThen bool // after the exits since the start are void
	}{
		"own":         {func(l *worker.Load, _ *clockwork.FakeClock) { own(l) }, true, false},
		"own refused": {func(l *worker.Load, _ *clockwork.FakeClock) { l.RecordConnectionRefused() }, true, false},
		"reported": {
			func(l *worker.Load, c *clockwork.FakeClock) { l.Observe(worker.SuspectedExit{At: c.Now()}) }, false, true,
		},
		"own, then reported": {
			func(l *worker.Load, c *clockwork.FakeClock) {
				own(l)
				l.Observe(worker.SuspectedExit{At: c.Now().Add(100 * time.Millisecond)})
			}, false, true,
		},
		"reported, then a later one of its own": {
			func(l *worker.Load, c *clockwork.FakeClock) {
				l.Observe(worker.SuspectedExit{At: c.Now()})
				c.Advance(3 * time.Second)
				l.RecordConnectionRefused()
			}, true, true,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			clock.Advance(time.Minute)
			loads, confirmed, since := worker.NewLoads(clock.Now), clock.Now().Add(-10*time.Second), clock.Now()
			l := loads.GetOrCreate("w")
			c.observe(l, clock)
			if got := loads.SharedSignals()["w"].Exit.Own; got != c.own {
				t.Errorf("own: %v, want %v", got, c.own)
			}
			loads.VoidExits(since)
			if got := l.MayBeCold(confirmed, coldStart); got != c.coldThen {
				t.Errorf("cold: %v, want %v", got, c.coldThen)
			}
		})
	}
}

// Guards against pauses and ejections for failures that were this VM's own.
func TestFailuresAreVoid(t *testing.T) {
	clock := clockwork.NewFakeClock()
	loads := worker.NewLoads(clock.Now)
	l, reused := loads.GetOrCreate("w"), loads.GetOrCreate("reused")
	l.RecordFailure()
	l.RecordOutcome(true)
	reused.MarkAddressReused()
	loads.VoidFailures()
	if l.Paused() || len(loads.DrainOutcomes(10)) > 0 {
		t.Error("a pause or a failure remains")
	}
	if !reused.Paused() {
		t.Error("an address that answered with another worker's id is used")
	}
}
