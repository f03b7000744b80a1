// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/state/route"
	"github.com/ryehill/ryehill/state/worker"
)

// Entries that lapse while the store is away are believed until their workers
// have had the time to write them again; those of workers that leave are not.
func TestEntriesThatLapseAreBelievedForAWhile(t *testing.T) {
	f := newFleet(t)
	f.worker("w1", "s", "north-a")
	f.worker("w2", "s", "north-a")
	v := f.start("a", "north-a", nil)
	f.until("it serves", v.ready)
	entry := f.store.get(kindWorkers, "w1")
	v.door.set(true, false)
	// A watch that the store still held may confirm for half of staleAfter.
	time.Sleep(staleAfter + staleAfter/2 + 1500*time.Millisecond)
	f.store.remove(kindWorkers, "w1")
	f.store.remove(kindWorkers, "w2")
	v.door.set(false, false)
	returned := time.Now()
	f.until("the store was heard", func() bool { return v.door.count("watch "+kindWorkers) > 0 })
	for time.Since(returned) < 1500*time.Millisecond {
		if status, _ := v.ask("/"); status != http.StatusOK {
			t.Fatalf("status %d, %s after the store's return", status, time.Since(returned))
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.store.putRaw(kindWorkers, entry)
	f.within(3*time.Second, "only the worker that wrote its entry again answers", func() bool {
		for range 12 {
			if _, id := v.ask("/"); id != "w1" {
				return false
			}
		}
		return true
	})
}

func TestLapsedKeepsNoneThatLeave(t *testing.T) {
	now := time.Now()
	confirmed := now.Add(-5 * time.Second)
	before := map[string]*worker.Worker{"stays": {ID: "stays"}, "gone": {ID: "gone"}, "left": {ID: "left", Leaving: true}}
	listed := map[string]*worker.Worker{"stays": {ID: "stays"}}
	cases := map[string]struct {
		graceEnd time.Time
		want     int
	}{
		"within the grace": {now.Add(time.Second), 1},
		"after it":         {now, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			kept := gateway.Lapsed(before, listed, now, confirmed, c.graceEnd, worker.NewLoads(time.Now))
			if len(kept) != c.want || c.want > 0 && (kept[0].ID != "gone" || !kept[0].Confirmed.Equal(confirmed)) {
				t.Errorf("kept %v", kept)
			}
		})
	}
}

// A store that comes back without a worker's entry must not make one that has ended warm.
func TestLapsedEntryTellsOfNoEnd(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.put(kindConfig, "main", route.Config{
		Version: 2, Services: []route.Service{{Name: "s", ColdRate: 11, ColdStart: 20 * time.Second}},
		Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: 5 * time.Second, Targets: []route.Target{{Service: "s", Weight: 1}}}},
	})
	f.worker("ended", "s", "north-a")
	f.worker("lives", "s", "north-a")
	v := f.start("a", "north-a", nil)
	f.until("it serves", v.ready)
	v.door.set(true, false)
	time.Sleep(staleAfter + staleAfter/2)
	v.SawEnd("ended")
	time.Sleep(1500 * time.Millisecond)
	f.store.remove(kindWorkers, "ended")
	f.store.remove(kindWorkers, "lives")
	v.door.set(false, false)
	returned := time.Now()
	f.until("the store was heard", func() bool { return v.door.count("watch "+kindWorkers) > 0 })
	for time.Since(returned) < 1800*time.Millisecond {
		if !v.Cold("ended") || v.Cold("lives") {
			t.Fatalf("%s after the store's return: one that ended is cold: %t, one that lived on: %t", time.Since(returned), v.Cold("ended"), v.Cold("lives"))
		}
		time.Sleep(20 * time.Millisecond)
	}
}
