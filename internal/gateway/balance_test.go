// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"testing"
	"time"
)

// All VMs follow the table that one of them decides, and when that one is gone
// another goes on from the table as it was.
func TestVMsFollowOneTable(t *testing.T) {
	f, vms := threeVMs(t)
	f.until("all have a table of one epoch", func() bool { return oneEpoch(vms) != 0 })
	epoch := oneEpoch(vms)
	var decider *vm
	for _, v := range vms {
		if v.Decides() {
			decider = v
		}
	}
	if decider == nil {
		t.Fatal("no VM decides")
	}
	decider.Move("s", "north", 17, "w1")
	f.until("all know the holder", func() bool { return holds(vms, "w1") })
	decider.stop()
	var left []*vm
	for _, v := range vms {
		if v != decider {
			left = append(left, v)
		}
	}
	f.until("another VM decides", func() bool {
		now := oneEpoch(left)
		return now != 0 && now != epoch
	})
	if !holds(left, "w1") {
		t.Error("the holder is forgotten with the VM that decided it")
	}
}

// oneEpoch returns the epoch of the table that all VMs have, or 0.
func oneEpoch(vms []*vm) uint64 {
	epoch := vms[0].TableEpoch()
	for _, v := range vms {
		if v.TableEpoch() != epoch {
			return 0
		}
	}
	return epoch
}

func holds(vms []*vm, worker string) bool {
	for _, v := range vms {
		if v.Holder("s", "north", 17) != worker {
			return false
		}
	}
	return true
}

// A decision that was taken is known to all VMs within the time that the report
// of a region and two questions take.
func TestTableSpreadsSoon(t *testing.T) {
	f, vms := threeVMs(t)
	f.until("all have a table of one epoch", func() bool { return oneEpoch(vms) != 0 })
	for _, v := range vms {
		if v.Decides() {
			v.Move("s", "north", 17, "w1")
		}
	}
	begun := time.Now()
	f.until("all know the holder", func() bool { return holds(vms, "w1") })
	if took := time.Since(begun); took > 2*time.Second {
		t.Errorf("it took %v", took)
	}
}
