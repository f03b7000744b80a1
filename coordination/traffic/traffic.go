// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package traffic reads and changes the traffic object, wherever it is kept.
//
// The object is one, and each change is a write on the condition that nobody
// else has changed it since it was read. Change is for operators and writes
// again if only the controller was faster; Step is for the controller and gives
// up, since its next turn decides anew. Neither holds anything between calls, so
// any VM can do either at any time.
//
// # Usage
//
//	written, err := traffic.Change(ctx, store, newOperation, func(t spec.Traffic) (spec.Traffic, error) {
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
	"github.com/ryehill/ryehill/state/spec"
)

// Errors of a Store. Every other error means that the store is away or that its
// answer was lost before anything was written.
var (
	// ErrConflict reports a write whose condition did not hold.
	ErrConflict = errors.New("traffic: the object has changed meanwhile")
	// ErrUnresolved reports a write that may have taken effect, or still may.
	ErrUnresolved = errors.New("traffic: it is not known whether the write took effect")
	// ErrNoPlan reports a plan that is not kept.
	ErrNoPlan = errors.New("traffic: no such plan")
)

// Store keeps the traffic object and plans, and knows the halls. Its methods
// may be called by several goroutines.
type Store interface {
	// Read returns the traffic object and its version. Without one it is
	// empty at version 0.
	Read(ctx context.Context) (spec.Traffic, uint64, error)
	// Write replaces the object if it still has a version, 0 standing for
	// none, and returns the new version. The operation is an id of this write
	// alone, by which a write whose answer was lost is known again.
	Write(ctx context.Context, t spec.Traffic, version uint64, operation string) (uint64, error)
	// Halls returns the newest status of every hall.
	Halls(ctx context.Context) (map[string]load.HallStatus, error)
	// SavePlan keeps a plan, so that it can be confirmed at any VM.
	SavePlan(ctx context.Context, p intent.Plan, operation string) error
	// Plan returns a plan, or ErrNoPlan.
	Plan(ctx context.Context, id string) (intent.Plan, error)
}

// Written is the traffic object as it was written, and its version.
type Written struct {
	Traffic spec.Traffic
	Version uint64
}

// ErrInForce is for the function that Change is given: what it would change is
// in force already.
var ErrInForce = errors.New("traffic: in force already")

// maxWrites is how often a change is written again because the controller took
// a step in between.
const maxWrites = 4

// Change reads the object, applies a change and writes it on the condition that
// nobody else has. If the controller was faster, the change is made again from
// what it wrote; if it was another operator, apply says that the plan is void.
// It returns the error of apply as it is; with ErrInForce the object as it was
// read comes along.
func Change(ctx context.Context, s Store, operation func() string, apply func(spec.Traffic) (spec.Traffic, error)) (Written, error) {
	for number := 1; ; number++ {
		t, version, err := s.Read(ctx)
		if err != nil {
			return Written{}, errors.Wrap(err, "traffic: read")
		}
		next, err := apply(t)
		if err != nil {
			return Written{Traffic: t, Version: version}, err
		}
		written, err := s.Write(ctx, next, version, operation())
		if errors.Is(err, ErrConflict) && number < maxWrites {
			continue
		}
		return Written{Traffic: next, Version: written}, errors.Wrap(err, "traffic: write")
	}
}

// StepConfig is what a step rests on. All fields but Holds are required.
type StepConfig struct {
	Store     Store
	Fleet     *spec.Fleet
	Now       func() time.Time
	Operation func() string
	// Holds reports, after the reads, whether this VM still is the controller.
	// Nil is true.
	Holds func() bool
}

// Step takes every step of a move that is due, and returns what was written and
// why. Without any action nothing was written.
func Step(ctx context.Context, c StepConfig) (Written, []controller.Action, error) {
	t, version, err := c.Store.Read(ctx)
	if err != nil {
		return Written{}, nil, errors.Wrap(err, "traffic: read")
	}
	halls, err := c.Store.Halls(ctx)
	if err != nil {
		return Written{}, nil, errors.Wrap(err, "traffic: statuses")
	}
	next, actions := controller.Next(controller.Facts{Fleet: c.Fleet, Traffic: t, Version: version, Halls: halls, Now: c.Now()})
	if len(actions) == 0 || c.Holds != nil && !c.Holds() {
		return Written{}, nil, nil
	}
	written, err := c.Store.Write(ctx, next, version, c.Operation())
	if err != nil {
		return Written{}, nil, errors.Wrap(err, "traffic: write")
	}
	return Written{Traffic: next, Version: written}, actions, nil
}

// Busy reports whether any move may need a step.
func Busy(t *spec.Traffic) bool {
	for i := range t.Moves {
		if !t.Moves[i].Ended() {
			return true
		}
	}
	return false
}

// Holds reports whether the object holds the effects of an intent.
func Holds(t spec.Traffic, id string) bool {
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
