// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package outcome defines the answers that ryehill itself generates when there is
// no upstream's answer.
//
// Every such answer is JSON with a stable code. It states in the field outcome and
// in the header Ryehill-Outcome whether the request was run:
//
//   - not-run: no upstream ran it and none will;
//   - unknown: an upstream may have run it.
//
// An upstream's answer carries Ryehill-Outcome: ran.
//
// # Usage
//
//	f := outcome.New(outcome.CodeFull, outcome.NotRun, "reserve", "", err)
//	outcome.Write(w, f.WithRetryAfter(time.Second))
package outcome

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Headers of requests and answers. Callers may set HeaderTicket and HeaderClient
// only; all other headers that begin with HeaderPrefix are removed from requests.
const (
	HeaderPrefix   = "Ryehill-"
	HeaderTicket   = "Ryehill-Ticket"
	HeaderClient   = "Ryehill-Client"
	HeaderOutcome  = "Ryehill-Outcome"
	HeaderDecision = "Ryehill-Decision"
	HeaderHall     = "Ryehill-Hall"
)

// Run states whether an upstream ran the request.
type Run string

// Values of Run.
const (
	Ran     Run = "ran"
	NotRun  Run = "not-run"
	Unknown Run = "unknown"
)

// Code is a stable identifier of a failure.
type Code string

// Codes. Each has an HTTP status in the statuses table.
const (
	CodeBadRequest      Code = "bad-request"
	CodeUnauthorized    Code = "unauthorized"
	CodeNotFound        Code = "not-found"
	CodeUnknownService  Code = "unknown-service"
	CodeNoBlock         Code = "no-block"
	CodeNoVM            Code = "no-vm"
	CodeTicketRequired  Code = "ticket-required"
	CodeTicketRefused   Code = "ticket-refused"
	CodeAttemptPending  Code = "attempt-pending"
	CodeAttemptUnknown  Code = "attempt-unknown"
	CodeAttemptEnded    Code = "attempt-ended"
	CodeFull            Code = "full"
	CodeNoUpstream      Code = "no-upstream"
	CodeDeadline        Code = "deadline"
	CodeStopping        Code = "stopping"
	CodeBroken          Code = "broken"
	CodeTooLarge        Code = "too-large"
	CodePeer            Code = "peer"
	CodePlatform        Code = "platform"
	CodePlanAgain       Code = "plan-again"
	CodePlanRefused     Code = "plan-refused"
	CodeNotConfigured   Code = "not-configured"
	CodeWriteUnresolved Code = "write-unresolved"
)

var statuses = map[Code]int{
	CodeBadRequest:      http.StatusBadRequest,
	CodeUnauthorized:    http.StatusUnauthorized,
	CodeNotFound:        http.StatusNotFound,
	CodeUnknownService:  http.StatusNotFound,
	CodeNoBlock:         http.StatusNotFound,
	CodeNoVM:            http.StatusServiceUnavailable,
	CodeTicketRequired:  http.StatusPreconditionRequired,
	CodeTicketRefused:   http.StatusConflict,
	CodeAttemptPending:  http.StatusConflict,
	CodeAttemptUnknown:  http.StatusBadGateway,
	CodeAttemptEnded:    http.StatusConflict,
	CodeFull:            http.StatusServiceUnavailable,
	CodeNoUpstream:      http.StatusServiceUnavailable,
	CodeDeadline:        http.StatusGatewayTimeout,
	CodeStopping:        http.StatusServiceUnavailable,
	CodeBroken:          http.StatusBadGateway,
	CodeTooLarge:        http.StatusRequestEntityTooLarge,
	CodePeer:            http.StatusBadGateway,
	CodePlatform:        http.StatusServiceUnavailable,
	CodePlanAgain:       http.StatusConflict,
	CodePlanRefused:     http.StatusUnprocessableEntity,
	CodeNotConfigured:   http.StatusServiceUnavailable,
	CodeWriteUnresolved: http.StatusGatewayTimeout,
}

// Status returns the HTTP status of a code.
func (c Code) Status() int {
	if status, ok := statuses[c]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Failure is the error behind every answer that ryehill itself generates. Step and
// peer identify where it occurred.
type Failure struct {
	code       Code
	run        Run
	step       string
	peer       string
	retryAfter time.Duration
	cause      error
}

// New returns a failure. The peer may be empty.
func New(code Code, run Run, step, peer string, cause error) *Failure {
	return &Failure{code: code, run: run, step: step, peer: peer, cause: cause}
}

// WithRetryAfter returns a copy of the failure with a delay after which to retry.
func (f *Failure) WithRetryAfter(d time.Duration) *Failure {
	next := *f
	next.retryAfter = d
	return &next
}

// Code returns the failure's code.
func (f *Failure) Code() Code { return f.code }

// Run returns whether the request was run.
func (f *Failure) Run() Run { return f.run }

// Step returns the step at which the failure occurred.
func (f *Failure) Step() string { return f.step }

// Peer returns the peer at which the failure occurred, or "".
func (f *Failure) Peer() string { return f.peer }

// RetryAfter returns the delay after which to retry, or 0.
func (f *Failure) RetryAfter() time.Duration { return f.retryAfter }

// Error implements error.
func (f *Failure) Error() string {
	text := string(f.code) + " at " + f.step
	if f.peer != "" {
		text += " (" + f.peer + ")"
	}
	if f.cause != nil {
		text += ": " + f.cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

// FromError returns the Failure in err's chain, or a new one with code CodeBroken and an
// unknown outcome.
func FromError(err error, step string) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return New(CodeBroken, Unknown, step, "", err)
}

// Body is the JSON form of a failure.
type Body struct {
	Code       Code   `json:"code"`
	Outcome    Run    `json:"outcome"`
	Step       string `json:"step"`
	Peer       string `json:"peer,omitempty"`
	Message    string `json:"message"`
	Decision   string `json:"decision,omitempty"`
	RetryAfter int64  `json:"retry_after_ms,omitempty"`
}

// Body returns the JSON form.
func (f *Failure) Body() Body {
	message := string(f.code)
	if f.cause != nil {
		message = f.cause.Error()
	}
	return Body{
		Code: f.code, Outcome: f.run, Step: f.step, Peer: f.peer,
		Message: message, RetryAfter: f.retryAfter.Milliseconds(),
	}
}

// Write responds to a request with a failure.
func Write(w http.ResponseWriter, f *Failure) {
	body := f.Body()
	body.Decision = w.Header().Get(HeaderDecision)
	if f.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
	}
	w.Header().Set(HeaderOutcome, string(f.run))
	WriteJSON(w, f.code.Status(), body)
}

// WriteJSON responds with a JSON value.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, "encode: "+err.Error(), http.StatusInternalServerError)
		return
	}
	body = append(body, '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
