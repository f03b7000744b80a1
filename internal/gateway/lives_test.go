// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/route"
	"github.com/ryehill/ryehill/state/worker"
)

// A worker that starts again under its id is a new one: whatever processes write, in any
// order, the newest one of them is believed, and what an earlier one said of leaving
// does not hold for it.
func TestNewestLifeOfAWorkerIsBelieved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		compile := gateway.Compiler(codec{}, object.Delta{Kind: kindWorkers, UpTo: 1})
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
			set := compile(object.Delta{Kind: kindWorkers, Since: at - 1, UpTo: at, Events: []object.Event{
				{Object: object.Object{Name: "w", Revision: at, Spec: raw}},
			}})
			got, ok := set.Get("w")
			if !ok || got.Start != newest || got.Leaving != leaving {
				t.Fatalf("believed %+v, want start %d, leaving %t", got, newest, leaving)
			}
			if !left && !got.DrainWindow.Until.IsZero() {
				t.Fatalf("it leaves as an earlier life did: %+v", got.DrainWindow)
			}
			for start := uint64(1); start <= 4; start++ {
				life := worker.Worker{ID: "w", Start: start}
				if set.HasIncarnation(life.Incarnation()) != (start == newest) {
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
		f.until(v.name+" knows the first life", func() bool { return v.Lives(first.Incarnation()) })
	}
	vms[0].Distrust(first.Incarnation())
	if !vms[0].Distrusts(first.Incarnation()) {
		t.Fatal("the first life is not spared")
	}
	put(2)
	for _, v := range vms {
		f.until(v.name+" knows the second life", func() bool { return v.Lives(second.Incarnation()) })
		if v.Lives(first.Incarnation()) || v.Distrusts(second.Incarnation()) || v.Busy(second.Incarnation()) != 0 {
			t.Errorf("%s believes of the second life what was of the first", v.name)
		}
	}
}

// What users saw: a cold worker was pressed. Workers of a service had ended and started
// again under their ids while the store was away, so that no entry told of their starts.
// All VMs took them for warm, and gave each its whole share at once: 24 and 26 requests in
// a second where a cold worker bears 21. What a VM itself sees then is that the worker ended
// its connections, or that its port was closed.
func TestWorkersThatReturnWhileTheStoreIsAway(t *testing.T) {
	returnAfterSilence(t, 2500*time.Millisecond, downFor) // Longer than the store is silent in calm.
}

// A worker that starts again just as the store falls silent must not be taken as warm.
func TestWorkerThatReturnsAsTheStoreFallsSilent(t *testing.T) {
	t.Parallel()
	returnAfterSilence(t, 300*time.Millisecond, 20*time.Millisecond)
}

// returnAfterSilence ends a worker, which is down for a time, some time after the store
// has fallen silent, and counts what it gets while it is cold.
func returnAfterSilence(t *testing.T, silence, down time.Duration) {
	t.Helper()
	const coldRate, coldStart = 11.0, 5 * time.Second
	f := newFleet(t)
	f.store.put(kindConfig, "main", route.Config{
		Version: 2, Services: []route.Service{{Name: "s", ColdRate: coldRate, ColdStart: coldStart}},
		Routes: []route.Route{{
			Name: "r", Host: "h", Prefix: "/", Timeout: 3 * time.Second, Repeatable: true, MaxAttempts: 2,
			Targets: []route.Target{{Service: "s", Weight: 1}},
		}},
	})
	m := &crashWorkers{down: down}
	t.Cleanup(m.close)
	for i := range 3 {
		m.start(f, fmt.Sprintf("w%d", i), "north-a")
	}
	for i := range 4 {
		f.start(fmt.Sprintf("v%d", i), "north-a", nil)
	}
	for _, v := range f.vms {
		f.until(v.name+" knows all", func() bool { return len(f.addresses(v, "north")) == 4 })
	}
	stop := make(chan struct{})
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		f.press("/popular", 8*time.Millisecond, stop)
	}()
	time.Sleep(time.Second) // All VMs have connections to all workers.
	for _, v := range f.vms {
		v.door.set(true, false)
	}
	time.Sleep(silence)
	back := m.endOne("w0")
	time.Sleep(coldStart - time.Second)
	close(stop)
	<-sent
	served := m.servedBy("w0", back, back.Add(coldStart-time.Second))
	if n, most := mostInASecond(served), coldRate*1.5+5; float64(n) > most {
		t.Errorf("a worker that had just started got %d requests in a second, want at most %.1f", n, most)
	}
	if len(served) == 0 {
		t.Error("it got none at all")
	}
}

// mostInASecond returns the most of the moments within any second.
func mostInASecond(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// What users saw: cold workers were pressed again. A worker had ended and started again
// while the store was away; the VM that saw it end took it as cold, the others, which had
// no connection to it just then, as warm, and gave it their whole share at once.
//
// The cause is that a VM kept to itself that a worker seemed to have ended. What proved it:
// the senders of the requests in the worker's first second (the soak prints them).
func TestVMsTellEachOtherWhoHasEnded(t *testing.T) {
	const tellWithin = 1500 * time.Millisecond
	f, vms := threeVMs(t)
	life := worker.Worker{ID: "w1"}
	f.store.put(kindConfig, "main", route.Config{
		Version: 2, Services: []route.Service{{Name: "s", ColdRate: 11, ColdStart: 5 * time.Second}},
		Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: 5 * time.Second, Targets: []route.Target{{Service: "s", Weight: 1}}}},
	})
	for _, v := range vms {
		f.until(v.name+" has the configuration", func() bool { return v.Version() == 2 })
	}
	f.shutStore(true)
	time.Sleep(2500 * time.Millisecond) // Longer than the store is silent in calm.
	vms[0].SawEnd(life.Incarnation())
	f.within(tellWithin, "all VMs take it as cold", func() bool {
		for _, v := range vms {
			if !v.Cold(life.ID) {
				return false
			}
		}
		return true
	})
}
