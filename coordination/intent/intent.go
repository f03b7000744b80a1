// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package intent turns what an operator wants into a plan, and a confirmed plan
// into changes of the traffic object.
//
// An Intent is one of Shift, DrainHall, DrainUpstream and Cap. Make answers it
// with a Plan: what would move where in which steps, the load predicted for each
// hall and link, the headroom left, the time it takes, and what would pause or
// stop it. Making a plan changes nothing. A plan that cannot be carried is an
// error of type *Refusal with the numbers. Apply carries out a confirmed plan on
// the traffic object of the version that the plan was made from.
//
// # Usage
//
//	plan, err := intent.Make(intent.Shift{Service: "lookup", From: "a", To: "b", ...}, facts)
//	traffic, err = intent.Apply(plan, traffic, now)
package intent

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/state/share"
	"github.com/ryehill/ryehill/state/spec"
)

// ErrIntent reports an intent that cannot be read or names unknown things.
var ErrIntent = errors.New("intent: bad intent")

// Intent is what an operator wants: Shift, DrainHall, DrainUpstream or Cap.
type Intent interface{ kind() string }

// Shift moves a share of a service's requests from one hall to another.
type Shift struct {
	Service string    `json:"service"`
	From    string    `json:"from"`
	To      string    `json:"to"`
	Share   share.PPM `json:"share"`
	// Cap is never passed, whatever the share. Default: the share.
	Cap *share.PPM `json:"cap,omitempty"`
	// Step is the most that one step adds. Default 5%.
	Step share.PPM `json:"step,omitempty"`
}

// DrainHall moves everything out of a hall, to halls with room.
type DrainHall struct {
	Hall string `json:"hall"`
	// Step is the most that one step adds. Default 20%.
	Step share.PPM `json:"step,omitempty"`
}

// DrainUpstream gives a worker no new work until the drain is stopped.
type DrainUpstream struct {
	Upstream string `json:"upstream"`
}

// Cap limits all moves together that it covers, those under way included.
type Cap struct {
	Service string    `json:"service,omitempty"`
	From    string    `json:"from,omitempty"`
	Limit   share.PPM `json:"limit"`
}

func (Shift) kind() string         { return "shift" }
func (DrainHall) kind() string     { return "drain-hall" }
func (DrainUpstream) kind() string { return "drain-upstream" }
func (Cap) kind() string           { return "cap" }

// Default steps.
const (
	DefaultShiftStep = 5 * share.Percent
	DefaultDrainStep = 20 * share.Percent
)

// Envelope is the JSON form of an intent.
type Envelope struct {
	Intent Intent
}

type envelope struct {
	Kind string          `json:"kind"`
	Spec json.RawMessage `json:"spec"`
}

// MarshalJSON implements json.Marshaler.
func (e Envelope) MarshalJSON() ([]byte, error) {
	raw, err := json.Marshal(e.Intent)
	if err != nil {
		return nil, errors.Wrap(err, "intent: encode")
	}
	return json.Marshal(envelope{Kind: e.Intent.kind(), Spec: raw})
}

// UnmarshalJSON implements json.Unmarshaler. It returns ErrIntent for unknown
// kinds and fields.
func (e *Envelope) UnmarshalJSON(body []byte) error {
	var raw envelope
	if err := decodeStrict(body, &raw); err != nil {
		return err
	}
	switch raw.Kind {
	case Shift{}.kind():
		return decodeInto[Shift](raw.Spec, e)
	case DrainHall{}.kind():
		return decodeInto[DrainHall](raw.Spec, e)
	case DrainUpstream{}.kind():
		return decodeInto[DrainUpstream](raw.Spec, e)
	case Cap{}.kind():
		return decodeInto[Cap](raw.Spec, e)
	}
	return errors.Wrapf(ErrIntent, "kind %q: allowed are shift, drain-hall, drain-upstream and cap", raw.Kind)
}

func decodeInto[T Intent](raw json.RawMessage, e *Envelope) error {
	var v T
	if err := decodeStrict(raw, &v); err != nil {
		return err
	}
	e.Intent = v
	return nil
}

// Find returns the move of an id in a traffic object, or nil.
func Find(t *spec.Traffic, moveID string) *spec.Move {
	for i := range t.Moves {
		if t.Moves[i].ID == moveID {
			return &t.Moves[i]
		}
	}
	return nil
}
