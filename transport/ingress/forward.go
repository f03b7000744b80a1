// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/coordination/poison"
	"github.com/ryehill/ryehill/coordination/retry"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/decision"
	"github.com/ryehill/ryehill/state/quarantine"
	"github.com/ryehill/ryehill/state/worker"
	"github.com/ryehill/ryehill/transport/forward"
	"github.com/ryehill/ryehill/transport/peer"
	"github.com/ryehill/ryehill/transport/upstream"
)

const (
	// maxForwarded bounds the exchanges that a VM makes for others at a time. Their bodies
	// take up to a stream window each.
	maxForwarded = 256
	// isolatedRetryAfter is when a client may return that no VM could serve. By then an
	// isolated VM has checked its path several times.
	isolatedRetryAfter = time.Second
	// ruleForwarded is the rule of the decision records of exchanges made for other VMs.
	ruleForwarded = "forwarded"
)

// ErrNoProxy reports that no VM could be asked to forward a request.
var ErrNoProxy = errors.New("ingress: this VM reaches no worker, and no other VM forwards the request")

// Forwarder sends requests by way of other VMs. It must be safe for concurrent use.
type Forwarder interface {
	// Forward sends a request by way of a VM in an allowed region, and returns the ID of
	// that VM. Errors are those of package forward, or ErrNoProxy.
	Forward(ctx context.Context, r forward.Request, workerRegion string, allows func(region string) bool) (res *upstream.Response, proxy string, err error)
}

// exchange sends the request to the chosen worker: directly if this VM reaches workers, or
// if an open connection to the worker still works, else by way of another VM.
func (q *request) exchange(ctx context.Context, c placement.Choice, target upstream.Worker) (*upstream.Response, error) {
	q.proxy = ""
	cfg, w := &q.handler.cfg, c.Worker()
	req := q.upstreamRequest(w.ID)
	if !cfg.Reach.Isolated() {
		return cfg.Upstreams.Do(ctx, target, req)
	}
	if cfg.Reach.OpenConnectionsWork() {
		req.ReuseOnly = true
		res, err := cfg.Upstreams.Do(ctx, target, req)
		if !errors.Is(err, upstream.ErrNoIdleConnection) {
			return res, err
		}
	}
	return q.forward(ctx, w, target, req)
}

// forward sends the request by way of another VM.
func (q *request) forward(ctx context.Context, w worker.Worker, target upstream.Worker, req *upstream.Request) (*upstream.Response, error) {
	r := forward.Request{
		ID: q.id, Worker: target, Exchange: req, Timeout: q.remaining(),
		Suspect: forward.Suspect{
			Fingerprint: q.fingerprint(), TargetHash: quarantine.HashTarget(q.req.Host, q.req.RequestURI), Subject: q.subject(),
		},
	}
	res, proxy, err := q.handler.cfg.Forwarder.Forward(ctx, r, w.Region, q.allowsRegion)
	q.proxy = proxy
	if proxy != "" {
		q.addInput("forwarded", "by way of "+proxy+", since this VM reaches no worker")
	}
	q.handler.cfg.Metrics.Forwarded(forwardResult(err))
	return res, err
}

// forwardResult returns the result of a forwarded exchange, as shown in metrics.
func forwardResult(err error) string {
	var failed *upstream.Error
	var refusal *forward.Error
	switch {
	case err == nil:
		return "answered"
	case errors.Is(err, ErrNoProxy):
		return "no proxy"
	case errors.As(err, &failed):
		return failed.Kind().String()
	case errors.As(err, &refusal) && refusal.NotRun():
		return "not sent"
	}
	return "broken"
}

// classifyForward classifies the error of an attempt that did not fail at the worker.
func (f *failure) classifyForward(err error) {
	var failed *forward.Error
	switch {
	case errors.Is(err, ErrNoProxy):
		f.cause, f.notRun, f.unsent, f.final = retry.CauseIsolated, true, true, true
	case errors.As(err, &failed) && failed.NotRun():
		f.cause, f.notRun, f.unsent = retry.CauseIsolated, true, true
	}
}

// recordProxyFailure updates what this VM knows of a worker after an exchange of a proxy with
// it failed. The proxy reports the failure, so it counts for this VM's own choices only.
func (q *request) recordProxyFailure(c placement.Choice, failed *upstream.Error, f *failure) {
	switch failed.Kind() {
	case upstream.KindUnreachable, upstream.KindBroken:
		if !f.clientGone {
			c.Load().RecordFailure()
		}
	case upstream.KindLeaving, upstream.KindWrongWorker:
		c.Load().RecordFailure()
	case upstream.KindShed, upstream.KindBusy, upstream.KindRequestBody:
	}
	if f.peerClosed {
		q.handler.cfg.Quarantine.HungUpAtProxy(q.fingerprint())
	}
}

// forwardedCounter counts the exchanges made for other VMs. It is safe for concurrent use.
type forwardedCounter struct {
	mu    sync.Mutex
	count int
}

// begin counts an exchange, and reports whether there was room for it.
func (f *forwardedCounter) begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.count >= maxForwarded {
		return false
	}
	f.count++
	return true
}

func (f *forwardedCounter) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
}

// Forwarding returns the number of exchanges in progress for other VMs.
func (h *Handler) Forwarding() int {
	h.forwarded.mu.Lock()
	defer h.forwarded.mu.Unlock()
	return h.forwarded.count
}

// ServeForwarded makes an exchange for another VM that reaches no worker.
func (h *Handler) ServeForwarded(ctx context.Context, from string, s *peer.Stream, first *peerpb.Forward) {
	if !h.forwarded.begin() {
		h.cfg.Metrics.ServedForwarded("busy")
		forward.Refuse(s, peerpb.ForwardFailed_BUSY)
		return
	}
	defer h.forwarded.end()
	begunAt := h.cfg.Now()
	x := &forwardedExchange{handler: h, begunAt: begunAt}
	err := forward.Serve(ctx, s, first, x.run)
	if x.load != nil {
		x.load.End()
	}
	h.recordForwarded(from, first, begunAt, err)
}

// forwardedExchange is an exchange with a worker for another VM.
type forwardedExchange struct {
	handler *Handler
	begunAt time.Time
	load    *worker.Load
}

// run implements forward.Run.
func (x *forwardedExchange) run(ctx context.Context, r forward.Request) (*upstream.Response, error) {
	cfg := &x.handler.cfg
	if cfg.Reach.Isolated() {
		return nil, &forward.Refusal{Reason: peerpb.ForwardFailed_ISOLATED}
	}
	if x.handler.stopping.Load() {
		return nil, &forward.Refusal{Reason: peerpb.ForwardFailed_BUSY}
	}
	s := cfg.Snapshot()
	if s == nil {
		return nil, &forward.Refusal{Reason: peerpb.ForwardFailed_UNKNOWN_WORKER}
	}
	w, ok := s.Workers.Get(r.Worker.ID)
	if !ok || w.Start != r.Worker.Start {
		return nil, &forward.Refusal{Reason: peerpb.ForwardFailed_UNKNOWN_WORKER}
	}
	if _, departed := cfg.Placer.Availability(s)(w).(worker.Departed); departed {
		return nil, &forward.Refusal{Reason: peerpb.ForwardFailed_UNKNOWN_WORKER}
	}
	x.load = cfg.Placer.Load(w)
	x.load.Begin()
	target := x.handler.target(s, *w)
	signals := signalReader{
		handler: x.handler, worker: *w, load: x.load, requestID: r.ID, sentAt: cfg.Now(),
		addInput: func(_, _ string) {}, // The VM of the client records them.
	}
	res, err := cfg.Upstreams.Do(ctx, target, r.Exchange)
	if err != nil {
		var failed *upstream.Error
		if errors.As(err, &failed) {
			signals.readFailure(failed)
		}
		x.recordFailure(ctx, r, *w, target, err)
		return nil, err
	}
	signals.read(res.Status(), res.Header())
	x.handler.recordConnection(responded{requestID: r.ID, worker: *w, load: x.load, reconnected: res.Reconnected(), opened: res.ConnectionOpened()})
	x.load.RecordOutcome(countsAgainstWorker(res.Status()))
	x.load.RecordResponse()
	return res, nil
}

// recordFailure records a failed exchange against its worker and request, as if a client of this VM
// had sent it.
func (x *forwardedExchange) recordFailure(ctx context.Context, r forward.Request, w worker.Worker, target upstream.Worker, err error) {
	h := x.handler
	var failed *upstream.Error
	if !errors.As(err, &failed) || ctx.Err() != nil || !h.cfg.Reach.Conclusive(x.begunAt) {
		return
	}
	h.recordFailedExchange(failedExchange{requestID: r.ID, worker: w, target: target, load: x.load, err: failed})
	if failed.PeerClosed() {
		h.cfg.Metrics.HungUp(w.Service)
		h.cfg.Quarantine.HungUp(poison.HangUp{
			Fingerprint: r.Suspect.Fingerprint, TargetHash: r.Suspect.TargetHash, Subject: r.Suspect.Subject,
			Service: w.Service, Worker: w.ID, At: h.cfg.Now(),
		})
	}
}

// recordForwarded stores the decision record of an exchange made for another VM.
func (h *Handler) recordForwarded(from string, first *peerpb.Forward, begunAt time.Time, err error) {
	h.cfg.Metrics.ServedForwarded(forwardResult(err))
	result := "answered"
	if err != nil {
		result = err.Error()
	}
	took := h.cfg.Now().Sub(begunAt).Milliseconds()
	record := decision.Record{
		ID: first.GetId(), Time: begunAt, VM: h.cfg.VM, Subject: first.GetSubject(), Rule: ruleForwarded,
		Result: fmt.Sprintf("%s after %d ms", result, took),
		Inputs: []decision.Input{{Name: "for", Value: from + ", which reaches no worker"}, {Name: "worker", Value: first.GetWorker()}},
	}
	if err == nil {
		h.cfg.Decisions.answered.Add(record)
		return
	}
	h.cfg.Decisions.failed.Add(record)
}
