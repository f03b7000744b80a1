// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package rollout_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	rolling "github.com/ryehill/ryehill/coordination/rollout"
	"github.com/ryehill/ryehill/state/rollout"
)

// Guards against slow canary workers being hidden by responses of workers that are not
// checked for slowness.
func TestWarmUpDoesNotHideSlowness(t *testing.T) {
	const interval, maxRounds, oldPerRound = 100 * time.Millisecond, 40, 40
	findSlowness := func(warmUpPerRound uint32) (rounds int) {
		var analyzer rolling.Analyzer
		now, r := time.Unix(1000, 0), rollout.NewReport()
		canary, warmUp := rollout.TallyKey{Route: "r", Worker: "w"}, rollout.TallyKey{Route: "r"}
		for rounds = range maxRounds {
			old, slow, unchecked := r.Old["r"], r.New[canary], r.New[warmUp]
			old.Add(rollout.Tally{Ended: oldPerRound})
			slow.Add(rollout.Tally{Ended: 1, Slow: uint32(rounds % 2)})
			unchecked.Add(rollout.Tally{Ended: warmUpPerRound})
			r.Old["r"], r.New[canary], r.New[warmUp] = old, slow, unchecked
			if finding, bad := analyzer.Add(now.Add(time.Duration(rounds)*interval), &r); bad {
				So(finding.Slow, ShouldBeTrue)
				return rounds
			}
		}
		return rounds
	}
	Convey("Half of the canary responses are slow", t, func() {
		alone := findSlowness(0)
		So(alone, ShouldBeLessThan, maxRounds-1)
		Convey("Warm-up responses do not delay the finding", func() {
			So(findSlowness(3), ShouldEqual, alone)
		})
	})
}
