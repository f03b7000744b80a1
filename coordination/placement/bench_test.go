// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package placement_test

import "testing"

// BenchmarkPlace measures a placement among the workers of a large service.
func BenchmarkPlace(b *testing.B) {
	f := newFixture(map[string]int{"north": 349, "south": 349, "east": 349}, nil)
	for key := uint64(0); b.Loop(); key++ {
		choice, _ := f.placer.Place(f.snapshot, request(key%256))
		choice.Load().End()
	}
}
