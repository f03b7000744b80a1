// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package admission_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/ryehill/ryehill/coordination/admission"
)

const (
	slots, limit = 4.0, 8.0
	ranks        = 3
)

func request(rank int) admission.Request {
	return admission.Request{Service: "s", Rank: rank, Ranks: ranks}
}

// count counts requests of each rank that found no free slot.
func count(c *admission.Controller, n ...int) {
	for rank, requests := range n {
		for range requests {
			c.CountRequest(request(rank), true)
		}
	}
}

func TestRoomIsReservedByDemandOfHigherRanks(t *testing.T) {
	const highDemand, lowDemand = 201, 401
	cases := map[string]struct {
		contended   bool
		counts      [ranks]int
		idle        time.Duration
		rank, ranks int
		// The limit of the request must be within these.
		least, most float64
	}{
		"no demand, as after a restart":      {true, [ranks]int{}, 0, 2, ranks, limit, limit},
		"demand of the same rank":            {true, [ranks]int{0, 0, lowDemand}, 0, 2, ranks, limit, limit},
		"demand of lower ranks":              {true, [ranks]int{1, lowDemand, lowDemand}, 0, 0, ranks, limit, limit},
		"a third of the demand is higher":    {true, [ranks]int{highDemand, 0, lowDemand}, 0, 2, ranks, 6.6, 6.8},
		"two higher ranks count together":    {true, [ranks]int{101, 100, lowDemand}, 0, 2, ranks, 6.6, 6.8},
		"at most half of the room":           {true, [ranks]int{lowDemand, 0, 1}, 0, 2, ranks, 6, 6},
		"slots were free":                    {false, [ranks]int{highDemand, 0, lowDemand}, 0, 2, ranks, limit, limit},
		"a single request of higher rank":    {true, [ranks]int{1, 0, 1}, 0, 2, ranks, 7, 7.5},
		"the demand was long ago":            {true, [ranks]int{highDemand, 0, lowDemand}, time.Minute, 2, ranks, limit - 0.01, limit},
		"ranks do not differ":                {true, [ranks]int{highDemand, 0, lowDemand}, 0, 2, 1, limit, limit},
		"rank beyond those that are counted": {true, [ranks]int{highDemand, 0, 0}, 0, 1000, 1001, 6, 6},
		"equal ranks beyond those counted":   {true, [ranks]int{}, 0, 1000, 1001, limit, limit},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			controller := admission.New(admission.Config{Now: clock.Now})
			for rank, n := range c.counts {
				for range n {
					controller.CountRequest(request(rank), c.contended)
				}
			}
			clock.Advance(c.idle)
			r := admission.Request{Service: "s", Rank: c.rank, Ranks: c.ranks}
			controller.CountRequest(r, false) // The first request of a rank may be exempt.
			if got := controller.Reserve(r).Limit(slots, limit); got < c.least || got > c.most {
				t.Errorf("limit %.2f, want %.2f to %.2f", got, c.least, c.most)
			}
		})
	}
}

// Guards against idle workers while requests of a low rank are refused.
func TestSlotsAreNeverReserved(t *testing.T) {
	controller := admission.New(admission.Config{Now: clockwork.NewFakeClock().Now})
	count(controller, 100, 100, 1)
	controller.RecordRunTime(request(0), time.Second, 1)
	for _, plain := range []float64{0, slots / 3, slots, 1.5 * slots, 2 * slots} {
		for _, left := range []time.Duration{0, 1, time.Second, time.Hour} {
			r := request(2)
			r.TimeLeft = left
			if got := controller.Reserve(r).Limit(slots, plain); got < min(plain, slots) || got > plain {
				t.Errorf("limit %.2f of %.2f with %s left", got, plain, left)
			}
		}
	}
}

// Guards against a rank that never gets queue room, however high the demand of others.
func TestNoRankIsStarved(t *testing.T) {
	const requests, leastUnreserved = 800, 100
	controller := admission.New(admission.Config{Now: clockwork.NewFakeClock().Now})
	unreserved := 0
	for range requests {
		count(controller, 5)
		if controller.Reserve(request(2)).Limit(slots, limit) == limit {
			unreserved++
		}
		controller.CountRequest(request(2), true)
	}
	if unreserved < leastUnreserved {
		t.Errorf("%d of %d requests may use the whole room, want at least %d", unreserved, requests, leastUnreserved)
	}
}

func TestRoomIsOnlyForAnswersInTime(t *testing.T) {
	const runTime = 100 * time.Millisecond
	cases := map[string]struct {
		left time.Duration
		want float64
	}{
		"no objective":            {0, limit},
		"enough time":             {time.Second, limit},
		"time for half the queue": {150 * time.Millisecond, 6},
		"time for a free slot":    {runTime, slots},
		"objective passed":        {1, slots},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			controller := admission.New(admission.Config{Now: clockwork.NewFakeClock().Now})
			const perSlot = 2
			controller.RecordRunTime(request(0), perSlot*runTime, perSlot)
			r := request(0)
			r.TimeLeft = c.left
			if got := controller.Reserve(r).Limit(slots, limit); math.Abs(got-c.want) > 1e-6 {
				t.Errorf("limit %.2f, want %.2f", got, c.want)
			}
		})
	}
}

// Guards against room withheld at all workers since a few are slow.
func TestSlowWorkersLeaveTheRoomOfOthers(t *testing.T) {
	const runTime, slowness, slowOneIn, answers = 100 * time.Millisecond, 8, 5, 1000
	controller := admission.New(admission.Config{Now: clockwork.NewFakeClock().Now})
	for i := range answers {
		took := runTime
		if i%slowOneIn == 0 {
			took *= slowness
		}
		controller.RecordRunTime(request(0), took, 1)
	}
	r := request(0)
	r.TimeLeft = 5 * runTime / 2
	if got := controller.Reserve(r).Limit(slots, limit); got < limit {
		t.Errorf("limit %.2f, want %.2f", got, limit)
	}
}

func TestRoomAfter(t *testing.T) {
	const runTime = 400 * time.Millisecond
	cases := map[string]struct {
		ranks int
		busy  float64
		want  time.Duration
	}{
		"one too many":        {ranks, limit, 100 * time.Millisecond},
		"five too many":       {ranks, limit + 4, 500 * time.Millisecond},
		"bounded":             {ranks, 1e6, 2 * time.Second},
		"ranks do not differ": {1, limit + 4, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			controller := admission.New(admission.Config{Now: clockwork.NewFakeClock().Now})
			r := admission.Request{Service: "s", Ranks: c.ranks}
			controller.RecordRunTime(r, runTime, 1)
			if got := controller.Reserve(r).RoomAfter(slots, c.busy, limit); got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}

func TestCountsAreBounded(t *testing.T) {
	const services, maxServices = 5000, 256
	controller := admission.New(admission.Config{Now: clockwork.NewFakeClock().Now})
	for i := range services {
		r := admission.Request{Service: fmt.Sprint("s", i), Rank: i, Ranks: services}
		controller.CountRequest(r, true)
		controller.Reserve(r)
		if n := controller.Services(); n > maxServices {
			t.Fatalf("counts of %d services", n)
		}
	}
	single := admission.New(admission.Config{Now: clockwork.NewFakeClock().Now})
	single.CountRequest(admission.Request{Service: "s", Ranks: 1}, true)
	if n := single.Services(); n != 0 {
		t.Errorf("counts of %d services without different ranks", n)
	}
}
