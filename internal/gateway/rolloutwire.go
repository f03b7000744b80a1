// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	rolling "github.com/ryehill/ryehill/coordination/rollout"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/rollout"
)

// maxTallies bounds the number of tallies, and of routes, read from one message.
const maxTallies = 8192

const million = 1_000_000

func (g *Gateway) toStep(o *order, now time.Time) *peerpb.RolloutStep {
	step := o.splitter.Step()
	_, deadline := g.rollouts.storedAndDeadline(o)
	message := &peerpb.RolloutStep{
		Service: o.service, Version: uint64(o.version), Phase: uint32(step.Phase), WarmUp: step.WarmUp, Closed: step.Closed,
		LeftMillis: deadline.Sub(now).Milliseconds(), Reason: step.Reason, SlowAfterMillis: make(map[string]uint32, len(step.SlowAfter)),
		PartsPpm: make(map[string]uint32, len(step.CanaryFractions)),
	}
	for route, after := range step.SlowAfter {
		message.SlowAfterMillis[route] = uint32(after.Milliseconds())
	}
	for route, fraction := range step.CanaryFractions {
		message.PartsPpm[route] = uint32(fraction * million)
	}
	return message
}

func fromStep(message *peerpb.RolloutStep) (rolling.Step, error) {
	step := rolling.Step{
		Phase: rollout.Phase(message.GetPhase()), WarmUp: message.GetWarmUp(), Closed: message.GetClosed(), Reason: message.GetReason(),
		SlowAfter:       make(map[string]time.Duration, len(message.GetSlowAfterMillis())),
		CanaryFractions: make(map[string]float64, len(message.GetPartsPpm())),
	}
	if message.GetPhase() > uint32(rollout.PhaseCompleted) || len(message.GetSlowAfterMillis())+len(message.GetPartsPpm()) > maxTallies {
		return step, errors.Newf("invalid step: phase %d, %d latency bounds, %d canary fractions", message.GetPhase(), len(message.GetSlowAfterMillis()), len(message.GetPartsPpm()))
	}
	for route, ppm := range message.GetPartsPpm() {
		step.CanaryFractions[route] = float64(min(ppm, million)) / million
	}
	for route, millis := range message.GetSlowAfterMillis() {
		step.SlowAfter[route] = time.Duration(millis) * time.Millisecond
	}
	return step, nil
}

func toReport(o *order, r *rollout.Report) *peerpb.RolloutReport {
	message := &peerpb.RolloutReport{
		Service: o.service, Version: uint64(o.version), UnderWayOld: uint32(max(r.InFlightOld, 0)),
		UnderWayNew: uint32(max(r.InFlightNew, 0)), Undecided: uint32(max(r.Undecided, 0)), Requests: uint64(max(r.Requests, 0)), Keys: r.Keys.Bytes(),
	}
	for _, vms := range r.VMs {
		message.Vms = append(message.Vms, uint32(vms))
	}
	for route, t := range r.Old {
		message.Old = append(message.Old, toTally(rollout.TallyKey{Route: route}, t))
	}
	for key, t := range r.New {
		message.New = append(message.New, toTally(key, t))
	}
	return message
}

func toTally(key rollout.TallyKey, t rollout.Tally) *peerpb.RolloutTally {
	return &peerpb.RolloutTally{
		Route: key.Route, Worker: key.Worker, Ended: t.Ended, Failed: t.Failed, Slow: t.Slow, VerySlow: t.VerySlow,
		LogMillis: t.LogMillis, Millis: t.Millis, MillisSquared: t.MillisSquared,
	}
}

func fromReport(message *peerpb.RolloutReport) rollout.Report {
	r := rollout.NewReport()
	r.InFlightOld, r.InFlightNew = int(message.GetUnderWayOld()), int(message.GetUnderWayNew())
	r.Undecided, r.Requests = int(message.GetUndecided()), int(min(message.GetRequests(), math.MaxInt32))
	r.Keys = rollout.ParseSketch(message.GetKeys())
	for phase, vms := range message.GetVms()[:min(len(message.GetVms()), len(r.VMs))] {
		r.VMs[phase] = int(vms)
	}
	for _, t := range message.GetOld()[:min(len(message.GetOld()), maxTallies)] {
		r.Old[t.GetRoute()] = fromTally(t)
	}
	for _, t := range message.GetNew()[:min(len(message.GetNew()), maxTallies)] {
		r.New[rollout.TallyKey{Route: t.GetRoute(), Worker: t.GetWorker()}] = fromTally(t)
	}
	return r
}

func fromTally(t *peerpb.RolloutTally) rollout.Tally {
	return rollout.Tally{
		Ended: t.GetEnded(), Failed: t.GetFailed(), Slow: t.GetSlow(), VerySlow: t.GetVerySlow(),
		LogMillis: t.GetLogMillis(), Millis: t.GetMillis(), MillisSquared: t.GetMillisSquared(),
	}
}
