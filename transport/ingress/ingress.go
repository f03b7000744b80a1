// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package ingress serves clients: it finds the route of a request by host and
// path, sends the request to a worker of the route's service, and returns that
// worker's answer unchanged.
//
// What may be sent again is decided in one place, package retry: a request that
// may run only once is sent to another worker only if it is certain that no
// worker has begun to run it. Status 503 is answered only where that is
// certain, at once and with a time to come back; 502 and 504 where a worker may
// have run it. An answer that ends early never looks whole: the client's
// connection is closed instead.
//
// # Usage
//
//	handler := ingress.New(ingress.Config{Snapshot: load, Placer: placer, Upstreams: client, Dialect: dialect, Metrics: set, Log: log})
//	http.Serve(listener, handler)
package ingress

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/coordination/retry"
	"github.com/ryehill/ryehill/coordination/rollout"
	"github.com/ryehill/ryehill/internal/metrics"
	"github.com/ryehill/ryehill/state/decision"
	"github.com/ryehill/ryehill/state/demand"
	"github.com/ryehill/ryehill/state/load"
	"github.com/ryehill/ryehill/state/quarantine"
	"github.com/ryehill/ryehill/state/route"
	"github.com/ryehill/ryehill/state/worker"
	"github.com/ryehill/ryehill/state/workspace"
	"github.com/ryehill/ryehill/transport/upstream"
)

// Dialect reads and writes the headers by which clients, VMs and workers
// understand each other. Its methods are called by several goroutines.
type Dialect interface {
	// RequestID returns the id that the client gave its request.
	RequestID(r *http.Request) string
	// Patience returns how long the client waits.
	Patience(r *http.Request) (time.Duration, bool)
	// Key returns the affinity key of a request.
	Key(r *http.Request) (string, bool)
	// APIKey returns the API key of a request.
	APIKey(r *http.Request) (string, bool)
	// SetWorkspace names the workspace to a worker, "" being none, and takes off
	// the key and what the client says of a workspace.
	SetWorkspace(h http.Header, name string)
	// Address sets the worker that is meant and the time it has.
	Address(h http.Header, workerID string, left time.Duration)
	// Load returns the requests that a worker runs and holds, from an answer.
	Load(h http.Header) (running, waiting int, ok bool)
	// Leaving reports whether a worker says in an answer that it leaves.
	Leaving(h http.Header) bool
	// Rest returns for how long a worker wants nothing from this VM, by the status
	// and head of an answer.
	Rest(status int, h http.Header) (time.Duration, bool)
	// RateLimit returns the requests a second that a worker takes from all VMs together,
	// math.Inf(1) if an answer names no limit. An error means that the answer says nothing
	// of it that can be read.
	RateLimit(h http.Header) (perS float64, err error)
}

// Config sets up a Handler. All fields but Retry and those that say
// what nil means are required.
type Config struct {
	// VM names this VM in records.
	VM string
	// Snapshot returns what is believed now, or nil before anything is known.
	Snapshot  func() *placement.Snapshot
	Placer    *placement.Placer
	Upstreams *upstream.Client
	Dialect   Dialect
	Metrics   *metrics.Set
	Log       logr.Logger
	Decisions *Decisions
	// Age returns how old the knowledge of workers and configuration is. Nil
	// leaves it out of records.
	Age func() time.Duration
	// Demand is told how long workers take. Nil is nobody.
	Demand *demand.Meter
	// Meters sum what is sent to the workers of each hall. Nil sums for nobody.
	Meters *load.HallMeters
	// VMs returns how many VMs share what a worker accepts; at least 1.
	VMs func() int
	// Retry is the budget of each service for tries after the first.
	Retry retry.Config
	// Limiter bounds the requests of workspaces. Nil bounds none.
	Limiter Limiter
	// Keys says how far what is known of API keys holds. Nil trusts it.
	Keys Keys
	// Quarantine knows the requests that end workers. Nil knows none.
	Quarantine Quarantine
	// Rollouts divides requests between the versions of a service. Nil knows one version.
	Rollouts Rollouts
	// LeaveWithin is for how long after a worker has said that it leaves it may get
	// requests. Default 0: it gets none.
	LeaveWithin time.Duration
	// Now tells the time, that of suspensions included. Default time.Now.
	Now func() time.Time
}

// Handler serves clients. It is safe for concurrent use.
type Handler struct {
	cfg      Config
	split    *placement.Split
	lines    *lines
	losses   *losses
	stopping atomic.Bool
	inFlight atomic.Int64

	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

// New returns a handler.
func New(cfg Config) *Handler {
	if cfg.Now == nil {
		cfg.Now = time.Now //nolint:forbidigo // The default for embedders.
	}
	if cfg.Meters == nil {
		cfg.Meters = load.NewHallMeters(cfg.Now)
	}
	if cfg.Demand == nil {
		cfg.Demand = demand.NewMeter("")
	}
	if cfg.Limiter == nil {
		cfg.Limiter = unbounded{}
	}
	if cfg.Keys == nil {
		cfg.Keys = unbounded{}
	}
	if cfg.Quarantine == nil {
		cfg.Quarantine = noQuarantine{}
	}
	if cfg.Rollouts == nil {
		cfg.Rollouts = noRollouts{}
	}
	return &Handler{cfg: cfg, split: placement.NewSplit(), lines: newLines(), losses: newLosses(), budgets: make(map[string]*retry.Budget)}
}

// Stop makes every answer from now on close its connection, so that clients
// move to other VMs.
func (h *Handler) Stop() { h.stopping.Store(true) }

// InFlight returns how many requests are under way.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	q := &request{handler: h, in: r, out: w, arrived: h.cfg.Now(), id: h.cfg.Dialect.RequestID(r)}
	snapshot := h.await(r)
	if snapshot == nil {
		q.refuse(reasonNoConfig)
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	matched, ok := snapshot.Routes.Match(r.Host, path)
	if !ok {
		q.reject(http.StatusNotFound, reasonNoRoute)
		return
	}
	q.route, q.record.Generation = matched, snapshot.Routes.Version()
	if !q.identify(snapshot) {
		return
	}
	q.serve(snapshot)
}

const (
	// awaitPart is the part of a client's patience for which its request waits at
	// a VM that knows nothing yet. Clients wait six to eight times as long as an
	// answer may take to be of full use, so a request that waits for all of it
	// still has three quarters of that time.
	awaitPart = 1.0 / 24
	// leastAwait and mostAwait bound that time: a VM knows its fleet within 0.6 s
	// of its start, or the store and its peers are away.
	leastAwait = 120 * time.Millisecond
	mostAwait  = 600 * time.Millisecond
	// awaitLook is the time between two looks.
	awaitLook = 5 * time.Millisecond
)

// await returns what is believed. A VM that has just started waits for a moment
// until it knows anything: it is about to, and a refusal would use up one of the
// few retries that clients have.
func (h *Handler) await(r *http.Request) *placement.Snapshot {
	moment := leastAwait
	if patience, ok := h.cfg.Dialect.Patience(r); ok {
		moment = min(max(time.Duration(float64(patience)*awaitPart), leastAwait), mostAwait)
	}
	for begun := h.cfg.Now(); h.cfg.Now().Sub(begun) < moment && r.Context().Err() == nil; time.Sleep(awaitLook) {
		if s := h.cfg.Snapshot(); s != nil {
			return s
		}
	}
	return h.cfg.Snapshot()
}

// budget returns the retry budget of a service.
func (h *Handler) budget(service string) *retry.Budget {
	h.mu.Lock()
	defer h.mu.Unlock()
	b, ok := h.budgets[service]
	if !ok {
		b = retry.New(h.cfg.Retry)
		h.budgets[service] = b
	}
	return b
}

// request is one request of a client on its way.
type request struct {
	handler *Handler
	in      *http.Request
	out     http.ResponseWriter
	id      string
	arrived time.Time
	route   *route.Route
	// workspace is whose request it is; nil if that does not matter.
	workspace *workspace.Workspace
	admission Admission
	// hideKey is set if workers are not to see the client's API key.
	hideKey bool
	// service is the one chosen for the request.
	service string
	// share is this VM's part in bringing in a new version of it, nil if there is none,
	// and track says which workers the next try may go to.
	share *rollout.Splitter
	track worker.Track
	until time.Time
	key   uint64
	keyed bool
	body  *body
	// print is the fingerprint, nil while nobody has asked for it.
	print *quarantine.Fingerprint
	tried []string
	// sent is when the last try was sent.
	sent time.Time
	// wait is after what time a worker may get the request, if all of them rest.
	wait time.Duration
	// mayHaveRun is set once a worker was given the request and did not say
	// that it has not run it.
	mayHaveRun bool
	// headSent is set once the client has the head of its answer, with the
	// status.
	headSent bool
	status   int
	// answered is how many bytes of the answer's body were passed on.
	answered int64
	record   decision.Record
	// newKey is set if the last worker had no request with this key from this
	// VM lately, waiting is how many waited there when it answered.
	newKey  bool
	waiting int
}

// serve carries a request whose route is known to its answer.
func (q *request) serve(s *placement.Snapshot) {
	q.until = q.deadline()
	if key, ok := q.handler.cfg.Dialect.Key(q.in); ok && q.route.Affinity {
		q.key, q.keyed = xxhash.Sum64String(key), true
	} else {
		q.key = xxhash.Sum64String(q.id)
	}
	q.service = q.handler.split.Choose(q.route, q.key)
	q.share = q.handler.cfg.Rollouts.Share(q.service)
	var err error
	if q.body, err = readBody(q.in, s.Routes.Limits().MaxBodyBytes); err != nil {
		q.badBody(err)
		return
	}
	if !q.admit() {
		return
	}
	defer q.leaveQuota()
	ctx, cancel := context.WithTimeout(q.in.Context(), q.left())
	defer cancel()
	q.handler.budget(q.service).RecordFirst()
	q.run(ctx)
	q.handler.cfg.Metrics.Took(q.service, q.since(q.arrived))
}

// left returns the time until the request is given up.
func (q *request) left() time.Duration { return q.until.Sub(q.handler.cfg.Now()) }

// since returns the time that has gone by since t.
func (q *request) since(t time.Time) time.Duration { return q.handler.cfg.Now().Sub(t) }

// deadline is when the request is given up: when the client does or when the
// route's time is over, whichever comes first.
func (q *request) deadline() time.Time {
	const unbounded = time.Minute
	held := unbounded
	if q.route.Timeout > 0 {
		held = q.route.Timeout
	}
	if patience, ok := q.handler.cfg.Dialect.Patience(q.in); ok {
		held = min(held, patience)
	}
	return q.arrived.Add(held)
}
