// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/ryehill/ryehill/state/worker"
)

// Reordered or repeated signals must not extend a shutdown or affect the next process.
func TestEarliestLeavingDeadlineWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		start, loads := clock.Now(), worker.NewLoads(clock.Now)
		first := worker.Worker{ID: "w", Start: 1}
		next := worker.Worker{ID: "w", Start: 2}
		if rapid.Bool().Draw(t, "the store says so") {
			first.Leaving = true
			first.DrainWindow.Until = start.Add(drawSeconds(t, "stored"))
		}
		earliest := first.DrainWindow.Until
		for range rapid.IntRange(1, 8).Draw(t, "words") {
			until := start.Add(drawSeconds(t, "until"))
			if earliest.IsZero() || until.Before(earliest) {
				earliest = until
			}
			for range rapid.IntRange(1, 2).Draw(t, "times") {
				loads.GetOrCreate(first.Incarnation()).Observe(worker.Leaving{DrainWindow: worker.DrainWindow{ObservedAt: clock.Now(), Until: until}})
			}
			clock.Advance(rapid.SampledFrom([]time.Duration{0, time.Second, time.Minute}).Draw(t, "then"))
			loads.Prune(func(id string) bool { return id == first.Incarnation() })
		}
		leaving, leaves := loads.Leaving(&first)
		if !leaves || !leaving.Until.Equal(earliest) {
			t.Fatalf("leaving %t until %s, want %s", leaves, leaving.Until, earliest)
		}
		_, left := loads.Availability(&first, clock.Now()).(worker.Departed)
		if left == clock.Now().Before(earliest) {
			t.Fatalf("departed %t, %s before the deadline", left, earliest.Sub(clock.Now()))
		}
		if _, leaves := loads.Leaving(&next); leaves {
			t.Fatal("the next process is leaving")
		}
	})
}

func drawSeconds(t *rapid.T, label string) time.Duration {
	return time.Duration(rapid.IntRange(1, 120).Draw(t, label)) * time.Second
}

// A shorter rest must not end a longer one, and the return must start with one request.
func TestRestIsNotShortened(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		loads := worker.NewLoads(clock.Now)
		w := worker.Worker{ID: "w"}
		load, end := loads.GetOrCreate(w.Incarnation()), clock.Now()
		longest := time.Duration(0)
		for range rapid.IntRange(1, 6).Draw(t, "rests") {
			rest := time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond
			longest = max(longest, rest)
			load.Observe(worker.Rest{For: rest})
			if e := clock.Now().Add(rest); e.After(end) {
				end = e
			}
			clock.Advance(time.Duration(rapid.IntRange(0, 500).Draw(t, "then")) * time.Millisecond)
		}
		for step := 10 * time.Millisecond; clock.Now().Before(end); clock.Advance(step) {
			if _, rests := loads.Availability(&w, clock.Now()).(worker.Resting); !rests {
				t.Fatalf("available %s before the rest ends", end.Sub(clock.Now()))
			}
		}
		clock.Advance(min(longest/5, 500*time.Millisecond) + time.Millisecond)
		if availability, ready := loads.Availability(&w, clock.Now()).(worker.Ready); !ready {
			t.Fatalf("%T after the rest, want Ready", availability)
		}
		load.Begin()
		if _, rests := loads.Availability(&w, clock.Now()).(worker.Resting); !rests {
			t.Fatal("two concurrent requests right after the rest")
		}
	})
}

// A worker must not get all requests at once after a rest, nor stay throttled for good.
func TestRampAfterRest(t *testing.T) {
	clock := clockwork.NewFakeClock()
	loads := worker.NewLoads(clock.Now)
	w := worker.Worker{ID: "w"}
	load := loads.GetOrCreate(w.Incarnation())
	concurrentStarts := func() (n int) {
		for n = 0; n < 100; n++ {
			if _, ready := loads.Availability(&w, clock.Now()).(worker.Ready); !ready {
				break
			}
			load.Begin()
		}
		for range n {
			load.End()
		}
		return n
	}
	load.Observe(worker.Rest{For: time.Second})
	load.RecordResponse() // To a request sent before the rest.
	clock.Advance(1200 * time.Millisecond)
	for _, want := range []int{1, 2, 4, 8, 16, 100} {
		if got := concurrentStarts(); got != want {
			t.Errorf("%d concurrent requests, want %d", got, want)
		}
		load.RecordResponse()
	}
	load.Observe(worker.Rest{For: time.Second})
	clock.Advance(1200 * time.Millisecond)
	if got := concurrentStarts(); got != 1 {
		t.Errorf("%d concurrent requests after the second rest, want 1", got)
	}
	clock.Advance(5 * time.Second)
	if got := concurrentStarts(); got != 100 {
		t.Errorf("%d concurrent requests after the ramp, want 100", got)
	}
}

// A huge rest must not overflow or exclude a worker forever.
func TestRestIsBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	loads := worker.NewLoads(clock.Now)
	w := worker.Worker{ID: "w"}
	loads.GetOrCreate(w.Incarnation()).Observe(worker.Rest{For: 1<<63 - 1})
	clock.Advance(4 * time.Minute)
	if _, rests := loads.Availability(&w, clock.Now()).(worker.Resting); !rests {
		t.Error("available after four minutes")
	}
	clock.Advance(2 * time.Minute)
	if _, ready := loads.Availability(&w, clock.Now()).(worker.Ready); !ready {
		t.Error("the rest is unbounded")
	}
}

// An expired store entry that returns must not make a leaving worker ready.
func TestLeavingOutlivesMissingEntry(t *testing.T) {
	clock := clockwork.NewFakeClock()
	loads := worker.NewLoads(clock.Now)
	w := worker.Worker{ID: "w", Start: 1}
	loads.GetOrCreate(w.Incarnation()).Observe(worker.Leaving{DrainWindow: worker.DrainWindow{ObservedAt: clock.Now(), Until: clock.Now().Add(time.Second)}})
	noEntry := func(string) bool { return false }
	clock.Advance(time.Minute)
	loads.Prune(noEntry)
	if _, leaves := loads.Leaving(&w); !leaves {
		t.Error("pruned after a minute")
	}
	clock.Advance(2 * time.Minute)
	loads.Prune(noEntry)
	if _, leaves := loads.Leaving(&w); leaves {
		t.Error("never pruned")
	}
}
