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

// limitWord is an answer that names a limit, with the times of its request and its own.
type limitWord struct {
	perS        float64
	sent, heard time.Duration
	from        string
}

// An overtaken answer must not loosen a limit.
func TestOvertakenLimits(t *testing.T) {
	const ms = time.Millisecond
	cases := map[string]struct {
		words []limitWord
		want  float64 // unlimited for none
	}{
		"one":                         {[]limitWord{{3, 0, 50 * ms, worker.FromAnswer}}, 3},
		"none":                        {[]limitWord{{unlimited, 0, 50 * ms, worker.FromAnswer}}, unlimited},
		"a tighter one":               {[]limitWord{{12, 0, 50 * ms, worker.FromAnswer}, {3, 40 * ms, 60 * ms, worker.FromAnswer}}, 3},
		"a looser one, newer":         {[]limitWord{{3, 0, 50 * ms, worker.FromAnswer}, {12, 51 * ms, 90 * ms, worker.FromAnswer}}, 12},
		"a looser one, overtaken":     {[]limitWord{{3, 40 * ms, 60 * ms, worker.FromAnswer}, {12, 0, 90 * ms, worker.FromAnswer}}, 3},
		"a tighter one, older":        {[]limitWord{{12, 60 * ms, 90 * ms, worker.FromAnswer}, {3, 0, 50 * ms, "v2"}}, 12},
		"an end":                      {[]limitWord{{3, 0, 50 * ms, worker.FromAnswer}, {unlimited, 60 * ms, 90 * ms, worker.FromAnswer}}, unlimited},
		"an end, overtaken":           {[]limitWord{{3, 40 * ms, 60 * ms, worker.FromAnswer}, {unlimited, 0, 90 * ms, worker.FromAnswer}}, 3},
		"an end of another VM":        {[]limitWord{{3, 0, 50 * ms, worker.FromAnswer}, {unlimited, 300 * ms, 350 * ms, "v2"}}, unlimited},
		"one that seems younger":      {[]limitWord{{3, 0, 50 * ms, worker.FromAnswer}, {unlimited, 100 * ms, 150 * ms, "v2"}}, 3},
		"a limit after an end":        {[]limitWord{{3, 0, 50 * ms, worker.FromAnswer}, {unlimited, 60 * ms, 90 * ms, worker.FromAnswer}, {5, 95 * ms, 99 * ms, "v2"}}, 5},
		"nothing at all":              {[]limitWord{{0, 0, 50 * ms, worker.FromAnswer}}, 0},
		"the same limit of others":    {[]limitWord{{3, 0, 50 * ms, worker.FromAnswer}, {3, 10 * ms, 60 * ms, "v2"}, {12, 55 * ms, 90 * ms, worker.FromAnswer}}, 12},
		"the same one, much later on": {[]limitWord{{3, 0, 50 * ms, worker.FromAnswer}, {3, 1900 * ms, 2000 * ms, "v2"}, {12, 1500 * ms, 2100 * ms, worker.FromAnswer}}, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			begun, loads, w := clock.Now(), worker.NewLoads(clock.Now), worker.Worker{ID: "w"}
			for _, word := range c.words {
				clock.Advance(begun.Add(word.heard).Sub(clock.Now()))
				loads.Of("w").Hear(worker.RateLimit{PerS: word.perS, Sent: begun.Add(word.sent), Heard: begun.Add(word.heard), From: word.from})
			}
			clock.Advance(5 * time.Second) // Beyond the ramp after an end.
			got, limited := loads.RateLimit(&w)
			if limited != !math.IsInf(c.want, 1) || limited && got != c.want {
				t.Errorf("%v, limited: %t, want %v", got, limited, c.want)
			}
		})
	}
}

// The answer to a request that was sent after all others must be believed.
func TestLastLimitIsBelieved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		loads, w := worker.NewLoads(clock.Now), worker.Worker{ID: "w"}
		limits := []float64{0, 0.4, 3, 30, unlimited}
		named := unlimited
		for range rapid.IntRange(1, 6).Draw(t, "limits") {
			named = rapid.SampledFrom(limits).Draw(t, "limit")
			sent := clock.Now()
			clock.Advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "takes")) * time.Millisecond)
			answers := []worker.RateLimit{{PerS: named, Sent: sent, Heard: clock.Now(), From: worker.FromAnswer}}
			if rapid.Bool().Draw(t, "an old one is told again") {
				answers = append(answers, worker.RateLimit{PerS: 1, Sent: sent.Add(-time.Second), Heard: sent.Add(-time.Millisecond), From: "v2"})
			}
			for _, a := range rapid.Permutation(answers).Draw(t, "order") {
				loads.Of("w").Hear(a)
			}
			clock.Advance(time.Millisecond)
		}
		sent := clock.Now()
		clock.Advance(time.Millisecond)
		loads.Of("w").Hear(worker.RateLimit{PerS: named, Sent: sent, Heard: clock.Now(), From: worker.FromAnswer})
		clock.Advance(5 * time.Second)
		got, limited := loads.RateLimit(&w)
		if limited != !math.IsInf(named, 1) || limited && got != named {
			t.Fatalf("%v, limited: %t, want %v", got, limited, named)
		}
	})
}

// The end of a limit must not bring all requests back at once.
func TestReturnAfterALimit(t *testing.T) {
	clock := clockwork.NewFakeClock()
	loads, w := worker.NewLoads(clock.Now), worker.Worker{ID: "w", Start: 1}
	hear := func(perS float64) {
		sent := clock.Now()
		clock.Advance(time.Millisecond)
		loads.Of(w.Life()).Hear(worker.RateLimit{PerS: perS, Sent: sent, Heard: clock.Now(), From: worker.FromAnswer})
	}
	hear(4)
	if _, limited := loads.RateLimit(&worker.Worker{ID: "w", Start: 2}); limited {
		t.Error("the next life is limited")
	}
	clock.Advance(time.Second)
	hear(unlimited)
	last := 0.0
	for at := time.Duration(0); at < 3*time.Second; at += 500 * time.Millisecond {
		got, limited := loads.RateLimit(&w)
		if !limited || got < last*1.9 || got > 4*math.Exp2(at.Seconds()*2)+0.1 {
			t.Errorf("%s after the end: %v a second, limited: %t", at, got, limited)
		}
		last = got
		clock.Advance(500 * time.Millisecond)
	}
	if _, limited := loads.RateLimit(&w); limited {
		t.Error("it is limited 3 s after the end")
	}
	clock.Advance(time.Minute)
	loads.Keep(func(string) bool { return true })
	if _, held := loads.Limited()[w.Life()]; held {
		t.Error("its end is remembered a minute later")
	}
}
