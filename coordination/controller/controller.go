// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package controller steps confirmed moves towards their goals.
//
// Any VM may be the controller; the one that holds the lease acts. The lease
// only keeps two from doing the same work: what makes a step safe is that it is
// a conditional update of the version of the traffic object that it was decided
// from. A controller that lost its lease, or was frozen and woke, finds another
// version and changes nothing.
//
// Next is pure: it takes the traffic object, the statuses of the halls and the
// time, and returns what to write. Its rules, in order, for each move:
//
//   - a status of the source or a target older than intent.FreshStatus pauses;
//   - a target with less than half the headroom free goes back one step;
//   - a target below the headroom, or with requests waiting or refused, pauses;
//   - the last change must be in force at every VM of the source hall, and the
//     step interval must have passed, else nothing is done;
//   - at the goal the move is done;
//   - else the share grows by at most Step, and by at most what fills half of
//     the target's free slots beyond its headroom, since cold caches make each
//     request hold its slot for longer than predicted.
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
	"github.com/ryehill/ryehill/state/share"
	"github.com/ryehill/ryehill/state/spec"
)

// Facts are what a step rests on.
type Facts struct {
	Fleet   *spec.Fleet
	Traffic spec.Traffic
	// Version is the version of Traffic.
	Version uint64
	Halls   map[string]load.HallStatus
	Now     time.Time
}

// Rule names what decided about a move.
type Rule string

// Rules of the controller.
const (
	RuleStep     Rule = "step"
	RuleBack     Rule = "back"
	RuleStale    Rule = "stale"
	RuleHeadroom Rule = "headroom"
	RuleWaiting  Rule = "waiting"
	RuleFinish   Rule = "finish"
)

// Action is one change of one move.
type Action struct {
	Move   string
	Rule   Rule
	Reason string
}

// refusedPerSecond is the rate of refusals at a target that pauses a move.
const refusedPerSecond = 0.5

// Next returns the traffic object with every change that is due, and what they
// are. Without any, the traffic object is returned as it was.
func Next(f Facts) (spec.Traffic, []Action) {
	next := f.Traffic
	next.Moves = append([]spec.Move(nil), f.Traffic.Moves...)
	var actions []Action
	for i := range next.Moves {
		m := &next.Moves[i]
		if m.Ended() {
			continue
		}
		if a, changed := f.step(m); changed {
			actions = append(actions, a)
		}
	}
	if len(actions) == 0 {
		return f.Traffic, nil
	}
	return next, actions
}

func (f *Facts) step(m *spec.Move) (Action, bool) {
	source, ok := f.Halls[m.From]
	if !ok || source.Age(f.Now) > intent.FreshStatus {
		return f.pause(m, RuleStale, fmt.Sprintf("hall %s has sent no status within %s", m.From, intent.FreshStatus), nil)
	}
	inputs := []decision.Input{statusInput(source, m.Service, f.Now)}
	room := math.MaxFloat64
	for _, t := range m.Targets {
		target, ok := f.Halls[t.Hall]
		if !ok || target.Age(f.Now) > intent.FreshStatus {
			return f.pause(m, RuleStale, fmt.Sprintf("hall %s has sent no status within %s", t.Hall, intent.FreshStatus), inputs)
		}
		inputs = append(inputs, statusInput(target, m.Service, f.Now))
		s := target.Services[m.Service]
		if a, held, changed := f.hold(m, t.Hall, s, inputs); held {
			return a, changed
		}
		room = math.Min(room, f.shareFor(m, t, s, source.Services[m.Service]))
	}
	if !f.settled(m, source) {
		return Action{}, false
	}
	return f.grow(m, room, inputs)
}

// hold pauses a move or takes a step back if a target is short of room.
func (f *Facts) hold(m *spec.Move, hall string, s load.ServiceStatus, inputs []decision.Input) (a Action, held, changed bool) {
	free := float64(s.Usable - s.InUse)
	least := float64(s.Usable) * fraction(f.Fleet.Headroom())
	switch {
	case free < least/2 && m.Share > 0 || s.Usable == 0:
		a, changed = f.back(m, fmt.Sprintf("hall %s has %.0f of %d usable slots free, less than half the headroom of %.1f", hall, free, s.Usable, least), inputs)
	case free < least:
		a, changed = f.pause(m, RuleHeadroom, fmt.Sprintf("hall %s has %.0f of %d usable slots free, less than the headroom of %.1f", hall, free, s.Usable, least), inputs)
	case s.Waiting > 0 || s.Refused > refusedPerSecond:
		a, changed = f.pause(m, RuleWaiting, fmt.Sprintf("hall %s has %d requests waiting and refuses %.1f a second", hall, s.Waiting, s.Refused), inputs)
	default:
		return Action{}, false, false
	}
	return a, true, changed
}

// settled reports whether the last change has had its effect: it is in force at
// every VM of the source hall, and callers' cached look-ups have lapsed.
func (f *Facts) settled(m *spec.Move, source load.HallStatus) bool {
	if source.Generation < f.Version || source.Missing > 0 {
		return false
	}
	return m.State == spec.MoveConfirmed || f.Now.Sub(time.UnixMilli(m.Changed)) >= f.Fleet.Interval()
}

// shareFor returns how much the share may grow so that it fills half of a
// target's free slots beyond its headroom.
func (f *Facts) shareFor(m *spec.Move, t spec.Target, target, source load.ServiceStatus) float64 {
	total := uint32(0)
	for _, other := range m.Targets {
		total += other.Weight
	}
	perShare := source.Busy * float64(t.Weight) / float64(max(total, 1))
	if perShare < 0.01 {
		return math.MaxFloat64
	}
	least := float64(target.Usable) * fraction(f.Fleet.Headroom())
	spare := float64(target.Usable) - math.Max(target.Busy, float64(target.InUse)) - least
	return math.Max(0, spare/2) / perShare
}

func (f *Facts) grow(m *spec.Move, room float64, inputs []decision.Input) (Action, bool) {
	goal := min(m.Goal, m.Cap)
	if m.Share >= goal {
		return f.advance(m, intent.EventFinish, RuleFinish, fmt.Sprintf("the share has reached its goal of %s", goal), inputs)
	}
	grown := min(m.Share+m.Step, goal)
	if room < 1 {
		grown = min(grown, m.Share+share.PPM(room*float64(share.Whole)))
	}
	if grown <= m.Share {
		return f.pause(m, RuleHeadroom, "a target has no slot to spare beyond its headroom", inputs)
	}
	reason := fmt.Sprintf("from %s to %s of a goal of %s", m.Share, grown, goal)
	m.Share = grown
	return f.advance(m, intent.EventStep, RuleStep, reason, inputs)
}

func (f *Facts) back(m *spec.Move, reason string, inputs []decision.Input) (Action, bool) {
	if !f.sinceChange(m) {
		return Action{}, false
	}
	if m.Share == 0 {
		return f.pause(m, RuleHeadroom, reason, inputs)
	}
	m.Share -= min(m.Share, m.Step)
	return f.advance(m, intent.EventStep, RuleBack, reason, inputs)
}

// sinceChange reports whether a step back may follow the last change: the
// former one must have had the time to show.
func (f *Facts) sinceChange(m *spec.Move) bool {
	return f.Now.Sub(time.UnixMilli(m.Changed)) >= f.Fleet.Interval()
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
