// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package fleet_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/ryehill/ryehill/internal/fleet"
)

// ownedSlots returns how many slots of a service some VMs own together. One that
// does not answer owns none.
func ownedSlots(f *fleet.Fleet, service string, vms ...string) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	owned := 0
	for _, vm := range vms {
		wg.Go(func() {
			s, err := f.Operator(vm).Status(context.Background())
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				owned += s.Own.Services[service].Slots
			}
		})
	}
	wg.Wait()
	return owned
}

// A VM that starts again takes its part of the upstreams from the other VMs of its
// hall: two VMs that count the slots of one upstream would send it too much.
func TestUpstreamsHaveOneOwnerWhenAVMReturns(t *testing.T) {
	f, _ := start(t, plan())
	stays, returns := f.VMs()[0], f.VMs()[1]
	const slots = 2 * 4 // A hall has two of the eight workers.
	if _, err := f.StopVM(returns); err != nil {
		t.Fatal(err)
	}
	until(t, "the VM that stays owns all", func() bool { return ownedSlots(f, "read", stays) == slots })

	if err := f.StartVM(returns); err != nil {
		t.Fatal(err)
	}
	// The two VMs are asked at the same time, not at one moment.
	const passing = 100 * time.Millisecond
	const watched = 2 * time.Second
	twice := time.Duration(0)
	for begun, last := time.Now(), time.Now(); time.Since(begun) < watched; time.Sleep(10 * time.Millisecond) {
		owned := ownedSlots(f, "read", stays, returns)
		if now := time.Now(); owned > slots {
			twice += now.Sub(last)
			last = now
		} else {
			last = now
		}
	}
	if twice > passing {
		t.Errorf("some slots had two owners for %s", twice)
	}
	if own := ownedSlots(f, "read", returns); own == 0 || own == slots {
		t.Errorf("the VM that returned owns %d slots of %d, want a part", own, slots)
	}
}
