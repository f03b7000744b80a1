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
)

// maxKeptAnswer is the largest answer, in bytes, that is kept for a caller who
// asks again with the same ticket.
const maxKeptAnswer = 16 << 10

// serveOnce carries a request that may run at most once. Its ticket binds it to
// one start of one VM; elsewhere it is passed to that VM.
func (e *Engine) serveOnce(ctx context.Context, r *Request, sink Sink) served {
	if r.Ticket == "" {
		return refusedServe(notRun(outcome.CodeTicketRequired, "check ticket",
			errors.Newf("%s %s may run only once: send the ticket of a look-up in %s", r.Method, r.Service, outcome.HeaderTicket)))
	}
	ticket, err := attempt.ParseTicket(r.Ticket)
	if err != nil {
		return refusedServe(notRun(outcome.CodeTicketRefused, "check ticket", err))
	}
	if ticket.VM() != e.cfg.Self.VM {
		return e.passOn(ctx, r, ticket.VM(), sink)
	}
	claim, first, err := e.cfg.Attempts.Claim(ticket)
	switch {
	case err != nil:
		return refusedServe(ticketFailure(err))
	case first:
		return e.runClaim(ctx, r, claim, sink)
	}
	return e.repeatClaim(ctx, r, claim, sink)
}

func refusedServe(f *outcome.Failure) served { return served{result: result{failure: f}} }

// ticketFailure says what a ticket means that cannot be claimed: it may have
// been used before, or be used yet, so nothing is known of its request.
func ticketFailure(err error) *outcome.Failure {
	return outcome.New(outcome.CodeAttemptUnknown, outcome.Unknown, "claim ticket", "", err)
}

// Refuse turns the refusal of a request that could not even be read into what
// may be said of its ticket, which may be empty; see refuseTicket.
func (e *Engine) Refuse(ticket string, refusal *outcome.Failure) *outcome.Failure {
	return e.refuseTicket(&Request{Ticket: ticket}, refusal)
}

// refuseTicket makes sure that "not run" stays true for a request that is
// refused at the door: its ticket is used up, so that no copy of the request
// that comes later can run. If it was used before, that use decides what is
// said. Tickets of other VMs are out of reach, so nothing is known of theirs.
func (e *Engine) refuseTicket(r *Request, refusal *outcome.Failure) *outcome.Failure {
	if r.Ticket == "" {
		return refusal
	}
	ticket, err := attempt.ParseTicket(r.Ticket)
	if err != nil {
		return refusal // No VM accepts it.
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
	return outcome.New(outcome.CodeAttemptEnded, runOf(state), "ask again", "",
		errors.Newf("the first use of this ticket: %s", state))
}

// passOn sends the request to the VM that its ticket names. If that VM cannot
// say what became of it, nobody can.
func (e *Engine) passOn(ctx context.Context, r *Request, vm string, sink Sink) served {
	header := r.Header
	r.Header = header.Clone()
	r.Header.Set(outcome.HeaderTicket, r.Ticket)
	res := e.tryPeer(ctx, r, vm, &peerpb.Open{Own: true}, "", sink)
	r.Header = header
	if res.failure != nil && !res.headSent && !res.told {
		res.failure = outcome.New(outcome.CodeAttemptUnknown, outcome.Unknown, "ask the VM of the ticket", vm, res.failure)
	}
	return served{result: res}
}

// runClaim runs the first use of a ticket.
func (e *Engine) runClaim(ctx context.Context, r *Request, claim *attempt.Claim, sink Sink) served {
	out := served{}
	recorder := &recordingSink{next: sink}
	defer func() {
		claim.Finish(outcomeOf(out.failure), recorder.answer(out.failure == nil))
	}()
	if r.Body.buffered {
		// The whole request is here: go on if the caller goes away, so that
		// an answer can be given when it asks again.
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), r.deadline.Add(progressTime))
		defer cancel()
		recorder.tolerant = true
	}
	out = served{result: result{failure: outcome.New(outcome.CodeBroken, outcome.Unknown, "run", "", nil)}}
	out = e.run(ctx, r, recorder)
	return out
}

func outcomeOf(f *outcome.Failure) attempt.Outcome {
	switch {
	case f == nil:
		return attempt.OutcomeRan
	case f.Run() == outcome.NotRun:
		return attempt.OutcomeNotRun
	}
	return attempt.OutcomeUnknown
}

// repeatClaim answers a caller who asks again: with the kept answer, or with
// what is known.
func (e *Engine) repeatClaim(ctx context.Context, r *Request, claim *attempt.Claim, sink Sink) served {
	timer := time.NewTimer(r.remaining(time.Now()))
	defer timer.Stop()
	select {
	case <-claim.Done():
	case <-timer.C:
	case <-ctx.Done():
	}
	state, answer := claim.Result()
	if state == attempt.OutcomePending {
		return refusedServe(outcome.New(outcome.CodeAttemptPending, outcome.Unknown, "ask again", "",
			errors.New("the first use of this ticket is still under way")).WithRetryAfter(time.Second))
	}
	if !answer.Kept {
		return refusedServe(outcome.New(outcome.CodeAttemptEnded, runOf(state), "ask again", "",
			errors.Newf("the first use of this ticket has ended: %s", state)))
	}
	header := http.Header{}
	if answer.ContentType != "" {
		header.Set("Content-Type", answer.ContentType)
	}
	out := served{result: result{headSent: true, status: answer.Status, bytes: int64(len(answer.Body))}}
	err := sink.Head(answer.Status, header, int64(len(answer.Body)))
	if err == nil {
		_, err = sink.Write(answer.Body)
	}
	if err != nil {
		out.failure = callerGone(err)
	}
	return out
}

func runOf(o attempt.Outcome) outcome.Run {
	switch o {
	case attempt.OutcomeRan:
		return outcome.Ran
	case attempt.OutcomeNotRun:
		return outcome.NotRun
	case attempt.OutcomePending, attempt.OutcomeUnknown:
	}
	return outcome.Unknown
}

// recordingSink keeps a small answer while it passes it on.
type recordingSink struct {
	next Sink
	// tolerant goes on recording after the caller has gone.
	tolerant bool
	gone     bool
	status   int
	content  string
	body     bytes.Buffer
	tooLarge bool
}

// Head implements Sink.
func (s *recordingSink) Head(status int, header http.Header, length int64) error {
	s.status = status
	s.content = header.Get("Content-Type")
	return s.note(s.next.Head(status, header, length))
}

// Write implements io.Writer.
func (s *recordingSink) Write(p []byte) (int, error) {
	if s.body.Len()+len(p) > maxKeptAnswer {
		s.tooLarge = true
	}
	if !s.tooLarge {
		s.body.Write(p)
	}
	if s.gone {
		return len(p), nil
	}
	n, err := s.next.Write(p)
	if s.note(err) == nil {
		return len(p), nil
	}
	return n, err
}

func (s *recordingSink) note(err error) error {
	if err == nil || !s.tolerant {
		return err
	}
	s.gone = true
	return nil
}

func (s *recordingSink) answer(whole bool) attempt.Answer {
	return attempt.Answer{
		Status: s.status, ContentType: s.content, Body: s.body.Bytes(),
		Kept: whole && !s.tooLarge,
	}
}
