// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package holders_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/ryehill/ryehill/state/holders"
)

// Missed, repeated or late deltas must not keep followers from the decider's table.
func TestFollowersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		decider, follower := holders.NewTable(), holders.NewTable()
		decider.StartEpoch(1)
		var deltas []holders.Delta
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 60).Draw(t, "steps")
		for i, step := range steps {
			switch {
			case step < 6:
				key := holders.Key(rapid.IntRange(0, 20).Draw(t, "key"))
				worker := rapid.SampledFrom([]string{"", "w1", "w2", "w3"}).Draw(t, "worker")
				decider.Apply(holders.Changes{key: worker})
			case step == 6:
				decider.StartEpoch(uint64(i + 2))
			case step == 7 && len(deltas) > 0:
				follower.Merge(rapid.SampledFrom(deltas).Draw(t, "late"))
			default:
				d := decider.DeltaSince(follower.Epoch(), follower.Version())
				deltas = append(deltas, d)
				follower.Merge(d)
			}
		}
		follower.Merge(decider.DeltaSince(follower.Epoch(), follower.Version()))
		for key := range holders.Key(21) {
			want, held := decider.Holder(key)
			got, known := follower.Holder(key)
			if got != want || known != held {
				t.Fatalf("key %d: follower has %q, decider %q", key, got, want)
			}
		}
	})
}

// A follower that is behind the kept removals would keep removed keys.
func TestFullDeltaAfterPrunedRemovals(t *testing.T) {
	decider, follower := holders.NewTable(), holders.NewTable()
	decider.StartEpoch(1)
	const keys = 3000
	all := make(holders.Changes)
	for key := range holders.Key(keys) {
		all[key] = "w1"
	}
	decider.Apply(all)
	follower.Merge(decider.DeltaSince(0, 0))
	for key := range holders.Key(keys - 1) {
		decider.Apply(holders.Changes{key: ""})
	}
	d := decider.DeltaSince(follower.Epoch(), follower.Version())
	if !d.Full {
		t.Errorf("the delta of %d entries is not full", len(d.Holders))
	}
	follower.Merge(d)
	if follower.Len() != 1 {
		t.Errorf("the follower has %d keys, want 1", follower.Len())
	}
}

// A table without a bound would grow with the number of keys in use.
func TestTableIsBounded(t *testing.T) {
	table := holders.NewTable()
	for i := range holders.MaxEntries + 100 {
		table.Apply(holders.Changes{holders.KeyOf("s", "r", uint64(i)): "w"})
	}
	if table.Len() != holders.MaxEntries {
		t.Errorf("%d entries, want %d", table.Len(), holders.MaxEntries)
	}
}

// A follower that merged a delta after a gap would miss changes for good.
func TestGapsAreNotMerged(t *testing.T) {
	decider, follower := holders.NewTable(), holders.NewTable()
	decider.StartEpoch(1)
	follower.Merge(decider.DeltaSince(0, 0))
	decider.Apply(holders.Changes{1: "w1"})
	missed := decider.Version()
	decider.Apply(holders.Changes{2: "w2"})
	follower.Merge(decider.DeltaSince(1, missed))
	if _, ok := follower.Holder(2); ok {
		t.Error("the follower merged a delta that leaves a gap")
	}
}

// A follower that is ahead must not be sent the whole table again.
func TestNewerFollowerGetsEmptyDelta(t *testing.T) {
	decider, relay := holders.NewTable(), holders.NewTable()
	decider.StartEpoch(1)
	decider.Apply(holders.Changes{1: "w1"})
	relay.Merge(decider.DeltaSince(0, 0))
	decider.Apply(holders.Changes{2: "w2"})
	if d := relay.DeltaSince(decider.Epoch(), decider.Version()); d.Full || len(d.Holders) > 0 {
		t.Errorf("the delta has %d entries, full %v", len(d.Holders), d.Full)
	}
}

func ExampleTable() {
	table := holders.NewTable()
	table.StartEpoch(1)
	table.Apply(holders.Changes{holders.KeyOf("lookup", "north", 17): "w-1"})
	fmt.Println(table.Holder(holders.KeyOf("lookup", "north", 17)))
	// Output: w-1 true
}
