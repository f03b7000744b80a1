// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package spread_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/ryehill/ryehill/coordination/spread"
	"github.com/ryehill/ryehill/state/spec"
)

// Guards against lost or reverted objects under late, duplicated, partial and reordered updates.
func TestNeverRevertsAndIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := make([]spec.Object, rapid.IntRange(1, 40).Draw(t, "writes"))
		for i := range history {
			name := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "name")
			history[i] = spec.Object{Key: spec.Key{Kind: spec.KindBlocks, Name: name}, Version: uint64(i + 1)}
		}
		stores := []*spread.Store{spread.New(), spread.New(), spread.New()}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			s := rapid.SampledFrom(stores).Draw(t, "store")
			before, _ := s.Revisions()
			if rapid.Bool().Draw(t, "peer") {
				from := rapid.SampledFrom(stores).Draw(t, "from")
				since := uint64(rapid.IntRange(0, int(before)).Draw(t, "since"))
				s.Apply(from.Since(since))
			} else {
				s.Apply(platformChanges(t, history))
			}
			checkComplete(t, s, history, before)
		}
	})
}

// platformChanges returns a possible answer of the platform, current or outdated.
func platformChanges(t *rapid.T, history []spec.Object) spread.Changes {
	now := rapid.IntRange(0, len(history)).Draw(t, "now")
	since := rapid.IntRange(0, now).Draw(t, "asked since")
	newest := make(map[spec.Key]spec.Object)
	for _, o := range history[:now] {
		newest[o.Key] = o
	}
	c := spread.Changes{Since: uint64(since), UpTo: uint64(now)}
	for _, o := range newest {
		if o.Version > uint64(since) {
			c.Objects = append(c.Objects, o)
		}
	}
	return c
}

func checkComplete(t *rapid.T, s *spread.Store, history []spec.Object, before uint64) {
	complete, _ := s.Revisions()
	if complete < before {
		t.Fatalf("complete revision went back from %d to %d", before, complete)
	}
	for _, o := range history[:complete] {
		held, ok := s.Get(o.Key)
		if !ok || held.Version < o.Version {
			t.Fatalf("complete up to %d, but stores %+v instead of %+v", complete, held, o)
		}
	}
}
