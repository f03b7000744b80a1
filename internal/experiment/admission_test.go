// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package experiment

import (
	"fmt"
	"testing"
)

// In an overload, callers of higher rank must get more than without ranks, all callers
// together not less, and no rank nothing.
func TestReservedRoomGoesByRank(t *testing.T) {
	for _, vms := range admitFleets {
		for _, load := range []float64{1.2, 2} {
			t.Run(fmt.Sprintf("%d VMs, load %.1f", vms, load), func(t *testing.T) {
				before, after := newAdmitModel(vms, load, admitToday), newAdmitModel(vms, load, admitBoth)
				before.run()
				after.run()
				was, _, _ := before.total().share()
				if is, _, _ := after.total().share(); is < was {
					t.Errorf("%.3f of all answered in time, %.3f without ranks", is, was)
				}
				highest, _, _ := after.outcomes[0].share()
				if was, _, _ := before.outcomes[0].share(); highest <= was {
					t.Errorf("%.3f of rank 0 answered in time, %.3f without ranks", highest, was)
				}
				lowest, _, _ := after.outcomes[admitRanks-1].share()
				if lowest >= highest || lowest == 0 {
					t.Errorf("%.3f of the lowest rank answered in time, %.3f of rank 0", lowest, highest)
				}
			})
		}
	}
}
