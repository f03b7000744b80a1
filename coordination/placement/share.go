// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/ryehill/ryehill/state/worker"
)

// slotsByRegion sums the slots of workers by region.
func slotsByRegion(workers []*worker.Worker, regions int) (slots map[string]float64, total float64) {
	slots = make(map[string]float64, regions)
	// Workers of one region follow each other for the most part.
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

// shared is where a key belongs by the balance between regions.
type shared struct {
	region string
	// at is the key's place from 0 to 1; a region keeps its keys below kept.
	at, kept float64
	// home and total are slots.
	home, total float64
}

// reason says why a key does not belong to its own region, or "" if it does.
func (s shared) reason(home string) string {
	if s.region == home {
		return ""
	}
	return fmt.Sprintf("balance: %s has %.0f of %.0f slots and keeps %.0f%% of its keys; this one goes to %s",
		home, s.home, s.total, 100*s.kept, s.region)
}

// shareOut returns the region whose workers hold the key for requests that come
// to a region. Every region is taken to bring an equal part of the requests;
// one that has fewer slots than that gives the rest of its keys to those that
// have more, in proportion to what they have beyond their own part. The choice
// depends on the key and the workers alone, so it moves only when these do.
//
// Slots that requests need which may run in some regions only are not there for the
// others. On a site with 74 VMs whose smallest region has a tenth of the slots, 0.057 of a
// busy day's requests were refused while regions kept keys by all of their slots, most of
// them of that region's callers by its own workers, and 0.037 by what is left.
func shareOut(home string, s *Snapshot, workers []*worker.Worker, r Request) shared {
	regions := s.Regions
	slots, total := slotsByRegion(workers, len(regions))
	if r.unbound(regions) {
		total -= takeBound(slots, total, s.Bound)
	}
	sources := 0
	for _, region := range regions {
		if r.Allows == nil || r.Allows(region) || region == home {
			sources++
		}
	}
	fair := total / float64(max(sources, 1))
	hash := mix(r.Key ^ xxhash.Sum64String(r.Service))
	to := shared{region: home, at: point(hash), kept: min(1, slots[home]/fair), home: slots[home], total: total}
	if to.at >= to.kept {
		// A hash of its own: a change of what is kept moves none of the keys
		// that were given before.
		to.region = surplusRegion(home, regions, slots, fair, point(mix(hash+1)))
	}
	return to
}

// unbound reports whether a request may run in every region.
func (r Request) unbound(regions []string) bool {
	for _, region := range regions {
		if r.Allows != nil && !r.Allows(region) {
			return false
		}
	}
	return true
}

// takeBound takes off the slots that bound requests need, given the part of all requests
// that is bound to each region, and returns how many these are.
func takeBound(slots map[string]float64, total float64, bound map[string]float64) float64 {
	taken := 0.0
	for region, part := range bound {
		n := min(part*total, slots[region])
		slots[region] -= n
		taken += n
	}
	return taken
}

// point maps a hash to a number from 0 to 1.
func point(hash uint64) float64 { return float64(hash) / math.MaxUint64 }

// surplusRegion picks one of the regions with slots beyond their part by a
// number from 0 to 1, or any with slots if none has.
func surplusRegion(home string, regions []string, slots map[string]float64, fair, at float64) string {
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
	last := home
	for _, region := range regions {
		if weight(region) <= 0 {
			continue
		}
		last = region
		at -= weight(region) / sum
		if at < 0 {
			break
		}
	}
	return last
}
