// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"math"
	"time"

	"github.com/ryehill/ryehill/state/rollout"
)

// drainTime returns how long before the deadline the shift must begin, so that requests in
// flight at old workers can finish in time, given the typical latency and the time that those in
// flight at one moment take.
func (d *Decider) drainTime(typical, inFlight time.Duration) time.Duration {
	drain := max(min(drainFactor*typical, maxDrain), inFlight)
	limit := time.Duration(maxDrainFraction * float64(d.cfg.Order.Duration))
	return min(minShift+drain+completionAllowance, max(limit, minShift+minDrain+completionAllowance))
}

// coldOverlap returns the average number of requests of a canary key that arrive during
// the key's first run.
func coldOverlap(r rollout.Report, elapsed, latency time.Duration) float64 {
	keys := max(r.Keys.Count(), 1)
	each := float64(total(r.NewByRoute()).Ended) / keys
	return each * coldFactor * latency.Seconds() / max(elapsed.Seconds(), 1)
}

// maxTypicalLatency returns the typical latency of the slowest route.
func maxTypicalLatency(old map[string]rollout.Tally) time.Duration {
	slowest := time.Duration(0)
	for _, t := range old {
		if latency, ok := typicalLatency(t); ok {
			slowest = max(slowest, latency)
		}
	}
	return slowest
}

// typicalLatency returns the geometric mean of the latencies in a tally, if it has
// minLatencySamples.
func typicalLatency(t rollout.Tally) (time.Duration, bool) {
	if t.Ended < minLatencySamples {
		return 0, false
	}
	millis := math.Exp(t.LogMillis / float64(t.Ended))
	return time.Duration(millis * float64(time.Millisecond)), true
}

// inFlightDrain returns the time that requests in flight at one moment need, of which slow ones
// are a larger part than of those that end: from minDrain to maxDrain.
func inFlightDrain(old map[string]rollout.Tally) time.Duration {
	all := total(old)
	if all.Ended < minLatencySamples || all.Millis <= 0 {
		return minDrain
	}
	millis := inFlightDrainFactor * all.MillisSquared / all.Millis
	return min(max(time.Duration(millis*float64(time.Millisecond)), minDrain), maxDrain)
}

func slowThresholds(old map[string]rollout.Tally) map[string]time.Duration {
	slow := make(map[string]time.Duration, len(old))
	for route, t := range old {
		if latency, ok := typicalLatency(t); ok {
			slow[route] = time.Duration(slowFactor * float64(latency))
		}
	}
	return slow
}
