// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package rolloutmodel

import (
	"maps"
	"math"
	"slices"
	"time"

	rolling "github.com/ryehill/ryehill/coordination/rollout"
	"github.com/ryehill/ryehill/state/rollout"
	"github.com/ryehill/ryehill/state/worker"
)

// Way is how a new version gets its requests.
type Way int

// The ways. All judge the version by the same tests.
const (
	// WayLate is the way of coordination/rollout: a small trial, then everything late.
	WayLate Way = iota
	// WaySteps grows in steps, each watched for a fixed time.
	WaySteps
	// WayEvidence doubles with each batch of responses without a finding.
	WayEvidence
)

// String returns the name for tables.
func (w Way) String() string {
	return [...]string{"late, all at once", "steps, fixed watch", "with evidence"}[w]
}

const (
	// stepCount is the number of steps of WaySteps, each stepFactor times the last.
	stepCount  = 4
	stepFactor = 3.25
	// drainTime is left for requests at old workers.
	drainTime = 2 * time.Second
	// responsesPerStep is the number of responses after which WayEvidence doubles.
	responsesPerStep = 60
	// settleTime is the time for which the growing ways take slow responses for first runs
	// of keys, and firstRunRequests the number of requests of a key during its first run.
	settleTime       = 2 * time.Second
	firstRunRequests = 4
)

// decider decides on the order and which version serves a request.
type decider interface {
	decide(rolling.Inputs) rolling.Step
	chooseTrack(vm *rolling.Splitter, route string, key uint64) worker.Track
	// loaded reports whether the new version has much of the load.
	loaded() bool
}

func (w Way) newDecider() decider {
	judge := rolling.NewDecider(rolling.DeciderConfig{Order: rollout.Order{Service: "s", Version: 2, Duration: Duration}})
	if w == WayLate {
		return lateDecider{judge}
	}
	return &growingDecider{way: w, limits: judge, fraction: worker.CanaryFraction}
}

// lateDecider is the decider of coordination/rollout.
type lateDecider struct{ *rolling.Decider }

func (d lateDecider) decide(in rolling.Inputs) rolling.Step { return d.Decide(in) }

func (lateDecider) chooseTrack(vm *rolling.Splitter, route string, key uint64) worker.Track {
	return vm.ChooseTrack(route, key, false)
}

func (d lateDecider) loaded() bool { return d.Phase() >= rollout.PhaseShift }

// growingDecider grows the fraction of keys until the new version serves all of them.
type growingDecider struct {
	way Way
	// limits gives the latencies from which on a request is slow.
	limits   *rolling.Decider
	analyzer rolling.Analyzer
	fraction float64
	since    time.Time
	counted  int
	phase    rollout.Phase
	routes   map[string]rollout.Tally
}

func (d *growingDecider) decide(in rolling.Inputs) rolling.Step {
	if d.since.IsZero() {
		d.since = in.Now
	}
	left := in.TimeLeft
	in.TimeLeft = math.MaxInt64
	step := rolling.Step{Phase: rollout.PhaseTrial, SlowAfter: d.limits.Decide(in).SlowAfter}
	d.analyzer.SetTiming(rolling.Timing{Settle: settleTime, Overlap: firstRunRequests})
	if finding, bad := d.analyzer.Add(in.Now, &in.Report); bad {
		d.phase = rollout.PhaseRolledBack
		step.Phase, step.Reason = d.phase, finding.String()
		return step
	}
	responses := 0
	d.routes = in.Report.NewByRoute()
	for _, t := range d.routes {
		responses += int(t.Ended)
	}
	watch := (Duration - drainTime) / stepCount
	switch {
	case d.way == WaySteps && in.Now.Sub(d.since) >= watch:
		d.grow(in.Now, responses, stepFactor)
	case d.way == WayEvidence && responses-d.counted >= responsesPerStep:
		d.grow(in.Now, responses, 2)
	}
	if d.phase == rollout.PhaseProved && (in.Report.InFlightOld == 0 || left < -Duration/2) {
		step.Phase, step.Reason = rollout.PhaseCompleted, "all requests are at the new version"
	}
	return step
}

// grow starts the next step, after the last of which the version is proved.
func (d *growingDecider) grow(now time.Time, responses int, factor float64) {
	if d.fraction >= 1 {
		d.phase = rollout.PhaseProved
	}
	for _, route := range append(slices.Collect(maps.Keys(d.routes)), "") {
		d.analyzer.Resettle(route, now)
	}
	d.fraction, d.since, d.counted = min(factor*d.fraction, 1), now, responses
}

func (d *growingDecider) chooseTrack(_ *rolling.Splitter, _ string, key uint64) worker.Track {
	const mix = 0x9e3779b97f4a7c15
	if d.phase != rollout.PhaseRolledBack && float64(key*mix)/math.MaxUint64 < d.fraction {
		return worker.TrackCanary
	}
	return worker.TrackStable
}

func (d *growingDecider) loaded() bool {
	const much = 0.25
	return d.fraction >= much
}
