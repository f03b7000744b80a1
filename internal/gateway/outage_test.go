// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/route"
	"github.com/ryehill/ryehill/state/worker"
)

// startPropagation is the time by which the store has the entry of a restarted worker.
const startPropagation = 1500 * time.Millisecond

// Guards against dropping lapsed entries before their workers had time to write them again.
func TestEntriesThatLapseAreRetained(t *testing.T) {
	f := newFleet(t)
	f.startWorker("w1", "s", "north-a")
	f.startWorker("w2", "s", "north-a")
	v := f.startVM("a", "north-a", nil)
	f.waitFor("the VM is ready", v.ready)
	entry := f.store.get(kindWorkers, "w1")
	v.storeClient.setFailure(true, false)
	// A watch that is still held may confirm the state for another half of staleAfter.
	time.Sleep(staleAfter + staleAfter/2 + 1500*time.Millisecond)
	f.store.remove(kindWorkers, "w1")
	f.store.remove(kindWorkers, "w2")
	v.storeClient.setFailure(false, false)
	restored := time.Now()
	f.waitFor("the store was read again", func() bool { return v.storeClient.callCount("watch "+kindWorkers) > 0 })
	for time.Since(restored) < 1500*time.Millisecond {
		if status, _ := v.sendRequest("/"); status != http.StatusOK {
			t.Fatalf("status %d, %s after the store's return", status, time.Since(restored))
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.store.putRaw(kindWorkers, entry)
	f.waitWithin(3*time.Second, "only the worker that wrote its entry again answers", func() bool {
		for range 12 {
			if _, id := v.sendRequest("/"); id != "w1" {
				return false
			}
		}
		return true
	})
}

func TestLapsedWorkersOmitLeavingOnes(t *testing.T) {
	now := time.Now()
	confirmed := now.Add(-5 * time.Second)
	before := map[string]*worker.Worker{"stays": {ID: "stays"}, "gone": {ID: "gone"}, "left": {ID: "left", Leaving: true}}
	listed := map[string]*worker.Worker{"stays": {ID: "stays"}}
	cases := map[string]struct {
		graceEnd time.Time
		want     int
	}{
		"within the grace period": {now.Add(time.Second), 1},
		"after the grace period":  {now, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			retained := gateway.LapsedWorkers(before, listed, now, confirmed, c.graceEnd, worker.NewLoads(time.Now))
			if len(retained) != c.want || c.want > 0 && (retained[0].ID != "gone" || !retained[0].Confirmed.Equal(confirmed)) {
				t.Errorf("retained %v", retained)
			}
		})
	}
}

// Guards against treating a terminated worker as warm because its entry lapsed.
func TestLapsedEntryTellsOfNoEnd(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.put(kindConfig, "main", route.Config{
		Version: 2, Services: []route.Service{{Name: "s", ColdRate: 11, ColdStart: 20 * time.Second}},
		Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: 5 * time.Second, Targets: []route.Target{{Service: "s", Weight: 1}}}},
	})
	f.startWorker("ended", "s", "north-a")
	f.startWorker("lives", "s", "north-a")
	v := f.startVM("a", "north-a", nil)
	f.waitFor("the VM is ready", v.ready)
	v.storeClient.setFailure(true, false)
	time.Sleep(staleAfter + staleAfter/2)
	v.RecordConnectionsClosed("ended")
	time.Sleep(1500 * time.Millisecond)
	f.store.remove(kindWorkers, "ended")
	f.store.remove(kindWorkers, "lives")
	v.storeClient.setFailure(false, false)
	returned := time.Now()
	f.waitFor("the store was read again", func() bool { return v.storeClient.callCount("watch "+kindWorkers) > 0 })
	for time.Since(returned) < 1800*time.Millisecond {
		if !v.IsCold("ended") || v.IsCold("lives") {
			t.Fatalf("%s after the store's return: terminated worker cold: %t, running worker cold: %t", time.Since(returned), v.IsCold("ended"), v.IsCold("lives"))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// slowCodec takes a while to decode the entry of the worker "slow".
type slowCodec struct{ codec }

const slowDecode = 400 * time.Millisecond

func (c slowCodec) Worker(o object.Object) (worker.Worker, time.Duration, error) {
	if o.Name == "slow" {
		time.Sleep(slowDecode)
	}
	return c.codec.Worker(o)
}

// Guards against judging a worker by a confirmation of changes that are not in the snapshot yet.
func TestConfirmationAppliesWithItsSnapshot(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.put(kindConfig, "main", route.Config{
		Version: 2, Services: []route.Service{{Name: "s", ColdRate: 11, ColdStart: 20 * time.Second}},
		Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: 5 * time.Second, Targets: []route.Target{{Service: "s", Weight: 1}}}},
	})
	f.startWorker("ended", "s", "north-a")
	v := f.startVM("a", "north-a", func(cfg *gateway.Config, _ *storeClient) { cfg.Codec = slowCodec{} })
	f.waitFor("the VM is ready", v.ready)
	v.storeClient.setFailure(true, false)
	time.Sleep(2 * staleAfter) // The last watch may confirm the state for another half of staleAfter.
	v.RecordConnectionsClosed("ended")
	time.Sleep(startPropagation)
	f.store.remove(kindWorkers, "ended")
	f.startWorker("slow", "s", "north-a")
	v.storeClient.setFailure(false, false)
	f.waitFor("the change is compiled", func() bool {
		if !v.IsCold("ended") {
			t.Fatal("terminated worker is warm")
		}
		return v.KnowsWorker("slow")
	})
}
