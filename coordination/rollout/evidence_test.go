// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package rollout_test

import (
	"testing"
	"time"

	rolling "github.com/ryehill/ryehill/coordination/rollout"
	"github.com/ryehill/ryehill/state/rollout"
)

// Guards against completing a version that few responses tell of, after VMs have lost what
// they had counted.
func TestVersionIsNotProvedWithoutResponses(t *testing.T) {
	const duration, late = 10 * time.Second, 20 * time.Second
	cases := map[string]struct {
		old, judged uint32
		want        rollout.Phase
	}{
		"few of the new version":  {200, 5, rollout.PhaseShift},
		"none of the new version": {200, 0, rollout.PhaseShift},
		"enough":                  {200, 20, rollout.PhaseProved},
		"a service at rest":       {0, 0, rollout.PhaseProved},
		"hardly any requests":     {8, 2, rollout.PhaseProved},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := rolling.NewDecider(rolling.DeciderConfig{Order: rollout.Order{Service: "s", Version: 2, Duration: duration}})
			r := rollout.NewReport()
			r.VMs[rollout.PhaseShift] = 1
			r.Old["r"] = rollout.Tally{Ended: c.old}
			r.New[rollout.TallyKey{Route: "r"}] = rollout.Tally{Ended: c.judged}
			var got rollout.Phase
			for at := time.Duration(0); at < late; at += 100 * time.Millisecond {
				got = d.Decide(rolling.Inputs{Now: time.Unix(1000, 0).Add(at), TimeLeft: duration - at, Report: r, VMs: 1, Slots: 90}).Phase
			}
			if got != c.want {
				t.Errorf("%s after %s, want %s", got, late, c.want)
			}
		})
	}
}

// Guards against proving a version that nobody has judged, since most VMs reached no worker
// until its time was up.
func TestVersionIsNotProvedWhileVMsReachNoWorker(t *testing.T) {
	const duration, step = 10 * time.Second, 100 * time.Millisecond
	cases := map[string]struct {
		isolated int
		until    time.Duration
		at       time.Duration
		want     rollout.Phase
	}{
		"all, as the time is up":       {9, 20 * time.Second, 11 * time.Second, rollout.PhaseTrial},
		"most, as the time is up":      {5, 20 * time.Second, 11 * time.Second, rollout.PhaseTrial},
		"a few":                        {4, 20 * time.Second, 11 * time.Second, rollout.PhaseProved},
		"all, just after they recover": {9, 11 * time.Second, 12 * time.Second, rollout.PhaseTrial},
		"all, a while after":           {9, 11 * time.Second, 20 * time.Second, rollout.PhaseProved},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := rolling.NewDecider(rolling.DeciderConfig{Order: rollout.Order{Service: "s", Version: 2, Duration: duration}})
			r := rollout.NewReport()
			r.VMs[rollout.PhaseTrial] = 9
			var got rollout.Phase
			for at := time.Duration(0); at < c.at; at += step {
				in := rolling.Inputs{Now: time.Unix(1000, 0).Add(at), TimeLeft: duration - at, Report: r, VMs: 9, Slots: 90}
				if at < c.until {
					in.Isolated = c.isolated
				}
				got = d.Decide(in).Phase
			}
			if got != c.want {
				t.Errorf("%s after %s, want %s", got, c.at, c.want)
			}
		})
	}
}
