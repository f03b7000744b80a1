// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package upstream sends requests to upstreams over HTTP/1.1.
//
// It does not use http.Transport, which resends a request on its own when an
// idle connection turns out to be closed, even a POST with an Idempotency-Key
// header. Here one call is one attempt, and every error says whether any byte
// of the request was written to the upstream.
//
// A connection is reused only after both sides completed the exchange. A
// connection that carried an incomplete or surplus response is closed, so that
// no response reaches a request it does not belong to. An at-most-once request
// uses a new connection by default: the upstream may be closing an idle one at
// that moment, and it would be unknown whether the request was run.
//
// # Usage
//
//	client := upstream.New(upstream.Config{})
//	response, err := client.Do(ctx, worker, request)
//	defer response.Close()
//	io.Copy(w, response.Body())
package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// HeaderRefused is the response header by which an upstream declares that it
// did not run a request. It is sent with status 503 and one of the values below.
const HeaderRefused = "Upstream-Refused"

// Values of HeaderRefused.
const (
	RefusedShed    = "shed"
	RefusedLeaving = "leaving"
)

// HeaderTimeout is the request header with the remaining time in milliseconds.
const HeaderTimeout = "Request-Timeout-Ms"

// Kind classifies a failed attempt.
type Kind int

// Kinds of failure.
const (
	// KindUnreachable means that no connection could be established, though this machine
	// had what that takes.
	KindUnreachable Kind = iota
	// KindBusy means that the worker's connection limit, or what this machine may open,
	// is reached and all connections are in use.
	KindBusy
	// KindShed means that the upstream refused the request because of overload.
	KindShed
	// KindLeaving means that the upstream refused the request because it is
	// shutting down.
	KindLeaving
	// KindBroken means that the exchange was interrupted or timed out.
	KindBroken
	// KindRequestBody means that reading the request body from the caller failed.
	KindRequestBody
	// KindWrongWorker means that a different worker now serves at the address.
	KindWrongWorker
)

// String returns the name of the kind as used in metrics.
func (k Kind) String() string {
	return [...]string{"unreachable", "busy", "shed", "leaving", "broken", "body", "other-worker"}[k]
}

// Error describes a failed attempt.
type Error struct {
	kind       Kind
	notRun     bool
	peerClosed bool
	// reconnected is set if the upstream had closed the idle connections that
	// were tried first.
	reconnected bool
	step        string
	worker      string
	cause       error
	header      http.Header
	// status is the HTTP status of a refusal by the upstream, or 0.
	status int
}

// Kind returns the classification of the failure.
func (e *Error) Kind() Kind { return e.kind }

// NotRun reports whether the upstream certainly did not run the request: no
// byte of it was written to the connection, or the upstream declared so.
func (e *Error) NotRun() bool { return e.notRun }

// PeerClosed reports whether the upstream closed or reset the connection after part
// of the request was written and before it sent a response header, as happens
// when its process exits.
func (e *Error) PeerClosed() bool { return e.peerClosed }

// Reconnected reports whether a new connection was opened because the upstream had
// closed every idle connection that could have been reused.
func (e *Error) Reconnected() bool { return e.reconnected }

// Header returns the response header of a refusal by the upstream, or nil.
func (e *Error) Header() http.Header { return e.header }

// Status returns the HTTP status of a refusal by the upstream, or 0.
func (e *Error) Status() int { return e.status }

// Step returns the step at which the attempt failed.
func (e *Error) Step() string { return e.step }

// Error implements error.
func (e *Error) Error() string {
	text := "upstream " + e.worker + ": " + e.step + ": " + e.kind.String()
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Worker identifies the process that a request is sent to.
type Worker struct {
	ID string
	// Start distinguishes successive processes at the same address; a greater
	// value is newer. Idle connections to an older process are closed. 0 means
	// unknown.
	Start   uint64
	Address string
	// MaxConnections limits the open connections to the worker; 0 means no limit.
	MaxConnections int
}

// Config configures a Client. The zero value is ready to use.
type Config struct {
	// Dial opens connections. Default: a net.Dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// ProgressTimeout limits each write of a request and each read of a response
	// body, unless the deadline of the context is later. Default 30 s.
	ProgressTimeout time.Duration
	// MaxOpen bounds the open connections to all upstreams together. At the bound the
	// least recently used idle one is closed. 0 means no limit.
	MaxOpen int
	// MaxHeaderBytes bounds the response header of an upstream in bytes, together with the
	// informational responses before it. Default 256 KiB.
	MaxHeaderBytes int
	// IdleTimeout is how long an idle connection is kept. Default 30 s. A shorter
	// Keep-Alive timeout of the upstream takes precedence.
	IdleTimeout time.Duration
	// AtMostOnceMaxIdle is how long a connection may have been idle to be reused for
	// an at-most-once request. Default 0: such a request always uses a new
	// connection.
	AtMostOnceMaxIdle time.Duration
	// DialTimeout limits the time to establish a connection. Default 2 s.
	DialTimeout time.Duration
	// AckTimeout is how long the remote machine may leave sent data and window probes
	// unacknowledged at TCP level before the connection is closed, because the machine or
	// the path to it is gone. A peer that keeps its receive window closed is not cut off.
	// Default 0: the limit of the operating system, which is minutes.
	AckTimeout time.Duration
	// Now returns the time by which idle connections expire. It should include
	// the time that the machine was suspended. Default time.Now.
	Now func() time.Time
	// Dialect interprets responses. Default: the headers of this package.
	Dialect Dialect
	// Observer is notified of what connections show. Default: none.
	Observer Observer
}

// Dialect interprets the responses of upstreams. Its methods must not read
// response bodies.
type Dialect interface {
	// Refused reports whether a response declares that the request was not
	// run, and the kind of the refusal.
	Refused(res *http.Response) (Kind, bool)
	// MatchesRequest reports whether a response is the one to the request.
	MatchesRequest(req *Request, res *http.Response) bool
	// CheckRequest returns a request without a body that a worker answers but does not run.
	CheckRequest() *Request
	// HealthRequest returns a request for the health of a worker at a path.
	HealthRequest(path string) *Request
	// ColdTime returns for how much longer a worker is cold, by the header of its response to
	// HealthRequest. It returns 0 if the worker is warm or another one has answered.
	ColdTime(worker string, h http.Header) time.Duration
	// AllowsCloseDelimited reports whether a response may have neither a length nor
	// chunked encoding, so that closing the connection ends its body.
	AllowsCloseDelimited() bool
}

// defaultDialect uses HeaderRefused.
type defaultDialect struct{}

// Refused implements Dialect.
func (defaultDialect) Refused(res *http.Response) (Kind, bool) {
	if res.StatusCode != http.StatusServiceUnavailable {
		return 0, false
	}
	switch res.Header.Get(HeaderRefused) {
	case RefusedShed:
		return KindShed, true
	case RefusedLeaving:
		return KindLeaving, true
	}
	return 0, false
}

// MatchesRequest implements Dialect.
func (defaultDialect) MatchesRequest(*Request, *http.Response) bool { return true }

// CheckRequest implements Dialect.
func (defaultDialect) CheckRequest() *Request {
	return &Request{Method: http.MethodOptions, Target: "*", Header: http.Header{"Connection": {"close"}}}
}

// HealthRequest implements Dialect.
func (defaultDialect) HealthRequest(path string) *Request {
	return &Request{Method: http.MethodGet, Target: path, Header: http.Header{}}
}

// ColdTime implements Dialect. These headers have no cold time.
func (defaultDialect) ColdTime(string, http.Header) time.Duration { return 0 }

// AllowsCloseDelimited implements Dialect. Close-delimited bodies are not allowed, since
// a truncated one could not be told from a complete one (RFC 9112, section 6.3).
func (defaultDialect) AllowsCloseDelimited() bool { return false }

const (
	defaultProgressTimeout = 30 * time.Second
	defaultIdleTimeout     = 30 * time.Second
	defaultDialTimeout     = 2 * time.Second
	defaultMaxHeaderBytes  = 256 << 10
	maxIdleConns           = 32
)

// keepAlive ends a connection whose peer is gone while nothing is sent, as when a response
// takes long.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 15 * time.Second, Interval: time.Second, Count: 3}

// Client sends requests to upstreams over pooled connections. It is safe for
// concurrent use.
type Client struct {
	cfg   Config
	mu    sync.Mutex
	pools map[string]*pool
	// openConns is the number of connections in all pools.
	openConns atomic.Int64
}

// New returns a client with no open connections.
func New(cfg Config) *Client {
	if cfg.DialTimeout <= 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.Dial == nil {
		d := &net.Dialer{Timeout: cfg.DialTimeout, Control: userTimeoutControl(cfg.AckTimeout), KeepAliveConfig: keepAlive}
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}
	}
	if cfg.ProgressTimeout <= 0 {
		cfg.ProgressTimeout = defaultProgressTimeout
	}
	if cfg.IdleTimeout <= 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	if cfg.MaxHeaderBytes <= 0 {
		cfg.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Dialect == nil {
		cfg.Dialect = defaultDialect{}
	}
	if cfg.Observer == nil {
		cfg.Observer = noObserver{}
	}
	return &Client{cfg: cfg, pools: make(map[string]*pool)}
}

// CloseIdle closes all idle connections.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.mu.Lock()
		idle := p.idle
		p.idle = nil
		p.mu.Unlock()
		for _, idleConn := range idle {
			idleConn.close() // Locks the pool.
		}
	}
}

func (c *Client) pool(address string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[address]
	if !ok {
		p = &pool{total: &c.openConns}
		c.pools[address] = p
	}
	return p
}

// connect returns an idle connection that may be used for the request, or else
// opens a new one.
func (c *Client) connect(ctx context.Context, w Worker, req *Request) (*conn, error) {
	p := c.pool(w.Address)
	p.closeOlderThan(w.Start)
	idleLimit := c.cfg.IdleTimeout
	if req.AtMostOnce {
		idleLimit = min(idleLimit, c.cfg.AtMostOnceMaxIdle)
	}
	foundClosed := false
	for {
		idle := p.popIdle(idleLimit, c.cfg.Now())
		if idle == nil {
			break
		}
		if idle.stopWatch() {
			return idle, nil
		}
		idle.close()
		foundClosed = true
	}
	if req.ReuseOnly {
		return nil, &Error{kind: KindUnreachable, notRun: true, step: "connect", worker: w.ID, cause: ErrNoIdleConnection}
	}
	created, err := c.open(ctx, p, w)
	if err != nil {
		return nil, err
	}
	created.reconnected = foundClosed
	return created, nil
}

// open opens a connection within the worker's connection limit.
func (c *Client) open(ctx context.Context, p *pool, w Worker) (*conn, error) {
	if !p.reserve(w.MaxConnections) {
		return nil, &Error{kind: KindBusy, notRun: true, step: "connect", worker: w.ID}
	}
	if !c.reserve() {
		p.releaseUnopened()
		return nil, &Error{kind: KindBusy, notRun: true, step: "connect", worker: w.ID, cause: errAllInUse}
	}
	dialCtx, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancel()
	raw, err := c.dial(dialCtx, w.Address)
	if err != nil {
		p.release()
		kind := KindUnreachable
		if isExhausted(err) {
			kind = KindBusy
		} else if ctx.Err() == nil {
			c.cfg.Observer.OpenFailed(w, err)
		}
		return nil, &Error{kind: kind, notRun: true, step: "connect", worker: w.ID, cause: err}
	}
	c.cfg.Observer.Opened(w)
	created := newConn(raw, p, c.cfg.IdleTimeout)
	if c.cfg.AckTimeout > 0 {
		created.transmission = newTransmissionReader(raw)
	}
	created.processStart, created.opened = w.Start, c.cfg.Now()
	return created, nil
}

// Probe opens and closes a connection to a worker without sending a request. It returns
// the error of Do if that fails.
func (c *Client) Probe(ctx context.Context, w Worker) error {
	probed, err := c.open(ctx, c.pool(w.Address), w)
	if err != nil {
		return err
	}
	probed.close()
	return nil
}

// ErrNoIdleConnection is the cause of an error of a request with ReuseOnly.
var ErrNoIdleConnection = errors.New("no idle connection")

var errClosed = errors.New("upstream closed the connection")
