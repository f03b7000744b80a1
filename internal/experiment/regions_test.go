// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package experiment

import (
	"slices"
	"testing"
)

// The decision to share keys between regions by slots alone rests on this: no way that
// follows demand serves more requests in time, and the ways without steps move more keys
// at once than callers allow.
func TestNoWayBeatsEqualDemand(t *testing.T) {
	const leastGain = 0.005                 // Of all requests, for which a way would be worth having.
	for _, load := range regionLoads[1:3] { // The experiment plays the others.
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			served := func(s *regionResult) float64 {
				all := s.all()
				return float64(all.inTime) / float64(all.asked)
			}
			now := playRegions(load, findRegionWay(t, "equal demand (as now)"), 1)
			if now.mostMoved > 0 {
				t.Errorf("%.2f of a region's requests changed their region though no worker did", now.mostMoved)
			}
			for _, way := range regionWays {
				if way.capacity != regionUnequal {
					continue
				}
				if s := playRegions(load, way, 1); served(s) > served(now)+leastGain {
					t.Errorf("%s: %.4f in time, %.4f as now", way.name, served(s), served(now))
				}
			}
		})
	}
}

func TestDemandFollowedAtOnceMovesTooManyKeys(t *testing.T) {
	for _, name := range []string{"by demand, at once", "kept by demand, at once"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if s := playRegions(regionLoads[1], findRegionWay(t, name), 1); s.mostMoved <= regionMaxShift {
				t.Errorf("%.2f of a region's requests changed their region in %s", s.mostMoved, regionWindow)
			}
		})
	}
}

func findRegionWay(t *testing.T, name string) regionWay {
	t.Helper()
	i := slices.IndexFunc(regionWays, func(way regionWay) bool { return way.name == name })
	if i < 0 {
		t.Fatalf("no way %q", name)
	}
	return regionWays[i]
}
