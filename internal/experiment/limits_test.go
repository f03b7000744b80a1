// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package experiment

import "testing"

// One VM that hands out a limit must keep it and let most of it be used, however many VMs share it.
func TestOneVMHandsOutALimit(t *testing.T) {
	const leastUsed, factor, slack = 0.7, 1.5, 5
	for _, vms := range limitFleets {
		for _, perS := range []float64{3, 30} {
			m := newLimitModel(vms, perS, limitByPermits)
			m.run()
			if used := float64(len(m.ran)) / limitLength.Seconds() / perS; used < leastUsed {
				t.Errorf("%d VMs use %.2f of a limit of %.0f", vms, used, perS)
			}
			first := 0
			for i, at := range m.ran {
				for at.Sub(m.ran[first]) >= limitWindow {
					first++
				}
				if n := float64(i - first + 1); n > factor*limitWindow.Seconds()*perS+slack {
					t.Fatalf("%d VMs send %.0f requests in %s at a limit of %.0f", vms, n, limitWindow, perS)
				}
			}
		}
	}
}
