// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package capacity_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/ryehill/ryehill/coordination/capacity"
	"github.com/ryehill/ryehill/state/share"
)

func workers(n, slots int) []capacity.Worker {
	list := make([]capacity.Worker, n)
	for i := range list {
		list[i] = capacity.Worker{ID: fmt.Sprintf("w%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: slots}
	}
	return list
}

// newPool returns a pool whose workers have just reported that they are idle.
func newPool(n, slots int) (*capacity.Pool, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	p := capacity.New(capacity.Config{Now: clock.Now, MinHeadroom: 10 * share.Percent})
	p.SetWorkers(workers(n, slots))
	for i := range n {
		p.Report(fmt.Sprintf("w%d", i), capacity.Report{Start: 1})
	}
	return p, clock
}

// Guards against taking slots beyond the usable ones and lending without headroom.
func TestNeverMoreThanUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n, slots = 4, 3
		p, clock := newPool(n, slots)
		var held []*capacity.Slot
		var grants []uint64
		perWorker := make(map[string]int)
		record := func(s *capacity.Slot, err error) {
			if err == nil {
				held = append(held, s)
				perWorker[s.Worker().ID]++
			}
			if st := p.Status(); err == nil && st.InUse > st.Usable {
				t.Fatalf("%d in use, %d usable after a new reservation", st.InUse, st.Usable)
			}
		}
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			id := fmt.Sprintf("w%d", rapid.IntRange(0, n-1).Draw(t, "worker"))
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1:
				record(p.TryReserve())
			case 2, 3:
				if len(grants) > 0 {
					record(p.Redeem(rapid.SampledFrom(grants).Draw(t, "grant")))
				}
			case 4:
				before := p.Status()
				g := p.Lend(fmt.Sprintf("vm%d", rapid.IntRange(0, 2).Draw(t, "vm")), rapid.IntRange(0, 20).Draw(t, "want"), 0)
				if st := p.Status(); st.Lent > before.Lent && st.InUse+st.Lent >= st.Usable {
					t.Fatalf("%d lent and %d in use of %d usable: no headroom", st.Lent, st.InUse, st.Usable)
				}
				grants = append(grants, g.ID)
			case 5, 6:
				if len(held) > 0 {
					s := held[len(held)-1]
					held = held[:len(held)-1]
					perWorker[s.Worker().ID]--
					s.Release(capacity.Result(rapid.IntRange(0, 5).Draw(t, "result")))
				}
			case 7:
				clock.Advance(time.Duration(rapid.IntRange(0, 12_000).Draw(t, "ms")) * time.Millisecond)
			case 8: // Reports with wrong counts in both directions.
				p.Report(id, capacity.Report{Start: uint64(rapid.IntRange(1, 2).Draw(t, "start")), InFlight: rapid.IntRange(0, 9).Draw(t, "says")})
			case 9:
				p.RecordUnreachable(id)
			}
			for id, used := range perWorker {
				if used > slots {
					t.Fatalf("worker %s has %d requests at %d slots", id, used, slots)
				}
			}
		}
	})
}

// Guards against keeping idle lent slots from the hall's own callers.
func TestIdleLentSlotsServeOwnCallers(t *testing.T) {
	Convey("Given a pool that lent all lendable slots", t, func() {
		p, _ := newPool(1, 5)
		g := p.Lend("b1", 100, 0)
		So(g.Slots, ShouldEqual, 4)
		Convey("own callers get all five slots", func() {
			for range 5 {
				_, err := p.TryReserve()
				So(err, ShouldBeNil)
			}
			Convey("and the holder is refused without a request to a worker", func() {
				_, err := p.Redeem(g.ID)
				So(err, ShouldEqual, capacity.ErrFull)
			})
		})
	})
}

func TestGrantExpiresLaterAtTheLender(t *testing.T) {
	Convey("Given a grant that a VM holds", t, func() {
		p, clock := newPool(2, 5)
		holder := capacity.NewGrantHolder(clock.Now)
		source := capacity.Source{Service: "lookup", Hall: "b"}
		requested := clock.Now()
		clock.Advance(100 * time.Millisecond) // transit time of the request
		g := p.Lend("a1", 3, 0)
		holder.AddGrant(source, capacity.HeldGrant{Lender: "b1", ID: g.ID, Slots: g.Slots, ExpiresAt: requested.Add(g.Term)})
		Convey("a holder frozen past the term no longer uses it", func() {
			So(holder.AcquireSlot(source), ShouldNotBeNil)
			clock.Advance(g.Term)
			So(holder.AcquireSlot(source), ShouldBeNil)
			Convey("a holder that ignores the expiry is refused by the lender", func() {
				clock.Advance(time.Second)
				_, err := p.Redeem(g.ID)
				So(err, ShouldEqual, capacity.ErrUnknownGrant)
			})
		})
		Convey("a request sent just before the holder's expiry is accepted by the lender", func() {
			clock.Advance(g.Term - 101*time.Millisecond)
			So(holder.AcquireSlot(source), ShouldNotBeNil)
			clock.Advance(400 * time.Millisecond)
			_, err := p.Redeem(g.ID)
			So(err, ShouldBeNil)
		})
	})
}

func TestLeavingIsStickyForAStart(t *testing.T) {
	Convey("Given a worker that refused a request because it is leaving", t, func() {
		p, _ := newPool(1, 5)
		s, err := p.TryReserve()
		So(err, ShouldBeNil)
		s.Release(capacity.ResultLeaving)
		Convey("a report without the leaving flag brings it no new requests", func() {
			p.Report("w0", capacity.Report{Start: 1})
			_, err := p.TryReserve()
			So(errors.Is(err, capacity.ErrNoWorkers), ShouldBeTrue)
		})
		Convey("a restart does", func() {
			p.Report("w0", capacity.Report{Start: 2})
			_, err := p.TryReserve()
			So(err, ShouldBeNil)
		})
	})
}

// Guards against sending requests to a leaving worker after another VM took it over.
func TestTakenOverWorkerThatLeavesGetsNothing(t *testing.T) {
	Convey("Given a worker whose start 7 is known to be leaving", t, func() {
		p := capacity.New(capacity.Config{})
		p.SetWorkers([]capacity.Worker{{ID: "w", Address: "10.0.0.1:80", Slots: 5, LeavingStart: 7}})
		So(p.Status().Usable, ShouldEqual, 0)
		Convey("it gets no requests until it restarts", func() {
			p.Report("w", capacity.Report{Start: 7})
			So(p.Status().Usable, ShouldEqual, 0)
			So(p.LeavingStarts(), ShouldResemble, map[string]uint64{"w": 7})
		})
		Convey("it is used after a restart", func() {
			p.Report("w", capacity.Report{Start: 8})
			So(p.Status().Usable, ShouldEqual, 5)
		})
	})
}

func TestUsableSlots(t *testing.T) {
	cases := map[string]struct {
		cold   int
		report capacity.Report
		age    time.Duration
		want   int
	}{
		"fresh":                {report: capacity.Report{Start: 1}, want: 8},
		"stale":                {report: capacity.Report{Start: 1}, age: 4 * time.Second, want: 4},
		"no reports":           {report: capacity.Report{Start: 1}, age: 11 * time.Second, want: 1},
		"external load":        {report: capacity.Report{Start: 1, InFlight: 5}, want: 3},
		"reports full":         {report: capacity.Report{Start: 1, InFlight: 50}, want: 1},
		"cold":                 {cold: 20, report: capacity.Report{Start: 1}, want: 2},
		"half warm":            {cold: 20, report: capacity.Report{Start: 1, Answered: 10}, want: 5},
		"warm at first report": {cold: 20, report: capacity.Report{Start: 1, Answered: 900}, want: 8},
		"leaving":              {report: capacity.Report{Start: 1, Leaving: true}, want: 0},
	}
	for name, c := range cases {
		Convey("A worker of 8 slots, "+name, t, func() {
			clock := clockwork.NewFakeClock()
			p := capacity.New(capacity.Config{Now: clock.Now})
			p.SetWorkers([]capacity.Worker{{ID: "w", Address: "10.0.0.1:80", Slots: 8, ColdAnswers: c.cold}})
			p.Report("w", c.report)
			clock.Advance(c.age)
			So(p.Status().Usable, ShouldEqual, c.want)
		})
	}
}

func TestQueueIsBoundedAndFair(t *testing.T) {
	p, _ := newPool(1, 1)
	first, err := p.TryReserve()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	order := make(chan int, 4)
	for i := range 4 {
		go func() {
			slot, err := p.Reserve(ctx)
			if err == nil {
				order <- i
				slot.Release(capacity.ResultAnswered)
			}
		}()
		for p.Status().Waiting != i+1 {
			time.Sleep(time.Millisecond)
		}
	}
	if _, err := p.Reserve(ctx); !errors.Is(err, capacity.ErrQueueFull) {
		t.Fatalf("got %v", err)
	}
	first.Release(capacity.ResultAnswered)
	for want := range 4 {
		if got := <-order; got != want {
			t.Fatalf("waiter %d was served before waiter %d", got, want)
		}
	}
	cancel()
	held, _ := p.TryReserve()
	if _, err := p.Reserve(ctx); !errors.Is(err, capacity.ErrTimeout) {
		t.Fatalf("got %v", err)
	}
	held.Release(capacity.ResultAnswered)
	if s := p.Status(); s.InUse != 0 || s.Waiting != 0 {
		t.Fatalf("slots or waiters remain: %+v", s)
	}
}

func BenchmarkReserve(b *testing.B) {
	for _, n := range []int{2, 12} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			p, _ := newPool(n, 5)
			b.ReportAllocs()
			for b.Loop() {
				s, err := p.TryReserve()
				if err != nil {
					b.Fatal(err)
				}
				s.Release(capacity.ResultAnswered)
			}
		})
	}
}
