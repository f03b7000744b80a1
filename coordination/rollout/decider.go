// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package rollout rolls out a new version of a service, compares it with the old one, and
// completes the rollout or rolls it back.
//
// One VM runs the Decider, which advances the order from the reports of all VMs. Each VM
// routes its own requests with a Splitter. Until the version is proved, the Splitter
// sends it at most a fraction of that VM's requests, so the limit also holds for all
// VMs together, even when messages are lost. A VM applies a step of the decider only
// for a short time unless the step is renewed.
//
// An order has four stages. In the trial, a few canary workers of the new version serve a
// small, fixed fraction of the keys, each canary about as many requests as an old worker.
// In the shift, before the time is up, all workers of the new version serve all requests,
// for as long as the share left over from the trial lasts. A version that is still
// good is then proved, and old workers get no more requests. Once no VM has a request in
// flight at old workers, the order is completed. Every stage can be rolled back until
// the order is completed.
//
// The package does no I/O.
//
// # Usage
//
//	d := rollout.NewDecider(rollout.DeciderConfig{Order: order})
//	step := d.Decide(rollout.Inputs{TimeLeft: left, Report: report, VMs: 12, Slots: 60})
//	if step.Phase == state.PhaseCompleted { /* store it */ }
package rollout

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/looplab/fsm"

	"github.com/ryehill/ryehill/state/rollout"
	"github.com/ryehill/ryehill/state/worker"
)

const (
	// minTrial is the minimum time in the trial before the shift.
	minTrial = 3 * time.Second
	// minShift is the minimum time in the shift before a version is proved, and
	// minShiftResponses the number of responses needed by then; a service with little
	// traffic is proved after maxShift without them. Slow requests may not have finished
	// by then, but failures have.
	minShift          = time.Second
	maxShift          = 2 * time.Second
	minShiftResponses = 100
	// minProofResponses is the number of responses without which a version is not proved,
	// however late that is, unless the service has had fewer requests. VMs that start again
	// have lost what they had counted.
	minProofResponses = 20
	// drainFactor is the expected time to drain as a multiple of the old version's typical
	// latency, and inFlightDrainFactor as one of the latency of its requests in flight. The
	// longer time counts, bounded by minDrain and maxDrain. completionAllowance is the time
	// to learn that all VMs are drained and to store the result.
	drainFactor         = 5
	inFlightDrainFactor = 1.2
	minDrain            = 600 * time.Millisecond
	maxDrain            = 4 * time.Second
	completionAllowance = 900 * time.Millisecond
	// closingRounds is the number of rounds from the proof to the completion: the VMs learn
	// of the proof, then that old workers are closed, and confirm that. maxClosingTime bounds
	// the time that is kept for them.
	closingRounds  = 4
	maxClosingTime = time.Second
	// maxDrainFraction is the maximum fraction of the order's duration used to drain.
	maxDrainFraction = 1.0 / 3
	// warmUpLead is how long before the shift a few requests of all keys are sent to
	// the new workers that will serve these keys.
	warmUpLead = 4 * time.Second
	// maxSlotUse is the maximum fraction of the new workers' slots that the recent peak
	// of requests in flight may need before the shift. New workers may be fewer than the
	// old ones, and their first run of each key is slow.
	maxSlotUse = 0.9
	// minSlotRatio is the minimum ratio of new to old slots for the shift: fewer workers
	// also keep fewer keys warm.
	minSlotRatio = 0.75
	// peakDecay is the time constant with which the peak of requests in flight decays.
	peakDecay = 20 * time.Second
	// maxOldInFlight is the fraction of requests in flight at old workers below which
	// these get no more requests. Until then they serve what exceeds the new workers'
	// capacity.
	maxOldInFlight = 0.05
	// settleFactor is the time until all popular keys have run once, as a multiple of
	// the old version's typical latency, and minSettle its lower bound.
	settleFactor = 10
	minSettle    = time.Second
	// coldFactor is the latency of a key's first request at a worker, as a multiple of
	// the typical latency.
	coldFactor = 4
	// slowFactor is the multiple of the old version's typical latency from which on a
	// request counts as slow.
	slowFactor = 2.0
	// minLatencySamples is the number of requests needed to estimate the typical latency.
	minLatencySamples = 10
)

// Events of the order's state machine.
const (
	eventStartTrial = "try"
	eventShift      = "shift"
	eventProve      = "prove"
	eventComplete   = "complete"
	eventRollBack   = "roll back"
)

// DeciderConfig configures a Decider.
type DeciderConfig struct {
	Order rollout.Order
}

// Inputs are the inputs of a decision.
type Inputs struct {
	Now time.Time
	// TimeLeft is the time until the order's deadline, negative after it.
	TimeLeft time.Duration
	// Report is the merged report of the VMs, and VMs the number of live VMs.
	Report rollout.Report
	VMs    int
	// Isolated is the number of live VMs that reach no worker.
	Isolated int
	// RoundTime is how long it took to collect the reports.
	RoundTime time.Duration
	// Slots are the usable slots of the new version's workers, OldSlots those of the
	// old version's, and CanarySlots those of the canary workers.
	Slots, OldSlots, CanarySlots int
}

// Step is a decision for all VMs.
type Step struct {
	Phase rollout.Phase
	// WarmUp is set if a few requests of all keys go to their new workers.
	WarmUp bool
	// SlowAfter is the latency by route above which a request counts as slow.
	SlowAfter map[string]time.Duration
	// CanaryFractions are the fractions of the keys in the trial, for routes on which
	// the default canary fraction covers no key with traffic.
	CanaryFractions map[string]float64
	// Closed is set if old workers get no requests even when the new ones are full.
	Closed bool
	// Reason explains the current phase and what the order waits for.
	Reason string
}

// String describes the step in decision records.
func (s Step) String() string {
	if s.Closed {
		return "phase " + s.Phase.String() + ", old workers closed"
	}
	return "phase " + s.Phase.String()
}

// Decider advances one order. Its state can be rebuilt by another VM from the reports. It
// is not safe for concurrent use.
type Decider struct {
	cfg      DeciderConfig
	machine  *fsm.FSM
	analyzer Analyzer
	// phaseSince is when the phase began, trialSince when the trial began.
	phaseSince, trialSince time.Time
	reason                 string
	// trialResponses is shiftedResponses up to a typical latency after the start of the
	// shift, by when most requests of the trial have ended.
	trialResponses int
	// peak is the decaying maximum of the requests in flight.
	peak   float64
	peakAt time.Time
	// closed is set once old workers get no more requests, and stays set.
	closed bool
	// begunAt is when this VM began to decide, and busiest the greatest number of requests in
	// the reports since. VMs that start again lose their counts.
	begunAt time.Time
	busiest int
	// canaries holds the keys in the trial by route.
	canaries map[string]*canaryRoute
	// minCanaryFraction is the minimum fraction of the keys in the trial on all routes.
	minCanaryFraction float64
}

// NewDecider returns a decider for an order that has not been started.
func NewDecider(cfg DeciderConfig) *Decider {
	ordered, trial, shift := rollout.PhaseOrdered.String(), rollout.PhaseTrial.String(), rollout.PhaseShift.String()
	proved, completed, rolledBack := rollout.PhaseProved.String(), rollout.PhaseCompleted.String(), rollout.PhaseRolledBack.String()
	return &Decider{cfg: cfg, canaries: make(map[string]*canaryRoute), minCanaryFraction: worker.CanaryFraction, reason: "waits for workers of the new version", machine: fsm.NewFSM(ordered, fsm.Events{
		{Name: eventStartTrial, Src: []string{ordered}, Dst: trial},
		{Name: eventShift, Src: []string{ordered, trial}, Dst: shift},
		{Name: eventProve, Src: []string{ordered, trial, shift}, Dst: proved},
		{Name: eventComplete, Src: []string{proved}, Dst: completed},
		{Name: eventRollBack, Src: []string{ordered, trial, shift, proved}, Dst: rolledBack},
	}, nil)}
}

// Phase returns the current phase.
func (d *Decider) Phase() rollout.Phase {
	for p := rollout.PhaseOrdered; p.Valid(); p++ {
		if d.machine.Is(p.String()) {
			return p
		}
	}
	return rollout.PhaseOrdered
}

// Decide evaluates the reports and advances the order.
func (d *Decider) Decide(in Inputs) Step {
	d.adoptPhase(in)
	d.updateBusiest(in)
	latency := maxTypicalLatency(in.Report.Old)
	d.analyzer.SetTiming(Timing{
		Settle:  max(settleFactor*latency, minSettle),
		Overlap: coldOverlap(in.Report, in.Now.Sub(d.trialSince), latency),
	})
	finding, bad := d.analyzer.Add(in.Now, &in.Report)
	if bad && d.Phase() < rollout.PhaseProved {
		d.fire(eventRollBack, in.Now, finding.String())
	}
	inFlight := inFlightDrain(in.Report.Old)
	drain := d.drainTime(latency, inFlight) + min(closingRounds*in.RoundTime, maxClosingTime)
	d.updatePeak(in)
	d.growMinCanaryFraction(in, drain)
	if d.Phase() < rollout.PhaseShift || in.Now.Sub(d.phaseSince) < latency {
		d.trialResponses = shiftedResponses(in.Report)
	}
	if 2*in.Isolated > in.VMs && (d.Phase() == rollout.PhaseTrial || d.Phase() == rollout.PhaseShift) {
		d.phaseSince, d.reason = in.Now, fmt.Sprintf("waits since %d of %d VMs reach no worker", in.Isolated, in.VMs)
		return d.step(in, drain, latency)
	}
	switch d.Phase() {
	case rollout.PhaseOrdered:
		if in.Slots > 0 {
			d.fire(eventStartTrial, in.Now, "a small part of the requests is tried out")
		}
	case rollout.PhaseTrial:
		d.checkTrial(in, drain)
	case rollout.PhaseShift:
		d.checkShift(in, inFlight)
	case rollout.PhaseProved:
		d.checkDrain(in)
	default: // final
	}
	return d.step(in, drain, latency)
}

// step returns the current decision.
func (d *Decider) step(in Inputs, drain, latency time.Duration) Step {
	return Step{
		Phase: d.Phase(), WarmUp: d.Phase() == rollout.PhaseTrial && in.TimeLeft < drain+warmUpLead,
		SlowAfter: slowThresholds(in.Report.Old), CanaryFractions: d.growCanaries(in, latency), Closed: d.closed, Reason: d.reason,
	}
}

// adoptPhase adopts the latest phase in the reports, which another VM has decided.
func (d *Decider) adoptPhase(in Inputs) {
	furthest := in.Report.MaxPhase()
	if furthest <= d.Phase() {
		return
	}
	const reason = "as another VM has decided"
	switch furthest {
	case rollout.PhaseTrial:
		d.fire(eventStartTrial, in.Now, reason)
	case rollout.PhaseShift:
		d.fire(eventShift, in.Now, reason)
	case rollout.PhaseProved:
		d.fire(eventProve, in.Now, reason)
	case rollout.PhaseRolledBack:
		d.fire(eventRollBack, in.Now, reason)
	default: // completed orders are read from the store
	}
}

// fire triggers an event of the state machine. It does nothing if the event is invalid in
// the current phase.
func (d *Decider) fire(event string, now time.Time, reason string) {
	if err := d.machine.Event(context.Background(), event); err != nil {
		return
	}
	d.phaseSince, d.reason = now, reason
	if d.trialSince.IsZero() {
		d.trialSince = now
	}
}

// updateBusiest updates the greatest number of requests in the reports.
func (d *Decider) updateBusiest(in Inputs) {
	if d.begunAt.IsZero() {
		d.begunAt = in.Now
	}
	d.busiest = max(d.busiest, in.Report.Requests, oldResponses(in.Report))
}

// atRest reports whether the service has so few requests that a version is completed without
// being judged.
func (d *Decider) atRest(now time.Time) bool {
	return d.busiest < minProofResponses && now.Sub(d.begunAt) >= minTrial
}

// updatePeak updates the decaying peak of the requests in flight.
func (d *Decider) updatePeak(in Inputs) {
	decay := math.Exp(-in.Now.Sub(d.peakAt).Seconds() / peakDecay.Seconds())
	d.peak, d.peakAt = max(d.peak*decay, float64(in.Report.InFlightOld+in.Report.InFlightNew)), in.Now
}

// checkTrial starts the shift if the remaining time is needed to drain, the trial was long
// enough and the new workers have the capacity.
func (d *Decider) checkTrial(in Inputs, drain time.Duration) {
	elapsed := in.Now.Sub(d.phaseSince)
	responses := int(total(in.Report.NewByRoute()).Ended)
	switch {
	case in.TimeLeft > drain:
		d.reason = fmt.Sprintf("is tried out for %s more", (in.TimeLeft - drain).Round(time.Millisecond))
	case elapsed < minTrial:
		d.reason = fmt.Sprintf("has been tried out for %s only, with %d answers", elapsed.Round(time.Millisecond), responses)
	case !d.analyzer.Cleared(in.Report.Undecided) && !d.atRest(in.Now):
		slow, failed := d.analyzer.clearingRatios(in.Report.Undecided)
		d.reason = fmt.Sprintf("%d answers do not tell whether it is slow or fails (%.1f and %.1f of %.1f, %d undecided)",
			responses, slow, failed, -clearThreshold, in.Report.Undecided)
	case d.peak > maxSlotUse*float64(in.Slots), float64(in.Slots) < minSlotRatio*float64(in.OldSlots):
		d.reason = fmt.Sprintf("waits for workers: %d slots are there, %d of old ones, and up to %.0f requests were under way lately",
			in.Slots, in.OldSlots, d.peak)
	default:
		d.fire(eventShift, in.Now, fmt.Sprintf("serves everything after %d sound answers", responses))
	}
}

// shiftedResponses returns the number of responses of workers that are not canaries.
func shiftedResponses(r rollout.Report) int {
	n := 0
	for key, t := range r.New {
		if key.Worker == "" {
			n += int(t.Ended)
		}
	}
	return n
}

// checkShift proves the version after enough time and responses in the shift, given the time
// that requests in flight at old workers need.
func (d *Decider) checkShift(in Inputs, inFlight time.Duration) {
	elapsed := in.Now.Sub(d.phaseSince)
	responses := shiftedResponses(in.Report) - d.trialResponses
	// An order that can still be completed in time does not wait beyond that.
	canWait := in.TimeLeft < 0 || in.TimeLeft > inFlight+completionAllowance
	if elapsed < minShift || responses < minShiftResponses && elapsed < maxShift && canWait {
		d.reason = fmt.Sprintf("has served everything for %s, with %d answers", elapsed.Round(time.Millisecond), responses)
		return
	}
	if judged := int(total(in.Report.NewByRoute()).Ended); judged < minProofResponses && !d.atRest(in.Now) {
		d.reason = fmt.Sprintf("has served what its share allows for %s, with %d answers only", elapsed.Round(time.Millisecond), judged)
		return
	}
	d.fire(eventProve, in.Now, fmt.Sprintf("is proved by %d answers", responses))
}

// oldResponses returns the number of responses of the old version.
func oldResponses(r rollout.Report) int {
	n := 0
	for _, t := range r.Old {
		n += int(t.Ended)
	}
	return n
}

// checkDrain completes the order once no VM has requests in flight at old workers. It
// waits for live VMs that do not report, since they may still have some.
func (d *Decider) checkDrain(in Inputs) {
	proved := in.Report.VMsAtLeast(rollout.PhaseProved)
	inFlight := in.Report.InFlightOld + in.Report.InFlightNew
	switch {
	case proved < in.VMs:
		d.reason = fmt.Sprintf("waits for %d of %d VMs", in.VMs-proved, in.VMs)
	case !d.closed && float64(in.Report.InFlightOld) > maxOldInFlight*float64(inFlight):
		d.reason = fmt.Sprintf("%d of %d requests are at old workers still", in.Report.InFlightOld, inFlight)
	case !d.closed: // the next reports must still confirm that nothing is in flight
		d.closed = true
	case in.Report.InFlightOld > 0:
		d.reason = fmt.Sprintf("waits for %d requests at old workers", in.Report.InFlightOld)
	default:
		d.fire(eventComplete, in.Now, "all VMs have nothing under way at old workers")
	}
}

// String describes the finding for operators.
func (f Finding) String() string {
	where, what := "on all routes", "fails"
	bad, oldBad := f.New.Failed, f.Old.Failed
	if f.Route != allRoutes {
		where = "on route " + f.Route
	}
	if f.Slow {
		what, bad, oldBad = "is slow", f.New.Slow, f.Old.Slow
	}
	return fmt.Sprintf("%s %s: %d of %d answers, %d of %d of the old version", what, where, bad, f.New.Ended, oldBad, f.Old.Ended)
}
