// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package upstream sends requests to upstreams over HTTP/1.1.
//
// It does not use http.Transport, for that sends a request a second time on its
// own when a kept connection breaks, also one with an Idempotency-Key header.
// Here one call is one try: whether a byte was given to the upstream is known
// exactly and is part of every error.
//
// A connection is used again only after an exchange that both sides ended in
// full. One that saw a late, broken or surplus answer is closed, so that no
// answer can reach a request that it does not belong to. A request that may not
// be repeated always gets a new connection, since a kept one may have been
// closed by the upstream at that moment, and nobody could tell whether the
// request was run.
//
// # Usage
//
//	client := upstream.New(upstream.Config{})
//	answer, err := client.Do(ctx, worker, request)
//	defer answer.Close()
//	io.Copy(w, answer.Body())
package upstream

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// HeaderRefused is how an upstream says that it did not run a request. It comes
// with status 503 and one of the values below.
const HeaderRefused = "Upstream-Refused"

// Values of HeaderRefused.
const (
	RefusedShed    = "shed"
	RefusedLeaving = "leaving"
)

// HeaderTimeout tells the upstream how many milliseconds are left.
const HeaderTimeout = "Request-Timeout-Ms"

// Kind says how a try failed.
type Kind int

// Kinds of failure.
const (
	// KindUnreachable means that no connection could be opened.
	KindUnreachable Kind = iota
	// KindBusy means that all connections to the worker are in use.
	KindBusy
	// KindShed means that the upstream refused for lack of room.
	KindShed
	// KindLeaving means that the upstream refused since it leaves.
	KindLeaving
	// KindBroken means that the exchange broke off or ran out of time.
	KindBroken
	// KindBody means that the caller's body could not be read to its end.
	KindBody
	// KindOther means that another worker has the address.
	KindOther
)

// String returns the kind's name as used in metrics.
func (k Kind) String() string {
	return [...]string{"unreachable", "busy", "shed", "leaving", "broken", "body", "other-worker"}[k]
}

// Error is a failed try.
type Error struct {
	kind   Kind
	notRun bool
	hungUp bool
	// renewed is set if all kept connections had been closed by the upstream.
	renewed bool
	step    string
	worker  string
	cause   error
	header  http.Header
	// status is that of a refusal by the upstream, or 0.
	status int
}

// Kind returns how the try failed.
func (e *Error) Kind() Kind { return e.kind }

// NotRun reports whether it is certain that the upstream did not run it: no
// byte of the request was given to it, or it said so.
func (e *Error) NotRun() bool { return e.notRun }

// HungUp reports whether the upstream closed or reset the connection after it was
// given a part of the request and before it sent the head of an answer, as one does
// whose process ends.
func (e *Error) HungUp() bool { return e.hungUp }

// Renewed reports whether the upstream had closed all kept connections that were good
// still, so that a new one was opened.
func (e *Error) Renewed() bool { return e.renewed }

// Header returns the header of a refusal by the upstream, or nil.
func (e *Error) Header() http.Header { return e.header }

// Status returns the HTTP status of a refusal by the upstream, or 0.
func (e *Error) Status() int { return e.status }

// Step returns the step at which the try failed.
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

// Worker is where to send a request.
type Worker struct {
	ID string
	// Start tells the processes apart that serve at an address one after the other; a
	// greater one is newer. Connections to an earlier one are not used. 0 is unknown.
	Start   uint64
	Address string
	// Connections bounds the open connections to it.
	Connections int
}

// Config sets up a Client. The zero value is useful.
type Config struct {
	// Dial opens connections. Default: a net.Dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Progress is how long an exchange may stand still while a body is
	// under way. Default 30 s.
	Progress time.Duration
	// IdleFor is how long an unused connection is kept. Default 30 s. An
	// upstream that announces less in Keep-Alive gets less.
	IdleFor time.Duration
	// OnceIdle is for how long an unused connection is good for a request
	// that may not be repeated. Default 0: such a request always gets a new
	// connection.
	OnceIdle time.Duration
	// DialTimeout bounds the opening of a connection. Default 2 s.
	DialTimeout time.Duration
	// Unanswered is after what time a connection is given up whose bytes the
	// other side's system does not even confirm, as when its machine is
	// gone. Default 0: the system's own time, which is minutes.
	Unanswered time.Duration
	// Now tells how long connections rest, that of suspensions included. Default
	// time.Now.
	Now func() time.Time
	// Dialect reads the signs of answers. Default: the headers of this
	// package.
	Dialect Dialect
}

// Dialect says what the answers of upstreams mean. Its methods must not read
// bodies.
type Dialect interface {
	// Refused reports whether an answer says that the request was not run,
	// and how.
	Refused(res *http.Response) (Kind, bool)
	// Belongs reports whether an answer is one to the request.
	Belongs(req *Request, res *http.Response) bool
	// WithoutLength reports whether an answer may have neither length nor
	// chunks, so that it ends with its connection.
	WithoutLength() bool
}

// ownDialect is the default.
type ownDialect struct{}

// Refused implements Dialect.
func (ownDialect) Refused(res *http.Response) (Kind, bool) {
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

// Belongs implements Dialect.
func (ownDialect) Belongs(*Request, *http.Response) bool { return true }

// WithoutLength implements Dialect: the end of such a body is the end of the
// connection, so a broken answer could not be told from a whole one (RFC 9112,
// section 6.3).
func (ownDialect) WithoutLength() bool { return false }

const (
	defaultProgress    = 30 * time.Second
	defaultIdleFor     = 30 * time.Second
	defaultDialTimeout = 2 * time.Second
	maxIdle            = 32
)

// Client keeps connections to upstreams. It is safe for concurrent use.
type Client struct {
	cfg   Config
	mu    sync.Mutex
	pools map[string]*pool
}

// pool holds the connections to one address.
type pool struct {
	mu   sync.Mutex
	open int
	// start is that of the newest process of which is known.
	start uint64
	idle  []*conn // the last used one at the end
}

// New returns a client without connections.
func New(cfg Config) *Client {
	if cfg.DialTimeout <= 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.Dial == nil {
		d := &net.Dialer{Timeout: cfg.DialTimeout, Control: controlUnanswered(cfg.Unanswered)}
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}
	}
	if cfg.Progress <= 0 {
		cfg.Progress = defaultProgress
	}
	if cfg.IdleFor <= 0 {
		cfg.IdleFor = defaultIdleFor
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Dialect == nil {
		cfg.Dialect = ownDialect{}
	}
	return &Client{cfg: cfg, pools: make(map[string]*pool)}
}

// CloseIdle closes all connections that are not in use.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.mu.Lock()
		idle := p.idle
		p.idle = nil
		p.mu.Unlock()
		for _, kept := range idle {
			kept.close() // It takes the pool's lock itself.
		}
	}
}

func (c *Client) pool(address string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[address]
	if !ok {
		p = &pool{}
		c.pools[address] = p
	}
	return p
}

// connect returns a kept connection, or a new one if there is none that is
// good for the request.
func (c *Client) connect(ctx context.Context, w Worker, once bool) (*conn, error) {
	p := c.pool(w.Address)
	p.begin(w.Start)
	goodFor := c.cfg.IdleFor
	if once {
		goodFor = min(goodFor, c.cfg.OnceIdle)
	}
	closed := false
	for {
		kept := p.takeIdle(goodFor, c.cfg.Now())
		if kept == nil {
			break
		}
		if kept.wake() {
			return kept, nil
		}
		kept.close()
		closed = true
	}
	if !p.reserve(w.Connections) {
		return nil, &Error{kind: KindBusy, notRun: true, step: "connect", worker: w.ID}
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancel()
	raw, err := c.cfg.Dial(ctx, w.Address)
	if err != nil {
		p.released()
		return nil, &Error{kind: KindUnreachable, notRun: true, step: "connect", worker: w.ID, cause: err}
	}
	made := newConn(raw, p, c.cfg.IdleFor)
	made.start, made.renewed, made.opened = w.Start, closed, c.cfg.Now()
	return made, nil
}

// begin closes the resting connections to earlier processes than the one that started
// then.
func (p *pool) begin(start uint64) {
	p.mu.Lock()
	var earlier []*conn
	if start > p.start {
		p.start, earlier, p.idle = start, p.idle, nil
	}
	p.mu.Unlock()
	for _, c := range earlier {
		c.close()
	}
}

// takeIdle takes out the connection that was used last, if it has not rested
// for longer than it is good for. Those that no request may use are closed.
func (p *pool) takeIdle(goodFor time.Duration, now time.Time) *conn {
	p.mu.Lock()
	expired := p.takeExpired(now)
	var kept *conn
	if n := len(p.idle); n > 0 && now.Sub(p.idle[n-1].since) < goodFor {
		kept = p.idle[n-1]
		p.idle = p.idle[:n-1]
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
	return kept
}

// takeExpired takes out the connections that have rested for too long. They are
// at the front, since the last used one is at the end.
func (p *pool) takeExpired(now time.Time) []*conn {
	n := 0
	for n < len(p.idle) && now.Sub(p.idle[n].since) >= p.idle[n].idleFor {
		n++
	}
	expired := slices.Clone(p.idle[:n])
	p.idle = p.idle[n:]
	return expired
}

// reserve counts a new connection, closing an idle one if the limit is reached.
func (p *pool) reserve(limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && p.open >= limit {
		if len(p.idle) == 0 {
			return false
		}
		oldest := p.idle[0]
		p.idle = p.idle[1:]
		p.open--
		oldest.pool = nil
		oldest.close()
	}
	p.open++
	return true
}

func (p *pool) released() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// keep returns a connection after a complete exchange.
func (p *pool) keep(c *conn, now time.Time) {
	c.rest(now)
	p.mu.Lock()
	if len(p.idle) < maxIdle && c.start >= p.start {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	c.close()
}

var errClosed = errors.New("upstream closed the connection")
