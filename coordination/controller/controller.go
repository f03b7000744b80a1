// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package controller advances confirmed moves towards their goals.
//
// Any VM may be the controller; the holder of the lease acts. The lease only avoids
// duplicate work. Safety comes from the conditional update: a step is written only
// if the traffic object still has the version that the step was computed from, so a
// controller that lost its lease or was frozen changes nothing.
//
// Next is a pure function of the traffic object, the hall statuses and the time.
// For each move it applies these rules in order:
//
//   - a status of the source or a target older than intent.MaxStatusAge pauses the
//     move;
//   - a target without usable slots or with less than half the headroom free takes
//     the share back by one step;
//   - a target below the headroom, or with requests waiting or refused, pauses the
//     move;
//   - until the last change is in force at every VM of the source hall and the step
//     interval has passed, nothing changes;
//   - at the goal or the cap the move is done;
//   - otherwise the share grows by at most Step, and by at most what fills half of
//     the target's free slots beyond its headroom, since requests hold their slots
//     longer than predicted while caches are cold.
//
// # Usage
//
//	next, actions := controller.Next(facts)
//	if len(actions) > 0 { /* write next if the version still is facts.Version */ }
package controller

import (
	"fmt"
	"math"
	"time"

	"github.com/ryehill/ryehill/coordination/intent"
	"github.com/ryehill/ryehill/state/decision"
	"github.com/ryehill/ryehill/state/load"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/share"
	"github.com/ryehill/ryehill/state/spec"
)

// Facts are the inputs of a step.
type Facts struct {
	Fleet   *spec.Fleet
	Traffic spec.Traffic
	// Version is the version of Traffic.
	Version object.Version
	Halls   map[string]load.HallStatus
	Now     time.Time
}

// Rule identifies the rule that changed a move.
type Rule string

// Rules of the controller.
const (
	RuleStep     Rule = "step"
	RuleStepBack Rule = "back"
	RuleStale    Rule = "stale"
	RuleHeadroom Rule = "headroom"
	RuleWaiting  Rule = "waiting"
	RuleFinish   Rule = "finish"
)

// Action describes a change of a move.
type Action struct {
	Move   string
	Rule   Rule
	Reason string
}

// maxRefusalRate is the rate of refused requests per second at a target above which
// a move pauses.
const maxRefusalRate = 0.5

// Next returns the traffic object with all due changes and a list of them. If there
// are none, it returns the traffic object unchanged.
func Next(f Facts) (spec.Traffic, []Action) {
	next := f.Traffic
	next.Moves = append([]spec.Move(nil), f.Traffic.Moves...)
	var actions []Action
	for i := range next.Moves {
		m := &next.Moves[i]
		if m.Ended() {
			continue
		}
		if a, changed := f.stepMove(m); changed {
			actions = append(actions, a)
		}
	}
	if len(actions) == 0 {
		return f.Traffic, nil
	}
	return next, actions
}

func (f *Facts) stepMove(m *spec.Move) (Action, bool) {
	source, ok := f.Halls[m.From]
	if !ok || source.Age(f.Now) > intent.MaxStatusAge {
		return f.pause(m, RuleStale, fmt.Sprintf("hall %s has sent no status within %s", m.From, intent.MaxStatusAge), nil)
	}
	inputs := []decision.Input{statusInput(source, m.Service, f.Now)}
	growthLimit := math.MaxFloat64
	for _, t := range m.Targets {
		target, ok := f.Halls[t.Hall]
		if !ok || target.Age(f.Now) > intent.MaxStatusAge {
			return f.pause(m, RuleStale, fmt.Sprintf("hall %s has sent no status within %s", t.Hall, intent.MaxStatusAge), inputs)
		}
		inputs = append(inputs, statusInput(target, m.Service, f.Now))
		s := target.Services[m.Service]
		if a, blocked, changed := f.checkTarget(m, t.Hall, s, inputs); blocked {
			return a, changed
		}
		growthLimit = math.Min(growthLimit, f.maxGrowth(m, t, s, source.Services[m.Service]))
	}
	if !f.changeTookEffect(m, source) {
		return Action{}, false
	}
	return f.grow(m, growthLimit, inputs)
}

// checkTarget pauses a move or takes a step back if a target lacks capacity. It
// returns blocked if the move must not grow.
func (f *Facts) checkTarget(m *spec.Move, hall string, s load.ServiceStatus, inputs []decision.Input) (a Action, blocked, changed bool) {
	free := float64(s.Usable - s.InUse)
	headroom := float64(s.Usable) * fraction(f.Fleet.Headroom())
	switch {
	case free < headroom/2 && m.Share > 0 || s.Usable == 0:
		a, changed = f.stepBack(m, fmt.Sprintf("hall %s has %.0f of %d usable slots free, less than half the headroom of %.1f", hall, free, s.Usable, headroom), inputs)
	case free < headroom:
		a, changed = f.pause(m, RuleHeadroom, fmt.Sprintf("hall %s has %.0f of %d usable slots free, less than the headroom of %.1f", hall, free, s.Usable, headroom), inputs)
	case s.Waiting > 0 || s.Refused > maxRefusalRate:
		a, changed = f.pause(m, RuleWaiting, fmt.Sprintf("hall %s has %d requests waiting and refuses %.1f a second", hall, s.Waiting, s.Refused), inputs)
	default:
		return Action{}, false, false
	}
	return a, true, changed
}

// changeTookEffect reports whether the last change is in force at every VM of the
// source hall and, unless the move is only confirmed, the cached lookups of callers
// have expired.
func (f *Facts) changeTookEffect(m *spec.Move, source load.HallStatus) bool {
	if source.Version().Before(f.Version) || source.Missing > 0 {
		return false
	}
	return m.State == spec.MoveConfirmed || f.Now.Sub(time.UnixMilli(m.ChangedAt)) >= f.Fleet.Interval()
}

// maxGrowth returns how much the share may grow, as a fraction of all requests, to
// fill half of a target's free slots beyond its headroom.
func (f *Facts) maxGrowth(m *spec.Move, t spec.Target, target, source load.ServiceStatus) float64 {
	total := uint32(0)
	for _, other := range m.Targets {
		total += other.Weight
	}
	busyPerShare := source.Busy * float64(t.Weight) / float64(max(total, 1))
	if busyPerShare < 0.01 {
		return math.MaxFloat64
	}
	headroom := float64(target.Usable) * fraction(f.Fleet.Headroom())
	spareSlots := float64(target.Usable) - math.Max(target.Busy, float64(target.InUse)) - headroom
	return math.Max(0, spareSlots/2) / busyPerShare
}

func (f *Facts) grow(m *spec.Move, growthLimit float64, inputs []decision.Input) (Action, bool) {
	goal := min(m.Goal, m.Cap)
	if m.Share >= goal {
		return f.advance(m, intent.EventFinish, RuleFinish, fmt.Sprintf("the share has reached its goal of %s", goal), inputs)
	}
	grown := min(m.Share+m.Step, goal)
	if growthLimit < 1 {
		grown = min(grown, m.Share+share.PPM(growthLimit*float64(share.Whole)))
	}
	if grown <= m.Share {
		return f.pause(m, RuleHeadroom, "a target has no slot to spare beyond its headroom", inputs)
	}
	reason := fmt.Sprintf("from %s to %s of a goal of %s", m.Share, grown, goal)
	m.Share = grown
	return f.advance(m, intent.EventStep, RuleStep, reason, inputs)
}

func (f *Facts) stepBack(m *spec.Move, reason string, inputs []decision.Input) (Action, bool) {
	if !f.intervalElapsed(m) {
		return Action{}, false
	}
	if m.Share == 0 {
		return f.pause(m, RuleHeadroom, reason, inputs)
	}
	m.Share -= min(m.Share, m.Step)
	return f.advance(m, intent.EventStep, RuleStepBack, reason, inputs)
}

// intervalElapsed reports whether enough time has passed since the last change for
// its effect to show, so that a step back may follow.
func (f *Facts) intervalElapsed(m *spec.Move) bool {
	return f.Now.Sub(time.UnixMilli(m.ChangedAt)) >= f.Fleet.Interval()
}

func (f *Facts) pause(m *spec.Move, rule Rule, reason string, inputs []decision.Input) (Action, bool) {
	if m.State == spec.MovePaused {
		return Action{}, false
	}
	return f.advance(m, intent.EventPause, rule, reason, inputs)
}

func (f *Facts) advance(m *spec.Move, e intent.Event, rule Rule, reason string, inputs []decision.Input) (Action, bool) {
	if err := intent.Advance(m, e, reason, f.Now); err != nil {
		return Action{}, false
	}
	m.Facts = nil
	for _, in := range inputs {
		m.Facts = append(m.Facts, fmt.Sprintf("%s: %s, %s old", in.Name, in.Value, in.Age.Round(time.Millisecond)))
	}
	return Action{Move: m.ID, Rule: rule, Reason: reason}, true
}

func statusInput(h load.HallStatus, service string, now time.Time) decision.Input {
	s := h.Services[service]
	return decision.Input{
		Name: "hall " + h.Hall,
		Value: fmt.Sprintf("usable %d, in use %d, busy %.1f, waiting %d, refused %.1f/s, generation %d",
			s.Usable, s.InUse, s.Busy, s.Waiting, s.Refused, h.Generation),
		Age: h.Age(now),
	}
}

func fraction(p share.PPM) float64 { return float64(p) / float64(share.Whole) }
