// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Observer is notified of what connections to workers show. Its methods must return
// quickly and be safe for concurrent use.
type Observer interface {
	// Opened reports that a connection was opened.
	Opened(w Worker)
	// OpenFailed reports that a worker could not be connected to. Limits of this machine
	// and cancellations by the caller are not reported.
	OpenFailed(w Worker, err error)
	// Responded reports a response header on a connection that was opened at a time.
	Responded(w Worker, opened time.Time)
	// Broken reports that a connection failed under an exchange that began at a time, though
	// neither the caller nor this client had closed it.
	Broken(w Worker, begun time.Time, err error)
	// Unanswered reports that an exchange was canceled or timed out after the worker had
	// not answered for a while, on a connection that seemed sound.
	Unanswered(w Worker)
}

// noObserver is the default Observer of a Client.
type noObserver struct{}

func (noObserver) Opened(Worker)                   {}
func (noObserver) OpenFailed(Worker, error)        {}
func (noObserver) Responded(Worker, time.Time)     {}
func (noObserver) Broken(Worker, time.Time, error) {}
func (noObserver) Unanswered(Worker)               {}

// Results of connections, as shown in metrics.
const (
	ResultRefused  = "refused"
	ResultReset    = "reset"
	ResultTimedOut = "timed out"
	ResultFailed   = "failed"
)

// ConnectionResult classifies the error of OpenFailed or Broken.
func ConnectionResult(err error) string {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return ResultRefused
	case isPeerClosed(err):
		return ResultReset
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return ResultTimedOut
	}
	return ResultFailed
}

// isConnectionFailure reports whether an exchange ended because its connection failed, as
// opposed to a timeout of the exchange or a malformed response.
func isConnectionFailure(err error) bool {
	return isPeerClosed(err) || errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}
