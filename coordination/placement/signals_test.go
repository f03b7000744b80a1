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

// hear makes workers of a region say something.
func (f *fixture) hear(signal worker.Signal, regions ...string) {
	for _, w := range f.snapshot.Workers.All() {
		for _, region := range regions {
			if w.Region == region {
				f.loads.Of(w.Life()).Hear(signal)
			}
		}
	}
}

// leavingNow is the word of a worker whose time is over.
func (f *fixture) leavingNow() worker.Leaving {
	return worker.Leaving{Ending: worker.Ending{Heard: f.clock.Now(), Until: f.clock.Now()}, From: "v7"}
}

// What workers say keeps requests from them, whatever else there is: within the regions
// that a request may run in others get it, or it is refused at once with the time after
// which one is awake.
func TestSignalsBind(t *testing.T) {
	const rest = 2 * time.Second
	leave := func(regions ...string) func(f *fixture) {
		return func(f *fixture) { f.hear(f.leavingNow(), regions...) }
	}
	rests := func(regions ...string) func(f *fixture) {
		return func(f *fixture) { f.hear(worker.Rest{For: rest}, regions...) }
	}
	all := []string{"north", "south", "east"}
	cases := map[string]struct {
		said    func(f *fixture)
		home    string // the only region that requests may run in; "" is any
		refusal placement.Refusal
		gets    []string // regions that get requests
	}{
		"a region leaves":             {leave("north"), "", placement.RefusalNone, []string{"south", "east"}},
		"a region rests":              {rests("north"), "", placement.RefusalNone, []string{"south", "east"}},
		"all leave":                   {leave(all...), "", placement.RefusalNoWorker, nil},
		"all rest":                    {rests(all...), "", placement.RefusalResting, nil},
		"all rest, and one leaves":    {func(f *fixture) { rests(all...)(f); leave("north")(f) }, "", placement.RefusalResting, nil},
		"the only home leaves":        {leave("north"), "north", placement.RefusalNoWorker, nil},
		"the only home rests":         {rests("north"), "north", placement.RefusalResting, nil},
		"another than the home rests": {rests("south"), "north", placement.RefusalNone, []string{"north"}},
		"they rest and have failed": {func(f *fixture) {
			rests(all...)(f)
			for _, w := range f.snapshot.Workers.All() {
				f.loads.Of(w.Life()).Failed()
			}
		}, "", placement.RefusalResting, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(map[string]int{"north": 4, "south": 4, "east": 4}, nil)
			c.said(f)
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
				if refusal == placement.RefusalResting && (choice.Wait() < rest || choice.Wait() > rest+rest/5) {
					t.Fatalf("one is awake after %s, want some %s", choice.Wait(), rest)
				}
				if refusal == placement.RefusalNone {
					got[choice.Worker().Region] = true
					choice.Load().End()
				}
			}
			if len(got) != len(c.gets) {
				t.Errorf("requests go to %v, want %v", got, c.gets)
			}
			for _, region := range c.gets {
				if !got[region] {
					t.Errorf("nothing goes to %s", region)
				}
			}
		})
	}
}

// A rest moves the keys of the worker that rests, and no other: they stay in their region,
// and are back after it.
func TestRestMovesOnlyItsOwnKeys(t *testing.T) {
	const keys = 400
	f := newFixture(map[string]int{"north": 4, "south": 8, "east": 8}, nil) // The north gives some of its keys away.
	holders := func() (of [keys]worker.Worker) {
		for key := range uint64(keys) {
			choice, refusal := f.placer.Place(f.snapshot, request(key))
			if refusal != placement.RefusalNone {
				t.Fatalf("key %d is refused: %s", key, refusal)
			}
			of[key] = choice.Worker()
			choice.Load().End()
		}
		return of
	}
	before := holders()
	resting := before[0].ID
	f.loads.Of(resting).Hear(worker.Rest{For: time.Second})
	moved := 0
	for key, w := range holders() {
		switch {
		case w.ID == resting:
			t.Errorf("key %d goes to the worker that rests", key)
		case before[key].ID != resting && w.ID != before[key].ID:
			t.Errorf("key %d moves from %s to %s, none of which rests", key, before[key].ID, w.ID)
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
			t.Errorf("key %d stays at %s after the rest", key, w.ID)
		}
	}
}

// A request that moves since its worker leaves or rests says so, with the worker, who said
// it, and for how long.
func TestMovedRequestNamesTheWord(t *testing.T) {
	cases := map[string]struct {
		said func(f *fixture) worker.Signal
		want []string
	}{
		"leaving": {func(f *fixture) worker.Signal { return f.leavingNow() }, []string{"leaves", "by v7", "0 ms ago"}},
		"resting": {func(*fixture) worker.Signal { return worker.Rest{For: time.Second} }, []string{"rests by its answer", "ms more"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(map[string]int{"north": 4}, nil)
			first, _ := f.placer.Place(f.snapshot, request(3))
			first.Load().End()
			if first.PassedOver() != "" {
				t.Errorf("passed over %q before anything was said", first.PassedOver())
			}
			f.loads.Of(first.Worker().ID).Hear(c.said(f))
			moved, _ := f.placer.Place(f.snapshot, request(3))
			for _, part := range append(c.want, first.Worker().ID) {
				if !strings.Contains(moved.PassedOver(), part) {
					t.Errorf("%q lacks %q", moved.PassedOver(), part)
				}
			}
		})
	}
}

// Too few workers are awake in a region for the keys of those that rest: other regions get
// what does not fit.
func TestRestOfARegionSpillsOver(t *testing.T) {
	f := newFixture(map[string]int{"north": 4, "south": 4, "east": 4}, nil)
	for _, id := range []string{"north-0", "north-1", "north-2"} {
		f.loads.Of(id).Hear(worker.Rest{For: time.Second})
	}
	refused, got := 0, make(map[string]int)
	for key := range uint64(30) { // All under way at once; 36 slots are awake.
		choice, refusal := f.placer.Place(f.snapshot, request(key))
		if refusal != placement.RefusalNone {
			refused++
			continue
		}
		got[choice.Worker().Region]++
	}
	if refused > 0 || got["south"]+got["east"] == 0 {
		t.Errorf("%d refused, by region %v", refused, got)
	}
}

// The balancer gives no keys to workers that leave by their own word, and keeps those that
// rest as holders of their keys.
func TestBalanceHeedsSignals(t *testing.T) {
	f := newFixture(map[string]int{"north": 3}, nil)
	f.loads.Of("north-0").Hear(worker.Leaving{Ending: worker.Ending{Heard: f.clock.Now(), Until: f.clock.Now().Add(time.Second)}})
	f.loads.Of("north-1").Hear(worker.Rest{For: time.Second})
	full := make(map[string]bool)
	for _, w := range f.placer.Fleet(f.snapshot).Workers["read"] {
		full[w.ID] = w.Full
	}
	if _, ok := full["north-0"]; ok || !full["north-1"] || full["north-2"] || len(full) != 2 {
		t.Errorf("full: %v", full)
	}
}
