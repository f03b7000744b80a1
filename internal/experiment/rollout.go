// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package experiment

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/ryehill/ryehill/coordination/rollout/rolloutmodel"
	"github.com/ryehill/ryehill/state/rollout"
)

// rolloutSeeds is the number of plays of each case.
const rolloutSeeds = 5

var (
	rolloutFleets = []int{26, 88, 295, 985}
	rolloutWays   = []rolloutmodel.Way{rolloutmodel.WaySteps, rolloutmodel.WayEvidence, rolloutmodel.WayLate}
	rolloutCases  = []struct {
		name  string
		fault *rolloutmodel.Fault
	}{
		{name: "good"},
		{name: "fails at once", fault: &rolloutmodel.Fault{Fraction: 0.3}},
		{name: "fails later", fault: &rolloutmodel.Fault{Fraction: 0.3, Start: 7 * time.Second}},
		{name: "fails under load", fault: &rolloutmodel.Fault{Fraction: 0.3, UnderLoad: true}},
		{name: "slow at once", fault: &rolloutmodel.Fault{Fraction: 0.5, Slowdown: 4}},
		{name: "slow later", fault: &rolloutmodel.Fault{Fraction: 0.5, Slowdown: 5, Start: 6 * time.Second}},
	}
)

// rollouts compares the ways of bringing in a version on the same seeds.
func rollouts(ctx context.Context, out *tabwriter.Writer) error {
	_, _ = fmt.Fprintln(out, "VMs\tversion\tway\tended rightly\tafter\tat old workers\tsent to it\tabove its share\tfailed")
	for _, vms := range rolloutFleets {
		for _, c := range rolloutCases {
			for _, way := range rolloutWays {
				if err := ctx.Err(); err != nil {
					return err
				}
				playRollouts(out, vms, c.name, c.fault, way)
			}
		}
	}
	return nil
}

// playRollouts plays one case with all seeds, and prints the means and the greatest excess.
func playRollouts(out *tabwriter.Writer, vms int, name string, fault *rolloutmodel.Fault, way rolloutmodel.Way) {
	want := rollout.PhaseCompleted
	if fault != nil {
		want = rollout.PhaseRolledBack
	}
	var right, atOld, sent, failed int
	var took time.Duration
	excess := 0.0
	for seed := range uint64(rolloutSeeds) {
		m := rolloutmodel.New(seed, vms)
		m.Fault, m.Way = fault, way
		m.Run()
		if m.Phase == want {
			right++
		}
		if m.Phase == rollout.PhaseCompleted {
			atOld += m.InFlightAtEnd
		}
		took, sent, failed, excess = took+m.Ended, sent+m.SentToNew, failed+m.FailedAtNew, max(excess, m.Excess())
	}
	_, _ = fmt.Fprintf(out, "%d\t%s\t%s\t%d of %d\t%.1f s\t%d\t%d\t%.0f\t%d\n", vms, name, way, right, rolloutSeeds,
		took.Seconds()/rolloutSeeds, atOld, sent/rolloutSeeds, excess, failed/rolloutSeeds)
}
