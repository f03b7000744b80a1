// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/ryehill/ryehill/internal/gateway"
)

// Guards against VMs flooding a failing store with calls, and against slow recovery after it.
func TestCallsToAStoreBackOff(t *testing.T) {
	const vms = 5
	f := newFleet(t)
	f.startWorker("w1", "s", "north-a")
	for i := range vms {
		f.startVM(fmt.Sprintf("v%d", i), "north-a", func(cfg *gateway.Config, _ *storeClient) { cfg.StaleAfter = time.Second })
	}
	for _, v := range f.vms {
		f.waitFor(v.name+" knows all VMs", func() bool { return len(f.resolvedAddresses(v, "north")) == vms })
	}
	all := func(condition func(*vm) bool) func() bool {
		return func() bool { return !slices.ContainsFunc(f.vms, func(v *vm) bool { return !condition(v) }) }
	}
	for _, v := range f.vms {
		v.storeClient.setFailure(true, false)
	}
	f.waitFor("state is stale", all(func(v *vm) bool { return v.StateAge() > 4*time.Second }))
	const span = 4 * time.Second
	before := make(map[string]int)
	for _, v := range f.vms {
		before[v.name] = v.storeClient.totalCalls()
	}
	time.Sleep(span)
	frequentCallers := 0
	for _, v := range f.vms {
		// One VM retries every 0.3 to 0.6 s, the others every 1 to 2 s.
		calls := v.storeClient.totalCalls() - before[v.name]
		if calls > 5 {
			frequentCallers++
		}
		if calls < 1 || calls > 16 {
			t.Errorf("%s: %d calls in %s", v.name, calls, span)
		}
	}
	if frequentCallers > 1 {
		t.Errorf("%d VMs call frequently, want one at most", frequentCallers)
	}
	for _, v := range f.vms {
		v.storeClient.setFailure(false, false)
	}
	f.waitWithin(2*time.Second, "state is fresh", all(func(v *vm) bool { return v.StateAge() < time.Second }))
}
