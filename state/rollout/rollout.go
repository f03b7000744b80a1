// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package rollout describes the rollout of a new version of a service: the order, its
// phase, and measurements that compare the new version with the old one.
//
// An Order is the operator's request as stored by the platform. A Phase is the progress
// of an order. Phases only advance, so that VMs which learn of them in any order agree in
// the end. A Report holds what one or several VMs have observed of both versions.
//
// # Usage
//
//	sum := rollout.NewReport()
//	for _, r := range reports { sum.Merge(r) }
//	fmt.Println(sum.Old["/pay/"].Failed, sum.VMsAtLeast(rollout.PhaseProved))
package rollout

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/state/object"
)

// ErrVersion reports a malformed version.
var ErrVersion = errors.New("rollout: malformed version")

// Version is the number of a software version of a service, 0 if unknown.
type Version uint64

// ParseVersion returns the number in a version such as "v12".
func ParseVersion(text string) (Version, error) {
	digits := strings.TrimLeft(text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")
	number, err := strconv.ParseUint(digits, 10, 64)
	if err != nil || number == 0 {
		return 0, errors.Wrapf(ErrVersion, "%.64q", text)
	}
	return Version(number), nil
}

// Phase is the progress of an order. Later phases have greater values.
type Phase uint8

// The phases, in the order in which they advance.
const (
	// PhaseOrdered is an order that has not been started.
	PhaseOrdered Phase = iota
	// PhaseTrial is the canary phase: a few workers of the new version serve a small
	// fraction of the keys.
	PhaseTrial
	// PhaseShift sends all requests to workers of the new version, as far as the
	// maximum share of an unproved version allows.
	PhaseShift
	// PhaseProved sends everything to the new version while the old workers finish
	// their requests.
	PhaseProved
	// PhaseRolledBack is an order that ended because its version was found to be bad.
	PhaseRolledBack
	// PhaseCompleted is an order that succeeded. The old workers shut down.
	PhaseCompleted

	phaseCount = iota
)

// String returns the name of the phase for logs.
func (p Phase) String() string {
	switch p {
	case PhaseOrdered:
		return "ordered"
	case PhaseTrial:
		return "trial"
	case PhaseShift:
		return "shift"
	case PhaseProved:
		return "proved"
	case PhaseRolledBack:
		return "rolled-back"
	case PhaseCompleted:
		return "completed"
	default:
		return "phase " + strconv.Itoa(int(p))
	}
}

// Final reports whether no other phase follows.
func (p Phase) Final() bool { return p >= PhaseRolledBack }

// Valid reports whether p is a known phase.
func (p Phase) Valid() bool { return p < phaseCount }

// Order is a request to roll out a new version of a service.
type Order struct {
	Service string
	Version Version
	// Name is the version as written by the operator.
	Name string
	// Duration is the time in which the rollout must finish, from the order on.
	Duration time.Duration
	// Phase is the stored phase: PhaseOrdered, PhaseTrial for any phase in progress, or
	// a final phase.
	Phase Phase
	// Since is when the first VM recorded the order in the store, by that VM's clock;
	// the zero time if none has.
	Since time.Time
	// Entry is the version of the store's entry.
	Entry object.Version
}
