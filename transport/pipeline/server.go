// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package pipeline serves HTTP/1.1 connections on which clients send further requests
// before the first is answered (pipelining, RFC 9112, section 9.3.2).
//
// Requests that may run beside each other begin as soon as they are read. Every other
// request begins once all requests before it are answered, and nothing begins until it is
// answered. Responses are sent in the order of the requests: those that are ready before
// their turn are held. A connection whose client waits for each response is served like
// by net/http.
//
// Bounded are the requests that run on one connection, the bytes of the responses that are
// held, and the bytes that are read ahead. At a bound the server reads no further, so the
// client's sends block; no request is refused. Over all connections the requests that run
// behind another one, and the bytes that are held, share a limit by dynamic thresholds: a
// connection may use as much as is still free, so that none takes the room of the others.
//
// A response that breaks off closes the connection, and with it the responses to all requests
// behind it are lost. A handler that sends a response before it has the whole of it should
// therefore ask Collect first: it keeps the response until it is whole if requests behind it
// have begun, as far as a shared limit allows it, and none begins behind one that is sent as it
// comes.
//
// If a client closes its connection, or the sending half of it, the contexts of its
// requests are canceled, and none of those that have not begun begins.
//
// A response closes the connection if its handler sets "Connection: close". Nothing further
// is read then, and the header is sent with the last response that is due, so that each
// request is either answered or was never begun.
//
// # Usage
//
//	server, err := pipeline.New(pipeline.Config{Handler: handler, Concurrent: repeatable, Log: log})
//	go server.Serve(listener)
//	defer server.Shutdown(ctx)
package pipeline

import (
	"cmp"
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
)

// ErrConfig reports an invalid configuration.
var ErrConfig = errors.New("pipeline: invalid configuration")

// Defaults of the fields of Config.
const (
	DefaultMaxDepth          = 16
	DefaultMaxBehind         = 1024
	DefaultMaxHeld           = 64 << 10
	DefaultMaxHeldTotal      = 8 << 20
	DefaultMaxCollectedTotal = 16 << 20
	DefaultReadAhead         = 16 << 10
	DefaultMaxHeaderBytes    = 64 << 10
	DefaultHeaderTimeout     = 10 * time.Second
	DefaultIdleTimeout       = 2 * time.Minute
	DefaultStallTimeout      = 30 * time.Second
)

// Config configures a Server. Handler is required. A field that is 0 has its default.
type Config struct {
	// Handler serves the requests. Their contexts hold a Position.
	Handler http.Handler
	// Concurrent reports whether a request may run beside others of its connection. It is
	// called for requests without a body. Nil means that none may.
	Concurrent func(r *http.Request) bool
	// MaxDepth bounds the unanswered requests of a connection that have begun. With 1,
	// requests are served one after the other.
	MaxDepth int
	// MaxBehind bounds the requests of all connections that have begun behind another one.
	MaxBehind int
	// MaxHeld bounds the bytes of the response bodies of a connection that wait for their
	// turn, and MaxHeldTotal those of all connections.
	MaxHeld, MaxHeldTotal int
	// MaxCollectedTotal bounds the bytes that Collect grants to all connections.
	MaxCollectedTotal int
	// ReadAhead bounds the bytes that are read of a connection beyond the next request.
	ReadAhead int
	// MaxConnections bounds the open connections. At the bound the one that has been
	// without requests for longest gives way to a new one.
	// 0 means no limit.
	MaxConnections int
	// MaxHeaderBytes bounds the request line and the header fields of a request.
	MaxHeaderBytes int
	// HeaderTimeout is the time for the header of a request from its first byte on.
	HeaderTimeout time.Duration
	// IdleTimeout is the time that a connection without requests is kept.
	IdleTimeout time.Duration
	// StallTimeout is the time after which a connection is closed whose client accepts no
	// bytes of a response.
	StallTimeout time.Duration
	// Metrics counts what connections do. Nil disables it.
	Metrics Metrics
	Log     logr.Logger
}

// Metrics counts what the connections of a server do. It must be safe for concurrent use.
type Metrics interface {
	// PipelinedRequest counts a request that has begun behind others, and how many they
	// were.
	PipelinedRequest(ahead int)
	// ResponseHeld records the time that a response was held until its turn.
	ResponseHeld(d time.Duration)
	// HeldBytes sets the bytes of the responses that are held.
	HeldBytes(n int)
	// ConnectionEnded counts a connection that this side has closed, or whose client left
	// with requests under way, by reason.
	ConnectionEnded(reason string)
}

// Server serves connections. It is safe for concurrent use.
type Server struct {
	cfg Config
	// behind, held and collected are what the connections share.
	behind, held, collected *sharedLimit
	workers                 *workers
	late                    lateCounts

	// stopping is set by Shutdown and Close with mu held, closed by Close alone.
	stopping, closed atomic.Bool

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	conns     map[*conn]struct{}
	// noneRestedBefore is the earliest time at which a connection may be closed for a new one.
	noneRestedBefore time.Time
	// ended is notified whenever a connection or the accepting of a listener has ended.
	ended sync.Cond
}

// lateCounts counts what a server takes up after Shutdown: requests that begin then, and
// connections that waited to be accepted.
type lateCounts struct{ requests, connections atomic.Int64 }

// New returns a server, or ErrConfig.
func New(cfg Config) (*Server, error) {
	if cfg.Handler == nil {
		return nil, errors.Wrap(ErrConfig, "a handler is required")
	}
	for name, value := range map[string]int64{
		"most requests of a connection": int64(cfg.MaxDepth), "most requests behind others": int64(cfg.MaxBehind),
		"most held bytes": int64(cfg.MaxHeld), "most held bytes of all connections": int64(cfg.MaxHeldTotal),
		"most collected bytes": int64(cfg.MaxCollectedTotal),
		"bytes read ahead":     int64(cfg.ReadAhead), "most connections": int64(cfg.MaxConnections),
		"most header bytes": int64(cfg.MaxHeaderBytes),
		"header timeout":    int64(cfg.HeaderTimeout), "idle timeout": int64(cfg.IdleTimeout), "stall timeout": int64(cfg.StallTimeout),
	} {
		if value < 0 {
			return nil, errors.Wrapf(ErrConfig, "%s: %d is negative", name, value)
		}
	}
	cfg.setDefaults()
	s := &Server{
		cfg: cfg, behind: newSharedLimit(cfg.MaxBehind), held: newSharedLimit(cfg.MaxHeldTotal), collected: newSharedLimit(cfg.MaxCollectedTotal),
		workers: newWorkers(), listeners: make(map[net.Listener]struct{}), conns: make(map[*conn]struct{}),
	}
	s.ended.L = &s.mu
	return s, nil
}

func (c *Config) setDefaults() {
	c.MaxDepth = cmp.Or(c.MaxDepth, DefaultMaxDepth)
	c.MaxBehind = cmp.Or(c.MaxBehind, DefaultMaxBehind)
	c.MaxHeld = cmp.Or(c.MaxHeld, DefaultMaxHeld)
	c.MaxHeldTotal = cmp.Or(c.MaxHeldTotal, DefaultMaxHeldTotal)
	c.MaxCollectedTotal = cmp.Or(c.MaxCollectedTotal, DefaultMaxCollectedTotal)
	c.ReadAhead = cmp.Or(c.ReadAhead, DefaultReadAhead)
	c.MaxHeaderBytes = cmp.Or(c.MaxHeaderBytes, DefaultMaxHeaderBytes)
	c.HeaderTimeout = cmp.Or(c.HeaderTimeout, DefaultHeaderTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
	c.StallTimeout = cmp.Or(c.StallTimeout, DefaultStallTimeout)
	if c.Concurrent == nil {
		c.Concurrent = func(*http.Request) bool { return false }
	}
	if c.Metrics == nil {
		c.Metrics = noMetrics{}
	}
}

// serveConn serves a connection, unless it is above the limit.
func (s *Server) serveConn(nc net.Conn) {
	if !s.admit(nc) {
		return
	}
	c := newConn(s, nc)
	s.mu.Lock()
	if c.draining = s.stopping.Load(); c.draining {
		s.late.connections.Add(1)
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	if s.closed.Load() {
		c.breakOff()
	}
	go func() {
		c.serve()
		s.mu.Lock()
		delete(s.conns, c)
		s.ended.Broadcast()
		s.mu.Unlock()
	}()
}

// Shutdown accepts the connections that wait, and no others, and closes each connection once the
// requests that have arrived on it are answered. Requests that were sent ahead and have not begun
// are not answered if a response before them tells the client that the connection ends. Shutdown
// returns the error of ctx if that ends first; the server goes on ending then until Close.
func (s *Server) Shutdown(ctx context.Context) error {
	for _, l := range s.stop() {
		s.stopAccepting(l)
	}
	for _, c := range s.open() {
		c.drain()
	}
	defer context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ended.Broadcast()
	})()
	left := s.awaitEnd(ctx)
	s.cfg.Log.Info("pipeline: shut down", "connections_left", left, "requests_begun_since", s.late.requests.Load(), "connections_accepted_since", s.late.connections.Load())
	if left > 0 {
		return ctx.Err()
	}
	return nil
}

// awaitEnd waits until all connections and listeners have ended or ctx ends, and returns how many
// are left.
func (s *Server) awaitEnd(ctx context.Context) (left int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns)+len(s.listeners) > 0 && ctx.Err() == nil {
		s.ended.Wait()
	}
	return len(s.conns) + len(s.listeners)
}

// Close closes all listeners and connections.
func (s *Server) Close() error {
	s.closed.Store(true)
	for _, l := range s.stop() {
		s.closeListener(l)
	}
	for _, c := range s.open() {
		c.breakOff()
	}
	return nil
}

// stop marks the server as stopping and returns its listeners.
func (s *Server) stop() []net.Listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopping.Swap(true) {
		close(s.workers.stopped)
	}
	return slices.Collect(maps.Keys(s.listeners))
}

// open returns the open connections.
func (s *Server) open() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// Position is where a request stood on its connection.
type Position struct {
	// Ahead is the number of requests of the connection that were not answered when it
	// began.
	Ahead int
	// Waited is the time from the end of its header until it began.
	Waited time.Duration
}

type responseKey struct{}

// PositionOf returns the position of a request from its context.
func PositionOf(ctx context.Context) (Position, bool) {
	r, ok := ctx.Value(responseKey{}).(*response)
	if !ok {
		return Position{}, false
	}
	return r.position, true
}

// OnSent registers a function for the request of a context. It is called once the response
// has been sent, if that was complete before its turn, with the time that it was held. The
// handler must register it before it returns.
func OnSent(ctx context.Context, sent func(held time.Duration)) {
	if r, ok := ctx.Value(responseKey{}).(*response); ok {
		r.onSent = sent
	}
}

// Collect reports whether the handler of a context's request should keep its response until
// it is whole, since requests behind it on the connection have begun. The total is how many
// bytes of the response are to be kept; a handler that does not know its length asks again with
// a larger total. If Collect returns false, the response may be sent as it comes, and no request
// begins behind it until the handler returns.
func Collect(ctx context.Context, total int) bool {
	r, ok := ctx.Value(responseKey{}).(*response)
	return ok && r.conn.collect(r, total)
}

type noMetrics struct{}

func (noMetrics) PipelinedRequest(int)       {}
func (noMetrics) ResponseHeld(time.Duration) {}
func (noMetrics) HeldBytes(int)              {}
func (noMetrics) ConnectionEnded(string)     {}
