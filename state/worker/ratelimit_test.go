// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker_test

import (
	"math"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/ryehill/ryehill/state/worker"
)

var unlimited = math.Inf(1)

// limitReport is a response that names a limit, with its send and arrival times.
type limitReport struct {
	perSecond      float64
	sent, received time.Duration
	from           string
}

// A response that arrives out of order must not loosen a limit.
func TestOutOfOrderRateLimits(t *testing.T) {
	const ms = time.Millisecond
	cases := map[string]struct {
		reports []limitReport
		want    float64 // unlimited if there is none
	}{
		"single":                   {[]limitReport{{3, 0, 50 * ms, worker.FromResponse}}, 3},
		"no limit":                 {[]limitReport{{unlimited, 0, 50 * ms, worker.FromResponse}}, unlimited},
		"tighter":                  {[]limitReport{{12, 0, 50 * ms, worker.FromResponse}, {3, 40 * ms, 60 * ms, worker.FromResponse}}, 3},
		"looser, newer":            {[]limitReport{{3, 0, 50 * ms, worker.FromResponse}, {12, 51 * ms, 90 * ms, worker.FromResponse}}, 12},
		"looser, out of order":     {[]limitReport{{3, 40 * ms, 60 * ms, worker.FromResponse}, {12, 0, 90 * ms, worker.FromResponse}}, 3},
		"tighter, older":           {[]limitReport{{12, 60 * ms, 90 * ms, worker.FromResponse}, {3, 0, 50 * ms, "v2"}}, 12},
		"end":                      {[]limitReport{{3, 0, 50 * ms, worker.FromResponse}, {unlimited, 60 * ms, 90 * ms, worker.FromResponse}}, unlimited},
		"end, out of order":        {[]limitReport{{3, 40 * ms, 60 * ms, worker.FromResponse}, {unlimited, 0, 90 * ms, worker.FromResponse}}, 3},
		"end relayed by a VM":      {[]limitReport{{3, 0, 50 * ms, worker.FromResponse}, {unlimited, 300 * ms, 350 * ms, "v2"}}, unlimited},
		"relayed end seems newer":  {[]limitReport{{3, 0, 50 * ms, worker.FromResponse}, {unlimited, 100 * ms, 150 * ms, "v2"}}, 3},
		"limit after an end":       {[]limitReport{{3, 0, 50 * ms, worker.FromResponse}, {unlimited, 60 * ms, 90 * ms, worker.FromResponse}, {5, 95 * ms, 99 * ms, "v2"}}, 5},
		"limit of 0":               {[]limitReport{{0, 0, 50 * ms, worker.FromResponse}}, 0},
		"same limit relayed":       {[]limitReport{{3, 0, 50 * ms, worker.FromResponse}, {3, 10 * ms, 60 * ms, "v2"}, {12, 55 * ms, 90 * ms, worker.FromResponse}}, 12},
		"same limit relayed later": {[]limitReport{{3, 0, 50 * ms, worker.FromResponse}, {3, 1900 * ms, 2000 * ms, "v2"}, {12, 1500 * ms, 2100 * ms, worker.FromResponse}}, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			start, loads, w := clock.Now(), worker.NewLoads(clock.Now), worker.Worker{ID: "w"}
			for _, report := range c.reports {
				clock.Advance(start.Add(report.received).Sub(clock.Now()))
				loads.GetOrCreate("w").Observe(worker.RateLimit{PerSecond: report.perSecond, SentAt: start.Add(report.sent), ReceivedAt: start.Add(report.received), From: report.from})
			}
			clock.Advance(5 * time.Second) // After the ramp.
			got, limited := loads.RateLimit(&w)
			if limited != !math.IsInf(c.want, 1) || limited && got != c.want {
				t.Errorf("rate %v, limited %t, want %v", got, limited, c.want)
			}
		})
	}
}

// The limit in the response to the latest request must win.
func TestLatestRateLimitWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		loads, w := worker.NewLoads(clock.Now), worker.Worker{ID: "w"}
		limits := []float64{0, 0.4, 3, 30, unlimited}
		latest := unlimited
		for range rapid.IntRange(1, 6).Draw(t, "limits") {
			latest = rapid.SampledFrom(limits).Draw(t, "limit")
			sent := clock.Now()
			clock.Advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "takes")) * time.Millisecond)
			limitSignals := []worker.RateLimit{{PerSecond: latest, SentAt: sent, ReceivedAt: clock.Now(), From: worker.FromResponse}}
			if rapid.Bool().Draw(t, "an old one is told again") {
				limitSignals = append(limitSignals, worker.RateLimit{PerSecond: 1, SentAt: sent.Add(-time.Second), ReceivedAt: sent.Add(-time.Millisecond), From: "v2"})
			}
			for _, a := range rapid.Permutation(limitSignals).Draw(t, "order") {
				loads.GetOrCreate("w").Observe(a)
			}
			clock.Advance(time.Millisecond)
		}
		sent := clock.Now()
		clock.Advance(time.Millisecond)
		loads.GetOrCreate("w").Observe(worker.RateLimit{PerSecond: latest, SentAt: sent, ReceivedAt: clock.Now(), From: worker.FromResponse})
		clock.Advance(5 * time.Second)
		got, limited := loads.RateLimit(&w)
		if limited != !math.IsInf(latest, 1) || limited && got != latest {
			t.Fatalf("rate %v, limited %t, want %v", got, limited, latest)
		}
	})
}

// The end of a limit must not release all requests at once.
func TestRampAfterRateLimit(t *testing.T) {
	clock := clockwork.NewFakeClock()
	loads, w := worker.NewLoads(clock.Now), worker.Worker{ID: "w", Start: 1}
	observe := func(perSecond float64) {
		sent := clock.Now()
		clock.Advance(time.Millisecond)
		loads.GetOrCreate(w.Incarnation()).Observe(worker.RateLimit{PerSecond: perSecond, SentAt: sent, ReceivedAt: clock.Now(), From: worker.FromResponse})
	}
	observe(4)
	if _, limited := loads.RateLimit(&worker.Worker{ID: "w", Start: 2}); limited {
		t.Error("the next process is limited")
	}
	clock.Advance(time.Second)
	observe(unlimited)
	last := 0.0
	for at := time.Duration(0); at < 3*time.Second; at += 500 * time.Millisecond {
		got, limited := loads.RateLimit(&w)
		if !limited || got < last*1.9 || got > 4*math.Exp2(at.Seconds()*2)+0.1 {
			t.Errorf("%s after the end: rate %v, limited %t", at, got, limited)
		}
		last = got
		clock.Advance(500 * time.Millisecond)
	}
	if _, limited := loads.RateLimit(&w); limited {
		t.Error("still limited 3 s after the end")
	}
	clock.Advance(time.Minute)
	loads.Prune(func(string) bool { return true })
	if _, held := loads.Constrained()[w.Incarnation()]; held {
		t.Error("the ended limit is kept after a minute")
	}
}
