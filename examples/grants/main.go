// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Command grants lends slots of a worker to another VM, which redeems one.
package main

import (
	"fmt"
	"log"

	"github.com/ryehill/ryehill/coordination/capacity"
)

func main() {
	pool := capacity.New(capacity.Config{})
	pool.SetWorkers([]capacity.Worker{{ID: "w1", Address: "10.0.0.1:80", Slots: 5}})
	pool.Report("w1", capacity.Report{Start: 1})
	grant := pool.Lend("vm-of-another-hall", 10, capacity.DefaultTerm)
	slot, err := pool.Redeem(grant.ID)
	if err != nil {
		log.Fatal(err)
	}
	defer slot.Release(capacity.ResultAnswered)
	fmt.Println(grant.Slots, slot.Worker().ID)
}
