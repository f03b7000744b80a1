// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package spec

import (
	"slices"
	"strconv"
	"time"

	"github.com/ryehill/ryehill/state/share"
)

// Traffic holds every move and cap in force. It is one object, so that a drain
// that touches several services is confirmed as a whole or not at all, and its
// version fences every change.
type Traffic struct {
	// Edit counts the operators' changes. A plan is made from one edit and is
	// void after the next; the controller's steps leave it as it is.
	Edit  uint64 `json:"edit"`
	Moves []Move `json:"moves,omitempty"`
	Caps  []Cap  `json:"caps,omitempty"`
	// Leaving lists workers that an operator drains.
	Leaving []string `json:"leaving,omitempty"`
}

// MoveState is where a move stands in its life cycle.
type MoveState string

// States of a move.
const (
	MoveConfirmed MoveState = "confirmed"
	MoveMoving    MoveState = "moving"
	MovePaused    MoveState = "paused"
	MoveDone      MoveState = "done"
	MoveStopped   MoveState = "stopped"
)

// Move sends a share of a service's requests from one hall to others.
type Move struct {
	ID      string   `json:"id"`
	Intent  string   `json:"intent"`
	Service string   `json:"service"`
	From    string   `json:"from"`
	Targets []Target `json:"targets"`
	// Goal is the share to reach, Cap the share never to pass, Step the most
	// that one step adds, and Share what is in force now.
	Goal  share.PPM `json:"goal"`
	Cap   share.PPM `json:"cap"`
	Step  share.PPM `json:"step"`
	Share share.PPM `json:"share"`
	State MoveState `json:"state"`
	// Drain marks a move that empties its hall: once done, look-ups name
	// the targets directly.
	Drain bool `json:"drain,omitempty"`
	// Reason says, in one sentence with numbers, why the state last changed.
	Reason string `json:"reason,omitempty"`
	// Changed is the Unix time in milliseconds of the last change.
	Changed int64 `json:"changed"`
	// Facts are what the last change rested on, with their ages.
	Facts []string `json:"facts,omitempty"`
	// History holds the last changes, oldest first, at most MaxHistory.
	History []MoveChange `json:"history,omitempty"`
}

// MaxHistory bounds the changes that a move remembers.
const MaxHistory = 24

// MoveChange is one past change of a move.
type MoveChange struct {
	At     int64     `json:"at"`
	Share  share.PPM `json:"share"`
	State  MoveState `json:"state"`
	Reason string    `json:"reason"`
}

// Note records the move's present share and state as a change.
func (m *Move) Note(reason string, at time.Time) {
	m.Reason = reason
	m.Changed = at.UnixMilli()
	// A new slice, since copies of the move share the old one.
	history := append(slices.Clone(m.History), MoveChange{At: m.Changed, Share: m.Share, State: m.State, Reason: reason})
	m.History = history[max(0, len(history)-MaxHistory):]
}

// Target is a receiving hall and its weight among the targets of a move.
type Target struct {
	Hall   string `json:"hall"`
	Weight uint32 `json:"weight"`
}

// Ended reports whether the move will never change again by itself.
func (m *Move) Ended() bool { return m.State == MoveDone || m.State == MoveStopped }

// Settled reports whether look-ups may name the targets in place of the hall.
func (m *Move) Settled() bool {
	return m.Drain && m.State == MoveDone && m.Share == share.Whole
}

// Effective returns the share in force, which never passes the cap.
func (m *Move) Effective() share.PPM { return min(m.Share, m.Cap) }

// Cap limits all moves of a service out of a hall together. An empty service or
// hall stands for every one, each counted alone.
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

func (t *Traffic) check(out *faults) {
	out.within("moves", int64(len(t.Moves)), 0, MaxMoves)
	out.within("caps", int64(len(t.Caps)), 0, MaxCaps)
	out.within("leaving", int64(len(t.Leaving)), 0, MaxWorkers)
	known := make(map[string]bool)
	for i, m := range t.Moves {
		field := "moves[" + strconv.Itoa(i) + "]"
		out.name(field+".id", m.ID)
		out.name(field+".service", m.Service)
		out.name(field+".from", m.From)
		if known[m.ID] {
			out.add(field, "move %q is listed twice", m.ID)
		}
		known[m.ID] = true
		checkMove(out, field, &m)
	}
	for i, c := range t.Caps {
		field := "caps[" + strconv.Itoa(i) + "]"
		out.name(field+".id", c.ID)
		out.within(field+".limit", int64(c.Limit), 0, int64(share.Whole))
	}
}

func checkMove(out *faults, field string, m *Move) {
	out.within(field+".targets", int64(len(m.Targets)), 1, MaxTargets)
	for _, target := range m.Targets {
		out.name(field+".targets", target.Hall)
		if target.Hall == m.From {
			out.add(field+".targets", "hall %q would move to itself", m.From)
		}
	}
	switch m.State {
	case MoveConfirmed, MoveMoving, MovePaused, MoveDone, MoveStopped:
	default:
		out.add(field+".state", "%q is no state", m.State)
	}
	if m.Share > m.Goal {
		out.add(field+".share", "%s passes the goal %s", m.Share, m.Goal)
	}
}
