// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package object

import "github.com/cockroachdb/errors"

// Reason classifies why an object is not used. It is a metric label.
type Reason string

// Reasons for not using an object.
const (
	// ReasonUnreadable is for content that is not JSON or has fields of the wrong
	// type.
	ReasonUnreadable Reason = "unreadable"
	ReasonMissing    Reason = "field-missing"
	ReasonState      Reason = "state"
	ReasonAddress    Reason = "address"
	ReasonNumber     Reason = "number"
	ReasonName       Reason = "name"
	ReasonHall       Reason = "hall"
)

// Fault reports an object that is not used. Other objects are unaffected.
type Fault struct {
	reason Reason
	cause  error
}

// NewFault returns an error with a reason and a message for operators.
func NewFault(reason Reason, format string, args ...any) error {
	return &Fault{reason: reason, cause: errors.Newf(format, args...)}
}

// Reason returns the class of the error.
func (f *Fault) Reason() Reason { return f.reason }

// Error implements error.
func (f *Fault) Error() string { return string(f.reason) + ": " + f.cause.Error() }

// Unwrap returns the cause.
func (f *Fault) Unwrap() error { return f.cause }

// ReasonOf returns the reason of an InvalidError in err's chain, or
// ReasonUnreadable for any other error.
func ReasonOf(err error) Reason {
	var f *Fault
	if errors.As(err, &f) {
		return f.Reason()
	}
	return ReasonUnreadable
}
