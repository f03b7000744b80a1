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

// Whatever the order in which words of leaving come, and however often, the earliest end
// binds; and a word about one life says nothing of the next.
func TestEarliestWordOfLeavingBinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		begun, loads := clock.Now(), worker.NewLoads(clock.Now)
		first := worker.Worker{ID: "w", Start: 1}
		next := worker.Worker{ID: "w", Start: 2}
		if rapid.Bool().Draw(t, "the store says so") {
			first.Leaving = true
			first.Ending.Until = begun.Add(drawSeconds(t, "stored"))
		}
		earliest := first.Ending.Until
		for range rapid.IntRange(1, 8).Draw(t, "words") {
			until := begun.Add(drawSeconds(t, "until"))
			if earliest.IsZero() || until.Before(earliest) {
				earliest = until
			}
			for range rapid.IntRange(1, 2).Draw(t, "times") {
				loads.Of(first.Life()).Hear(worker.Leaving{Ending: worker.Ending{Heard: clock.Now(), Until: until}})
			}
			clock.Advance(rapid.SampledFrom([]time.Duration{0, time.Second, time.Minute}).Draw(t, "then"))
			loads.Keep(func(life string) bool { return life == first.Life() })
		}
		leaving, leaves := loads.Leaving(&first)
		if !leaves || !leaving.Until.Equal(earliest) {
			t.Fatalf("leaves: %t, until %s, want %s", leaves, leaving.Until, earliest)
		}
		_, left := loads.Standing(&first, clock.Now()).(worker.Left)
		if left == clock.Now().Before(earliest) {
			t.Fatalf("left: %t, %s before its time is over", left, earliest.Sub(clock.Now()))
		}
		if _, leaves := loads.Leaving(&next); leaves {
			t.Fatal("the next life leaves as well")
		}
	})
}

func drawSeconds(t *rapid.T, label string) time.Duration {
	return time.Duration(rapid.IntRange(1, 120).Draw(t, label)) * time.Second
}

// Each rest lasts to its own end, whatever comes after it; then the worker gets requests
// again within a fifth of the rest, one at first.
func TestEachRestLastsToItsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		loads := worker.NewLoads(clock.Now)
		w := worker.Worker{ID: "w"}
		load, end := loads.Of(w.Life()), clock.Now()
		longest := time.Duration(0)
		for range rapid.IntRange(1, 6).Draw(t, "rests") {
			rest := time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond
			longest = max(longest, rest)
			load.Hear(worker.Rest{For: rest})
			if e := clock.Now().Add(rest); e.After(end) {
				end = e
			}
			clock.Advance(time.Duration(rapid.IntRange(0, 500).Draw(t, "then")) * time.Millisecond)
		}
		for step := 10 * time.Millisecond; clock.Now().Before(end); clock.Advance(step) {
			if _, rests := loads.Standing(&w, clock.Now()).(worker.Resting); !rests {
				t.Fatalf("it may get requests %s before its rest ends", end.Sub(clock.Now()))
			}
		}
		clock.Advance(min(longest/5, 500*time.Millisecond) + time.Millisecond)
		if standing, ready := loads.Standing(&w, clock.Now()).(worker.Ready); !ready {
			t.Fatalf("%T after its rest", standing)
		}
		load.Begin()
		if _, rests := loads.Standing(&w, clock.Now()).(worker.Resting); !rests {
			t.Fatal("it gets two requests at once after its rest")
		}
	})
}

// After a rest a worker gets twice as many requests at once with each answer, and as
// many as there are after some seconds whatever it answers.
func TestReturnAfterARestIsARamp(t *testing.T) {
	clock := clockwork.NewFakeClock()
	loads := worker.NewLoads(clock.Now)
	w := worker.Worker{ID: "w"}
	load := loads.Of(w.Life())
	mayBegin := func() (n int) {
		for n = 0; n < 100; n++ {
			if _, ready := loads.Standing(&w, clock.Now()).(worker.Ready); !ready {
				break
			}
			load.Begin()
		}
		for range n {
			load.End()
		}
		return n
	}
	load.Hear(worker.Rest{For: time.Second})
	load.Answered() // To a request that was under way.
	clock.Advance(1200 * time.Millisecond)
	for _, want := range []int{1, 2, 4, 8, 16, 100} {
		if got := mayBegin(); got != want {
			t.Errorf("%d requests at once, want %d", got, want)
		}
		load.Answered()
	}
	load.Hear(worker.Rest{For: time.Second})
	clock.Advance(1200 * time.Millisecond)
	if got := mayBegin(); got != 1 {
		t.Errorf("%d requests at once after the second rest, want 1", got)
	}
	clock.Advance(5 * time.Second)
	if got := mayBegin(); got != 100 {
		t.Errorf("%d requests at once though it has not asked for rest for long", got)
	}
}

// A rest beyond what can be meant is cut down, and does not overflow.
func TestHugeRestEnds(t *testing.T) {
	clock := clockwork.NewFakeClock()
	loads := worker.NewLoads(clock.Now)
	w := worker.Worker{ID: "w"}
	loads.Of(w.Life()).Hear(worker.Rest{For: 1<<63 - 1})
	clock.Advance(4 * time.Minute)
	if _, rests := loads.Standing(&w, clock.Now()).(worker.Resting); !rests {
		t.Error("it may get requests after four minutes")
	}
	clock.Advance(2 * time.Minute)
	if _, ready := loads.Standing(&w, clock.Now()).(worker.Ready); !ready {
		t.Error("it gets nothing for ever")
	}
}

// What a worker has said is remembered while its entry is missing: one that lapsed while
// the store was away comes back and says ready.
func TestWordOutlivesAMissingEntry(t *testing.T) {
	clock := clockwork.NewFakeClock()
	loads := worker.NewLoads(clock.Now)
	w := worker.Worker{ID: "w", Start: 1}
	loads.Of(w.Life()).Hear(worker.Leaving{Ending: worker.Ending{Heard: clock.Now(), Until: clock.Now().Add(time.Second)}})
	gone := func(string) bool { return false }
	clock.Advance(time.Minute)
	loads.Keep(gone)
	if _, leaves := loads.Leaving(&w); !leaves {
		t.Error("forgotten after a minute")
	}
	clock.Advance(2 * time.Minute)
	loads.Keep(gone)
	if _, leaves := loads.Leaving(&w); leaves {
		t.Error("remembered for ever")
	}
}
