// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package intent turns an operator's intent into a plan, and a confirmed plan into
// changes of the traffic object.
//
// An Intent is one of Shift, DrainHall, DrainUpstream and Cap. MakePlan returns a
// Plan with the moves and their steps, the predicted load of each hall and link,
// the remaining headroom, the duration, and the conditions that would pause or stop
// it. Making a plan changes nothing. A plan that exceeds the capacity is rejected
// with a *Refusal that holds the numbers. Apply adds a confirmed plan to the
// traffic object if that still has the edit that the plan was made from.
//
// # Usage
//
//	plan, err := intent.MakePlan(intent.Shift{Service: "lookup", From: "a", To: "b", ...}, facts)
//	traffic, err = intent.Apply(plan, traffic, now)
package intent

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/state/share"
	"github.com/ryehill/ryehill/state/spec"
)

// ErrInvalidIntent reports an intent that cannot be decoded or refers to something that
// does not exist.
var ErrInvalidIntent = errors.New("intent: invalid intent")

// Intent is an operator's request: Shift, DrainHall, DrainUpstream or Cap.
type Intent interface{ kind() string }

// Shift moves a share of a service's requests from one hall to another.
type Shift struct {
	Service string    `json:"service"`
	From    string    `json:"from"`
	To      string    `json:"to"`
	Share   share.PPM `json:"share"`
	// Cap bounds the share in force. Default: Share.
	Cap *share.PPM `json:"cap,omitempty"`
	// Step is the largest increase in one step. Default 5%.
	Step share.PPM `json:"step,omitempty"`
}

// DrainHall moves all requests out of a hall, to halls with spare slots.
type DrainHall struct {
	Hall string `json:"hall"`
	// Step is the largest increase in one step. Default 20%.
	Step share.PPM `json:"step,omitempty"`
}

// DrainUpstream withholds new requests from a worker until the drain is stopped.
type DrainUpstream struct {
	Upstream string `json:"upstream"`
}

// Cap limits the combined share of the moves that it covers, including moves in
// progress.
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

type rawEnvelope struct {
	Kind string          `json:"kind"`
	Spec json.RawMessage `json:"spec"`
}

// MarshalJSON implements json.Marshaler.
func (e Envelope) MarshalJSON() ([]byte, error) {
	raw, err := json.Marshal(e.Intent)
	if err != nil {
		return nil, errors.Wrap(err, "intent: encode")
	}
	return json.Marshal(rawEnvelope{Kind: e.Intent.kind(), Spec: raw})
}

// UnmarshalJSON implements json.Unmarshaler. It returns ErrInvalidIntent for
// unknown kinds and fields.
func (e *Envelope) UnmarshalJSON(body []byte) error {
	var raw rawEnvelope
	if err := decodeStrict(body, &raw); err != nil {
		return err
	}
	switch raw.Kind {
	case Shift{}.kind():
		return decodeSpec[Shift](raw.Spec, e)
	case DrainHall{}.kind():
		return decodeSpec[DrainHall](raw.Spec, e)
	case DrainUpstream{}.kind():
		return decodeSpec[DrainUpstream](raw.Spec, e)
	case Cap{}.kind():
		return decodeSpec[Cap](raw.Spec, e)
	}
	return errors.Wrapf(ErrInvalidIntent, "kind %q: allowed are shift, drain-hall, drain-upstream and cap", raw.Kind)
}

func decodeSpec[T Intent](raw json.RawMessage, e *Envelope) error {
	var v T
	if err := decodeStrict(raw, &v); err != nil {
		return err
	}
	e.Intent = v
	return nil
}

// FindMove returns the move with an id in a traffic object, or nil.
func FindMove(t *spec.Traffic, moveID string) *spec.Move {
	for i := range t.Moves {
		if t.Moves[i].ID == moveID {
			return &t.Moves[i]
		}
	}
	return nil
}
