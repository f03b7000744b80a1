// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package intent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/looplab/fsm"

	"github.com/ryehill/ryehill/state/spec"
)

// Event moves a move along its life cycle.
type Event string

// Events of a move.
const (
	// EventStep takes a step, forward or back.
	EventStep Event = "step"
	// EventPause holds the share where it is.
	EventPause Event = "pause"
	// EventFinish ends a move that has reached its goal.
	EventFinish Event = "finish"
	// EventStop ends a move by an operator's word.
	EventStop Event = "stop"
)

// transitions is the life cycle of a move. A plan that is refused or never
// confirmed does not get this far.
var transitions = fsm.Events{
	{
		Name: string(EventStep),
		Src:  []string{string(spec.MoveConfirmed), string(spec.MoveMoving), string(spec.MovePaused)},
		Dst:  string(spec.MoveMoving),
	},
	{
		Name: string(EventPause),
		Src:  []string{string(spec.MoveConfirmed), string(spec.MoveMoving)},
		Dst:  string(spec.MovePaused),
	},
	{
		Name: string(EventFinish),
		Src:  []string{string(spec.MoveMoving), string(spec.MovePaused)},
		Dst:  string(spec.MoveDone),
	},
	{
		Name: string(EventStop),
		Src: []string{
			string(spec.MoveConfirmed), string(spec.MoveMoving),
			string(spec.MovePaused), string(spec.MoveDone),
		},
		Dst: string(spec.MoveStopped),
	},
}

// ErrTransition reports an event that a move's state does not allow.
var ErrTransition = errors.New("intent: event not allowed in this state")

// Advance moves a move along its life cycle and notes why.
// It returns ErrTransition, and changes nothing, if its state forbids the event.
func Advance(m *spec.Move, e Event, reason string, now time.Time) error {
	machine := fsm.NewFSM(string(m.State), transitions, nil)
	err := machine.Event(context.Background(), string(e))
	var same fsm.NoTransitionError
	if err != nil && !errors.As(err, &same) {
		return errors.Wrapf(ErrTransition, "move %s, %s: %v", m.ID, e, err)
	}
	m.State = spec.MoveState(machine.Current())
	m.Note(reason, now)
	return nil
}
