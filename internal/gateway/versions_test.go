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
	workers := func(perVersion map[rollout.Version]int) (list []*worker.Worker) {
		for version, n := range perVersion {
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
		// stable and candidates are the numbers of workers of each track in use.
		stable, candidates int
	}{
		"one version":                    {workers: map[rollout.Version]int{1: 5}, stable: 5},
		"a new version without an order": {workers: map[rollout.Version]int{1: 5, 2: 5}, stable: 5},
		"one entry of a lower version":   {workers: map[rollout.Version]int{2: 5, 1: 1}, stable: 5},
		"a new version with an order":    {workers: map[rollout.Version]int{1: 5, 2: 6}, order: 2, stable: 5, candidates: 6},
		"a third version":                {workers: map[rollout.Version]int{1: 5, 2: 6, 3: 9}, order: 2, stable: 9, candidates: 6},
		"a rolled back version":          {workers: map[rollout.Version]int{1: 5, 2: 6}, order: 2, phase: rollout.PhaseRolledBack, stable: 5},
		"a completed version":            {workers: map[rollout.Version]int{1: 5, 2: 6}, order: 2, phase: rollout.PhaseCompleted, stable: 6},
		"no old version is left":         {workers: map[rollout.Version]int{2: 6}, order: 2, phase: rollout.PhaseTrial, candidates: 6},
	}
	for name, c := range cases {
		Convey(name, t, func() {
			stable, candidates := gateway.CountVersionsInUse(workers(c.workers), "s", c.order, c.phase)
			So(stable, ShouldEqual, c.stable)
			So(candidates, ShouldEqual, c.candidates)
		})
	}
	Convey("The stable version stays stable when another one has more workers", t, func() {
		v := gateway.NewVersions()
		So(v.StableCount(workers(map[rollout.Version]int{1: 5})), ShouldEqual, 5)
		So(v.StableCount(workers(map[rollout.Version]int{1: 2, 2: 9})), ShouldEqual, 2)
		So(v.StableCount(workers(map[rollout.Version]int{2: 9})), ShouldEqual, 9)
	})
}
