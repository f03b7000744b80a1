// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/ryehill/ryehill/internal/gateway"
)

// patientAge is the age at which VMs of the tests below call the store themselves;
// a watch is held for half of it.
const patientAge = 3200 * time.Millisecond

func withPatientAge(cfg *gateway.Config, _ *door) { cfg.StaleAfter = patientAge }

// patientVMs starts some VMs of one region that know each other.
func patientVMs(t *testing.T, n int) (*fleet, []*vm) {
	f := newFleet(t)
	f.worker("w1", "s", "north-a")
	vms := make([]*vm, n)
	for i := range vms {
		vms[i] = f.start(fmt.Sprintf("v%d", i), "north-a", withPatientAge)
	}
	for _, v := range vms {
		f.until(v.name+" knows all", func() bool { return len(f.addresses(v, "north")) == n })
	}
	return f, vms
}

// oldest returns the greatest age of what some VMs believe in a span of time.
func oldest(span time.Duration, vms ...*vm) time.Duration {
	oldest := time.Duration(0)
	for deadline := time.Now().Add(span); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, v := range vms {
			oldest = max(oldest, v.Age())
		}
	}
	return oldest
}

// A watcher that the store does not answer is passed over for another VM, before
// all VMs of the region call the store themselves.
func TestWatcherWithoutStoreIsPassedOver(t *testing.T) {
	cases := map[string]struct{ shut, silent bool }{
		"its store is silent": {silent: true},
		"its store refuses":   {shut: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, vms := patientVMs(t, 5)
			watcher, others := watcherIn(t, 2*patientAge, vms)
			before := make(map[string]int)
			for _, v := range others {
				before[v.name] = v.door.count("watch " + kindConfig)
			}
			watcher.door.set(c.shut, c.silent)
			if age := oldest(8*time.Second, vms...); age >= patientAge {
				t.Errorf("a VM rested on knowledge %s old", age)
			}
			callers := 0
			for _, v := range others {
				if v.door.count("watch "+kindConfig) > before[v.name] {
					callers++
				}
			}
			if callers != 1 {
				t.Errorf("%d of %d other VMs called the store, want the new watcher alone", callers, len(others))
			}
		})
	}
}

// The first watch after failures, or of a new watcher, is not held: nothing shows
// that the replica is complete before it ends.
func TestWatchIsHeldForLessByWhatIsOld(t *testing.T) {
	f := newFleet(t)
	f.worker("w1", "s", "north-a")
	v := f.start("a", "north-a", withPatientAge)
	f.until("it serves", v.ready)
	v.door.set(true, false)
	f.until("its knowledge is old", func() bool { return v.Age() > patientAge })
	v.door.set(false, false)
	// The wait between two calls that fail is 0.6 s at most.
	f.within(900*time.Millisecond, "its knowledge is young", func() bool { return v.Age() < patientAge/2 })
}
