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

func TestIncarnations(t *testing.T) {
	Convey("Successive processes of a worker have different incarnation IDs", t, func() {
		first, second, unknown := worker.Worker{ID: "w", Start: 1}, worker.Worker{ID: "w", Start: 2}, worker.Worker{ID: "w"}
		So(first.Incarnation(), ShouldNotEqual, second.Incarnation())
		So(unknown.Incarnation(), ShouldEqual, "w")
		Convey("and a set has only the current one", func() {
			set := worker.NewSet([]worker.Worker{second})
			So(set.HasIncarnation(second.Incarnation()), ShouldBeTrue)
			So(set.HasIncarnation(first.Incarnation()), ShouldBeFalse)
			So(set.HasIncarnation("w"), ShouldBeFalse)
			So(worker.NewSet([]worker.Worker{unknown}).HasIncarnation("w"), ShouldBeTrue)
		})
	})
}

// A worker that restarts behind a stale store entry must not count as warm.
func TestColdAfterClosedPort(t *testing.T) {
	const coldStart, observed, startPropagation = 8 * time.Second, 12 * time.Second, 1500 * time.Millisecond
	cases := map[string]struct {
		event func(l *worker.Load) bool
		// storeConfirms is set if the store keeps confirming its data.
		storeConfirms bool
		// The worker counts as cold from coldFrom on for coldFor.
		coldFrom, coldFor time.Duration
		// respondsAt is the time of the first response from a VM, 0 for none.
		respondsAt time.Duration
		// confirmationAge is the age of the store's data at the event.
		confirmationAge time.Duration
	}{
		"refused":                        {(*worker.Load).RecordConnectionRefused, true, 0, 3 * time.Second, 0, 0},
		"refused, store silent":          {(*worker.Load).RecordConnectionRefused, false, 0, observed, 0, 0},
		"refused, response after 2 s":    {(*worker.Load).RecordConnectionRefused, false, 0, coldStart + 2*time.Second, 2 * time.Second, 0},
		"closed":                         {(*worker.Load).RecordAllConnectionsClosed, true, 0, startPropagation, 0, 0},
		"closed, store silent":           {(*worker.Load).RecordAllConnectionsClosed, false, 0, observed, 0, 0},
		"closed, response after 1 s":     {(*worker.Load).RecordAllConnectionsClosed, false, 0, coldStart + time.Second, time.Second, 0},
		"closed, store silent for 0.3 s": {(*worker.Load).RecordAllConnectionsClosed, false, 0, observed, 0, 300 * time.Millisecond},
		"closed, response after 0.5 s":   {(*worker.Load).RecordAllConnectionsClosed, false, 0, coldStart + 500*time.Millisecond, 500 * time.Millisecond, 300 * time.Millisecond},
		"closed, store confirms":         {(*worker.Load).RecordAllConnectionsClosed, true, 0, startPropagation, 0, 300 * time.Millisecond},
		"one closed, store silent":       {(*worker.Load).RecordConnectionClosed, false, 2 * time.Second, observed, 0, 300 * time.Millisecond},
		"one closed, store confirms":     {(*worker.Load).RecordConnectionClosed, true, 0, 0, 0, 300 * time.Millisecond},
		"one closed, then all":           {func(l *worker.Load) bool { return l.RecordConnectionClosed() && l.RecordAllConnectionsClosed() }, false, 0, observed, 0, 300 * time.Millisecond},
		"no event, store silent":         {func(*worker.Load) bool { return true }, false, 0, 0, 0, 0},
		"refused, then closed":           {func(l *worker.Load) bool { return l.RecordConnectionRefused() && !l.RecordAllConnectionsClosed() }, true, 0, 3 * time.Second, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			const step = 500 * time.Millisecond
			clock := clockwork.NewFakeClock()
			loads := worker.NewLoads(clock.Now)
			l, start := loads.GetOrCreate("w"), clock.Now()
			l.RecordFailure()
			if !c.event(l) {
				t.Fatal("wrong result on whether the exit is new")
			}
			for at := time.Duration(0); at < observed; at += step {
				if c.respondsAt > 0 && at >= c.respondsAt {
					l.RecordResponse()
				}
				loads.Prune(func(string) bool { return true })
				confirmed := start.Add(-c.confirmationAge)
				if c.storeConfirms {
					confirmed = clock.Now()
				}
				want := at >= c.coldFrom && at < c.coldFrom+c.coldFor
				if _, kept := loads.Constrained()["w"]; want && !kept {
					t.Fatalf("the load was pruned after %s", at)
				}
				if l.MayBeCold(confirmed, coldStart) != want {
					t.Fatalf("after %s MayBeCold is %t", at, !want)
				}
				clock.Advance(step)
			}
		})
	}
}
