// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/ryehill/ryehill/state/worker"
)

// Guards against all VMs of a large fleet listing the store at once when it begins an era.
func TestFewVMsListANewEra(t *testing.T) {
	const workers = 200
	cases := map[string]struct {
		absence time.Duration
		silent  bool
	}{
		"short absence":                 {absence: storeAbsence},
		"absence in which all VMs call": {absence: 2 * longStaleAfter},
		"silence in which all VMs call": {absence: 2 * longStaleAfter, silent: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := startDeepFleet(t, nil)
			for i := range workers {
				f.store.put(kindWorkers, fmt.Sprintf("s%d", i), worker.Worker{Service: "s", Hall: "north-a", Slots: 4, Address: "127.0.0.1:9"})
			}
			f.waitSettled()
			e := &eraFleet{fleet: f.fleet, version: 1}
			e.vms = f.vms
			copied := f.store.copyState()
			e.makeLostChanges()
			before := make(map[string]int)
			for _, v := range f.vms {
				before[v.name] = v.listCalls()
			}
			for _, v := range f.vms {
				v.storeClient.setFailure(!c.silent, c.silent)
			}
			time.Sleep(c.absence)
			f.store.returnFrom(copied)
			e.makeUnavailable(false)
			e.configureAgain("s")
			e.configure("s")
			e.awaitVersion()
			time.Sleep(2 * time.Second)
			lists, listing := 0, 0
			for _, v := range f.vms {
				n := v.listCalls() - before[v.name]
				lists += n
				if n > 0 {
					listing++
				}
			}
			t.Logf("%d lists by %d of %d VMs", lists, listing, len(f.vms))
			if listing > len(f.vms)/4 {
				t.Errorf("%d of %d VMs listed the store, want a quarter at most", listing, len(f.vms))
			}
		})
	}
}

// listCalls returns how often a VM has listed the kinds that it watches.
func (v *vm) listCalls() int {
	return v.storeClient.callCount("list "+kindConfig) + v.storeClient.callCount("list "+kindWorkers) + v.storeClient.callCount("list "+kindClosed)
}
