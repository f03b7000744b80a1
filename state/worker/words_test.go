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

func TestWords(t *testing.T) {
	Convey("What a worker tells one VM", t, func() {
		clock := clockwork.NewFakeClock()
		one, other := worker.NewLoads(clock.Now), worker.NewLoads(clock.Now)
		one.Of("w1").Begin()
		one.Of("w1").Told(4, 2)
		Convey("is told to others once, and counts there as it does here", func() {
			words := one.TakeWords()
			So(words, ShouldResemble, map[string]worker.Word{"w1": {Requests: 6}})
			So(one.TakeWords(), ShouldBeEmpty)
			other.Of("w1").Heard(words["w1"])
			So(other.Of("w1").Busy(), ShouldEqual, 6)
			heard, number := other.WordsAfter(0)
			So(heard, ShouldHaveLength, 1)
			again, _ := other.WordsAfter(number)
			So(again, ShouldBeEmpty)
			So(other.TakeWords(), ShouldBeEmpty)
		})
		Convey("is taken without the requests of the VM that hears it", func() {
			other.Of("w1").Begin()
			other.Of("w1").Begin()
			other.Of("w1").Heard(worker.Word{Requests: 6})
			So(other.Of("w1").Busy(), ShouldEqual, 6)
		})
		Convey("does not replace a newer word", func() {
			other.Of("w1").Begin()
			other.Of("w1").Told(1, 0)
			other.Of("w1").End()
			other.Of("w1").Heard(worker.Word{Requests: 6, Age: 100 * time.Millisecond})
			So(other.Of("w1").Busy(), ShouldEqual, 1)
		})
		Convey("is as old as it was, and is passed on no more once it counts for nothing", func() {
			clock.Advance(500 * time.Millisecond)
			words, number := one.WordsAfter(0)
			So(words["w1"].Age, ShouldEqual, 500*time.Millisecond)
			other.Of("w1").Heard(words["w1"])
			clock.Advance(5 * time.Second)
			late, _ := other.WordsAfter(0)
			So(late, ShouldBeEmpty)
			So(other.Of("w1").Busy(), ShouldEqual, 0)
			Convey("until the worker tells it anew", func() {
				one.Of("w1").Begin()
				one.Of("w1").Told(5, 2)
				anew, _ := one.WordsAfter(number)
				So(anew["w1"].Requests, ShouldEqual, 7)
			})
		})
		Convey("is not passed on of an idle worker", func() {
			one.Of("w2").Begin()
			one.Of("w2").Told(1, 0)
			So(one.TakeWords(), ShouldHaveLength, 1)
		})
	})
}
