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

// Event triggers a transition in the life cycle of a move.
type Event string

// Events of a move.
const (
	// EventStep changes the share by one step in either direction.
	EventStep Event = "step"
	// EventPause keeps the share at its current value.
	EventPause Event = "pause"
	// EventFinish ends a move that has reached its goal.
	EventFinish Event = "finish"
	// EventStop ends a move at an operator's request.
	EventStop Event = "stop"
)

// transitions defines the life cycle of a confirmed move.
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

// Advance applies an event to a move and records the reason. It returns
// ErrTransition, and leaves the move unchanged, if its state does not allow the
// event.
func Advance(m *spec.Move, e Event, reason string, now time.Time) error {
	machine := fsm.NewFSM(string(m.State), transitions, nil)
	err := machine.Event(context.Background(), string(e))
	var same fsm.NoTransitionError
	if err != nil && !errors.As(err, &same) {
		return errors.Wrapf(ErrTransition, "move %s, %s: %v", m.ID, e, err)
	}
	m.State = spec.MoveState(machine.Current())
	m.RecordChange(reason, now)
	return nil
}
