// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package experiment

import "testing"

// Callers lose no more by it that rests are kept than if none were heard, and at most one
// in a hundred where there is room for all. While the keys of a worker that rests went
// wherever a key may go, 40 in 100 were lost in an overload, 21 if none were heard.
func TestRestsKeptDoNoHarm(t *testing.T) {
	const vms, seeds, slack, mostWithRoom = 12, 2, 0.01, 0.01
	for _, load := range restLoads {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			lost := func(way restWay) float64 {
				asked, n := 0, 0
				for seed := range uint64(seeds) {
					m := newRestModel(vms, load, way, seed)
					m.run()
					asked, n = asked+m.asked, n+m.lost
					if way == wayAlone && m.broken > 0 {
						t.Errorf("%d of %d rests were broken", m.broken, m.rests)
					}
				}
				return float64(n) / float64(asked)
			}
			kept, deaf := lost(wayAlone), lost(wayDeaf)
			t.Logf("lost: %.4f, %.4f if no rest were heard", kept, deaf)
			if kept > deaf+slack {
				t.Errorf("%.4f of the requests are lost, %.4f if no rest were heard", kept, deaf)
			}
			if load.factor <= 1 && kept > mostWithRoom {
				t.Errorf("%.4f of the requests are lost though there is room", kept)
			}
		})
	}
}
