// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package object

import "github.com/cockroachdb/errors"

// Reason says why an object is not used, as counted in metrics.
type Reason string

// Reasons.
const (
	// ReasonUnreadable is for content that is no JSON, or has fields of other types.
	ReasonUnreadable Reason = "unreadable"
	ReasonMissing    Reason = "field-missing"
	ReasonState      Reason = "state"
	ReasonAddress    Reason = "address"
	ReasonNumber     Reason = "number"
	ReasonName       Reason = "name"
	ReasonHall       Reason = "hall"
)

// Fault is why an object is not used. All others hold beside it.
type Fault struct {
	reason Reason
	cause  error
}

// NewFault returns a fault with a text for operators.
func NewFault(reason Reason, format string, args ...any) error {
	return &Fault{reason: reason, cause: errors.Newf(format, args...)}
}

// Reason returns why the object is not used.
func (f *Fault) Reason() Reason { return f.reason }

// Error implements error.
func (f *Fault) Error() string { return string(f.reason) + ": " + f.cause.Error() }

// Unwrap returns the cause.
func (f *Fault) Unwrap() error { return f.cause }

// ReasonOf returns the reason of a fault, ReasonUnreadable for any other error.
func ReasonOf(err error) Reason {
	var f *Fault
	if errors.As(err, &f) {
		return f.Reason()
	}
	return ReasonUnreadable
}
