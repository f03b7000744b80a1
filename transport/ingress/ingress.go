// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package ingress serves client requests: it matches the route of a request by host
// and path, sends the request to a worker of the route's service, and returns the
// response of that worker unchanged.
//
// Whether a request is retried is decided by package retry: a request that is not
// repeatable is sent to another worker only if certainly no worker has begun to run
// it. Only in that case is a request refused with 503, at once and with Retry-After;
// if a worker may have run it, the status is 502 or 504. A truncated response never
// looks complete: the client's connection is closed instead.
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

// Dialect reads and writes the headers exchanged between clients, VMs and workers. It
// must be safe for concurrent use.
type Dialect interface {
	// RequestID returns the id that the client gave the request.
	RequestID(r *http.Request) string
	// ClientTimeout returns how long the client waits for a response, if the request says so.
	ClientTimeout(r *http.Request) (time.Duration, bool)
	// AffinityKey returns the affinity key of a request, if it has one.
	AffinityKey(r *http.Request) (string, bool)
	// APIKey returns the API key of a request, if it has one.
	APIKey(r *http.Request) (string, bool)
	// SetWorkspace sets the workspace in a request to a worker, "" for none, and
	// removes the API key and any workspace header of the client.
	SetWorkspace(h http.Header, name string)
	// SetWorkerHeaders sets the id of the target worker and the remaining time.
	SetWorkerHeaders(h http.Header, workerID string, left time.Duration)
	// Load returns the running and waiting requests that a worker reports in a response.
	Load(h http.Header) (running, waiting int, ok bool)
	// Leaving reports whether a worker declares in a response that it is leaving.
	Leaving(h http.Header) bool
	// Backoff returns for how long a worker asks this VM to send it no requests, if the
	// response does so.
	Backoff(status int, h http.Header) (time.Duration, bool)
	// RateLimit returns the rate, in requests per second, that a worker accepts from
	// all VMs together, or math.Inf(1) if the response declares no limit. An error
	// means that the limit in the response is malformed.
	RateLimit(h http.Header) (perSecond float64, err error)
}

// Config configures a Handler. All fields are required except Retry and those whose
// comment describes nil or a default.
type Config struct {
	// VM is the name of this VM in decision records.
	VM string
	// Snapshot returns the current state, or nil before any is known.
	Snapshot  func() *placement.Snapshot
	Placer    *placement.Placer
	Upstreams *upstream.Client
	Dialect   Dialect
	Metrics   *metrics.Set
	Log       logr.Logger
	Decisions *Decisions
	// StateAge returns the age of the known workers and configuration, and whether it is
	// known. If StateAge is nil, decision records omit the age.
	StateAge func() (age time.Duration, known bool)
	// Demand records the response times of workers. Nil disables it.
	Demand *demand.Meter
	// HallMeters count the traffic to the workers of each hall. Nil disables them.
	HallMeters *load.HallMeters
	// VMCount returns the number by which the connection limit of a service is divided; at least 1.
	VMCount func() int
	// Retry configures the retry budget of each service.
	Retry retry.Config
	// Limiter enforces the quotas of workspaces. Nil means no quotas.
	Limiter Limiter
	// Keys reports how current the known API keys are. Nil means always current.
	Keys Keys
	// Quarantine tracks requests that crash workers. Nil disables it.
	Quarantine Quarantine
	// Reach tells what failed connections prove. Nil means that this VM always reaches
	// workers.
	Reach Reach
	// Forwarder forwards requests while this VM reaches no worker. Required with Reach.
	Forwarder Forwarder
	// AdmissionByRank lets requests compete for the room of full workers by their ranks.
	AdmissionByRank bool
	// LeavingGrace is how long a worker may still get requests after it has declared
	// that it is leaving. Default 0: it gets none.
	LeavingGrace time.Duration
	// Now returns the time, which should include suspensions of the machine. Default time.Now.
	Now func() time.Time
}

// Handler serves client requests. It is safe for concurrent use.
type Handler struct {
	cfg        Config
	split      *placement.Split
	logLimiter *logLimiter
	losses     *lossCounter
	stopping   atomic.Bool
	// period is that of the stop, nil before Stop.
	period    atomic.Pointer[stopPeriod]
	arrivals  arrivals
	inFlight  atomic.Int64
	forwarded forwardedCounter

	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

// New returns a handler.
func New(cfg Config) *Handler {
	if cfg.Now == nil {
		cfg.Now = time.Now //nolint:forbidigo // Default for embedders.
	}
	if cfg.HallMeters == nil {
		cfg.HallMeters = load.NewHallMeters(cfg.Now)
	}
	if cfg.Demand == nil {
		cfg.Demand = demand.NewMeter("")
	}
	if cfg.Limiter == nil {
		cfg.Limiter = unrestricted{}
	}
	if cfg.Keys == nil {
		cfg.Keys = unrestricted{}
	}
	if cfg.Quarantine == nil {
		cfg.Quarantine = noQuarantine{}
	}
	if cfg.Reach == nil {
		cfg.Reach = alwaysReached{}
	}
	return &Handler{cfg: cfg, split: placement.NewSplit(), logLimiter: newLogLimiter(), losses: newLossCounter(), budgets: make(map[string]*retry.Budget)}
}

// ArrivalsSinceStop returns the number of requests that arrived in each tenth of a second since
// Stop, without the empty ones at the end.
func (h *Handler) ArrivalsSinceStop() []int { return h.arrivals.byInterval() }

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.stopping.Load() {
		h.arrivals.record(h.cfg.Now())
		w.Header().Set("Connection", "close")
	}
	q := &request{handler: h, req: r, writer: w, arrivedAt: h.cfg.Now(), id: h.cfg.Dialect.RequestID(r)}
	q.recordPosition()
	if h.workerTime(stopAnswerMargin) <= 0 {
		q.refuse(reasonStopping)
		return
	}
	snapshot := h.awaitSnapshot(r)
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
	if !q.authenticate(snapshot) {
		return
	}
	q.serve(snapshot)
}

// Concurrent reports whether a request may run beside others of its connection: a retry
// after a lost connection must do no harm.
func (h *Handler) Concurrent(r *http.Request) bool {
	s := h.cfg.Snapshot()
	if s == nil {
		return false
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	matched, ok := s.Routes.Match(r.Host, path)
	return ok && matched.Repeatable
}

const (
	// startupWaitFraction is the fraction of the client's timeout that a request waits
	// at a VM that has no snapshot yet. It is small, so that most of the time that the
	// client waits is left for the response.
	startupWaitFraction = 1.0 / 24
	// minStartupWait and maxStartupWait bound that wait. A VM that has no snapshot by
	// then reaches neither the store nor its peers.
	minStartupWait = 120 * time.Millisecond
	maxStartupWait = 600 * time.Millisecond
	// startupPollInterval is the interval at which the snapshot is polled.
	startupPollInterval = 5 * time.Millisecond
)

// awaitSnapshot returns the current snapshot. A VM that has just started waits briefly
// for its first one, since a refusal would use up one of the client's few retries.
func (h *Handler) awaitSnapshot(r *http.Request) *placement.Snapshot {
	maxWait := minStartupWait
	if timeout, ok := h.cfg.Dialect.ClientTimeout(r); ok {
		maxWait = min(max(time.Duration(float64(timeout)*startupWaitFraction), minStartupWait), maxStartupWait)
	}
	for started := h.cfg.Now(); h.cfg.Now().Sub(started) < maxWait && r.Context().Err() == nil; time.Sleep(startupPollInterval) {
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

// request is the state of one client request.
type request struct {
	handler   *Handler
	req       *http.Request
	writer    http.ResponseWriter
	id        string
	arrivedAt time.Time
	// waited is the time from arrivedAt until the request began.
	waited time.Duration
	route  *route.Route
	// workspace is the workspace of the request, or nil if none was identified.
	workspace *workspace.Workspace
	admission Admission
	// stripAPIKey is set if the client's API key is not forwarded to workers.
	stripAPIKey bool
	// service is the service chosen among the targets of the route.
	service string
	// splitter is this VM's splitter of the rollout of the service, nil if there is none.
	// track selects the workers for the next attempt.
	splitter *rollout.Splitter
	track    worker.Track
	// rank is the rank of the request among the ranks of the service's requests.
	rank, ranks int
	deadline    time.Time
	key         uint64
	keyed       bool
	body        *body
	// cachedFingerprint is the fingerprint of the request, nil until it is first used.
	cachedFingerprint *quarantine.Fingerprint
	tried             []string
	// proxy is the VM by way of which the current attempt is made, "" for none.
	proxy string
	// sentAt is the start of the last attempt.
	sentAt time.Time
	// retryAfter is the time after which a worker may accept the request, if it was
	// refused because of resting or rate-limited workers.
	retryAfter time.Duration
	// mayHaveRun is set once an attempt has failed without certainty that the
	// worker did not run the request.
	mayHaveRun bool
	// headSent is set once the response header with the status was sent to the
	// client.
	headSent bool
	status   int
	// responseBytes is the number of body bytes sent to the client.
	responseBytes int64
	record        decision.Record
	// keyNewToWorker is set if this VM had not recently sent the last worker a request
	// with this key. workerQueue is the queue length that the worker reported.
	keyNewToWorker bool
	workerQueue    int
}

// serve handles a request after its route and workspace are known.
func (q *request) serve(s *placement.Snapshot) {
	q.deadline = q.computeDeadline()
	if q.handler.stopsBefore(q.deadline) {
		q.refuse(reasonStopping)
		return
	}
	if key, ok := q.handler.cfg.Dialect.AffinityKey(q.req); ok && q.route.Affinity {
		q.key, q.keyed = xxhash.Sum64String(key), true
	} else {
		q.key = xxhash.Sum64String(q.id)
	}
	q.service = q.handler.split.Choose(q.route, q.key)
	q.setRank(s)
	var err error
	if q.body, err = readBody(q.req, s.Routes.Limits().MaxBodyBytes); err != nil {
		q.rejectBody(err)
		return
	}
	if !q.admit() {
		return
	}
	defer q.refundQuota()
	ctx, cancel := context.WithTimeout(q.req.Context(), q.remaining())
	defer cancel()
	q.handler.budget(q.service).RecordFirst()
	q.sendWithRetries(ctx)
	q.handler.cfg.Metrics.Took(q.service, q.elapsed(q.arrivedAt))
}

// remaining returns the time until the deadline of the request.
func (q *request) remaining() time.Duration { return q.deadline.Sub(q.handler.cfg.Now()) }

// elapsed returns the time since t.
func (q *request) elapsed(t time.Time) time.Duration { return q.handler.cfg.Now().Sub(t) }

// computeDeadline returns the earlier of the client's deadline and that of the route.
func (q *request) computeDeadline() time.Time {
	const defaultTimeout = time.Minute
	timeout := defaultTimeout
	if q.route.Timeout > 0 {
		timeout = q.route.Timeout
	}
	if clientTimeout, ok := q.handler.cfg.Dialect.ClientTimeout(q.req); ok {
		timeout = min(timeout, clientTimeout)
	}
	return q.arrivedAt.Add(timeout)
}
