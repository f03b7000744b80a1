// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/protocol/outcome"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/attempt"
	"github.com/ryehill/ryehill/transport/peer"
)

// maxStoredResponse is the largest response body, in bytes, that is stored for a
// caller that repeats a request with the same ticket.
const maxStoredResponse = 16 << 10

// serveOnce serves a request that may run at most once. Its ticket is bound to
// one start of one VM; any other VM forwards the request to that one.
func (e *Engine) serveOnce(ctx context.Context, r *Request, sink Sink) serveResult {
	if r.Ticket == "" {
		return failedServe(notRun(outcome.CodeTicketRequired, "check ticket",
			errors.Newf("%s %s may run only once: send the ticket of a look-up in %s", r.Method, r.Service, outcome.HeaderTicket)))
	}
	ticket, err := attempt.ParseTicket(r.Ticket)
	if err != nil {
		return failedServe(notRun(outcome.CodeTicketRefused, "check ticket", err))
	}
	if ticket.VM() != e.cfg.Self.VM {
		return e.forwardToTicketVM(ctx, r, ticket.VM(), sink)
	}
	claim, firstUse, err := e.cfg.Attempts.Claim(ticket)
	switch {
	case err != nil:
		return failedServe(claimFailure(err))
	case firstUse:
		return e.runFirstUse(ctx, r, claim, sink)
	}
	return e.replayResponse(ctx, r, claim, sink)
}

func failedServe(f *outcome.Failure) serveResult { return serveResult{result: result{failure: f}} }

// claimFailure returns the failure for a ticket that cannot be claimed. The
// ticket may have been used, or be used later, so the outcome is unknown.
func claimFailure(err error) *outcome.Failure {
	return outcome.New(outcome.CodeAttemptUnknown, outcome.Unknown, "claim ticket", "", err)
}

// RefuseWithTicket returns the failure for a request that could not be parsed.
// The ticket may be empty; see consumeTicket.
func (e *Engine) RefuseWithTicket(ticket string, refusal *outcome.Failure) *outcome.Failure {
	return e.consumeTicket(&Request{Ticket: ticket}, refusal)
}

// consumeTicket uses up the ticket of a refused request, so that no later copy of
// the request can run and "not run" stays true. If the ticket was used before,
// the failure reports the state of that use. Tickets of other VMs cannot be used
// up here, so their outcome is unknown.
func (e *Engine) consumeTicket(r *Request, refusal *outcome.Failure) *outcome.Failure {
	if r.Ticket == "" {
		return refusal
	}
	ticket, err := attempt.ParseTicket(r.Ticket)
	if err != nil {
		return refusal // No VM accepts a malformed ticket.
	}
	claim, first, err := e.cfg.Attempts.Claim(ticket)
	if err != nil {
		return outcome.New(refusal.Code(), outcome.Unknown, refusal.Step(), ticket.VM(), refusal.Unwrap())
	}
	if first {
		claim.Finish(attempt.OutcomeNotRun, attempt.Answer{})
		return refusal
	}
	state, _ := claim.Result()
	return outcome.New(outcome.CodeAttemptEnded, runState(state), "ask again", "",
		errors.Newf("the first use of this ticket: %s", state))
}

// forwardToTicketVM forwards a request to the VM that its ticket names. If that
// VM does not report the outcome, the outcome is unknown.
func (e *Engine) forwardToTicketVM(ctx context.Context, r *Request, vm string, sink Sink) serveResult {
	header := r.Header
	r.Header = header.Clone()
	r.Header.Set(outcome.HeaderTicket, r.Ticket)
	res := e.tryPeer(ctx, r, vm, &peerpb.Open{Own: true}, "", sink)
	r.Header = header
	if res.failure != nil && !res.headSent && !res.reportedByPeer {
		res.failure = outcome.New(outcome.CodeAttemptUnknown, outcome.Unknown, "ask the VM of the ticket", vm, res.failure)
	}
	return serveResult{result: res}
}

// runFirstUse runs a request as the first use of its ticket.
func (e *Engine) runFirstUse(ctx context.Context, r *Request, claim *attempt.Claim, sink Sink) serveResult {
	out := serveResult{}
	recorder := &recordingSink{next: sink}
	defer func() {
		claim.Finish(attemptOutcome(out.failure), recorder.recorded(out.failure == nil))
	}()
	if r.Body.buffered {
		// The request is complete: continue if the caller disconnects, so that
		// the response can be stored for a repeat.
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), r.deadline.Add(peer.ProgressTimeout))
		defer cancel()
		recorder.ignoreDisconnect = true
	}
	out = serveResult{result: result{failure: outcome.New(outcome.CodeBroken, outcome.Unknown, "run", "", nil)}}
	out = e.runAttempts(ctx, r, recorder)
	return out
}

func attemptOutcome(f *outcome.Failure) attempt.Outcome {
	switch {
	case f == nil:
		return attempt.OutcomeRan
	case f.Run() == outcome.NotRun:
		return attempt.OutcomeNotRun
	}
	return attempt.OutcomeUnknown
}

// replayResponse responds to the repeat of a request with the stored response or,
// if there is none, with the state of the first use.
func (e *Engine) replayResponse(ctx context.Context, r *Request, claim *attempt.Claim, sink Sink) serveResult {
	timer := time.NewTimer(r.remaining(time.Now()))
	defer timer.Stop()
	select {
	case <-claim.Done():
	case <-timer.C:
	case <-ctx.Done():
	}
	state, response := claim.Result()
	if state == attempt.OutcomePending {
		return failedServe(outcome.New(outcome.CodeAttemptPending, outcome.Unknown, "ask again", "",
			errors.New("the first use of this ticket is still under way")).WithRetryAfter(time.Second))
	}
	if !response.Kept {
		return failedServe(outcome.New(outcome.CodeAttemptEnded, runState(state), "ask again", "",
			errors.Newf("the first use of this ticket has ended: %s", state)))
	}
	header := http.Header{}
	if response.ContentType != "" {
		header.Set("Content-Type", response.ContentType)
	}
	out := serveResult{result: result{headSent: true, status: response.Status, bytes: int64(len(response.Body))}}
	err := sink.Head(response.Status, header, int64(len(response.Body)))
	if err == nil {
		_, err = sink.Write(response.Body)
	}
	if err != nil {
		out.failure = callerDisconnected(err)
	}
	return out
}

func runState(o attempt.Outcome) outcome.Run {
	switch o {
	case attempt.OutcomeRan:
		return outcome.Ran
	case attempt.OutcomeNotRun:
		return outcome.NotRun
	case attempt.OutcomePending, attempt.OutcomeUnknown:
	}
	return outcome.Unknown
}

// recordingSink forwards a response and stores it if it is small.
type recordingSink struct {
	next Sink
	// ignoreDisconnect continues recording after the caller has disconnected.
	ignoreDisconnect bool
	disconnected     bool
	status           int
	contentType      string
	body             bytes.Buffer
	tooLarge         bool
}

// Head implements Sink.
func (s *recordingSink) Head(status int, header http.Header, length int64) error {
	s.status = status
	s.contentType = header.Get("Content-Type")
	return s.handleWriteError(s.next.Head(status, header, length))
}

// Write implements io.Writer.
func (s *recordingSink) Write(p []byte) (int, error) {
	if s.body.Len()+len(p) > maxStoredResponse {
		s.tooLarge = true
	}
	if !s.tooLarge {
		s.body.Write(p)
	}
	if s.disconnected {
		return len(p), nil
	}
	n, err := s.next.Write(p)
	if s.handleWriteError(err) == nil {
		return len(p), nil
	}
	return n, err
}

func (s *recordingSink) handleWriteError(err error) error {
	if err == nil || !s.ignoreDisconnect {
		return err
	}
	s.disconnected = true
	return nil
}

func (s *recordingSink) recorded(complete bool) attempt.Answer {
	return attempt.Answer{
		Status: s.status, ContentType: s.contentType, Body: s.body.Bytes(),
		Kept: complete && !s.tooLarge,
	}
}
