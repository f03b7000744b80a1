// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/ryehill/ryehill/state/worker"
)

// slotsByRegion returns the slots of workers by region and in total.
func slotsByRegion(workers []*worker.Worker, regions int) (slots map[string]float64, total float64) {
	slots = make(map[string]float64, regions)
	// Workers are mostly grouped by region, so this saves map accesses.
	region, sum := "", 0.0
	for _, w := range workers {
		if w.Region != region {
			slots[region] += sum
			region, sum = w.Region, 0
		}
		sum += float64(w.Slots)
		total += float64(w.Slots)
	}
	slots[region] += sum
	return slots, total
}

// regionAssignment is the region that the balancing between regions assigns to a key.
type regionAssignment struct {
	region string
	// position is the position of the key from 0 to 1. The region keeps its keys below
	// keptShare.
	position, keptShare float64
	// homeSlots and totalSlots are the slots of the home region and of all regions.
	homeSlots, totalSlots float64
}

// reason explains why a key is assigned to another region, or returns "" if it is not.
func (s regionAssignment) reason(home string) string {
	if s.region == home {
		return ""
	}
	return fmt.Sprintf("balance: %s has %.0f of %.0f slots and keeps %.0f%% of its keys; this one goes to %s",
		home, s.homeSlots, s.totalSlots, 100*s.keptShare, s.region)
}

// assignRegion returns the region whose workers hold the key for requests that arrive in
// the home region. Every region is assumed to receive an equal share of the requests. A
// region with fewer slots than its share sends the rest of its keys to regions with
// surplus slots, in proportion to the surplus. The result depends only on the key and the
// workers, so it is stable while these don't change.
//
// Slots needed by requests that are pinned to a region are not available to other
// requests. Otherwise a small region would keep too many keys and refuse requests.
func assignRegion(home string, s *Snapshot, workers []*worker.Worker, r Request) regionAssignment {
	regions := s.Regions
	slots, total := slotsByRegion(workers, len(regions))
	if r.unrestricted(regions) {
		total -= subtractPinned(slots, total, s.PinnedShares)
	}
	sources := 0
	for _, region := range regions {
		if r.Allows == nil || r.Allows(region) || region == home {
			sources++
		}
	}
	fair := total / float64(max(sources, 1))
	hash := mix(r.Key ^ xxhash.Sum64String(r.Service))
	result := regionAssignment{region: home, position: unitInterval(hash), keptShare: min(1, slots[home]/fair), homeSlots: slots[home], totalSlots: total}
	if result.position >= result.keptShare {
		// An independent hash, so that a change of keptShare does not reassign the keys
		// that were sent to other regions before.
		result.region = surplusRegion(home, regions, slots, fair, unitInterval(mix(hash+1)))
	}
	return result
}

// unrestricted reports whether a request may run in every region.
func (r Request) unrestricted(regions []string) bool {
	for _, region := range regions {
		if r.Allows != nil && !r.Allows(region) {
			return false
		}
	}
	return true
}

// subtractPinned subtracts the slots needed by pinned requests, given the fraction of all
// requests that is pinned to each region, and returns the number of subtracted slots.
func subtractPinned(slots map[string]float64, total float64, pinned map[string]float64) float64 {
	subtracted := 0.0
	for region, fraction := range pinned {
		n := min(fraction*total, slots[region])
		slots[region] -= n
		subtracted += n
	}
	return subtracted
}

// unitInterval maps a hash to a number from 0 to 1.
func unitInterval(hash uint64) float64 { return float64(hash) / math.MaxUint64 }

// surplusRegion picks a region by a position from 0 to 1, weighted by the slots beyond its
// fair share, or by all slots if no region has a surplus.
func surplusRegion(home string, regions []string, slots map[string]float64, fair, position float64) string {
	weight := func(region string) float64 { return max(0, slots[region]-fair) }
	sum := 0.0
	for _, region := range regions {
		sum += weight(region)
	}
	if sum == 0 {
		weight = func(region string) float64 { return slots[region] }
		for _, region := range regions {
			sum += weight(region)
		}
	}
	chosen := home
	for _, region := range regions {
		if weight(region) <= 0 {
			continue
		}
		chosen = region
		position -= weight(region) / sum
		if position < 0 {
			break
		}
	}
	return chosen
}
