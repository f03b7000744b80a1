// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package load_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/ryehill/ryehill/state/load"
	"github.com/ryehill/ryehill/state/object"
)

func TestHallMeters(t *testing.T) {
	Convey("Two VMs that send to two halls", t, func() {
		clock := clockwork.NewFakeClock()
		meters1, meters2 := load.NewHallMeters(clock.Now), load.NewHallMeters(clock.Now)
		meters1.Meter("a").Begin("s")
		clock.Advance(time.Second)
		meters2.Meter("a").Begin("s")
		meters2.Meter("a").Begin("s")
		meters2.Meter("b").Begin("s")
		meters2.Meter("b").End("s", load.RequestResult{Refused: true})
		first, second := meters1.Report(object.Version{Revision: 7}), meters2.Report(object.Version{Revision: 5})
		halls := make(map[string]load.HallStatus)
		for _, hall := range []string{"a", "b", "c"} {
			sum := load.HallStatus{Hall: hall}
			sum.Merge(first.HallStatus(hall, clock.Now()))
			sum.Merge(second.HallStatus(hall, clock.Now()))
			halls[hall] = sum
		}
		Convey("are summed by hall", func() {
			So(halls["a"].VMs, ShouldEqual, 2)
			So(halls["a"].Services["s"].InUse, ShouldEqual, 3)
			So(halls["b"].Services["s"].InUse, ShouldEqual, 0)
			So(halls["b"].Services["s"].Refused, ShouldBeGreaterThan, 0)
		})
		Convey("with the lowest generation, also for a hall without traffic", func() {
			So(halls["a"].Generation, ShouldEqual, 5)
			So(halls["c"].Generation, ShouldEqual, 5)
			So(halls["c"].VMs, ShouldEqual, 2)
		})
		Convey("with the earliest time", func() {
			sum := load.HallStatus{}
			sum.Merge(first.HallStatus("a", clock.Now()))
			sum.Merge(second.HallStatus("a", clock.Now().Add(-time.Minute)))
			So(sum.At, ShouldEqual, clock.Now().Add(-time.Minute).UnixMilli())
		})
	})
}
