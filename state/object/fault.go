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

// InvalidError reports an object that is not used. Other objects are unaffected.
type InvalidError struct {
	reason Reason
	cause  error
}

// NewInvalidError returns an error with a reason and a message for operators.
func NewInvalidError(reason Reason, format string, args ...any) error {
	return &InvalidError{reason: reason, cause: errors.Newf(format, args...)}
}

// Reason returns the class of the error.
func (f *InvalidError) Reason() Reason { return f.reason }

// Error implements error.
func (f *InvalidError) Error() string { return string(f.reason) + ": " + f.cause.Error() }

// Unwrap returns the cause.
func (f *InvalidError) Unwrap() error { return f.cause }

// ReasonOf returns the reason of an InvalidError in err's chain, or
// ReasonUnreadable for any other error.
func ReasonOf(err error) Reason {
	var f *InvalidError
	if errors.As(err, &f) {
		return f.Reason()
	}
	return ReasonUnreadable
}
