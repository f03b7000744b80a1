// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ryehill/ryehill/coordination/ratelimit"
)

// Guards against exceeding a worker's limit during partitions and changes of the issuer.
func TestIssuersStayWithinTheLimit(t *testing.T) {
	const window, listed = 4 * time.Second, 12
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		clock := func() time.Time { return now }
		perSecond := rapid.SampledFrom([]float64{0, 0.4, 3, 30}).Draw(t, "limit")
		issuers := make([]*ratelimit.Issuer, listed)
		for i := range issuers {
			issuers[i] = ratelimit.NewIssuer(clock)
		}
		live := func(int) int { return listed }
		issuerVMs := []int{0}
		scenario := rapid.SampledFrom([]string{"calm", "halves", "all alone", "issuers change"}).Draw(t, "what happens")
		switch scenario {
		case "halves":
			issuerVMs, live = []int{0, 6}, func(int) int { return listed / 2 }
		case "all alone":
			issuerVMs, live = []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}, func(int) int { return 1 }
		case "issuers change":
			issuerVMs = nil
		}
		var ran []time.Time
		for step := range 1200 {
			now = now.Add(10 * time.Millisecond)
			vms := issuerVMs
			if vms == nil {
				vms = []int{step / 150 % 2}
				if step%150 == 0 {
					issuers[vms[0]] = ratelimit.NewIssuer(clock)
				}
			}
			for _, vm := range vms {
				g := issuers[vm].Issue(ratelimit.Demand{Incarnation: "w", RatePerSecond: perSecond, LiveVMs: live(vm), ListedVMs: listed, Requests: 3})
				for range g.Requests {
					ran = append(ran, now)
				}
			}
		}
		first := 0
		for i, last := range ran {
			for last.Sub(ran[first]) >= window {
				first++
			}
			if n, allowed := i-first+1, 1.5*perSecond*window.Seconds()+5; float64(n) > allowed {
				t.Fatalf("%d requests in %s, %.1f allowed", n, window, allowed)
			}
		}
		if len(ran) == 0 && scenario == "calm" {
			t.Fatal("no request ran, so a worker could not report a change")
		}
	})
}

// Guards against less urgent requests starving urgent ones, and against unused capacity.
func TestIssuerServesUrgentRequestsFirst(t *testing.T) {
	const limit, span = 4.0, 30 * time.Second
	cases := map[string]struct {
		urgentEvery, otherEvery       int // steps of 10 ms
		urgentFraction, otherFraction float64
	}{
		"urgent ones use it up":  {20, 20, 0.9, 0},
		"urgent ones leave some": {100, 10, 0.9, 0.4},
		"no urgent ones":         {0, 20, 0, 0.5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			issuer := ratelimit.NewIssuer(func() time.Time { return now })
			var asked, got [2]float64
			last := time.Duration(-1)
			for step := 1; now.Sub(time.Unix(0, 0)) < span; step++ {
				now = now.Add(10 * time.Millisecond)
				for priority, every := range []int{c.urgentEvery, c.otherEvery} {
					if every == 0 || step%every != 0 {
						continue
					}
					g := issuer.Issue(ratelimit.Demand{Incarnation: "w", RatePerSecond: limit, LiveVMs: 1, ListedVMs: 1, Priority: priority, Requests: 1})
					asked[priority]++
					got[priority] += float64(g.Requests)
					if g.Requests == 0 && (g.RetryAfter <= 0 || g.RetryAfter > time.Second) {
						t.Fatalf("denied for %s", g.RetryAfter)
					}
					last = max(last, g.RetryAfter)
				}
			}
			if c.urgentEvery > 0 && got[0] < c.urgentFraction*min(asked[0], 0.75*limit*span.Seconds()) {
				t.Errorf("%.0f of %.0f urgent requests pass", got[0], asked[0])
			}
			if got[1] < c.otherFraction*asked[1]*min(1, 0.75*limit*span.Seconds()/(asked[0]+asked[1])) {
				t.Errorf("%.0f of %.0f others pass", got[1], asked[1])
			}
			if used := (got[0] + got[1]) / (limit * span.Seconds()); used < 0.7 {
				t.Errorf("%.2f of the limit is used", used)
			}
		})
	}
}
