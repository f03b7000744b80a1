// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/protocol/peerpb"
)

// longStaleAfter is the age of state at which VMs of these tests call the store; a watch is
// held for half of it.
const longStaleAfter = 3200 * time.Millisecond

func withLongStaleAfter(cfg *gateway.Config, _ *storeClient) { cfg.StaleAfter = longStaleAfter }

// startLongStaleVMs starts n VMs of one region and waits until they resolve each other.
func startLongStaleVMs(t *testing.T, n int) []*vm {
	f := newFleet(t)
	f.startWorker("w1", "s", "north-a")
	vms := make([]*vm, n)
	for i := range vms {
		vms[i] = f.startVM(fmt.Sprintf("v%d", i), "north-a", withLongStaleAfter)
	}
	for _, v := range vms {
		f.waitFor(v.name+" knows all VMs", func() bool { return len(f.resolvedAddresses(v, "north")) == n })
	}
	return vms
}

// maxStateAge returns the highest state age of the VMs during span.
func maxStateAge(span time.Duration, vms ...*vm) time.Duration {
	oldest := time.Duration(0)
	for deadline := time.Now().Add(span); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, v := range vms {
			oldest = max(oldest, v.StateAge())
		}
	}
	return oldest
}

// Guards against the whole region calling the store when the watcher loses access to it.
func TestWatcherWithoutStoreIsPassedOver(t *testing.T) {
	cases := map[string]struct{ unavailable, hanging bool }{
		"its store calls hang": {hanging: true},
		"its store calls fail": {unavailable: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			vms := startLongStaleVMs(t, 5)
			watcher, others := watcherDuring(t, 2*longStaleAfter, vms)
			before := make(map[string]int)
			for _, v := range others {
				before[v.name] = v.storeClient.callCount("watch " + kindConfig)
			}
			watcher.storeClient.setFailure(c.unavailable, c.hanging)
			if age := maxStateAge(8*time.Second, vms...); age >= longStaleAfter {
				t.Errorf("a VM used state that was %s old", age)
			}
			callers := 0
			for _, v := range others {
				if v.storeClient.callCount("watch "+kindConfig) > before[v.name] {
					callers++
				}
			}
			if callers != 1 {
				t.Errorf("%d of %d other VMs called the store, want the new watcher alone", callers, len(others))
			}
		})
	}
}

// Guards against holding the first watch after failures, which would leave the state stale.
func TestWatchIsHeldForLessByWhatIsOld(t *testing.T) {
	f := newFleet(t)
	f.startWorker("w1", "s", "north-a")
	v := f.startVM("a", "north-a", withLongStaleAfter)
	f.waitFor("the VM is ready", v.ready)
	v.storeClient.setFailure(true, false)
	f.waitFor("the VM's state is stale", func() bool { return v.StateAge() > longStaleAfter })
	v.storeClient.setFailure(false, false)
	// The wait between two failing calls is at most 0.6 s.
	f.waitWithin(900*time.Millisecond, "the VM's state is fresh", func() bool { return v.StateAge() < longStaleAfter/2 })
}

// Guards against a second watcher because some VMs got one late reply from the first.
func TestVMServedByItsParentDoesNotWatch(t *testing.T) {
	t.Parallel()
	const requestInterval = 100 * time.Millisecond
	vms := startLongStaleVMs(t, 4)
	_, others := watcherDuring(t, 2*longStaleAfter, vms)
	asked := others[0]
	before := asked.storeClient.callCount("watch " + kindConfig)
	for start := time.Now(); time.Since(start) < 2*longStaleAfter; time.Sleep(requestInterval) {
		asked.SyncReply(t.Context(), &peerpb.Sync{HoldMillis: 1, Depth: 1})
	}
	if calls := asked.storeClient.callCount("watch "+kindConfig) - before; calls > 0 {
		t.Errorf("a VM that its parent serves called the store %d times", calls)
	}
	if age := asked.StateAge(); age >= longStaleAfter {
		t.Errorf("its state is %s old", age)
	}
}
