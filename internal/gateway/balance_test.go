// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"testing"
	"time"
)

// Guards against losing the holder table when the VM that decides it stops.
func TestVMsFollowOneTable(t *testing.T) {
	f, vms := startThreeVMs(t)
	f.waitFor("all VMs have a table of the same epoch", func() bool { return commonEpoch(vms) != 0 })
	epoch := commonEpoch(vms)
	var leader *vm
	for _, v := range vms {
		if v.OwnsTable() {
			leader = v
		}
	}
	if leader == nil {
		t.Fatal("no VM owns the table")
	}
	leader.SetHolder("s", "north", 17, "w1")
	f.waitFor("all VMs know the holder", func() bool { return allHaveHolder(vms, "w1") })
	leader.stop()
	var remaining []*vm
	for _, v := range vms {
		if v != leader {
			remaining = append(remaining, v)
		}
	}
	f.waitFor("another VM owns the table", func() bool {
		newEpoch := commonEpoch(remaining)
		return newEpoch != 0 && newEpoch != epoch
	})
	if !allHaveHolder(remaining, "w1") {
		t.Error("the holder was lost when the VM that owned the table stopped")
	}
}

// commonEpoch returns the table epoch shared by all VMs, or 0 if they differ.
func commonEpoch(vms []*vm) uint64 {
	epoch := vms[0].TableEpoch()
	for _, v := range vms {
		if v.TableEpoch() != epoch {
			return 0
		}
	}
	return epoch
}

func allHaveHolder(vms []*vm, worker string) bool {
	for _, v := range vms {
		if v.Holder("s", "north", 17) != worker {
			return false
		}
	}
	return true
}

// Guards against slow propagation of a table change to the other VMs.
func TestTablePropagatesInTime(t *testing.T) {
	f, vms := startThreeVMs(t)
	f.waitFor("all VMs have a table of the same epoch", func() bool { return commonEpoch(vms) != 0 })
	for _, v := range vms {
		if v.OwnsTable() {
			v.SetHolder("s", "north", 17, "w1")
		}
	}
	start := time.Now()
	f.waitFor("all VMs know the holder", func() bool { return allHaveHolder(vms, "w1") })
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("the holder reached all VMs after %v, want 2 s at most", took)
	}
}
