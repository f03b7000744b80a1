// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package intent

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/state/spec"
)

// endedRetention is how long ended moves stay in the traffic object for queries.
const endedRetention = 24 * time.Hour

// ErrStalePlan reports a plan made from an earlier edit of the traffic object than
// the current one: another operator's change came first.
var ErrStalePlan = errors.New("intent: traffic has changed since the plan was made; plan again")

// Apply returns the traffic object with the changes of a confirmed plan. It returns
// ErrStalePlan if the plan was made from another edit of the object, and a *Refusal
// if the result would exceed the limits on moves or caps.
func Apply(p Plan, t spec.Traffic, now time.Time) (spec.Traffic, error) {
	if p.Edit != t.Edit {
		return t, errors.Wrapf(ErrStalePlan, "plan is for edit %d, in force is %d", p.Edit, t.Edit)
	}
	next := clone(t)
	next.Edit++
	next.Moves = slices.DeleteFunc(next.Moves, func(m spec.Move) bool {
		return m.Ended() && m.Share == 0 && now.Sub(time.UnixMilli(m.ChangedAt)) > endedRetention
	})
	for _, m := range p.Changes {
		m.RecordChange("confirmed by an operator", now)
		next.Moves = append(next.Moves, m)
	}
	if p.Cap != nil {
		next.Caps = slices.DeleteFunc(next.Caps, func(c spec.Cap) bool {
			return c.Service == p.Cap.Service && c.From == p.Cap.From
		})
		next.Caps = append(next.Caps, *p.Cap)
	}
	if p.Leaving != "" {
		next.Leaving = append(next.Leaving, p.Leaving)
	}
	if len(next.Moves) > spec.MaxMoves || len(next.Caps) > spec.MaxCaps {
		return t, refuse("%d moves and %d caps would be in force; at most %d and %d", len(next.Moves), len(next.Caps), spec.MaxMoves, spec.MaxCaps)
	}
	return next, nil
}

// Stop returns the traffic object without the effects of an intent: its moves are
// stopped with a share of zero, and its cap or drained worker is removed. It
// returns ErrInvalidIntent if nothing in force has this id.
func Stop(t spec.Traffic, id string, now time.Time) (spec.Traffic, error) {
	next := clone(t)
	next.Edit++
	found := false
	for i := range next.Moves {
		m := &next.Moves[i]
		if (m.Intent == id || m.ID == id) && m.State != spec.MoveStopped {
			m.Share = 0
			if err := Advance(m, EventStop, "stopped by an operator", now); err != nil {
				return t, err
			}
			found = true
		}
	}
	before := len(next.Caps) + len(next.Leaving)
	next.Caps = slices.DeleteFunc(next.Caps, func(c spec.Cap) bool { return c.ID == id })
	next.Leaving = slices.DeleteFunc(next.Leaving, func(w string) bool { return w == id })
	if !found && before == len(next.Caps)+len(next.Leaving) {
		return t, errors.Wrapf(ErrInvalidIntent, "nothing in force has the id %q", id)
	}
	return next, nil
}

func clone(t spec.Traffic) spec.Traffic {
	return spec.Traffic{
		Edit:    t.Edit,
		Moves:   slices.Clone(t.Moves),
		Caps:    slices.Clone(t.Caps),
		Leaving: slices.Clone(t.Leaving),
	}
}
