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

// Guards against state of an earlier incarnation overriding that of the newest one.
func TestNewestIncarnationWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		compile := gateway.NewWorkerCompiler(codec{}, object.Delta{Kind: kindWorkers, UpTo: object.Version{Revision: 1}})
		newest, leaving, everLeaving := uint64(0), false, false
		for at := uint64(2); at < uint64(rapid.IntRange(3, 20).Draw(t, "writes")); at++ {
			w := worker.Worker{Service: "s", Hall: "north-b", Start: uint64(rapid.IntRange(1, 4).Draw(t, "start")), Leaving: rapid.Bool().Draw(t, "leaving")}
			raw, err := json.Marshal(w)
			if err != nil {
				t.Fatal(err)
			}
			if w.Start >= newest {
				everLeaving = w.Leaving || everLeaving && w.Start == newest
				newest, leaving = w.Start, w.Leaving
			}
			set := compile(object.Delta{Kind: kindWorkers, Since: object.Version{Revision: at - 1}, UpTo: object.Version{Revision: at}, Events: []object.Event{
				{Object: object.Object{Name: "w", Version: object.Version{Revision: at}, Spec: raw}},
			}})
			got, ok := set.Get("w")
			if !ok || got.Start != newest || got.Leaving != leaving {
				t.Fatalf("got %+v, want start %d, leaving %t", got, newest, leaving)
			}
			if !everLeaving && !got.DrainWindow.Until.IsZero() {
				t.Fatalf("leaving state taken from an earlier incarnation: %+v", got.DrainWindow)
			}
			for start := uint64(1); start <= 4; start++ {
				candidate := worker.Worker{ID: "w", Start: start}
				if set.HasIncarnation(candidate.Incarnation()) != (start == newest) {
					t.Fatalf("wrong result for incarnation %d, the newest is %d", start, newest)
				}
			}
		}
	})
}

// Guards against failures, load or ejection of one incarnation carrying over to the next.
func TestEarlierIncarnationStateIsDropped(t *testing.T) {
	f, vms := startThreeVMs(t)
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
		f.waitFor(v.name+" knows the first incarnation", func() bool { return v.KnowsIncarnation(first.Incarnation()) })
	}
	vms[0].MarkFailing(first.Incarnation())
	if !vms[0].IsPenalized(first.Incarnation()) {
		t.Fatal("the first incarnation is not penalized")
	}
	put(2)
	for _, v := range vms {
		f.waitFor(v.name+" knows the second incarnation", func() bool { return v.KnowsIncarnation(second.Incarnation()) })
		if v.KnowsIncarnation(first.Incarnation()) || v.IsPenalized(second.Incarnation()) || v.Busy(second.Incarnation()) != 0 {
			t.Errorf("%s applies state of the first incarnation to the second", v.name)
		}
	}
}

// Guards against overloading a cold worker that restarted during a store outage.
func TestWorkersThatReturnWhileTheStoreIsAway(t *testing.T) {
	testRestartDuringOutage(t, 2500*time.Millisecond, defaultDowntime) // Longer than the gaps between replies of a healthy store.
}

// Guards against treating a worker as warm that restarts just as a store outage begins.
func TestWorkerThatReturnsAsTheStoreFallsSilent(t *testing.T) {
	t.Parallel()
	testRestartDuringOutage(t, 300*time.Millisecond, 20*time.Millisecond)
}

// testRestartDuringOutage restarts a worker some time into a store outage and checks the
// rate of requests that it gets while it is cold.
func testRestartDuringOutage(t *testing.T, outage, downtime time.Duration) {
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
	m := &crashWorkers{downtime: downtime}
	t.Cleanup(m.close)
	for i := range 3 {
		m.start(f, fmt.Sprintf("w%d", i), "north-a")
	}
	for i := range 4 {
		f.startVM(fmt.Sprintf("v%d", i), "north-a", nil)
	}
	for _, v := range f.vms {
		f.waitFor(v.name+" knows all VMs", func() bool { return len(f.resolvedAddresses(v, "north")) == 4 })
	}
	stop := make(chan struct{})
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		f.sendUntilStopped("/popular", 8*time.Millisecond, stop)
	}()
	time.Sleep(time.Second) // Wait until all VMs have connections to all workers.
	for _, v := range f.vms {
		v.storeClient.setFailure(true, false)
	}
	time.Sleep(outage)
	restarted := m.crash("w0")
	time.Sleep(coldStart - time.Second)
	close(stop)
	<-sent
	served := m.servedBy("w0", restarted, restarted.Add(coldStart-time.Second))
	if n, maxPerSecond := maxInOneSecond(served), coldRate*1.5+5; float64(n) > maxPerSecond {
		t.Errorf("a cold worker got %d requests in a second, want at most %.1f", n, maxPerSecond)
	}
	if len(served) == 0 {
		t.Error("the cold worker got no requests")
	}
}

// maxInOneSecond returns the largest number of times within any second.
func maxInOneSecond(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	highest, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// startThreeVMsWithExit starts three VMs, of which the first has seen a worker exit while the store
// is unavailable.
func startThreeVMsWithExit(t *testing.T) (*fleet, []*vm, worker.Worker) {
	f, vms := startThreeVMs(t)
	target := worker.Worker{ID: "w1"}
	f.store.put(kindConfig, "main", route.Config{
		Version: 2, Services: []route.Service{{Name: "s", ColdRate: 11, ColdStart: 5 * time.Second}},
		Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: 5 * time.Second, Targets: []route.Target{{Service: "s", Weight: 1}}}},
	})
	for _, v := range vms {
		f.waitFor(v.name+" has the configuration", func() bool { return v.Version() == 2 })
	}
	f.setStoreUnavailable(true)
	time.Sleep(2500 * time.Millisecond) // Longer than the gaps between replies of a healthy store.
	vms[0].RecordConnectionsClosed(target.Incarnation())
	return f, vms, target
}

// Guards against VMs treating a worker as warm that another VM saw terminate.
func TestVMsShareSuspectedExits(t *testing.T) {
	const spreadWithin = 1500 * time.Millisecond
	f, vms, target := startThreeVMsWithExit(t)
	f.waitWithin(spreadWithin, "all VMs treat the worker as cold", func() bool {
		for _, v := range vms {
			if !v.IsCold(target.ID) {
				return false
			}
		}
		return true
	})
}

// Guards against a VM that starts without the store and takes a cold worker for a warm one until the
// second message of a peer.
func TestVMThatStartsWithoutStoreKnowsExits(t *testing.T) {
	f, vms, target := startThreeVMsWithExit(t)
	f.waitFor("all VMs treat the worker as cold", func() bool {
		return !slices.ContainsFunc(vms, func(v *vm) bool { return !v.IsCold(target.ID) })
	})
	late := f.startVM("late", "north-a", func(_ *gateway.Config, s *storeClient) { s.setFailure(true, false) })
	f.waitFor("the VM serves", late.Ready)
	if !late.IsCold(target.ID) {
		t.Error("a VM begins to serve without knowing that the worker has exited")
	}
}

// Guards against VMs that take a cold worker for a warm one, since the VM that saw it exit knew the
// next entry before it told them.
func TestExitIsSharedAfterNextEntry(t *testing.T) {
	f := newFleet(t)
	restarting := f.startSignalWorker("w", "north-a")
	first, second := restarting.workerEntry("north-a", 1), restarting.workerEntry("north-a", 2)
	first.ID, second.ID = "w", "w"
	f.store.put(kindWorkers, "w", first)
	v := f.startVM("a", "north-a", nil)
	f.waitFor("the VM knows the first incarnation", func() bool { return v.ready() && v.KnowsIncarnation(first.Incarnation()) })
	v.RecordConnectionsClosed(first.Incarnation())
	f.store.put(kindWorkers, "w", second)
	f.waitFor("the VM knows the second incarnation", func() bool { return v.KnowsIncarnation(second.Incarnation()) })
	if !v.SharesExit(first.Incarnation()) {
		t.Error("the exit is not shared any more")
	}
	if v.SharesExit(second.Incarnation()) {
		t.Error("the next process seems to have exited")
	}
	f.waitFor("the exit is forgotten", func() bool { return !v.SharesExit(first.Incarnation()) })
}

// Guards against treating a worker as warm after one VM's only connection to it broke.
func TestOneBrokenConnectionRevealsExit(t *testing.T) {
	const spreadWithin = time.Second
	f := newFleet(t)
	f.store.put(kindConfig, "main", route.Config{
		Version: 2, Services: []route.Service{{Name: "s", ColdRate: 11, ColdStart: 5 * time.Second}},
		Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: 3 * time.Second, Targets: []route.Target{{Service: "s", Weight: 1}}}},
	})
	m := &crashWorkers{}
	t.Cleanup(m.close)
	m.start(f, "w0", "north-a")
	for i := range 3 {
		f.startVM(fmt.Sprintf("v%d", i), "north-a", nil)
	}
	for _, v := range f.vms {
		f.waitFor(v.name+" knows all VMs", func() bool { return len(f.resolvedAddresses(v, "north")) == 3 })
	}
	f.setStoreUnavailable(true)
	time.Sleep(300 * time.Millisecond)
	f.vms[0].sendRequest(poisonPath)
	f.waitWithin(spreadWithin, "all VMs treat the worker as cold", func() bool {
		for _, v := range f.vms {
			if !v.IsCold("w0") {
				return false
			}
		}
		return true
	})
}

// Guards against losing a leaving signal that a restarted worker sent before its entry arrived.
func TestLeavingSignalBeforeEntryOfRestartedWorker(t *testing.T) {
	f := newFleet(t)
	restarting := f.startSignalWorker("w", "north-a")
	first, second := restarting.workerEntry("north-a", 1), restarting.workerEntry("north-a", 2)
	first.ID, second.ID = "w", "w"
	f.store.put(kindWorkers, "w", first)
	v := f.startVM("a", "north-a", nil)
	f.waitFor("the VM knows the first incarnation", func() bool { return v.ready() && v.KnowsIncarnation(first.Incarnation()) })
	v.RecordConnectionsClosed(first.Incarnation())
	restarting.setLeaving(true)
	f.waitFor("the VM has the signal", func() bool {
		v.sendRequest("/")
		return v.IsLeaving(first.Incarnation())
	})
	f.store.put(kindWorkers, "w", second)
	f.waitFor("the VM knows the second incarnation", func() bool { return v.KnowsIncarnation(second.Incarnation()) })
	if !v.IsLeaving(second.Incarnation()) {
		t.Error("the signal was dropped with the first incarnation")
	}
}
