// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package traffic reads and updates the traffic object in a store.
//
// There is one object, and writes are conditional on its version (optimistic concurrency).
// Update is for operators and retries after a concurrent write of the controller. Step is
// for the controller and does not retry, since its next run decides anew. Neither keeps
// state between calls, so any VM may do either at any time.
//
// # Usage
//
//	written, err := traffic.Update(ctx, store, newOperation, func(t spec.Traffic) (spec.Traffic, error) {
//		return intent.Apply(plan, t, time.Now())
//	})
package traffic

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/controller"
	"github.com/ryehill/ryehill/coordination/intent"
	"github.com/ryehill/ryehill/state/load"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/spec"
)

// Errors of a Store. Any other error means that the store is unavailable or that the call
// failed before anything was written.
var (
	// ErrConflict reports a write whose version condition failed.
	ErrConflict = errors.New("traffic: object was modified concurrently")
	// ErrUnresolved reports a write that may have taken effect or may still do so.
	ErrUnresolved = errors.New("traffic: outcome of the write is unknown")
	// ErrNoPlan reports that a plan does not exist.
	ErrNoPlan = errors.New("traffic: plan does not exist")
)

// Store stores the traffic object and plans, and provides the status of halls. Its methods
// may be called concurrently.
type Store interface {
	// Read returns the traffic object and what a write that replaces it depends on. If
	// there is none, it returns an empty object and an empty Base.
	Read(ctx context.Context) (spec.Traffic, Base, error)
	// Write replaces the object if its version is that of the base, and returns the new
	// version. The operation is a unique id of this write, by which the store recognizes
	// a retry whose answer was lost.
	Write(ctx context.Context, t spec.Traffic, base Base, operation string) (object.Version, error)
	// Halls returns the latest status of every hall.
	Halls(ctx context.Context) (map[string]load.HallStatus, error)
	// SavePlan stores a plan, so that it can be confirmed at any VM.
	SavePlan(ctx context.Context, p intent.Plan, operation string) error
	// Plan returns a plan, or ErrNoPlan.
	Plan(ctx context.Context, id string) (intent.Plan, error)
}

// Base is what a write depends on: the state that it replaces.
type Base struct {
	// Version is that of the stored object, zero if there is none.
	Version object.Version
	// Edit is that of the traffic object.
	Edit uint64
	// Edits are the operations of the latest changes by operators that the object
	// includes, oldest first. A store may record none.
	Edits []string
}

// Result is the traffic object and its version after a write.
type Result struct {
	Traffic spec.Traffic
	Version object.Version
}

// ErrAlreadyInForce is returned by the apply function of Update if its change is already in
// force.
var ErrAlreadyInForce = errors.New("traffic: change is already in force")

// maxAttempts bounds the writes of one update under concurrent writes.
const maxAttempts = 4

// Update reads the object, applies a change and writes it if its version is unchanged.
// After a conflict it reads and applies again; apply rejects the plan if another operator
// has changed the object. Errors of apply are returned unchanged, together with the object
// as it was read.
func Update(ctx context.Context, s Store, newOperation func() string, apply func(spec.Traffic) (spec.Traffic, error)) (Result, error) {
	for attempt := 1; ; attempt++ {
		t, base, err := s.Read(ctx)
		if err != nil {
			return Result{}, errors.Wrap(err, "traffic: read object")
		}
		next, err := apply(t)
		if err != nil {
			return Result{Traffic: t, Version: base.Version}, err
		}
		written, err := s.Write(ctx, next, base, newOperation())
		if errors.Is(err, ErrConflict) && attempt < maxAttempts {
			continue
		}
		return Result{Traffic: next, Version: written}, errors.Wrap(err, "traffic: write object")
	}
}

// StepConfig configures Step. All fields except IsController are required.
type StepConfig struct {
	Store     Store
	Fleet     *spec.Fleet
	Now       func() time.Time
	Operation func() string
	// IsController reports, after the reads, whether this VM is still the controller. Nil means
	// yes.
	IsController func() bool
}

// Step takes all due steps of moves and returns the written object and the actions. If
// there are no actions, nothing was written.
func Step(ctx context.Context, c StepConfig) (Result, []controller.Action, error) {
	t, base, err := c.Store.Read(ctx)
	if err != nil {
		return Result{}, nil, errors.Wrap(err, "traffic: read object")
	}
	halls, err := c.Store.Halls(ctx)
	if err != nil {
		return Result{}, nil, errors.Wrap(err, "traffic: read hall statuses")
	}
	next, actions := controller.Next(controller.Facts{Fleet: c.Fleet, Traffic: t, Version: base.Version, Halls: halls, Now: c.Now()})
	if len(actions) == 0 || c.IsController != nil && !c.IsController() {
		return Result{}, nil, nil
	}
	written, err := c.Store.Write(ctx, next, base, c.Operation())
	if err != nil {
		return Result{}, nil, errors.Wrap(err, "traffic: write object")
	}
	return Result{Traffic: next, Version: written}, actions, nil
}

// HasActiveMoves reports whether any move has not ended.
func HasActiveMoves(t *spec.Traffic) bool {
	for i := range t.Moves {
		if !t.Moves[i].Ended() {
			return true
		}
	}
	return false
}

// HasIntent reports whether the object contains a move or cap of an intent.
func HasIntent(t spec.Traffic, id string) bool {
	for _, m := range t.Moves {
		if m.Intent == id {
			return true
		}
	}
	for _, c := range t.Caps {
		if c.ID == id {
			return true
		}
	}
	return false
}
