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

// VMs that the store turns away call it now and then, not for each kind by itself and
// those that tell nobody seldom, and all is young soon after it answers again.
func TestCallsToAStoreThatFailsAreSpaced(t *testing.T) {
	const vms = 5
	f := newFleet(t)
	f.worker("w1", "s", "north-a")
	for i := range vms {
		f.start(fmt.Sprintf("v%d", i), "north-a", func(cfg *gateway.Config, _ *door) { cfg.StaleAfter = time.Second })
	}
	for _, v := range f.vms {
		f.until(v.name+" knows all", func() bool { return len(f.addresses(v, "north")) == vms })
	}
	all := func(condition func(*vm) bool) func() bool {
		return func() bool { return !slices.ContainsFunc(f.vms, func(v *vm) bool { return !condition(v) }) }
	}
	for _, v := range f.vms {
		v.door.set(true, false)
	}
	f.until("knowledge is old", all(func(v *vm) bool { return v.Age() > 4*time.Second }))
	const span = 4 * time.Second
	before := make(map[string]int)
	for _, v := range f.vms {
		before[v.name] = v.door.countAll()
	}
	time.Sleep(span)
	often := 0
	for _, v := range f.vms {
		// The wait between two calls is 0.3 to 0.6 s for one VM, 1 to 2 s for the
		// others.
		calls := v.door.countAll() - before[v.name]
		if calls > 5 {
			often++
		}
		if calls < 1 || calls > 16 {
			t.Errorf("%s: %d calls in %s", v.name, calls, span)
		}
	}
	if often > 1 {
		t.Errorf("%d VMs call often, want one at most", often)
	}
	for _, v := range f.vms {
		v.door.set(false, false)
	}
	f.within(2*time.Second, "all is young", all(func(v *vm) bool { return v.Age() < time.Second }))
}
