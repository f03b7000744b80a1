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
		load := loads.GetOrCreate("w1")
		Convey("counts this VM's requests in flight", func() {
			load.Begin()
			load.Begin()
			load.End()
			So(load.Busy(), ShouldEqual, 1)
		})
		Convey("adds the reported requests of other VMs, weighted by age", func() {
			load.Begin()
			load.Begin()
			load.RecordReport(4, 1) // One of this VM's two requests remains, four are from other VMs.
			load.End()
			So(load.Busy(), ShouldEqual, 5)
			clock.Advance(time.Second)
			So(load.Busy(), ShouldEqual, 3)
			clock.Advance(time.Second)
			So(load.Busy(), ShouldEqual, 1)
		})
		Convey("doubles the pause with each failure, and ends it on a response", func() {
			load.RecordFailure()
			So(load.Paused(), ShouldBeTrue)
			clock.Advance(500 * time.Millisecond)
			So(load.Paused(), ShouldBeFalse)
			load.RecordFailure()
			clock.Advance(500 * time.Millisecond)
			So(load.Paused(), ShouldBeTrue)
			load.RecordResponse()
			So(load.Paused(), ShouldBeFalse)
		})
		Convey("is pruned only without requests in flight", func() {
			load.Begin()
			loads.Prune(func(string) bool { return false })
			So(loads.GetOrCreate("w1"), ShouldEqual, load)
			load.End()
			loads.Prune(func(string) bool { return false })
			So(loads.GetOrCreate("w1"), ShouldNotEqual, load)
		})
	})
}

// Failures must be reported once, together with recent successes only.
func TestOutcomesAreDrainedOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	loads := worker.NewLoads(clock.Now)
	for range 10 {
		loads.GetOrCreate("sound").RecordOutcome(false)
		loads.GetOrCreate("old").RecordOutcome(false)
	}
	clock.Advance(20 * time.Second)
	for range 3 {
		loads.GetOrCreate("new").RecordOutcome(false)
	}
	loads.GetOrCreate("old").RecordOutcome(true)
	loads.GetOrCreate("new").RecordOutcome(true)
	loads.GetOrCreate("new").RecordOutcome(true)
	drained := loads.DrainOutcomes(10)
	want := map[string]worker.Outcomes{"old": {Succeeded: 0, Failed: 1}, "new": {Succeeded: 3, Failed: 2}}
	if !maps.Equal(drained, want) {
		t.Errorf("drained %v, want %v", drained, want)
	}
	if again := loads.DrainOutcomes(10); len(again) != 0 {
		t.Errorf("drained again: %v", again)
	}
	loads.GetOrCreate("a").RecordOutcome(true)
	loads.GetOrCreate("b").RecordOutcome(true)
	if first := loads.DrainOutcomes(1); len(first) != 1 {
		t.Errorf("%d workers, want 1", len(first))
	}
	if rest := loads.DrainOutcomes(1); len(rest) != 1 {
		t.Errorf("%d workers remain, want 1", len(rest))
	}
}
