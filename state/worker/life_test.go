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
	const coldStart, played = 8 * time.Second, 12 * time.Second
	cases := map[string]struct {
		happens func(l *worker.Load)
		// news is whether the store goes on to confirm what is known of workers.
		news bool
		// cold is for how long the worker is taken as cold, and from is when that begins.
		from, cold time.Duration
		// answers is when a VM first has an answer again, 0 if none has.
		answers time.Duration
		// age is how old what is known of workers is as it happens.
		age time.Duration
	}{
		"closed":                         {(*worker.Load).Refused, true, 0, 3 * time.Second, 0, 0},
		"closed, the store silent":       {(*worker.Load).Refused, false, 0, played, 0, 0},
		"the same, back after 2 s":       {(*worker.Load).Refused, false, 0, coldStart + 2*time.Second, 2 * time.Second, 0},
		"connections ended":              {(*worker.Load).Ended, true, 0, 0, 0, 0},
		"connections ended, no store":    {(*worker.Load).Ended, false, 2500 * time.Millisecond, played, 0, 0},
		"the same, back after 1 s":       {(*worker.Load).Ended, false, time.Second, coldStart, time.Second, 0},
		"ended, no store for 0.3 s":      {(*worker.Load).Ended, false, 0, played, 0, 300 * time.Millisecond},
		"the same, back after 0.5 s":     {(*worker.Load).Ended, false, 0, coldStart + 500*time.Millisecond, 500 * time.Millisecond, 300 * time.Millisecond},
		"ended, the store is calm":       {(*worker.Load).Ended, true, 0, 0, 0, 300 * time.Millisecond},
		"hung up, no store for 0.3 s":    {(*worker.Load).HungUp, false, 2 * time.Second, played, 0, 300 * time.Millisecond},
		"hung up, the store is calm":     {(*worker.Load).HungUp, true, 0, 0, 0, 300 * time.Millisecond},
		"hung up, then all ended":        {func(l *worker.Load) { l.HungUp(); l.Ended() }, false, 0, played, 0, 300 * time.Millisecond},
		"nothing, though without store":  {func(*worker.Load) {}, false, 0, 0, 0, 0},
		"closed, then connections ended": {func(l *worker.Load) { l.Refused(); l.Ended() }, true, 0, 3 * time.Second, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			const step = 500 * time.Millisecond
			clock := clockwork.NewFakeClock()
			loads := worker.NewLoads(clock.Now)
			l, begun := loads.Of("w"), clock.Now()
			l.Failed()
			c.happens(l)
			for at := time.Duration(0); at < played; at += step {
				if c.answers > 0 && at >= c.answers {
					l.Answered()
				}
				loads.Keep(func(string) bool { return true })
				confirmed := begun.Add(-c.age)
				if c.news {
					confirmed = clock.Now()
				}
				want := at >= c.from && at < c.from+c.cold
				if _, kept := loads.Limited()["w"]; want && !kept {
					t.Fatalf("forgotten after %s", at)
				}
				if l.MayBeCold(confirmed, coldStart) != want {
					t.Fatalf("after %s taken as cold: %t", at, !want)
				}
				clock.Advance(step)
			}
		})
	}
}
