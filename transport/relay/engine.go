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

// Defaults of Config.
const (
	// DefaultQueueTime is how long a request may wait for a slot.
	DefaultQueueTime = 500 * time.Millisecond
	// DefaultMaxInFlight bounds the requests of callers at one VM.
	DefaultMaxInFlight = 4096
	// essentialPart of the requests in flight is kept for essential services.
	essentialPart = 10
	// retryAfterFull is when a caller that was refused may come back.
	retryAfterFull = time.Second
)

// Config sets up an Engine. All fields but the durations and counts are
// required.
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
	// QueueTime is how long a request may wait for a slot.
	QueueTime time.Duration
	// MaxInFlight bounds the requests of callers under way.
	MaxInFlight int
	// NoSpill keeps requests from other VMs of the hall; it is the baseline
	// of measurements.
	NoSpill bool
}

// Engine carries requests. It is safe for concurrent use.
type Engine struct {
	cfg      Config
	inFlight atomic.Int64
	number   atomic.Uint64
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

// InFlight returns how many requests of callers are under way.
func (e *Engine) InFlight() int { return int(e.inFlight.Load()) }

// StopNew makes the engine refuse every request from now on as not run.
// Requests under way go on.
func (e *Engine) StopNew() { e.stopping.Store(true) }

// NextID returns a new decision id. It names the VM, so that any VM can find
// who holds the record.
func (e *Engine) NextID() string {
	return e.cfg.Self.VM + "." + strconv.FormatUint(e.cfg.Self.Start, 36) + "." +
		strconv.FormatUint(e.number.Add(1), 36)
}

// served is how a request ended.
type served struct {
	result
	moved bool
}

// Serve carries one request of a caller; id is from NextID. It returns nil once
// the sink has the whole answer. If it returns a failure and Head was not
// called, the caller of Serve answers with the failure.
func (e *Engine) Serve(ctx context.Context, id string, r *Request, sink Sink) *outcome.Failure {
	started := time.Now()
	r.id = id
	service, failure := e.admit(r)
	if failure != nil {
		failure = e.refuseTicket(r, failure)
		e.cfg.Metrics.Refused(string(failure.Code()))
		return failure
	}
	defer e.inFlight.Add(-1)
	e.cfg.Meter.Begin(r.Service)
	r.once = service.IsOnce(r.Method)
	r.deadline = started.Add(allowed(service, r))
	var out served
	if r.once {
		out = e.serveOnce(ctx, r, sink)
	} else {
		out = e.run(ctx, r, sink)
	}
	e.account(r, out, time.Since(started))
	return out.failure
}

func (e *Engine) account(r *Request, out served, took time.Duration) {
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

func allowed(s *spec.Service, r *Request) time.Duration {
	most := s.Timeout.Or(spec.DefaultTimeout)
	if r.Timeout > 0 {
		return min(most, r.Timeout)
	}
	return most
}

// admit refuses what cannot be served, before anything is spent on it. Without
// a failure, it has counted the request as in flight.
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
		limit -= limit / essentialPart
	}
	if e.inFlight.Add(1) > limit {
		e.inFlight.Add(-1)
		return nil, notRun(outcome.CodeFull, "admit", errors.Newf("%d requests are in flight", limit)).WithRetryAfter(retryAfterFull)
	}
	return service, nil
}

func notRun(code outcome.Code, step string, cause error) *outcome.Failure {
	return outcome.New(code, outcome.NotRun, step, "", cause)
}

// run steers a request and tries it until it is answered, or another try is
// not allowed.
func (e *Engine) run(ctx context.Context, r *Request, sink Sink) served {
	e.cfg.Budget.RecordFirst()
	v := e.cfg.View()
	candidate := e.cfg.Steerer.Evaluate(v, r.Service, r.Client)
	d := decision.Record{
		ID: r.id, Time: time.Now(), VM: e.cfg.Self.VM, Subject: r.Method + " " + r.Service,
		Generation: v.Generation(),
		Inputs:     []decision.Input{{Name: "client", Value: r.Client.String()}, e.slotsInput(r.Service)},
	}
	next := e.firstRoute(r, candidate, &d)
	var out served
	for number := 1; next != nil; number++ {
		current := next
		out.result = e.try(ctx, r, current, sink)
		_, out.moved = current.(hallRoute)
		out.moved = out.moved && !out.notRun()
		e.note(&d, number, current, out.result)
		next = nil
		if out.failure != nil && !out.headSent {
			next = e.again(ctx, r, current, out.result, number, &d)
		}
	}
	e.cfg.Metrics.Routed(r.Service, d.Rule)
	e.cfg.Decisions.Add(d)
	return out
}

// again asks whether a failed try may be followed by another, and returns its
// route, or nil.
func (e *Engine) again(ctx context.Context, r *Request, last route, res result, number int, d *decision.Record) route {
	_, moved := last.(hallRoute)
	spilled := res.cause == retry.CauseRefused && !moved
	verdict := e.cfg.Budget.Decide(retry.Attempt{
		Number: number, Cause: res.cause, NotRun: res.notRun(),
		Idempotent: !r.once, BodyConsumed: r.Body.Gone(), HomeFallback: moved || spilled,
		DeadlinePassed: r.expired(ctx, time.Now()), Final: res.cause == retry.CauseFull,
	})
	e.cfg.Metrics.Retry(string(res.cause), string(verdict))
	d.Inputs = append(d.Inputs, decision.Input{Name: "another try", Value: string(verdict)})
	if res.cause == retry.CauseFull && res.failure.Code() == outcome.CodeNoUpstream && !r.Body.Gone() && d.Rule != string(RuleFailover) {
		if next, ok := e.failover(r, d); ok {
			return next
		}
	}
	if !verdict.Allowed() {
		return nil
	}
	if spilled {
		return waitRoute{}
	}
	if moved && d.Rule == string(steer.RuleMove) {
		d.Rule = string(steer.RuleReturned)
	}
	return localRoute{}
}

func (e *Engine) note(d *decision.Record, number int, r route, res result) {
	text := "answered with status " + strconv.Itoa(res.status)
	if res.failure != nil {
		text = res.failure.Error() + ", " + string(res.failure.Run())
	}
	if res.at != "" {
		text += " at " + res.at
	}
	d.Result = text
	d.Inputs = append(d.Inputs, decision.Input{
		Name:  fmt.Sprintf("try %d, %s", number, r.describe()),
		Value: text,
	})
}

// slotsInput tells what this VM knows of its own upstreams.
func (e *Engine) slotsInput(service string) decision.Input {
	s := e.cfg.Pools.Get(service).Status()
	return decision.Input{
		Name:  "own slots",
		Value: fmt.Sprintf("usable %d, in use %d, lent %d, waiting %d", s.Usable, s.InUse, s.Lent, s.Waiting),
		Age:   s.OldestReport,
	}
}
