// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/worker"
)

// A worker that starts again under its id is a new one: whatever processes write, in any
// order, the newest one of them is believed, and what an earlier one said of leaving
// does not hold for it.
func TestNewestLifeOfAWorkerIsBelieved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		compile := gateway.Compiler(codec{}, object.Delta{Kind: kindWorkers, At: 1})
		newest, leaving, left := uint64(0), false, false
		for at := uint64(2); at < uint64(rapid.IntRange(3, 20).Draw(t, "writes")); at++ {
			w := worker.Worker{Service: "s", Hall: "north-b", Start: uint64(rapid.IntRange(1, 4).Draw(t, "start")), Leaving: rapid.Bool().Draw(t, "leaving")}
			raw, err := json.Marshal(w)
			if err != nil {
				t.Fatal(err)
			}
			if w.Start >= newest {
				left = w.Leaving || left && w.Start == newest
				newest, leaving = w.Start, w.Leaving
			}
			set := compile(object.Delta{Kind: kindWorkers, Since: at - 1, At: at, Events: []object.Event{
				{Object: object.Object{Name: "w", Revision: at, Spec: raw}},
			}})
			got, ok := set.Get("w")
			if !ok || got.Start != newest || got.Leaving != leaving {
				t.Fatalf("believed %+v, want start %d, leaving %t", got, newest, leaving)
			}
			if !left && !got.Ending.Until.IsZero() {
				t.Fatalf("it leaves as an earlier life did: %+v", got.Ending)
			}
			for start := uint64(1); start <= 4; start++ {
				life := worker.Worker{ID: "w", Start: start}
				if set.Living(life.Life()) != (start == newest) {
					t.Fatalf("life %d is believed, the newest is %d", start, newest)
				}
			}
		}
	})
}

// What is believed of a process is not believed of the next one under its id: not that it
// failed, how much it has to do, nor that others spare it.
func TestNothingOfAnEarlierLifeIsBelieved(t *testing.T) {
	f, vms := threeVMs(t)
	w := f.store.get(kindWorkers, "w1")
	put := func(start uint64) {
		var entry worker.Worker
		if err := json.Unmarshal(w.Spec, &entry); err != nil {
			t.Fatal(err)
		}
		entry.Start = start
		f.store.put(kindWorkers, "w1", entry)
	}
	first, second := worker.Worker{ID: "w1", Start: 1}, worker.Worker{ID: "w1", Start: 2}
	put(1)
	for _, v := range vms {
		f.until(v.name+" knows the first life", func() bool { return v.Lives(first.Life()) })
	}
	vms[0].Distrust(first.Life())
	if !vms[0].Distrusts(first.Life()) {
		t.Fatal("the first life is not spared")
	}
	put(2)
	for _, v := range vms {
		f.until(v.name+" knows the second life", func() bool { return v.Lives(second.Life()) })
		if v.Lives(first.Life()) || v.Distrusts(second.Life()) || v.Busy(second.Life()) != 0 {
			t.Errorf("%s believes of the second life what was of the first", v.name)
		}
	}
}
