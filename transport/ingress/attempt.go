// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/coordination/retry"
	"github.com/ryehill/ryehill/state/load"
	"github.com/ryehill/ryehill/state/worker"
	"github.com/ryehill/ryehill/transport/upstream"
)

// failure describes an attempt without a response.
type failure struct {
	cause  retry.Cause
	notRun bool
	// unsent is set if no byte was sent to the worker.
	unsent bool
	// peerClosed is set if the worker closed the connection before it responded.
	peerClosed bool
	// clientGone is set if the client had disconnected before the attempt ended.
	clientGone bool
	// ownPath is set if this VM's own path to the workers failed.
	ownPath bool
	// final is set if another attempt would fail for the same reason.
	final bool
	err   error
}

// sendWithRetries makes attempts until a worker responds or no retry is allowed.
func (q *request) sendWithRetries(ctx context.Context) {
	var next *placement.Choice
	for attemptNumber := 1; ; attemptNumber++ {
		if q.refuseQuarantined() {
			if next != nil {
				next.Load().End()
			}
			return
		}
		s := q.handler.cfg.Snapshot()
		if next == nil {
			choice, refusal := q.place(s, attemptNumber > 1)
			q.recordChoice(attemptNumber, choice, refusal)
			if refusal != placement.RefusalNone {
				q.countRefusal(choice)
				q.countRankRefusal(refusal)
				q.retryAfter = choice.RetryAfter()
				q.refusePlacement(busyReason(refusal, q.handler.cfg.Placer.HasCapacity(s, q.placementRequest())), attemptNumber)
				return
			}
			next = &choice
		}
		var failed *failure
		current, started := *next, q.handler.cfg.Now()
		failed, next = q.attempt(ctx, s, current, attemptNumber)
		q.recordAttempt(attemptNumber, current, started, failed)
		if failed == nil {
			q.recordOutcome(reasonAnswered, q.status)
			return
		}
		q.mayHaveRun = q.mayHaveRun || !failed.notRun
		q.handler.cfg.Metrics.Tried(string(failed.cause))
		if q.headSent {
			q.abort(reasonUpstreamBroken)
			return
		}
		if next != nil {
			continue // The retry was decided when the silence timer fired.
		}
		verdict := q.decideRetry(ctx, failed, attemptNumber)
		q.addInput("another try", string(verdict))
		if !verdict.Allowed() {
			if failed.final {
				q.retryAfter = isolatedRetryAfter
			}
			q.respondFailed(ctx, failed, verdict)
			return
		}
	}
}

// countRefusal counts a refused request in the hall of the worker that was considered
// first.
func (q *request) countRefusal(c placement.Choice) {
	if considered := c.Considered(); len(considered) > 0 {
		meter := q.handler.cfg.HallMeters.Meter(considered[0].Hall)
		meter.Begin(q.service)
		meter.End(q.service, load.RequestResult{Refused: true})
	}
}

func (q *request) placementRequest() placement.Request {
	return placement.Request{
		Service: q.service, Key: q.key, Keyed: q.keyed,
		Allows: q.allowsRegion, Tried: q.tried, Track: q.track,
		Rank: q.rank, Ranks: q.ranks, TimeLeft: q.objectiveLeft(), Priority: q.permitPriority(),
	}
}

func (q *request) decideRetry(ctx context.Context, f *failure, attemptNumber int) retry.Decision {
	verdict := q.handler.budget(q.service).Decide(retry.Attempt{
		Number: attemptNumber, MaxAttempts: q.route.MaxAttempts, Cause: f.cause, NotRun: f.notRun, Unsent: f.unsent,
		Idempotent: q.route.Repeatable, BodyConsumed: q.body.consumed, DeadlinePassed: ctx.Err() != nil || q.remaining() <= 0, SuspectedCrash: q.suspected(f), Final: f.final,
	})
	q.handler.cfg.Metrics.Retry(string(f.cause), string(verdict))
	return verdict
}

// attempt sends the request to one worker and forwards its response. After a failure
// it may return the worker for the next attempt.
func (q *request) attempt(ctx context.Context, s *placement.Snapshot, c placement.Choice, attemptNumber int) (*failure, *placement.Choice) {
	w := c.Worker()
	q.tried = append(q.tried, w.ID)
	q.keyNewToWorker = q.keyed && !q.handler.losses.markSent(w.Incarnation(), q.key)
	workerLoad := c.Load()
	endLoad := sync.OnceFunc(workerLoad.End)
	defer endLoad()
	meter := q.handler.cfg.HallMeters.Meter(w.Hall)
	meter.Begin(w.Service)
	defer func() {
		meter.End(w.Service, load.RequestResult{Moved: c.Moved(), Bytes: max(q.body.length, 0) + q.responseBytes})
	}()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	trackedAttempt := q.startRolloutAttempt(c)
	stopTimer := q.startSilenceTimer(ctx, cancel, attemptNumber)
	q.sentAt = q.handler.cfg.Now()
	target := q.handler.target(s, w)
	res, err := q.exchange(ctx, c, target)
	next := stopTimer()
	if err != nil {
		failed := q.classifyFailure(c, target, err)
		trackedAttempt.failed(failed, q.handler.cfg.Reach)
		return failed, next
	}
	if next != nil {
		next.Load().End() // The response arrived while the timer fired.
	}
	defer res.Close()
	q.workerQueue = q.signals(c).read(res.Status(), res.Header())
	if q.proxy == "" {
		q.readConnection(c, res)
	}
	workerLoad.RecordOutcome(countsAgainstWorker(res.Status()))
	q.reportAnswered(res.Status())
	q.handler.cfg.Demand.RecordLatency(w.Service, q.elapsed(q.sentAt))
	if !countsAgainstWorker(res.Status()) && q.proxy == "" {
		q.handler.cfg.Placer.RecordRunTime(q.placementRequest(), c, q.elapsed(q.sentAt))
	}
	// The end of ctx stops the worker. The client may take longer to accept what was read.
	defer context.AfterFunc(ctx, endLoad)()
	if err := q.forwardResponse(res); err != nil {
		failed := &failure{cause: retry.CauseBroken, err: err, clientGone: q.req.Context().Err() != nil}
		if !failed.clientGone {
			workerLoad.RecordFailure()
		}
		trackedAttempt.failed(failed, q.handler.cfg.Reach)
		return failed, nil
	}
	trackedAttempt.answered(res.Status(), q.proxy != "")
	workerLoad.RecordResponse()
	return nil, nil
}

// readConnection updates what this VM knows of a worker's process from the connection of a
// response.
func (q *request) readConnection(c placement.Choice, res *upstream.Response) {
	q.handler.recordConnection(responded{requestID: q.id, worker: c.Worker(), load: c.Load(), reconnected: res.Reconnected(), opened: res.ConnectionOpened()})
}

func (h *Handler) target(s *placement.Snapshot, w worker.Worker) upstream.Worker {
	service, _ := s.Routes.Service(w.Service)
	connections := 0
	if service.MaxConnections > 0 {
		connections = max(service.MaxConnections/h.cfg.VMCount(), 2)
	}
	return upstream.Worker{ID: w.ID, Start: w.Start, Address: w.Address, MaxConnections: connections}
}

func (q *request) upstreamRequest(workerID string) *upstream.Request {
	header := q.req.Header.Clone()
	stripHopByHop(header)
	header.Del("Expect")
	if q.stripAPIKey {
		q.handler.cfg.Dialect.SetWorkspace(header, q.workspace.Name())
	}
	q.handler.cfg.Dialect.SetWorkerHeaders(header, workerID, q.handler.workerTime(q.remaining()))
	return &upstream.Request{
		Method: q.req.Method, Target: q.req.RequestURI, Host: q.req.Host, Header: header,
		Body: q.body.reader(), Length: q.body.length, AtMostOnce: !q.route.Repeatable,
	}
}

// classifyFailure classifies the error of an attempt and updates the worker's state.
func (q *request) classifyFailure(c placement.Choice, target upstream.Worker, err error) *failure {
	f := &failure{cause: retry.CauseBroken, err: err, clientGone: q.req.Context().Err() != nil}
	var failed *upstream.Error
	if !errors.As(err, &failed) {
		f.classifyForward(err)
		return f
	}
	f.notRun = failed.NotRun()
	f.unsent = failed.Kind() == upstream.KindUnreachable || failed.Kind() == upstream.KindBusy
	q.signals(c).readFailure(failed)
	switch failed.Kind() {
	case upstream.KindShed, upstream.KindBusy:
		f.cause = retry.CauseShed
	case upstream.KindLeaving:
		f.cause = retry.CauseLeaving
	case upstream.KindUnreachable, upstream.KindWrongWorker:
		f.cause = retry.CauseUnreachable
	case upstream.KindBroken:
		f.peerClosed = !f.clientGone && failed.PeerClosed()
	case upstream.KindRequestBody:
	}
	q.recordWorkerFailure(c, target, failed, f)
	return f
}

// recordWorkerFailure updates what this VM knows of a worker after a failed exchange, as far
// as the failure says anything about the worker.
func (q *request) recordWorkerFailure(c placement.Choice, target upstream.Worker, failed *upstream.Error, f *failure) {
	if q.proxy != "" {
		q.recordProxyFailure(c, failed, f)
		return
	}
	byConnection := failed.Kind() == upstream.KindUnreachable || failed.Kind() == upstream.KindBroken
	f.ownPath = byConnection && !q.handler.cfg.Reach.Conclusive(q.sentAt)
	if f.ownPath {
		return
	}
	q.handler.recordFailedExchange(failedExchange{requestID: q.id, worker: c.Worker(), target: target, load: c.Load(), err: failed, clientGone: f.clientGone})
	if f.peerClosed {
		q.reportHangUp(c)
	}
}

// countsAgainstWorker reports whether a response status counts as a failure of the worker.
// A gateway timeout does not: under overload requests time out at every worker, and
// avoiding one would put more load on the others.
func countsAgainstWorker(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout
}

// timedOut reports whether an attempt ended by a timeout or cancellation.
func timedOut(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// stripHopByHop removes the hop-by-hop headers and Content-Length.
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
