// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package spec

import (
	"slices"
	"strconv"
	"time"

	"github.com/ryehill/ryehill/state/share"
)

// Traffic holds every move and cap in force. A single object makes a drain of
// several services atomic, and its version rejects concurrent writes.
type Traffic struct {
	// Edit counts the operators' changes. A plan is valid only for the edit it was
	// made from. Steps of the controller leave it unchanged.
	Edit  uint64 `json:"edit"`
	Moves []Move `json:"moves,omitempty"`
	Caps  []Cap  `json:"caps,omitempty"`
	// Leaving lists the workers that an operator drains.
	Leaving []string `json:"leaving,omitempty"`
}

// MoveState is the state of a move in its life cycle.
type MoveState string

// States of a move.
const (
	MoveConfirmed MoveState = "confirmed"
	MoveMoving    MoveState = "moving"
	MovePaused    MoveState = "paused"
	MoveDone      MoveState = "done"
	MoveStopped   MoveState = "stopped"
)

// Move redirects a share of a service's requests from one hall to others.
type Move struct {
	ID      string   `json:"id"`
	Intent  string   `json:"intent"`
	Service string   `json:"service"`
	From    string   `json:"from"`
	Targets []Target `json:"targets"`
	// Goal is the share to reach, Cap the upper bound on the share in force, Step
	// the largest increase in one step, and Share the current value.
	Goal  share.PPM `json:"goal"`
	Cap   share.PPM `json:"cap"`
	Step  share.PPM `json:"step"`
	Share share.PPM `json:"share"`
	State MoveState `json:"state"`
	// Drain marks a move that empties its hall. Once it is done, lookups return the
	// targets directly.
	Drain bool `json:"drain,omitempty"`
	// Reason explains the last change of state in one sentence.
	Reason string `json:"reason,omitempty"`
	// ChangedAt is the Unix time in milliseconds of the last change.
	ChangedAt int64 `json:"changed"`
	// Facts are the inputs of the last change, with their ages.
	Facts []string `json:"facts,omitempty"`
	// History holds the latest changes, oldest first, at most MaxHistory.
	History []MoveChange `json:"history,omitempty"`
}

// MaxHistory bounds the recorded changes of a move.
const MaxHistory = 24

// MoveChange is a recorded change of a move.
type MoveChange struct {
	At     int64     `json:"at"`
	Share  share.PPM `json:"share"`
	State  MoveState `json:"state"`
	Reason string    `json:"reason"`
}

// RecordChange records the move's current share and state as a change.
func (m *Move) RecordChange(reason string, at time.Time) {
	m.Reason = reason
	m.ChangedAt = at.UnixMilli()
	// Copies of the move share the old slice, so it is not appended to in place.
	history := append(slices.Clone(m.History), MoveChange{At: m.ChangedAt, Share: m.Share, State: m.State, Reason: reason})
	m.History = history[max(0, len(history)-MaxHistory):]
}

// Target is a destination hall and its weight among the targets of a move.
type Target struct {
	Hall   string `json:"hall"`
	Weight uint32 `json:"weight"`
}

// Ended reports whether the controller has finished with the move.
func (m *Move) Ended() bool { return m.State == MoveDone || m.State == MoveStopped }

// DrainCompleted reports whether lookups may return the targets in place of the hall.
func (m *Move) DrainCompleted() bool {
	return m.Drain && m.State == MoveDone && m.Share == share.Whole
}

// EffectiveShare returns the share in force, limited by the cap.
func (m *Move) EffectiveShare() share.PPM { return min(m.Share, m.Cap) }

// Cap limits the combined share of all moves of a service out of a hall. An empty
// Service or From matches every service or hall, each counted separately.
type Cap struct {
	ID      string    `json:"id"`
	Service string    `json:"service,omitempty"`
	From    string    `json:"from,omitempty"`
	Limit   share.PPM `json:"limit"`
}

// Covers reports whether the cap applies to a service's moves out of a hall.
func (c *Cap) Covers(service, from string) bool {
	return (c.Service == "" || c.Service == service) && (c.From == "" || c.From == from)
}

func (t *Traffic) check(out *violations) {
	out.checkRange("moves", int64(len(t.Moves)), 0, MaxMoves)
	out.checkRange("caps", int64(len(t.Caps)), 0, MaxCaps)
	out.checkRange("leaving", int64(len(t.Leaving)), 0, MaxWorkers)
	known := make(map[string]bool)
	for i, m := range t.Moves {
		field := "moves[" + strconv.Itoa(i) + "]"
		out.checkName(field+".id", m.ID)
		out.checkName(field+".service", m.Service)
		out.checkName(field+".from", m.From)
		if known[m.ID] {
			out.addf(field, "move %q is listed twice", m.ID)
		}
		known[m.ID] = true
		checkMove(out, field, &m)
	}
	for i, c := range t.Caps {
		field := "caps[" + strconv.Itoa(i) + "]"
		out.checkName(field+".id", c.ID)
		out.checkRange(field+".limit", int64(c.Limit), 0, int64(share.Whole))
	}
}

func checkMove(out *violations, field string, m *Move) {
	out.checkRange(field+".targets", int64(len(m.Targets)), 1, MaxTargets)
	for _, target := range m.Targets {
		out.checkName(field+".targets", target.Hall)
		if target.Hall == m.From {
			out.addf(field+".targets", "hall %q would move to itself", m.From)
		}
	}
	switch m.State {
	case MoveConfirmed, MoveMoving, MovePaused, MoveDone, MoveStopped:
	default:
		out.addf(field+".state", "%q is no state", m.State)
	}
	if m.Share > m.Goal {
		out.addf(field+".share", "%s passes the goal %s", m.Share, m.Goal)
	}
}
