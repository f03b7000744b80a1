// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Command table finds the home hall of a client by the longest prefix.
package main

import (
	"fmt"
	"log"
	"net/netip"

	"github.com/ryehill/ryehill/state/steering"
)

func main() {
	table, err := steering.New([]steering.Block{
		{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Hall: "colombo-1"},
		{Prefix: netip.MustParsePrefix("10.7.0.0/16"), Hall: "kandy-1"},
	})
	if err != nil {
		log.Fatal(err)
	}
	hall, ok := table.Home(netip.MustParseAddr("10.7.1.2"))
	fmt.Println(hall, ok)
}
