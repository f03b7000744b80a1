// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/state/rollout"
	"github.com/ryehill/ryehill/state/worker"
)

func TestVersionsInUse(t *testing.T) {
	workers := func(counts map[rollout.Version]int) (list []*worker.Worker) {
		for version, n := range counts {
			for i := range n {
				list = append(list, &worker.Worker{ID: fmt.Sprintf("w%d-%d", version, i), Service: "s", Slots: 4, Version: version})
			}
		}
		return list
	}
	cases := map[string]struct {
		workers map[rollout.Version]int
		order   rollout.Version
		phase   rollout.Phase
		// stable and brought are how many workers of each track are used.
		stable, brought int
	}{
		"one version":                       {workers: map[rollout.Version]int{1: 5}, stable: 5},
		"a new one that nobody has ordered": {workers: map[rollout.Version]int{1: 5, 2: 5}, stable: 5},
		"an entry of another writer":        {workers: map[rollout.Version]int{2: 5, 1: 1}, stable: 5},
		"a new one that was ordered":        {workers: map[rollout.Version]int{1: 5, 2: 6}, order: 2, stable: 5, brought: 6},
		"a third one":                       {workers: map[rollout.Version]int{1: 5, 2: 6, 3: 9}, order: 2, stable: 9, brought: 6},
		"one that was rolled back":          {workers: map[rollout.Version]int{1: 5, 2: 6}, order: 2, phase: rollout.PhaseRolledBack, stable: 5},
		"one that was completed":            {workers: map[rollout.Version]int{1: 5, 2: 6}, order: 2, phase: rollout.PhaseCompleted, stable: 6},
		"no old one is left":                {workers: map[rollout.Version]int{2: 6}, order: 2, phase: rollout.PhaseTrial, brought: 6},
	}
	for name, c := range cases {
		Convey(name, t, func() {
			stable, brought := gateway.Divided(workers(c.workers), "s", c.order, c.phase)
			So(stable, ShouldEqual, c.stable)
			So(brought, ShouldEqual, c.brought)
		})
	}
	Convey("The version that was in use stays so when more of another are there", t, func() {
		v := gateway.NewVersions()
		So(v.Stable(workers(map[rollout.Version]int{1: 5})), ShouldEqual, 5)
		So(v.Stable(workers(map[rollout.Version]int{1: 2, 2: 9})), ShouldEqual, 2)
		So(v.Stable(workers(map[rollout.Version]int{2: 9})), ShouldEqual, 9)
	})
}
