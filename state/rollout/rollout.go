// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package rollout holds what is known of a new version of a service that is being
// brought in: the order, how far it has come, and how the answers of the new version
// compare with those of the old one.
//
// An Order is what an operator has asked for, as the platform's store has it. A Phase is
// how far it has come; phases only go forward, so that VMs which hear of them in any
// order end at the same one. A Report is what one VM, or several together, have seen of
// both versions.
//
// # Usage
//
//	sum := rollout.NewReport()
//	for _, r := range reports { sum.Join(r) }
//	fmt.Println(sum.Old["/pay/"].Failed, sum.InPhase(rollout.PhaseProved))
package rollout

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrVersion reports a text that is no version.
var ErrVersion = errors.New("rollout: not a version")

// Version orders the versions of a service's software. 0 is an unknown one.
type Version uint64

// ParseVersion reads the number of a version such as "v12".
func ParseVersion(text string) (Version, error) {
	digits := strings.TrimLeft(text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")
	number, err := strconv.ParseUint(digits, 10, 64)
	if err != nil || number == 0 {
		return 0, errors.Wrapf(ErrVersion, "%.64q", text)
	}
	return Version(number), nil
}

// Phase is how far an order has come. A later phase is a greater one.
type Phase uint8

// Phases.
const (
	// PhaseOrdered is an order of which nothing has been done yet.
	PhaseOrdered Phase = iota
	// PhaseTrial has a few workers of the new version serve a small part of the keys.
	PhaseTrial
	// PhaseShift has all workers of the new version serve all requests, as far as the
	// share that a new version may have at most lasts.
	PhaseShift
	// PhaseProved has the new version serve everything; the old workers finish what
	// they have.
	PhaseProved
	// PhaseRolledBack is an order whose version was found to be bad.
	PhaseRolledBack
	// PhaseCompleted is an order that is done. The old workers end.
	PhaseCompleted

	phases = iota
)

// String names the phase in logs.
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

// Final reports whether nothing follows the phase.
func (p Phase) Final() bool { return p >= PhaseRolledBack }

// Valid reports whether there is such a phase.
func (p Phase) Valid() bool { return p < phases }

// Order asks for a new version of a service.
type Order struct {
	Service string
	Version Version
	// Name is the version as the operator has written it.
	Name string
	// Duration is the time, from the order on, within which it is to be done.
	Duration time.Duration
	// Phase is PhaseOrdered, PhaseTrial for any phase under way, or a final one, as
	// the store has it.
	Phase Phase
	// Since is when the order was first seen by a VM that has said so in the store, by
	// that VM's time of day; the zero time if none has.
	Since time.Time
	// Revision is that of the store's entry.
	Revision uint64
}
