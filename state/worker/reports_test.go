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
		one.Of("w1").Begin()
		one.Of("w1").Told(4, 2)
		Convey("is forwarded once, and counts at the other VM as here", func() {
			reports := one.TakeWords()
			So(reports, ShouldResemble, map[string]worker.Word{"w1": {Requests: 6}})
			So(one.TakeWords(), ShouldBeEmpty)
			other.Of("w1").Heard(reports["w1"])
			So(other.Of("w1").Busy(), ShouldEqual, 6)
			received, seq := other.WordsAfter(0)
			So(received, ShouldHaveLength, 1)
			again, _ := other.WordsAfter(seq)
			So(again, ShouldBeEmpty)
			So(other.TakeWords(), ShouldBeEmpty)
		})
		Convey("is reduced by the receiving VM's own requests", func() {
			other.Of("w1").Begin()
			other.Of("w1").Begin()
			other.Of("w1").Heard(worker.Word{Requests: 6})
			So(other.Of("w1").Busy(), ShouldEqual, 6)
		})
		Convey("does not replace a newer report", func() {
			other.Of("w1").Begin()
			other.Of("w1").Told(1, 0)
			other.Of("w1").End()
			other.Of("w1").Heard(worker.Word{Requests: 6, Age: 100 * time.Millisecond})
			So(other.Of("w1").Busy(), ShouldEqual, 1)
		})
		Convey("keeps its age, and is not forwarded once it has expired", func() {
			clock.Advance(500 * time.Millisecond)
			reports, seq := one.WordsAfter(0)
			So(reports["w1"].Age, ShouldEqual, 500*time.Millisecond)
			other.Of("w1").Heard(reports["w1"])
			clock.Advance(5 * time.Second)
			late, _ := other.WordsAfter(0)
			So(late, ShouldBeEmpty)
			So(other.Of("w1").Busy(), ShouldEqual, 0)
			Convey("until the worker reports again", func() {
				one.Of("w1").Begin()
				one.Of("w1").Told(5, 2)
				updated, _ := one.WordsAfter(seq)
				So(updated["w1"].Requests, ShouldEqual, 7)
			})
		})
		Convey("is not forwarded for an idle worker", func() {
			one.Of("w2").Begin()
			one.Of("w2").Told(1, 0)
			So(one.TakeWords(), ShouldHaveLength, 1)
		})
	})
}
