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

func TestLives(t *testing.T) {
	Convey("Lives of a worker have names of their own", t, func() {
		first, second, untold := worker.Worker{ID: "w", Start: 1}, worker.Worker{ID: "w", Start: 2}, worker.Worker{ID: "w"}
		So(first.Life(), ShouldNotEqual, second.Life())
		So(untold.Life(), ShouldEqual, "w")
		Convey("and one of them is there", func() {
			set := worker.NewSet([]worker.Worker{second})
			So(set.Living(second.Life()), ShouldBeTrue)
			So(set.Living(first.Life()), ShouldBeFalse)
			So(set.Living("w"), ShouldBeFalse)
			So(worker.NewSet([]worker.Worker{untold}).Living("w"), ShouldBeTrue)
		})
	})
}

// A worker whose port was closed may have started again, with an entry that is still
// the one of before: it is taken as cold until there is time for news of it.
func TestPortThatWasClosed(t *testing.T) {
	clock := clockwork.NewFakeClock()
	loads := worker.NewLoads(clock.Now)
	l := loads.Of("w")
	l.Failed()
	l.Refused()
	clock.Advance(2 * time.Second)
	loads.Keep(func(string) bool { return true })
	if _, kept := loads.Limited()["w"]; !kept || !l.MayBeCold() {
		t.Error("forgotten after 2 s")
	}
	clock.Advance(2 * time.Second)
	if l.MayBeCold() {
		t.Error("still taken as cold after 4 s")
	}
}
