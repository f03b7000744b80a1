// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/ryehill/ryehill/coordination/placement"
)

// refusedAtHome plays ten seconds of requests to a VM of the region north, which has a
// tenth of the slots: those of its own callers, 100 a second, and those of all callers
// of a workspace that may run nowhere else, 35 a second. Runs take 160 ms. It returns
// the part of the requests that are refused.
func refusedAtHome(bound map[string]float64) float64 {
	const run, seconds = 160 * time.Millisecond, 10
	f := newFixture(map[string]int{"north": 2, "south": 9, "east": 9}, nil)
	f.snapshot.Bound = bound
	random := rand.New(rand.NewPCG(3, 4))
	ends := make(map[time.Time][]func())
	asked, refused := 0, 0
	ask := func(r placement.Request) {
		asked++
		c, refusal := f.placer.Place(f.snapshot, r)
		if refusal != placement.RefusalNone {
			refused++
			return
		}
		at := f.clock.Now().Add(run)
		ends[at] = append(ends[at], c.Load().End)
	}
	for range int(seconds * time.Second / loadStep) {
		for _, end := range ends[f.clock.Now()] {
			end()
		}
		ask(request(random.Uint64N(200)))
		if random.Float64() < 0.35 {
			r := request(random.Uint64N(200))
			r.Allows = func(region string) bool { return region == "north" }
			ask(r)
		}
		f.clock.Advance(loadStep)
	}
	return float64(refused) / float64(asked)
}

// A region that must run the requests of a workspace keeps fewer keys of others.
func TestBoundRequestsLeaveOthersLess(t *testing.T) {
	before, now := refusedAtHome(nil), refusedAtHome(map[string]float64{"north": 0.09})
	t.Logf("refused: %.4f by all slots, %.4f by what is left", before, now)
	if now > before/2 {
		t.Errorf("%.4f of the requests are refused, want at most half of %.4f", now, before)
	}
}

// Requests that are bound themselves are shared by all slots, and a region with more
// bound requests than slots keeps nothing.
func TestBoundParts(t *testing.T) {
	counts := map[string]int{"north": 2, "south": 9, "east": 9}
	cases := map[string]struct {
		bound       map[string]float64
		homes       []string
		least, most float64
	}{
		"nothing is bound":      {nil, nil, 0.25, 0.35},
		"half of its slots":     {map[string]float64{"north": 0.05}, nil, 0.12, 0.2},
		"more than its slots":   {map[string]float64{"north": 0.5}, nil, 0, 0},
		"itself bound":          {map[string]float64{"north": 0.5}, []string{"north"}, 1, 1},
		"an unknown region":     {map[string]float64{"nowhere": 0.5}, nil, 0.25, 0.35},
		"bound to a larger one": {map[string]float64{"south": 0.2}, nil, 0.3, 0.45},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(counts, nil)
			f.snapshot.Bound = c.bound
			r := placement.Request{Service: "read", Keyed: true}
			if c.homes != nil {
				r.Allows = func(region string) bool { return region == c.homes[0] }
			}
			if got := f.share(r)["north"]; got < c.least-1e-9 || got > c.most+1e-9 {
				t.Errorf("keeps %.3f of the keys, want %.2f to %.2f", got, c.least, c.most)
			}
		})
	}
}
