// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/ryehill/ryehill/state/worker"
)

// shareOut returns the region whose workers hold the key for requests that come
// to a region. Every region is taken to bring an equal part of the requests;
// one that has fewer slots than that gives the rest of its keys to those that
// have more, in proportion to what they have beyond their own part. The choice
// depends on the key and the workers alone, so it moves only when these do.
func shareOut(home string, regions []string, workers []worker.Worker, r Request) string {
	slots := make(map[string]float64, len(regions))
	total := 0.0
	for _, w := range workers {
		slots[w.Region] += float64(w.Slots)
		total += float64(w.Slots)
	}
	sources := 0
	for _, region := range regions {
		if r.Allows == nil || r.Allows(region) || region == home {
			sources++
		}
	}
	fair := total / float64(max(sources, 1))
	hash := mix(r.Key ^ xxhash.Sum64String(r.Service))
	if point(hash) < min(1, slots[home]/fair) {
		return home
	}
	// A hash of its own: a change of what is kept moves none of the keys that
	// were given before.
	return surplusRegion(home, regions, slots, fair, point(mix(hash+1)))
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
