// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package capacity_test

import (
	"fmt"

	"github.com/ryehill/ryehill/coordination/capacity"
)

func ExamplePool_Lend() {
	pool := capacity.New(capacity.Config{})
	pool.SetWorkers([]capacity.Worker{{ID: "w1", Address: "10.0.0.1:80", Slots: 5}})
	pool.Report("w1", capacity.Report{Start: 1})
	grant := pool.Lend("vm-of-another-hall", 10, capacity.DefaultTerm)
	slot, err := pool.Redeem(grant.ID)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer slot.Release(capacity.ResultAnswered)
	fmt.Println(grant.Slots, slot.Worker().ID)
	// Output: 4 w1
}
