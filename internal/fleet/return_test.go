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

// ownedTwice returns for how long some VMs own more slots of a service together than
// there are, within a span of time.
func ownedTwice(f *fleet.Fleet, service string, slots int, span time.Duration, vms ...string) time.Duration {
	twice := time.Duration(0)
	begun := time.Now()
	for last := begun; last.Sub(begun) < span; time.Sleep(10 * time.Millisecond) {
		owned := ownedSlots(f, service, vms...)
		now := time.Now()
		if owned > slots {
			twice += now.Sub(last)
		}
		last = now
	}
	return twice
}

// A VM that starts again takes its part of the upstreams from the other VMs of its
// hall: two VMs that count the slots of one upstream would send it too much.
func TestUpstreamsHaveOneOwnerWhenAVMReturns(t *testing.T) {
	f, _ := start(t, plan())
	stays, returns := f.VMs()[0], f.VMs()[1]
	const (
		slots = 2 * 4 // A hall has two of the eight workers.
		// The other VM hears of the start by chance in half of the cases.
		times = 8
		// The two VMs are asked at the same time, not at one moment.
		passing = 100 * time.Millisecond
		watched = 1200 * time.Millisecond
	)
	for range times {
		if _, err := f.StopVM(returns); err != nil {
			t.Fatal(err)
		}
		until(t, "the VM that stays owns all", func() bool { return ownedSlots(f, "read", stays) == slots })
		if err := f.StartVM(returns); err != nil {
			t.Fatal(err)
		}
		if twice := ownedTwice(f, "read", slots, watched, stays, returns); twice > passing {
			t.Errorf("some slots had two owners for %s", twice)
		}
		if own := ownedSlots(f, "read", returns); own == 0 || own == slots {
			t.Errorf("the VM that returned owns %d slots of %d, want a part", own, slots)
		}
	}
}
