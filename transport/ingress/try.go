// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/coordination/retry"
	"github.com/ryehill/ryehill/state/load"
	"github.com/ryehill/ryehill/transport/upstream"
)

// impatience is the part of the time left after which a request that may be
// repeated is sent to another worker, if its own one has not answered.
const impatience = 0.55

// errImpatient ends a try whose worker has not answered for long.
var errImpatient = errors.New("ingress: the worker has not answered for long")

// failure is a try that brought no answer.
type failure struct {
	cause  retry.Cause
	notRun bool
	// unsent is set if no byte reached the worker.
	unsent bool
	// hungUp is set if the worker ended the connection before it answered.
	hungUp bool
	// clientLeft is set if the client had left before the try ended.
	clientLeft bool
	err        error
}

// run tries workers until one answers or no other try is allowed.
func (q *request) run(ctx context.Context) {
	var next *placement.Choice
	for number := 1; ; number++ {
		if q.refuseQuarantined() {
			if next != nil {
				next.Load().End()
			}
			return
		}
		s := q.handler.cfg.Snapshot()
		if next == nil {
			choice, refusal := q.place(s, number > 1)
			q.noteChoice(number, choice, refusal)
			if refusal != placement.RefusalNone {
				q.meterRefusal(choice)
				q.wait = choice.RetryAfter()
				q.refusePlacement(busyReason(refusal, q.handler.cfg.Placer.HasCapacity(s, q.placement())), number)
				return
			}
			next = &choice
		}
		var failed *failure
		current, begun := *next, q.handler.cfg.Now()
		failed, next = q.try(ctx, s, current, number)
		q.noteTry(number, current, begun, failed)
		if failed == nil {
			q.finish(reasonAnswered, q.status)
			return
		}
		q.mayHaveRun = q.mayHaveRun || !failed.notRun
		q.handler.cfg.Metrics.Tried(string(failed.cause))
		if q.headSent {
			q.abort(reasonBroken)
			return
		}
		if next != nil {
			continue // Decided while the worker was silent.
		}
		verdict := q.decide(ctx, failed, number)
		q.note("another try", string(verdict))
		if !verdict.Allowed() {
			q.fail(ctx, failed, verdict)
			return
		}
	}
}

// meterRefusal counts a request that found no room at the hall whose worker
// holds its key.
func (q *request) meterRefusal(c placement.Choice) {
	if considered := c.Considered(); len(considered) > 0 {
		meter := q.handler.cfg.Meters.Meter(considered[0].Hall)
		meter.Begin(q.service)
		meter.End(q.service, load.RequestResult{Refused: true})
	}
}

func (q *request) placement() placement.Request {
	return placement.Request{
		Service: q.service, Key: q.key, Keyed: q.keyed,
		Allows: q.allowsRegion, Tried: q.tried, Track: q.track, Priority: q.route.Priority,
	}
}

func (q *request) decide(ctx context.Context, f *failure, number int) retry.Decision {
	verdict := q.handler.budget(q.service).Decide(retry.Attempt{
		Number: number, MaxAttempts: q.route.MaxAttempts, Cause: f.cause, NotRun: f.notRun, Unsent: f.unsent,
		Idempotent: q.route.Repeatable, BodyConsumed: q.body.gone, DeadlinePassed: ctx.Err() != nil || q.left() <= 0, SuspectedCrash: q.suspect(f),
	})
	q.handler.cfg.Metrics.Retry(string(f.cause), string(verdict))
	return verdict
}

// try sends the request to one worker and passes its answer on. After a failure
// it may return the worker that is to be tried next.
func (q *request) try(ctx context.Context, s *placement.Snapshot, c placement.Choice, number int) (*failure, *placement.Choice) {
	w := c.Worker()
	q.tried = append(q.tried, w.ID)
	q.newKey = q.keyed && !q.handler.losses.sent(w.Incarnation(), q.key)
	held := c.Load()
	defer held.End()
	meter := q.handler.cfg.Meters.Meter(w.Hall)
	meter.Begin(w.Service)
	defer func() {
		meter.End(w.Service, load.RequestResult{Moved: c.Moved(), Bytes: max(q.body.length, 0) + q.answered})
	}()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	versioned := q.sentTo(c)
	stopWaiting := q.grantPatience(ctx, cancel, number)
	q.sent = q.handler.cfg.Now()
	answer, err := q.handler.cfg.Upstreams.Do(ctx, q.target(s, c), q.outgoing(w.ID))
	next := stopWaiting()
	if err != nil {
		failed := q.judge(c, err)
		versioned.failed(failed)
		return failed, next
	}
	if next != nil {
		next.Load().End() // The answer came at the last moment.
	}
	defer answer.Close()
	q.waiting = q.hear(c, answer.Status(), answer.Header())
	if answer.Renewed() {
		held.RecordAllConnectionsClosed()
	}
	held.ConfirmAlive(answer.Opened())
	held.RecordOutcome(failing(answer.Status()))
	q.noteAnswer(answer.Status())
	q.handler.cfg.Demand.RecordLatency(w.Service, q.since(q.sent))
	if err := q.passOn(answer); err != nil {
		held.RecordFailure()
		failed := &failure{cause: retry.CauseBroken, err: err}
		versioned.failed(failed)
		return failed, nil
	}
	versioned.answered(answer.Status())
	held.RecordResponse()
	return nil, nil
}

// grantPatience gives up a try of a repeatable request when its worker has been
// silent for long, another try is allowed, and another worker has room. A
// stopping VM waits on: what its workers are at work on is not broken off. The
// returned function ends the wait and returns the worker to be tried next, if
// the try was given up.
func (q *request) grantPatience(ctx context.Context, cancel context.CancelCauseFunc, number int) func() *placement.Choice {
	if !q.route.Repeatable || number >= q.route.MaxAttempts || q.body.rest != nil {
		return func() *placement.Choice { return nil }
	}
	var next *placement.Choice
	done := make(chan struct{})
	timer := time.AfterFunc(time.Duration(float64(q.left())*impatience), func() {
		defer close(done)
		if next = q.nextWorker(ctx, number); next != nil {
			cancel(errImpatient)
		}
	})
	return func() *placement.Choice {
		if !timer.Stop() {
			<-done
		}
		return next
	}
}

// nextWorker finds a worker for another try, if one is allowed.
func (q *request) nextWorker(ctx context.Context, number int) *placement.Choice {
	if q.handler.stopping.Load() {
		return nil
	}
	choice, refusal := q.place(q.handler.cfg.Snapshot(), true)
	if refusal != placement.RefusalNone {
		return nil
	}
	if !q.decide(ctx, &failure{cause: retry.CauseBroken}, number).Allowed() {
		q.withdraw()
		choice.Load().End()
		return nil
	}
	return &choice
}

func (q *request) target(s *placement.Snapshot, c placement.Choice) upstream.Worker {
	w := c.Worker()
	service, _ := s.Routes.Service(w.Service)
	connections := 0
	if service.MaxConnections > 0 {
		connections = max(service.MaxConnections/q.handler.cfg.VMs(), 2)
	}
	return upstream.Worker{ID: w.ID, Start: w.Start, Address: w.Address, Connections: connections}
}

func (q *request) outgoing(workerID string) *upstream.Request {
	header := q.in.Header.Clone()
	stripHopByHop(header)
	header.Del("Expect")
	if q.hideKey {
		q.handler.cfg.Dialect.SetWorkspace(header, q.workspace.Name())
	}
	q.handler.cfg.Dialect.Address(header, workerID, q.left())
	return &upstream.Request{
		Method: q.in.Method, Target: q.in.RequestURI, Host: q.in.Host, Header: header,
		Body: q.body.reader(), Length: q.body.length, Once: !q.route.Repeatable,
	}
}

// judge says what a failed send means and notes it of the worker.
func (q *request) judge(c placement.Choice, err error) *failure {
	f := &failure{cause: retry.CauseBroken, err: err}
	var failed *upstream.Error
	if !errors.As(err, &failed) {
		return f
	}
	f.notRun = failed.NotRun()
	f.unsent = failed.Kind() == upstream.KindUnreachable || failed.Kind() == upstream.KindBusy
	if failed.Kind() != upstream.KindOther { // Else another worker says it of itself.
		q.hear(c, failed.Status(), failed.Header())
	}
	left := q.in.Context().Err() != nil
	f.clientLeft = left
	switch failed.Kind() {
	case upstream.KindShed, upstream.KindBusy:
		f.cause = retry.CauseShed
	case upstream.KindLeaving:
		f.cause = retry.CauseLeaving
		c.Load().RecordFailure()
	case upstream.KindUnreachable:
		f.cause = retry.CauseUnreachable
		if !left {
			c.Load().RecordFailure()
			c.Load().RecordOutcome(true)
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			c.Load().RecordConnectionRefused()
		}
	case upstream.KindOther:
		f.cause = retry.CauseUnreachable
		c.Load().MarkAddressReused()
	case upstream.KindBroken:
		if !left {
			c.Load().RecordFailure()
			c.Load().RecordOutcome(!ranOut(err))
		}
		if !left && failed.HungUp() {
			f.hungUp = true
			c.Load().RecordConnectionClosed()
			q.noteHangUp(c)
		}
	case upstream.KindBody:
	}
	return f
}

// failing reports whether a status speaks against the worker that answers with
// it. A gateway timeout does not: the time was over, as it is at any worker while
// there is more work than slots, and to spare one would press the others.
func failing(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout
}

// ranOut reports whether a try ended because its time was over.
func ranOut(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// stripHopByHop removes the headers that concern one connection only.
func stripHopByHop(h http.Header) {
	for _, value := range h.Values("Connection") {
		for _, name := range splitList(value) {
			h.Del(name)
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
	} {
		h.Del(name)
	}
}
