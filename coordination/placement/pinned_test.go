// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/ryehill/ryehill/coordination/placement"
)

// refusedRatio simulates ten seconds of requests to a VM of region north, which has a
// tenth of the slots: 100 unrestricted requests per second and 35 that are pinned to
// the region. It returns the fraction of refused requests.
func refusedRatio(pinned map[string]float64) float64 {
	const run, seconds = 160 * time.Millisecond, 10
	f := newFixture(map[string]int{"north": 2, "south": 9, "east": 9}, nil)
	f.snapshot.PinnedShares = pinned
	random := rand.New(rand.NewPCG(3, 4))
	ends := make(map[time.Time][]func())
	sent, refused := 0, 0
	place := func(r placement.Request) {
		sent++
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
		place(request(random.Uint64N(200)))
		if random.Float64() < 0.35 {
			r := request(random.Uint64N(200))
			r.Allows = func(region string) bool { return region == "north" }
			place(r)
		}
		f.clock.Advance(loadStep)
	}
	return float64(refused) / float64(sent)
}

// Guards against refusals in a region that keeps keys for slots needed by pinned requests.
func TestPinnedRequestsReduceKeptKeys(t *testing.T) {
	before, pinned := refusedRatio(nil), refusedRatio(map[string]float64{"north": 0.09})
	t.Logf("refused: %.4f without pinned shares, %.4f with them", before, pinned)
	if pinned > before/2 {
		t.Errorf("a fraction of %.4f is refused, want at most half of %.4f", pinned, before)
	}
}

// Guards against wrong fractions of kept keys for pinned and unrestricted requests.
func TestPinnedShares(t *testing.T) {
	counts := map[string]int{"north": 2, "south": 9, "east": 9}
	cases := map[string]struct {
		pinned   map[string]float64
		homes    []string
		min, max float64
	}{
		"nothing is pinned":             {nil, nil, 0.25, 0.35},
		"pinned to half of its slots":   {map[string]float64{"north": 0.05}, nil, 0.12, 0.2},
		"pinned to more than its slots": {map[string]float64{"north": 0.5}, nil, 0, 0},
		"pinned request":                {map[string]float64{"north": 0.5}, []string{"north"}, 1, 1},
		"pinned to an unknown region":   {map[string]float64{"nowhere": 0.5}, nil, 0.25, 0.35},
		"pinned to a larger region":     {map[string]float64{"south": 0.2}, nil, 0.3, 0.45},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(counts, nil)
			f.snapshot.PinnedShares = c.pinned
			r := placement.Request{Service: "read", Keyed: true}
			if c.homes != nil {
				r.Allows = func(region string) bool { return region == c.homes[0] }
			}
			if got := f.shareByRegion(r)["north"]; got < c.min-1e-9 || got > c.max+1e-9 {
				t.Errorf("keeps a fraction of %.3f of the keys, want %.2f to %.2f", got, c.min, c.max)
			}
		})
	}
}
