// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"math"
	"time"

	"github.com/ryehill/ryehill/state/rollout"
	"github.com/ryehill/ryehill/state/worker"
)

const (
	// maxCanaryFraction bounds the fraction of a route's keys in the trial. The fraction
	// doubles every second while the route has no response from the new version.
	maxCanaryFraction = 0.3
	// minCanaryTraffic is the minimum fraction of the responses expected of a route's
	// canary keys; with fewer, the fraction of its keys doubles.
	minCanaryTraffic = 0.4
	// minExpectedResponses is the number of expected responses from which on the
	// responses of a route are compared with them.
	minExpectedResponses = 2 * minResponses
	// wantedResponses is the number of responses after which a good version is usually
	// cleared.
	wantedResponses = 20.0
	// minGrowInterval is the time in the trial before the fraction of the keys on all routes
	// grows, and minCanaryGrowth the factor by which it does at least: each time the new
	// keys' first runs are waited for.
	minGrowInterval = 500 * time.Millisecond
	minCanaryGrowth = 1.5
	// maxCanaryUse is the fraction of the canary workers' slots that the keys in the trial
	// may need at the recent peak.
	maxCanaryUse = 0.5
)

// canaryRoute is the fraction of a route's keys in the trial.
type canaryRoute struct {
	fraction float64
	// since is when the fraction last changed, and old and tried the responses of both
	// versions by then.
	since      time.Time
	old, tried uint32
}

// grow doubles the fraction, up to its bound, if the keys in it have too little traffic, and
// reports whether it did so. firstRun is the latency of a key's first request, before which a new key has
// no response.
func (c *canaryRoute) grow(now, trialSince time.Time, old, tried rollout.Tally, firstRun time.Duration) bool {
	if tried.Ended == 0 {
		grown := worker.CanaryFraction * math.Exp2(now.Sub(trialSince).Seconds()-1)
		c.change(now, min(max(grown, worker.CanaryFraction), maxCanaryFraction), old, tried)
		return false
	}
	elapsed := now.Sub(c.since)
	if elapsed <= firstRun || old.Ended < c.old || tried.Ended < c.tried {
		return false
	}
	responded := float64(elapsed-firstRun) / float64(elapsed)
	expected := worker.CanaryFraction * float64(old.Ended-c.old) * responded
	if expected < minExpectedResponses || float64(tried.Ended-c.tried) >= minCanaryTraffic*expected {
		return false
	}
	return c.change(now, min(2*c.fraction, maxCanaryFraction), old, tried)
}

// change sets the fraction, and reports whether it was different.
func (c *canaryRoute) change(now time.Time, fraction float64, old, tried rollout.Tally) bool {
	if fraction == c.fraction {
		return false
	}
	c.fraction, c.since, c.old, c.tried = fraction, now, old.Ended, tried.Ended
	return true
}

// growMinCanaryFraction raises the fraction of the keys in the trial if the responses expected
// until its end are too few to judge the version. The canary workers must have the capacity.
func (d *Decider) growMinCanaryFraction(in Inputs, drain time.Duration) {
	old, elapsed := oldResponses(in.Report), in.Now.Sub(d.trialSince)
	if d.Phase() != rollout.PhaseTrial || d.analyzer.Cleared(in.Report.Undecided) || old < minLatencySamples || elapsed < minGrowInterval {
		return
	}
	rate := float64(old) / elapsed.Seconds()
	left := max(in.TimeLeft-drain, minTrial/2)
	needed := min(wantedResponses/(rate*left.Seconds()), maxCanaryFraction, maxCanaryUse*float64(in.CanarySlots)/max(d.peak, 1))
	if needed < minCanaryGrowth*d.minCanaryFraction {
		return
	}
	d.minCanaryFraction = needed
	for route := range in.Report.Old {
		d.analyzer.Resettle(route, in.Now)
	}
	d.analyzer.Resettle(allRoutes, in.Now)
}

// growCanaries returns a larger fraction of the keys for each route that has too little of
// its traffic in the trial, since a version may be bad on that route only.
func (d *Decider) growCanaries(in Inputs, latency time.Duration) map[string]float64 {
	if d.Phase() != rollout.PhaseTrial {
		return nil
	}
	var fractions map[string]float64
	responses := in.Report.NewByRoute()
	for route, old := range in.Report.Old {
		if float64(old.Ended) < minResponses/d.minCanaryFraction {
			continue
		}
		c, ok := d.canaries[route]
		if !ok {
			c = &canaryRoute{fraction: worker.CanaryFraction, since: d.trialSince}
			d.canaries[route] = c
		}
		if c.grow(in.Now, d.trialSince, old, responses[route], coldFactor*latency) {
			d.analyzer.Resettle(route, in.Now)
		}
		fraction := max(c.fraction, d.minCanaryFraction)
		if fraction == worker.CanaryFraction {
			continue
		}
		if fractions == nil {
			fractions = make(map[string]float64)
		}
		fractions[route] = fraction
	}
	return fractions
}
