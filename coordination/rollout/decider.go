// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package rollout brings a new version of a service in, judges it and completes it or
// rolls it back.
//
// One VM decides (Decider), from what all VMs report, how far the order has come. Each VM
// by itself decides which of its requests go to the new version (Share), and sends it no
// more than a part of its own requests until the version is proved, so that the part of
// all requests holds whatever becomes of messages. What a VM may do it may for a short
// term only, which each word of the decider renews.
//
// An order has four steps. In the trial a few workers of the new version serve a small,
// fixed part of the keys, each worker about as many requests as an old one does. Before
// the end of the time all workers of the new version get everything (the shift), as long
// as the share that was not used in the trial lasts. A version that is good then is
// proved, and nothing is sent to old workers any more. Once no request is under way
// there, at any VM, the order is completed. From each step there is a way back.
//
// The package does no I/O.
//
// # Usage
//
//	d := rollout.NewDecider(rollout.DeciderConfig{Order: order})
//	step := d.Decide(rollout.Inputs{Left: left, Report: report, VMs: 12, Slots: 60})
//	if step.Phase == state.PhaseCompleted { /* write it */ }
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
	// leastTrial is for how long a version is tried out before it gets more.
	leastTrial = 3 * time.Second
	// shiftFor is for how long a version serves everything before it counts as proved, and
	// leastAnswers how many answers it must have given by then; a service with few
	// requests has longestShift for that. Answers of slow requests are not there yet, but
	// failures are.
	shiftFor     = time.Second
	longestShift = 2 * time.Second
	leastAnswers = 30
	// drainTimes is how many times as long as a typical request of the old version the
	// last ones take, leastDrain and mostDrain bound that, and writeFor is what it takes
	// to hear that all are done and to write it down.
	drainTimes = 5
	leastDrain = 600 * time.Millisecond
	mostDrain  = 4 * time.Second
	writeFor   = 900 * time.Millisecond
	// drainPart is the part of the order's time that the drain may take up at most.
	drainPart = 1.0 / 3
	// warmFor is for how long before the shift single requests of all keys go to the
	// workers that are to hold them.
	warmFor = 4 * time.Second
	// roomNeeded is the part of the new workers' slots that the most requests which were
	// under way lately may take up before they get everything. There may be fewer of them
	// than old ones, and they are slow with each key at first.
	roomNeeded = 0.9
	// slotsNeeded is the part of the old workers' slots that new ones must have: fewer
	// workers also keep fewer keys warm.
	slotsNeeded = 0.75
	// peakFades is the time in which the most that was under way fades to 1/e.
	peakFades = 20 * time.Second
	// lastPart is the part of all requests that may be under way at old workers when these
	// get no more: until then they serve what the new ones have no room for.
	lastPart = 0.05
	// settleTimes is how many times as long as a typical request of the old version it
	// takes until all popular keys have been run once, and leastSettle bounds that.
	settleTimes = 10
	leastSettle = time.Second
	// firstRunTimes is how many times as long as a typical request the first one of a key
	// takes at a worker.
	firstRunTimes = 4
	// mostPartTried bounds the part of the keys of a route that is tried out. It doubles
	// each second while it brings no answer.
	mostPartTried = 0.3
	// slowTimes is how many times as long as a typical request of the old version one
	// must take to count as slow.
	slowTimes = 2.0
	// leastTimed is how many requests tell how long they typically take.
	leastTimed = 10
)

// Events of an order's life.
const (
	eventTry      = "try"
	eventShift    = "shift"
	eventProve    = "prove"
	eventComplete = "complete"
	eventRollBack = "roll back"
)

// DeciderConfig sets up a Decider.
type DeciderConfig struct {
	Order rollout.Order
}

// Inputs are what a decision rests on.
type Inputs struct {
	Now time.Time
	// Left is the time until the order is to be done; it may be below 0.
	Left time.Duration
	// Report is what VMs have seen, and VMs how many there are that count.
	Report rollout.Report
	VMs    int
	// Slots are those of the new version's workers that can be used, OldSlots those of the
	// old one's.
	Slots, OldSlots int
}

// Step is a decision.
type Step struct {
	Phase rollout.Phase
	// WarmUp is set if single requests of all keys are to go to their new workers.
	WarmUp bool
	// SlowAfter says by route from what time on an answer is slow.
	SlowAfter map[string]time.Duration
	// Parts are the parts of the keys that are tried out on routes on which
	// worker.CanaryPart of them brings nothing.
	Parts map[string]float64
	// Closed is set if old workers get nothing more, even if the new ones have no room.
	Closed bool
	// Reason says why the order is where it is, and what it waits for.
	Reason string
}

// Decider carries one order through. It keeps nothing that another VM could not find out
// anew from the reports. It is not safe for concurrent use.
type Decider struct {
	cfg   DeciderConfig
	life  *fsm.FSM
	judge Judge
	// since is when the phase began, tried when the first requests were sent.
	since, tried time.Time
	reason       string
	// peak is the most that was under way lately.
	peak   float64
	peakAt time.Time
	// closed is set once old workers get nothing more whatever happens.
	closed bool
	// parted are the parts of the keys of routes that are tried out, where it is not
	// worker.CanaryPart.
	parted map[string]float64
}

// NewDecider returns a decider that has heard of an order.
func NewDecider(cfg DeciderConfig) *Decider {
	ordered, trial, shift := rollout.PhaseOrdered.String(), rollout.PhaseTrial.String(), rollout.PhaseShift.String()
	proved, completed, rolledBack := rollout.PhaseProved.String(), rollout.PhaseCompleted.String(), rollout.PhaseRolledBack.String()
	return &Decider{cfg: cfg, parted: make(map[string]float64), reason: "waits for workers of the new version", life: fsm.NewFSM(ordered, fsm.Events{
		{Name: eventTry, Src: []string{ordered}, Dst: trial},
		{Name: eventShift, Src: []string{ordered, trial}, Dst: shift},
		{Name: eventProve, Src: []string{ordered, trial, shift}, Dst: proved},
		{Name: eventComplete, Src: []string{proved}, Dst: completed},
		{Name: eventRollBack, Src: []string{ordered, trial, shift, proved}, Dst: rolledBack},
	}, nil)}
}

// Phase returns how far the order has come.
func (d *Decider) Phase() rollout.Phase {
	for p := rollout.PhaseOrdered; p.Valid(); p++ {
		if d.life.Is(p.String()) {
			return p
		}
	}
	return rollout.PhaseOrdered
}

// Decide takes in reports and moves the order on.
func (d *Decider) Decide(in Inputs) Step {
	d.follow(in)
	slowest := slowestTypical(in.Report.Old)
	d.judge.Tune(Pace{
		Settle:  max(settleTimes*slowest, leastSettle),
		Overlap: overlap(in.Report, in.Now.Sub(d.tried), slowest),
	})
	finding, bad := d.judge.Add(in.Now, &in.Report)
	if bad && d.Phase() < rollout.PhaseProved {
		d.enter(eventRollBack, in.Now, finding.String())
	}
	drain := d.drainTime(slowest)
	d.notePeak(in)
	switch d.Phase() {
	case rollout.PhaseOrdered:
		if in.Slots > 0 {
			d.enter(eventTry, in.Now, "a small part of the requests is tried out")
		}
	case rollout.PhaseTrial:
		d.endTrial(in, drain)
	case rollout.PhaseShift:
		d.endShift(in)
	case rollout.PhaseProved:
		d.complete(in)
	default: // Nothing follows.
	}
	return Step{
		Phase: d.Phase(), WarmUp: d.Phase() == rollout.PhaseTrial && in.Left < drain+warmFor,
		SlowAfter: slowAfter(in.Report.Old), Parts: d.parts(in), Closed: d.closed, Reason: d.reason,
	}
}

// follow takes over what another VM has decided, as the reports show.
func (d *Decider) follow(in Inputs) {
	furthest := in.Report.Furthest()
	if furthest <= d.Phase() {
		return
	}
	const taken = "as another VM has decided"
	switch furthest {
	case rollout.PhaseTrial:
		d.enter(eventTry, in.Now, taken)
	case rollout.PhaseShift:
		d.enter(eventShift, in.Now, taken)
	case rollout.PhaseProved:
		d.enter(eventProve, in.Now, taken)
	case rollout.PhaseRolledBack:
		d.enter(eventRollBack, in.Now, taken)
	default: // What is completed stands in the store.
	}
}

// enter moves the order on. An event that does not fit the phase changes nothing.
func (d *Decider) enter(event string, now time.Time, reason string) {
	if err := d.life.Event(context.Background(), event); err != nil {
		return
	}
	d.since, d.reason = now, reason
	if d.tried.IsZero() {
		d.tried = now
	}
}

// notePeak notes how many requests are under way.
func (d *Decider) notePeak(in Inputs) {
	left := math.Exp(-in.Now.Sub(d.peakAt).Seconds() / peakFades.Seconds())
	d.peak, d.peakAt = max(d.peak*left, float64(in.Report.UnderWayOld+in.Report.UnderWayNew)), in.Now
}

// endTrial lets the new version serve everything, if it has been tried out for long enough
// and the rest of the time is needed.
func (d *Decider) endTrial(in Inputs, drain time.Duration) {
	tried := in.Now.Sub(d.since)
	answers := int(total(in.Report.Sum()).Ended)
	switch {
	case in.Left > drain:
		d.reason = fmt.Sprintf("is tried out for %s more", (in.Left - drain).Round(time.Millisecond))
	case tried < leastTrial:
		d.reason = fmt.Sprintf("has been tried out for %s only, with %d answers", tried.Round(time.Millisecond), answers)
	case d.peak > roomNeeded*float64(in.Slots), float64(in.Slots) < slotsNeeded*float64(in.OldSlots):
		d.reason = fmt.Sprintf("waits for workers: %d slots are there, %d of old ones, and up to %.0f requests were under way lately",
			in.Slots, in.OldSlots, d.peak)
	default:
		d.enter(eventShift, in.Now, fmt.Sprintf("serves everything after %d sound answers", answers))
	}
}

// parts returns a larger part of the keys for each route of which no key was among those
// that are tried out, since a version may be bad on that one alone.
func (d *Decider) parts(in Inputs) map[string]float64 {
	if d.Phase() != rollout.PhaseTrial {
		return nil
	}
	var parts map[string]float64
	tried := in.Report.Sum()
	for route, old := range in.Report.Old {
		if float64(old.Ended) < leastEnded/worker.CanaryPart {
			continue
		}
		if d.parted[route] == 0 && tried[route].Ended > 0 {
			continue
		}
		if tried[route].Ended == 0 {
			grown := worker.CanaryPart * math.Exp2(in.Now.Sub(d.tried).Seconds()-1)
			d.parted[route] = min(max(grown, worker.CanaryPart), mostPartTried)
		}
		if parts == nil {
			parts = make(map[string]float64)
		}
		parts[route] = d.parted[route]
	}
	return parts
}

// endShift proves the version, if it has borne everything for a while.
func (d *Decider) endShift(in Inputs) {
	served := in.Now.Sub(d.since)
	answers := int(total(in.Report.Sum()).Ended)
	if served < shiftFor || answers < leastAnswers && served < longestShift {
		d.reason = fmt.Sprintf("has served everything for %s, with %d answers", served.Round(time.Millisecond), answers)
		return
	}
	d.enter(eventProve, in.Now, fmt.Sprintf("is proved by %d answers", answers))
}

// complete ends the order once no VM has anything under way at old workers. A VM that is
// live and does not say so may have: the order waits for it.
func (d *Decider) complete(in Inputs) {
	proved := in.Report.InPhase(rollout.PhaseProved)
	underWay := in.Report.UnderWayOld + in.Report.UnderWayNew
	switch {
	case proved < in.VMs:
		d.reason = fmt.Sprintf("waits for %d of %d VMs", in.VMs-proved, in.VMs)
	case !d.closed && float64(in.Report.UnderWayOld) > lastPart*float64(underWay):
		d.reason = fmt.Sprintf("%d of %d requests are at old workers still", in.Report.UnderWayOld, underWay)
	case !d.closed: // What the next reports say holds also for what comes after them.
		d.closed = true
	case in.Report.UnderWayOld > 0:
		d.reason = fmt.Sprintf("waits for %d requests at old workers", in.Report.UnderWayOld)
	default:
		d.enter(eventComplete, in.Now, "all VMs have nothing under way at old workers")
	}
}

// drainTime returns how long before the end of the order's time the new version must serve
// everything, so that requests which are under way at old workers end in time.
func (d *Decider) drainTime(slowest time.Duration) time.Duration {
	last := min(max(drainTimes*slowest, leastDrain), mostDrain)
	longest := time.Duration(drainPart * float64(d.cfg.Order.Duration))
	return min(shiftFor+last+writeFor, max(longest, shiftFor+leastDrain+writeFor))
}

// overlap returns how many requests of a key that is tried out come while its first run
// is under way.
func overlap(r rollout.Report, tried, slowest time.Duration) float64 {
	keys := max(r.Keys.Count(), 1)
	each := float64(total(r.Sum()).Ended) / keys
	return each * firstRunTimes * slowest.Seconds() / max(tried.Seconds(), 1)
}

// slowestTypical returns how long a typical request takes on the slowest route.
func slowestTypical(old map[string]rollout.Tally) time.Duration {
	slowest := time.Duration(0)
	for _, t := range old {
		if typical, ok := typical(t); ok {
			slowest = max(slowest, typical)
		}
	}
	return slowest
}

// typical returns the geometric mean of the times of a tally, if it has enough of them.
func typical(t rollout.Tally) (time.Duration, bool) {
	if t.Ended < leastTimed {
		return 0, false
	}
	millis := math.Exp(t.LogMillis / float64(t.Ended))
	return time.Duration(millis * float64(time.Millisecond)), true
}

func slowAfter(old map[string]rollout.Tally) map[string]time.Duration {
	slow := make(map[string]time.Duration, len(old))
	for route, t := range old {
		if typical, ok := typical(t); ok {
			slow[route] = time.Duration(slowTimes * float64(typical))
		}
	}
	return slow
}

// String says what was found.
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
