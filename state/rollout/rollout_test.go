// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package rollout_test

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/ryehill/ryehill/state/rollout"
)

func TestVersionsAreComparedByNumber(t *testing.T) {
	cases := map[string]struct {
		text    string
		version rollout.Version
		bad     bool
	}{
		"with a letter":           {text: "v2", version: 2},
		"above nine":              {text: "v10", version: 10},
		"number only":             {text: "7", version: 7},
		"no number":               {text: "vx", bad: true},
		"empty":                   {text: "", bad: true},
		"zero":                    {text: "v0", bad: true},
		"negative":                {text: "v-1", bad: true},
		"suffix after the number": {text: "v2-rc", bad: true},
		"overflow":                {text: "v99999999999999999999", bad: true},
	}
	for name, c := range cases {
		Convey(name, t, func() {
			version, err := rollout.ParseVersion(c.text)
			So(err != nil, ShouldEqual, c.bad)
			So(version, ShouldEqual, c.version)
		})
	}
}

func TestReportsMerge(t *testing.T) {
	Convey("Reports of two VMs are summed", t, func() {
		a, b := rollout.NewReport(), rollout.NewReport()
		canary := rollout.TallyKey{Route: "r", Worker: "w"}
		a.VMs[rollout.PhaseTrial], b.VMs[rollout.PhaseShift] = 1, 1
		a.New[canary], b.New[canary] = rollout.Tally{Ended: 2, Failed: 1}, rollout.Tally{Ended: 3, Slow: 1}
		a.Old["r"], a.InFlightOld, b.InFlightOld = rollout.Tally{Ended: 7}, 2, 3
		a.Merge(b)
		So(a.New[canary], ShouldResemble, rollout.Tally{Ended: 5, Failed: 1, Slow: 1})
		So(a.NewByRoute()["r"].Ended, ShouldEqual, 5)
		So(a.InFlightOld, ShouldEqual, 5)
		So(a.VMsAtLeast(rollout.PhaseTrial), ShouldEqual, 2)
		So(a.VMsAtLeast(rollout.PhaseShift), ShouldEqual, 1)
		So(a.MaxPhase(), ShouldEqual, rollout.PhaseShift)
	})
	Convey("A lower count is no increase", t, func() {
		So(rollout.Tally{Ended: 3}.Delta(rollout.Tally{Ended: 5, Failed: 2}), ShouldResemble, rollout.Tally{})
		So(rollout.Tally{Ended: 6, Failed: 4}.Delta(rollout.Tally{Ended: 5, Failed: 1}), ShouldResemble, rollout.Tally{Ended: 1, Failed: 1})
	})
}

func TestSketchCountsKeysOnce(t *testing.T) {
	for _, keys := range []int{0, 1, 50, 500, 2000} {
		Convey(fmt.Sprintf("%d keys at two VMs are estimated within 10 %%", keys), t, func() {
			var a, b rollout.Sketch
			for i := range keys {
				hash := xxhash.Sum64String(fmt.Sprint(i))
				a.Add(hash)
				if i%2 == 0 {
					b.Add(hash)
				}
			}
			a.Merge(rollout.ParseSketch(b.Bytes()))
			So(a.Count(), ShouldAlmostEqual, float64(keys), 1+0.1*float64(keys))
		})
	}
	Convey("Bytes of the wrong length give an empty sketch", t, func() {
		So(rollout.ParseSketch([]byte{1, 2}).Count(), ShouldEqual, 0)
	})
}
