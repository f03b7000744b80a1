// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/capacity"
	"github.com/ryehill/ryehill/coordination/retry"
	"github.com/ryehill/ryehill/protocol/outcome"
	"github.com/ryehill/ryehill/transport/peer"
	"github.com/ryehill/ryehill/transport/upstream"
)

// tryRoute makes one attempt along a route.
func (e *Engine) tryRoute(ctx context.Context, r *Request, to route, sink Sink) result {
	switch to := to.(type) {
	case hallRoute:
		return e.tryHall(ctx, r, to, sink)
	case waitRoute:
		return e.tryWaiting(ctx, r, sink)
	default:
		return e.tryLocal(ctx, r, sink)
	}
}

// tryLocal uses a free slot of this VM, else one of a neighbor that reported free
// slots, else waits for a slot.
func (e *Engine) tryLocal(ctx context.Context, r *Request, sink Sink) result {
	slot, err := e.cfg.Pools.Get(r.Service).TryReserve()
	if err == nil {
		return e.runOnSlot(ctx, slot, r.upstreamRequest(), sink)
	}
	if !e.cfg.NoSpill {
		vm := e.cfg.Neighbors.Reserve(r.Service, time.Now(), nil)
		if vm != "" {
			defer e.cfg.Neighbors.Release(r.Service, vm)
			return e.tryNeighbor(ctx, r, vm, false, sink)
		}
	}
	return e.tryWaiting(ctx, r, sink)
}

// tryWaiting waits for a slot of this VM. If the VM owns no upstream of the
// service, the request waits at a VM of the hall that does.
func (e *Engine) tryWaiting(ctx context.Context, r *Request, sink Sink) result {
	wait, cancel := context.WithTimeout(ctx, min(e.cfg.QueueTime, r.remaining(time.Now())))
	defer cancel()
	slot, err := e.cfg.Pools.Get(r.Service).Reserve(wait)
	switch {
	case err == nil:
		return e.runOnSlot(ctx, slot, r.upstreamRequest(), sink)
	case errors.Is(err, capacity.ErrNoWorkers) && !e.cfg.NoSpill:
		if owners := e.cfg.Owners(r.Service); len(owners) > 0 {
			return e.tryNeighbor(ctx, r, owners[int(e.sequence.Add(1))%len(owners)], true, sink)
		}
	}
	return failedAttempt(retry.CauseFull, reserveFailure(err))
}

func reserveFailure(err error) *outcome.Failure {
	code := outcome.CodeFull
	if errors.Is(err, capacity.ErrNoWorkers) {
		code = outcome.CodeNoUpstream
	}
	return notRun(code, "reserve a slot", err).WithRetryAfter(fullRetryAfter)
}

func (r *Request) upstreamRequest() *upstream.Request {
	left := r.remaining(time.Now())
	header := r.Header.Clone()
	header.Set(upstream.HeaderTimeout, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	return &upstream.Request{
		Method: r.Method, Target: r.Target, Host: r.Host, Header: header,
		Body: r.Body.Reader(), Length: r.Body.length, ResponseHeaderTimeout: max(left, time.Millisecond), AtMostOnce: r.once,
	}
}

// runOnSlot sends a request to the worker of a slot, forwards the response to the
// sink and releases the slot.
func (e *Engine) runOnSlot(ctx context.Context, slot *capacity.Slot, req *upstream.Request, sink Sink) result {
	w := slot.Worker()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, err := e.cfg.Upstreams.Do(ctx, upstream.Worker{ID: w.ID, Address: w.Address, MaxConnections: w.Connections}, req)
	if err != nil {
		return e.upstreamFailure(slot, err)
	}
	defer response.Close()
	e.cfg.Metrics.Tried("answered")
	res := result{status: response.Status(), headSent: true, target: w.ID}
	if err := sink.Head(response.Status(), EndToEndHeader(response.Header()), response.Length()); err != nil {
		slot.Release(capacity.ResultBroken)
		res.cause, res.failure = retry.CauseBroken, callerDisconnected(err)
		return res
	}
	res.bytes, err = peer.CopyBody(sink, response.Body())
	if err != nil {
		slot.Release(capacity.ResultBroken)
		res.cause = retry.CauseBroken
		res.failure = outcome.New(outcome.CodeBroken, outcome.Unknown, "pass on the answer", w.ID, err)
		return res
	}
	slot.Release(capacity.ResultAnswered)
	return res
}

func callerDisconnected(err error) *outcome.Failure {
	return outcome.New(outcome.CodeBroken, outcome.Unknown, "answer the caller", "", err)
}

// upstreamFailure converts an upstream error to a result and releases the slot
// with what the error says of the worker.
func (e *Engine) upstreamFailure(slot *capacity.Slot, err error) result {
	var u *upstream.Error
	if !errors.As(err, &u) {
		slot.Release(capacity.ResultBroken)
		return failedAttempt(retry.CauseBroken, outcome.New(outcome.CodeBroken, outcome.Unknown, "upstream", slot.Worker().ID, err))
	}
	e.cfg.Metrics.Tried(u.Kind().String())
	run := outcome.Unknown
	if u.NotRun() {
		run = outcome.NotRun
	}
	cause, code, poolResult := classifyUpstreamError(u.Kind())
	slot.Release(poolResult)
	f := outcome.New(code, run, u.Step(), slot.Worker().ID, err)
	if run == outcome.NotRun {
		f = f.WithRetryAfter(fullRetryAfter)
	}
	res := failedAttempt(cause, f)
	res.target = slot.Worker().ID
	return res
}

func classifyUpstreamError(k upstream.Kind) (retry.Cause, outcome.Code, capacity.Result) {
	switch k {
	case upstream.KindUnreachable, upstream.KindWrongWorker:
		return retry.CauseUnreachable, outcome.CodeNoUpstream, capacity.ResultUnreachable
	case upstream.KindBusy:
		return retry.CauseShed, outcome.CodeFull, capacity.ResultUnused
	case upstream.KindShed:
		return retry.CauseShed, outcome.CodeFull, capacity.ResultShed
	case upstream.KindLeaving:
		return retry.CauseLeaving, outcome.CodeNoUpstream, capacity.ResultLeaving
	case upstream.KindRequestBody, upstream.KindBroken:
		return retry.CauseBroken, outcome.CodeBroken, capacity.ResultBroken
	}
	return retry.CauseBroken, outcome.CodeBroken, capacity.ResultBroken
}
