// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package placement_test

import (
	"strings"
	"testing"
	"time"

	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/state/worker"
)

// receiveSignal delivers a signal from all workers of some regions.
func (f *fixture) receiveSignal(signal worker.Signal, regions ...string) {
	for _, w := range f.snapshot.Workers.All() {
		for _, region := range regions {
			if w.Region == region {
				f.loads.GetOrCreate(w.Incarnation()).Observe(signal)
			}
		}
	}
}

// leavingNow returns the signal of a worker that shuts down without delay.
func (f *fixture) leavingNow() worker.Leaving {
	return worker.Leaving{DrainWindow: worker.DrainWindow{ObservedAt: f.clock.Now(), Until: f.clock.Now()}, From: "v7"}
}

// Guards against requests to workers that are resting or shutting down, also if no others are left.
func TestSignalsAreEnforced(t *testing.T) {
	const rest = 2 * time.Second
	leave := func(regions ...string) func(f *fixture) {
		return func(f *fixture) { f.receiveSignal(f.leavingNow(), regions...) }
	}
	rests := func(regions ...string) func(f *fixture) {
		return func(f *fixture) { f.receiveSignal(worker.Rest{For: rest}, regions...) }
	}
	all := []string{"north", "south", "east"}
	cases := map[string]struct {
		receive     func(f *fixture)
		home        string // the only allowed region; "" allows all
		refusal     placement.Refusal
		wantRegions []string // regions that get requests
	}{
		"one region shuts down":                   {leave("north"), "", placement.RefusalNone, []string{"south", "east"}},
		"one region is resting":                   {rests("north"), "", placement.RefusalNone, []string{"south", "east"}},
		"all shut down":                           {leave(all...), "", placement.RefusalNoWorker, nil},
		"all are resting":                         {rests(all...), "", placement.RefusalResting, nil},
		"all are resting, one region shuts down":  {func(f *fixture) { rests(all...)(f); leave("north")(f) }, "", placement.RefusalResting, nil},
		"the only allowed region shuts down":      {leave("north"), "north", placement.RefusalNoWorker, nil},
		"the only allowed region is resting":      {rests("north"), "north", placement.RefusalResting, nil},
		"a region that is not allowed is resting": {rests("south"), "north", placement.RefusalNone, []string{"north"}},
		"all are resting and have failed": {func(f *fixture) {
			rests(all...)(f)
			for _, w := range f.snapshot.Workers.All() {
				f.loads.GetOrCreate(w.Incarnation()).RecordFailure()
			}
		}, "", placement.RefusalResting, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(map[string]int{"north": 4, "south": 4, "east": 4}, nil)
			c.receive(f)
			got := make(map[string]bool)
			for key := range uint64(60) {
				r := request(key)
				if c.home != "" {
					r.Allows = func(region string) bool { return region == c.home }
				}
				choice, refusal := f.placer.Place(f.snapshot, r)
				if refusal != c.refusal {
					t.Fatalf("refusal %q, want %q", refusal, c.refusal)
				}
				if refusal == placement.RefusalResting && (choice.RetryAfter() < rest || choice.RetryAfter() > rest+rest/5) {
					t.Fatalf("retry after %s, want about %s", choice.RetryAfter(), rest)
				}
				if refusal == placement.RefusalNone {
					got[choice.Worker().Region] = true
					choice.Load().End()
				}
			}
			if len(got) != len(c.wantRegions) {
				t.Errorf("requests go to %v, want %v", got, c.wantRegions)
			}
			for _, region := range c.wantRegions {
				if !got[region] {
					t.Errorf("no requests go to %s", region)
				}
			}
		})
	}
}

// Guards against moving other keys, or keys to other regions, while one worker is resting.
func TestRestMovesOnlyItsOwnKeys(t *testing.T) {
	const keys = 400
	f := newFixture(map[string]int{"north": 4, "south": 8, "east": 8}, nil) // North sends some of its keys to other regions.
	holders := func() (workers [keys]worker.Worker) {
		for key := range uint64(keys) {
			choice, refusal := f.placer.Place(f.snapshot, request(key))
			if refusal != placement.RefusalNone {
				t.Fatalf("key %d is refused: %s", key, refusal)
			}
			workers[key] = choice.Worker()
			choice.Load().End()
		}
		return workers
	}
	before := holders()
	resting := before[0].ID
	f.loads.GetOrCreate(resting).Observe(worker.Rest{For: time.Second})
	moved := 0
	for key, w := range holders() {
		switch {
		case w.ID == resting:
			t.Errorf("key %d goes to the resting worker", key)
		case before[key].ID != resting && w.ID != before[key].ID:
			t.Errorf("key %d moves from %s to %s, neither of which is resting", key, before[key].ID, w.ID)
		case w.Region != before[key].Region:
			t.Errorf("key %d leaves its region", key)
		case w.ID != before[key].ID:
			moved++
		}
	}
	if moved == 0 {
		t.Error("no key moves")
	}
	f.clock.Advance(1300 * time.Millisecond)
	for key, w := range holders() {
		if w.ID != before[key].ID {
			t.Errorf("key %d is still at %s after the rest", key, w.ID)
		}
	}
}

// Guards against missing explanations when the holder of a key is resting or shutting down.
func TestMovedRequestNamesSignal(t *testing.T) {
	cases := map[string]struct {
		signal func(f *fixture) worker.Signal
		want   []string
	}{
		"leaving": {func(f *fixture) worker.Signal { return f.leavingNow() }, []string{"leaves", "by v7", "0 ms ago"}},
		"resting": {func(*fixture) worker.Signal { return worker.Rest{For: time.Second} }, []string{"rests by its answer", "ms more"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(map[string]int{"north": 4}, nil)
			first, _ := f.placer.Place(f.snapshot, request(3))
			first.Load().End()
			if first.SkippedHolder() != "" {
				t.Errorf("skipped %q before any signal", first.SkippedHolder())
			}
			f.loads.GetOrCreate(first.Worker().ID).Observe(c.signal(f))
			moved, _ := f.placer.Place(f.snapshot, request(3))
			for _, part := range append(c.want, first.Worker().ID) {
				if !strings.Contains(moved.SkippedHolder(), part) {
					t.Errorf("%q lacks %q", moved.SkippedHolder(), part)
				}
			}
		})
	}
}

// Guards against refusals in a region with too few available workers while other regions have slots.
func TestRestingRegionSpillsOver(t *testing.T) {
	f := newFixture(map[string]int{"north": 4, "south": 4, "east": 4}, nil)
	for _, id := range []string{"north-0", "north-1", "north-2"} {
		f.loads.GetOrCreate(id).Observe(worker.Rest{For: time.Second})
	}
	refused, got := 0, make(map[string]int)
	for key := range uint64(30) { // All run concurrently; 36 slots are available.
		choice, refusal := f.placer.Place(f.snapshot, request(key))
		if refusal != placement.RefusalNone {
			refused++
			continue
		}
		got[choice.Worker().Region]++
	}
	if refused > 0 || got["south"]+got["east"] == 0 {
		t.Errorf("%d refused, requests by region: %v", refused, got)
	}
}

// Guards against new keys for resting workers, and any for those that are shutting down.
func TestFleetFollowsSignals(t *testing.T) {
	f := newFixture(map[string]int{"north": 3}, nil)
	f.loads.GetOrCreate("north-0").Observe(worker.Leaving{DrainWindow: worker.DrainWindow{ObservedAt: f.clock.Now(), Until: f.clock.Now().Add(time.Second)}})
	f.loads.GetOrCreate("north-1").Observe(worker.Rest{For: time.Second})
	full := make(map[string]bool)
	for _, w := range f.placer.Fleet(f.snapshot).Workers["read"] {
		full[w.ID] = w.Full
	}
	if _, ok := full["north-0"]; ok || !full["north-1"] || full["north-2"] || len(full) != 2 {
		t.Errorf("full: %v", full)
	}
}
