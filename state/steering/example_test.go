// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package steering_test

import (
	"fmt"
	"net/netip"

	"github.com/ryehill/ryehill/state/steering"
)

func ExampleNew() {
	table, err := steering.New([]steering.Block{
		{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Hall: "colombo-1"},
		{Prefix: netip.MustParsePrefix("10.7.0.0/16"), Hall: "kandy-1"},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	hall, ok := table.Home(netip.MustParseAddr("10.7.1.2"))
	fmt.Println(hall, ok)
	// Output: kandy-1 true
}
