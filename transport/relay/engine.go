// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/ryehill/ryehill/coordination/capacity"
	"github.com/ryehill/ryehill/coordination/link"
	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/coordination/retry"
	"github.com/ryehill/ryehill/coordination/steer"
	"github.com/ryehill/ryehill/internal/metrics"
	"github.com/ryehill/ryehill/protocol/outcome"
	"github.com/ryehill/ryehill/state/attempt"
	"github.com/ryehill/ryehill/state/decision"
	"github.com/ryehill/ryehill/state/load"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/state/view"
	"github.com/ryehill/ryehill/transport/peer"
	"github.com/ryehill/ryehill/transport/upstream"
)

// Defaults and bounds of Config.
const (
	// DefaultQueueTime is the default of Config.QueueTime.
	DefaultQueueTime = 500 * time.Millisecond
	// DefaultMaxInFlight is the default of Config.MaxInFlight.
	DefaultMaxInFlight = 4096
	// essentialReserveDivisor sets the share of MaxInFlight that is reserved for
	// essential services: one part in this many.
	essentialReserveDivisor = 10
	// fullRetryAfter is the Retry-After of requests refused for lack of
	// capacity or of a usable upstream.
	fullRetryAfter = time.Second
)

// Config configures an Engine. All fields but QueueTime, MaxInFlight and NoSpill
// are required.
type Config struct {
	Self      peer.Identity
	Log       logr.Logger
	View      func() *view.View
	Members   *membership.Table
	Steerer   *steer.Steerer
	Pools     *capacity.Pools
	Holder    *capacity.GrantHolder
	Links     *link.Budget
	Upstreams *upstream.Client
	Peers     *peer.Manager
	Attempts  *attempt.Table
	Decisions *decision.Log
	Meter     *load.Meter
	Metrics   *metrics.Set
	Budget    *retry.Budget
	Neighbors *Neighbors
	// Owners returns the other VMs of the hall that own upstreams of a
	// service.
	Owners func(service string) []string
	// QueueTime is how long a request may wait for a slot. Default
	// DefaultQueueTime.
	QueueTime time.Duration
	// MaxInFlight limits the requests of callers in flight. Default
	// DefaultMaxInFlight.
	MaxInFlight int
	// NoSpill disables sending requests to other VMs of the hall, as a
	// baseline for measurements.
	NoSpill bool
}

// Engine steers and forwards requests. It is safe for concurrent use.
type Engine struct {
	cfg      Config
	inFlight atomic.Int64
	sequence atomic.Uint64
	stopping atomic.Bool
}

// New returns an engine.
func New(cfg Config) *Engine {
	if cfg.QueueTime <= 0 {
		cfg.QueueTime = DefaultQueueTime
	}
	if cfg.MaxInFlight <= 0 {
		cfg.MaxInFlight = DefaultMaxInFlight
	}
	return &Engine{cfg: cfg}
}

// InFlight returns the number of requests of callers in flight.
func (e *Engine) InFlight() int { return int(e.inFlight.Load()) }

// RefuseNew makes the engine refuse every new request as not run. Requests in
// flight continue.
func (e *Engine) RefuseNew() { e.stopping.Store(true) }

// NextID returns a new decision id. It contains the VM's id, so that any VM can
// find the one that holds the record.
func (e *Engine) NextID() string {
	return e.cfg.Self.VM + "." + strconv.FormatUint(e.cfg.Self.Start, 36) + "." +
		strconv.FormatUint(e.sequence.Add(1), 36)
}

// serveResult is the outcome of a request. moved is set if it ran, or may have
// run, in another hall.
type serveResult struct {
	result
	moved bool
}

// Serve serves one request of a caller; id is from NextID. It returns nil once
// the complete response has been written to the sink. If it returns a failure and
// Sink.Head was not called, its caller must respond with the failure.
func (e *Engine) Serve(ctx context.Context, id string, r *Request, sink Sink) *outcome.Failure {
	started := time.Now()
	r.id = id
	service, failure := e.admit(r)
	if failure != nil {
		failure = e.consumeTicket(r, failure)
		e.cfg.Metrics.Refused(string(failure.Code()))
		return failure
	}
	defer e.inFlight.Add(-1)
	e.cfg.Meter.Begin(r.Service)
	r.once = service.AtMostOnce(r.Method)
	r.deadline = started.Add(requestTimeout(service, r))
	var out serveResult
	if r.once {
		out = e.serveOnce(ctx, r, sink)
	} else {
		out = e.runAttempts(ctx, r, sink)
	}
	e.recordMetrics(r, out, time.Since(started))
	return out.failure
}

func (e *Engine) recordMetrics(r *Request, out serveResult, took time.Duration) {
	e.cfg.Meter.End(r.Service, load.RequestResult{
		Moved:   out.moved,
		Refused: out.notRun(),
		Bytes:   out.bytes + max(r.Body.length, 0),
	})
	e.cfg.Metrics.Took(r.Service, took)
	if out.failure != nil {
		e.cfg.Metrics.Refused(string(out.failure.Code()))
	}
}

func requestTimeout(s *spec.Service, r *Request) time.Duration {
	limit := s.Timeout.OrDefault(spec.DefaultTimeout)
	if r.Timeout > 0 {
		return min(limit, r.Timeout)
	}
	return limit
}

// admit refuses a request that cannot be served before any work is done for it.
// Without a failure, it has counted the request as in flight.
func (e *Engine) admit(r *Request) (*spec.Service, *outcome.Failure) {
	if e.stopping.Load() {
		return nil, notRun(outcome.CodeStopping, "admit", errors.New("this VM is stopping"))
	}
	service, ok := e.cfg.View().Service(r.Service)
	if !ok {
		return nil, notRun(outcome.CodeUnknownService, "admit", errors.Newf("service %q is unknown", r.Service))
	}
	limit := int64(e.cfg.MaxInFlight)
	if !service.Essential {
		limit -= limit / essentialReserveDivisor
	}
	if e.inFlight.Add(1) > limit {
		e.inFlight.Add(-1)
		return nil, notRun(outcome.CodeFull, "admit", errors.Newf("%d requests are in flight", limit)).WithRetryAfter(fullRetryAfter)
	}
	return service, nil
}

func notRun(code outcome.Code, step string, cause error) *outcome.Failure {
	return outcome.New(code, outcome.NotRun, step, "", cause)
}

// runAttempts steers a request and attempts it until it succeeds or no further
// attempt is allowed.
func (e *Engine) runAttempts(ctx context.Context, r *Request, sink Sink) serveResult {
	e.cfg.Budget.RecordFirst()
	v := e.cfg.View()
	candidate := e.cfg.Steerer.Evaluate(v, r.Service, r.Client)
	d := decision.Record{
		ID: r.id, Time: time.Now(), VM: e.cfg.Self.VM, Subject: r.Method + " " + r.Service,
		Generation: v.Generation(),
		Inputs:     []decision.Input{{Name: "client", Value: r.Client.String()}, e.slotsInput(r.Service)},
	}
	next := e.firstRoute(r, candidate, &d)
	var out serveResult
	for number := 1; next != nil; number++ {
		current := next
		out.result = e.tryRoute(ctx, r, current, sink)
		_, out.moved = current.(hallRoute)
		out.moved = out.moved && !out.notRun()
		e.recordAttempt(&d, number, current, out.result)
		next = nil
		if out.failure != nil && !out.headSent {
			next = e.nextRoute(ctx, r, current, out.result, number, &d)
		}
	}
	e.cfg.Metrics.Routed(r.Service, d.Rule)
	e.cfg.Decisions.Add(d)
	return out
}

// nextRoute returns the route of another attempt after a failed one, or nil if
// the request must not be retried.
func (e *Engine) nextRoute(ctx context.Context, r *Request, last route, res result, number int, d *decision.Record) route {
	_, moved := last.(hallRoute)
	refusedInHall := res.cause == retry.CauseRefused && !moved
	verdict := e.cfg.Budget.Decide(retry.Attempt{
		Number: number, Cause: res.cause, NotRun: res.notRun(),
		Idempotent: !r.once, BodyConsumed: r.Body.Consumed(), HomeFallback: moved || refusedInHall,
		DeadlinePassed: r.deadlineExceeded(ctx, time.Now()), Final: res.cause == retry.CauseFull,
	})
	e.cfg.Metrics.Retry(string(res.cause), string(verdict))
	d.Inputs = append(d.Inputs, decision.Input{Name: "another try", Value: string(verdict)})
	if res.cause == retry.CauseFull && res.failure.Code() == outcome.CodeNoUpstream && !r.Body.Consumed() && d.Rule != string(RuleFailover) {
		if next, ok := e.failover(r, d); ok {
			return next
		}
	}
	if !verdict.Allowed() {
		return nil
	}
	if refusedInHall {
		return waitRoute{}
	}
	if moved && d.Rule == string(steer.RuleMove) {
		d.Rule = string(steer.RuleReturned)
	}
	return localRoute{}
}

func (e *Engine) recordAttempt(d *decision.Record, number int, r route, res result) {
	text := "answered with status " + strconv.Itoa(res.status)
	if res.failure != nil {
		text = res.failure.Error() + ", " + string(res.failure.Run())
	}
	if res.target != "" {
		text += " at " + res.target
	}
	d.Result = text
	d.Inputs = append(d.Inputs, decision.Input{
		Name:  fmt.Sprintf("try %d, %s", number, r.describe()),
		Value: text,
	})
}

// slotsInput describes the slots of this VM's own upstreams.
func (e *Engine) slotsInput(service string) decision.Input {
	s := e.cfg.Pools.Get(service).Status()
	return decision.Input{
		Name:  "own slots",
		Value: fmt.Sprintf("usable %d, in use %d, lent %d, waiting %d", s.Usable, s.InUse, s.Lent, s.Waiting),
		Age:   s.OldestReport,
	}
}
