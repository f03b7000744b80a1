// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker_test

import (
	"maps"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/ryehill/ryehill/state/worker"
)

func TestLoad(t *testing.T) {
	Convey("A load", t, func() {
		clock := clockwork.NewFakeClock()
		loads := worker.NewLoads(clock.Now)
		load := loads.Of("w1")
		Convey("counts this VM's requests in flight", func() {
			load.Begin()
			load.Begin()
			load.End()
			So(load.Busy(), ShouldEqual, 1)
		})
		Convey("adds the reported requests of other VMs, weighted by age", func() {
			load.Begin()
			load.Begin()
			load.Told(4, 1) // One of this VM's two requests remains, four are from other VMs.
			load.End()
			So(load.Busy(), ShouldEqual, 5)
			clock.Advance(time.Second)
			So(load.Busy(), ShouldEqual, 3)
			clock.Advance(time.Second)
			So(load.Busy(), ShouldEqual, 1)
		})
		Convey("doubles the pause with each failure, and ends it on a response", func() {
			load.Failed()
			So(load.Paused(), ShouldBeTrue)
			clock.Advance(500 * time.Millisecond)
			So(load.Paused(), ShouldBeFalse)
			load.Failed()
			clock.Advance(500 * time.Millisecond)
			So(load.Paused(), ShouldBeTrue)
			load.Answered()
			So(load.Paused(), ShouldBeFalse)
		})
		Convey("is pruned only without requests in flight", func() {
			load.Begin()
			loads.Keep(func(string) bool { return false })
			So(loads.Of("w1"), ShouldEqual, load)
			load.End()
			loads.Keep(func(string) bool { return false })
			So(loads.Of("w1"), ShouldNotEqual, load)
		})
	})
}

// Failures must be reported once, together with recent successes only.
func TestOutcomesAreDrainedOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	loads := worker.NewLoads(clock.Now)
	for range 10 {
		loads.Of("sound").Outcome(false)
		loads.Of("old").Outcome(false)
	}
	clock.Advance(20 * time.Second)
	for range 3 {
		loads.Of("new").Outcome(false)
	}
	loads.Of("old").Outcome(true)
	loads.Of("new").Outcome(true)
	loads.Of("new").Outcome(true)
	drained := loads.TakeOutcomes(10)
	want := map[string]worker.Outcomes{"old": {Answered: 0, Failed: 1}, "new": {Answered: 3, Failed: 2}}
	if !maps.Equal(drained, want) {
		t.Errorf("drained %v, want %v", drained, want)
	}
	if again := loads.TakeOutcomes(10); len(again) != 0 {
		t.Errorf("drained again: %v", again)
	}
	loads.Of("a").Outcome(true)
	loads.Of("b").Outcome(true)
	if first := loads.TakeOutcomes(1); len(first) != 1 {
		t.Errorf("%d workers, want 1", len(first))
	}
	if rest := loads.TakeOutcomes(1); len(rest) != 1 {
		t.Errorf("%d workers remain, want 1", len(rest))
	}
}
