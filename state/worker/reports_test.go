// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/ryehill/ryehill/state/worker"
)

func TestLoadReports(t *testing.T) {
	Convey("A load report that one VM received", t, func() {
		clock := clockwork.NewFakeClock()
		one, other := worker.NewLoads(clock.Now), worker.NewLoads(clock.Now)
		one.GetOrCreate("w1").Begin()
		one.GetOrCreate("w1").RecordReport(4, 2)
		Convey("is forwarded once, and counts at the other VM as here", func() {
			reports := one.DrainReports()
			So(reports, ShouldResemble, map[string]worker.LoadReport{"w1": {Requests: 6}})
			So(one.DrainReports(), ShouldBeEmpty)
			other.GetOrCreate("w1").MergeReport(reports["w1"])
			So(other.GetOrCreate("w1").Busy(), ShouldEqual, 6)
			received, seq := other.ReportsSince(0)
			So(received, ShouldHaveLength, 1)
			again, _ := other.ReportsSince(seq)
			So(again, ShouldBeEmpty)
			So(other.DrainReports(), ShouldBeEmpty)
		})
		Convey("is reduced by the receiving VM's own requests", func() {
			other.GetOrCreate("w1").Begin()
			other.GetOrCreate("w1").Begin()
			other.GetOrCreate("w1").MergeReport(worker.LoadReport{Requests: 6})
			So(other.GetOrCreate("w1").Busy(), ShouldEqual, 6)
		})
		Convey("does not replace a newer report", func() {
			other.GetOrCreate("w1").Begin()
			other.GetOrCreate("w1").RecordReport(1, 0)
			other.GetOrCreate("w1").End()
			other.GetOrCreate("w1").MergeReport(worker.LoadReport{Requests: 6, Age: 100 * time.Millisecond})
			So(other.GetOrCreate("w1").Busy(), ShouldEqual, 1)
		})
		Convey("keeps its age, and is not forwarded once it has expired", func() {
			clock.Advance(500 * time.Millisecond)
			reports, seq := one.ReportsSince(0)
			So(reports["w1"].Age, ShouldEqual, 500*time.Millisecond)
			other.GetOrCreate("w1").MergeReport(reports["w1"])
			clock.Advance(5 * time.Second)
			late, _ := other.ReportsSince(0)
			So(late, ShouldBeEmpty)
			So(other.GetOrCreate("w1").Busy(), ShouldEqual, 0)
			Convey("until the worker reports again", func() {
				one.GetOrCreate("w1").Begin()
				one.GetOrCreate("w1").RecordReport(5, 2)
				updated, _ := one.ReportsSince(seq)
				So(updated["w1"].Requests, ShouldEqual, 7)
			})
		})
		Convey("is not forwarded for an idle worker", func() {
			one.GetOrCreate("w2").Begin()
			one.GetOrCreate("w2").RecordReport(1, 0)
			So(one.DrainReports(), ShouldHaveLength, 1)
		})
	})
}
