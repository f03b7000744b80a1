// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package peer carries messages and requests between the VMs of a fleet.
//
// Each TCP connection, with mutual TLS if configured, carries a yamux session,
// and each exchange is a stream of it. A session begins with a Hello in both
// directions, which refuses a peer of another fleet or protocol version and a
// VM other than the one that was dialled. Sessions are opened on demand, limited
// in number and closed when idle, so that the VMs of a large fleet do not all
// stay connected to each other.
//
// # Usage
//
//	m := peer.New(peer.Config{Self: self, Handler: handler})
//	go m.Serve(listener)
//	reply, err := m.Call(ctx, peer.Target{VM: "b1", Address: "10.0.1.1:7000"}, message)
package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/hashicorp/yamux"

	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/protocol/wire"
)

// Errors of sessions and calls. Their text names the peer.
var (
	// ErrUnreachable reports that no session or stream could be opened, so no
	// handler of the peer has seen the message.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrBackoff reports that the peer is not dialled, because the delay after
	// a failed dial has not passed.
	ErrBackoff = errors.New("peer: dial delayed after a failure")
	// ErrHello reports that the hello of a peer was refused.
	ErrHello = errors.New("peer: hello refused")
	// ErrRejected reports that the peer has rejected a stream, so that no handler of it
	// has seen the message.
	ErrRejected = errors.New("peer: stream rejected")
	// ErrBusy reports too many sessions or streams.
	ErrBusy = errors.New("peer: too many sessions or streams")
)

const (
	maxOutboundSessions  = 512
	maxInboundSessions   = 2048
	maxStreams           = 8192
	helloTimeout         = 3 * time.Second
	idleTimeout          = time.Minute
	keepAliveInterval    = 15 * time.Second
	writeTimeout         = 5 * time.Second
	streamOpenTimeout    = 5 * time.Second
	streamCloseTimeout   = 5 * time.Minute
	firstMessageTimeout  = 5 * time.Second
	acceptBacklog        = 256
	streamWindowBytes    = 512 << 10
	sweepsPerIdleTimeout = 8
)

// Identity identifies one run of a VM's process.
type Identity struct {
	Fleet string
	Hall  string
	VM    string
	Start uint64
}

// Target is a VM to connect to. With an empty VM id it is any VM at the address.
type Target struct {
	VM      string
	Address string
}

// key returns the key of the target's session in Manager.sessions.
func (t Target) key() string {
	if t.VM == "" {
		return "@" + t.Address
	}
	return t.VM
}

// Handler serves one stream that a peer opened, whose first message has been
// read. It owns the stream and must close it.
type Handler func(ctx context.Context, from Identity, s *Stream, first *peerpb.Envelope)

// Config configures a Manager. Self and Handler are required.
type Config struct {
	Self    Identity
	Handler Handler
	Log     logr.Logger
	// Allow accepts or rejects the identity of a peer after the hello. Nil
	// allows every peer that passes the hello.
	Allow func(Identity) error
	// Dial opens connections. Default: a net.Dialer for TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// ServerTLS and ClientTLS enable TLS. Both must require certificates.
	ServerTLS, ClientTLS *tls.Config
}

// Manager manages the peer sessions of one process. It is safe for concurrent
// use.
type Manager struct {
	cfg         Config
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	streamSlots chan struct{}

	mu       sync.Mutex
	sessions map[string]*session
	// inbound holds the incoming sessions, with true for those whose peers open no further
	// streams. greeting is the number of connections that are to become one.
	inbound  map[*yamux.Session]bool
	greeting int
	// stopping is set by Shutdown.
	stopping bool
}

// session is the outgoing session to one VM.
type session struct {
	mu       sync.Mutex // held while dialling
	address  string
	mux      *yamux.Session
	peer     Identity
	lastUsed time.Time
	backoff  *dialBackoff
}

// New returns a manager without sessions. Close releases it.
func New(cfg Config) *Manager {
	if cfg.Dial == nil {
		d := &net.Dialer{Timeout: helloTimeout}
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		cfg:         cfg,
		ctx:         ctx,
		cancel:      cancel,
		streamSlots: make(chan struct{}, maxStreams),
		sessions:    make(map[string]*session),
		inbound:     make(map[*yamux.Session]bool),
	}
	m.wg.Add(1)
	go m.sweepLoop()
	return m
}

// Close closes every session and waits for the handlers to return.
func (m *Manager) Close() {
	m.cancel()
	m.mu.Lock()
	for mux := range m.inbound {
		_ = mux.Close()
	}
	sessions := make([]*session, 0, len(m.sessions))
	for _, s := range m.sessions {
		sessions = append(sessions, s)
	}
	m.mu.Unlock()
	for _, s := range sessions {
		s.close()
	}
	m.wg.Wait()
}

// Sessions returns the numbers of outgoing and incoming sessions.
func (m *Manager) Sessions() (out, in int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.sessions), len(m.inbound)
}

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.MaxStreamWindowSize = streamWindowBytes
	c.StreamOpenTimeout = streamOpenTimeout
	c.StreamCloseTimeout = streamCloseTimeout
	c.LogOutput = io.Discard
	return c
}

// Open opens a stream to a VM and sends its first message. It returns
// ErrUnreachable if no handler of the peer has seen the message for certain.
func (m *Manager) Open(ctx context.Context, t Target, first *peerpb.Envelope) (*Stream, error) {
	s, err := m.sessionFor(t)
	if err != nil {
		return nil, err
	}
	mux, err := s.connect(ctx, m, t)
	if err != nil {
		return nil, err
	}
	raw, err := mux.OpenStream()
	if err != nil {
		if !errors.Is(err, yamux.ErrRemoteGoAway) { // Its other streams go on.
			s.drop(mux)
		}
		return nil, errors.Mark(errors.Wrapf(err, "open stream to %s", t.VM), ErrUnreachable)
	}
	stream := newStream(raw, t.VM)
	if err := stream.Write(first); err != nil {
		_ = raw.Close()
		if errors.Is(err, ErrRejected) {
			err = errors.Mark(err, ErrUnreachable)
		}
		return nil, errors.Wrapf(err, "first message to %s", t.VM)
	}
	return stream, nil
}

// Call sends a message and waits for the single reply until ctx ends.
func (m *Manager) Call(ctx context.Context, t Target, message *peerpb.Envelope) (*peerpb.Envelope, error) {
	stream, err := m.Open(ctx, t, message)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	stop := stream.CloseOnDone(ctx)
	defer stop()
	reply, err := stream.Read()
	if err != nil {
		if ctx.Err() != nil {
			m.dropUnresponsive(t)
		}
		return nil, errors.Wrapf(err, "reply from %s", t.VM)
	}
	return reply, nil
}

// dropUnresponsive closes the session of a peer that let a call time out, unless
// other streams use it. The next call then dials again and fails quickly if the
// VM is gone.
func (m *Manager) dropUnresponsive(t Target) {
	m.mu.Lock()
	s := m.sessions[t.key()]
	m.mu.Unlock()
	if s == nil {
		return
	}
	s.mu.Lock()
	mux := s.mux
	idle := mux != nil && mux.NumStreams() <= 1
	s.mu.Unlock()
	if idle {
		s.drop(mux)
	}
}

func (m *Manager) sessionFor(t Target) (*session, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.sessions[t.key()]
	if ok {
		return s, nil
	}
	if len(m.sessions) >= maxOutboundSessions {
		return nil, errors.Mark(errors.Wrapf(ErrBusy, "%d sessions, %s", maxOutboundSessions, t.VM), ErrUnreachable)
	}
	s = &session{backoff: newDialBackoff()}
	m.sessions[t.key()] = s
	return s, nil
}

// resetBackoff lets a VM that has just opened a session be dialled at once,
// regardless of earlier failures.
func (m *Manager) resetBackoff(vm string) {
	m.mu.Lock()
	s := m.sessions[vm]
	m.mu.Unlock()
	if s != nil {
		s.backoff.reset()
	}
}

func (s *session) connect(ctx context.Context, m *Manager, t Target) (*yamux.Session, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUsed = time.Now()
	if s.mux != nil && !s.mux.IsClosed() && s.address == t.Address {
		return s.mux, nil
	}
	if s.address != t.Address {
		s.backoff.reset()
	}
	s.address = t.Address
	if failure := s.backoff.activeFailure(); failure != nil {
		err := errors.Wrapf(failure, "%s: dial delayed after a failure", t.VM)
		return nil, errors.Mark(errors.Mark(err, ErrBackoff), ErrUnreachable)
	}
	mux, id, err := m.dial(ctx, t)
	if err != nil {
		s.backoff.recordFailure(err)
		return nil, errors.Mark(errors.Wrapf(err, "%s at %s", t.VM, t.Address), ErrUnreachable)
	}
	s.backoff.reset()
	s.mux = mux
	s.peer = id
	return mux, nil
}

func (s *session) drop(mux *yamux.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mux == mux {
		s.mux = nil
	}
	_ = mux.Close()
}

func (s *session) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mux != nil {
		_ = s.mux.Close()
		s.mux = nil
	}
}

func (m *Manager) dial(ctx context.Context, t Target) (*yamux.Session, Identity, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	conn, err := m.cfg.Dial(ctx, t.Address)
	if err != nil {
		return nil, Identity{}, errors.Wrap(err, "dial")
	}
	if m.cfg.ClientTLS != nil {
		conn = tls.Client(conn, m.cfg.ClientTLS)
	}
	id, err := m.hello(conn)
	if err == nil && t.VM != "" && id.VM != t.VM {
		err = errors.Wrapf(ErrHello, "expected VM %s, found %s", t.VM, id.VM)
	}
	if err != nil {
		_ = conn.Close()
		return nil, Identity{}, err
	}
	mux, err := yamux.Client(conn, muxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, Identity{}, errors.Wrap(err, "session")
	}
	return mux, id, nil
}

func (m *Manager) sweepLoop() {
	defer m.wg.Done()
	ticker := time.NewTicker(idleTimeout / sweepsPerIdleTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case now := <-ticker.C:
			m.closeIdleSessions(now)
		}
	}
}

func (m *Manager) closeIdleSessions(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for vm, s := range m.sessions {
		if !s.mu.TryLock() {
			continue // A dial holds the lock, so the session is in use.
		}
		streams := 0
		if s.mux != nil {
			streams = s.mux.NumStreams()
		}
		if streams == 0 && now.Sub(s.lastUsed) > idleTimeout {
			if s.mux != nil {
				_ = s.mux.Close()
			}
			delete(m.sessions, vm)
		}
		s.mu.Unlock()
	}
}

// hello exchanges identities on a new connection and validates the peer's.
func (m *Manager) hello(conn net.Conn) (Identity, error) {
	_ = conn.SetDeadline(time.Now().Add(helloTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	ownHello := &peerpb.Hello{
		Version: wire.Version, Fleet: m.cfg.Self.Fleet, Hall: m.cfg.Self.Hall,
		Vm: m.cfg.Self.VM, Start: m.cfg.Self.Start,
	}
	sent := make(chan error, 1)
	go func() {
		sent <- wire.NewWriter(conn).Write(&peerpb.Envelope{Kind: &peerpb.Envelope_Hello{Hello: ownHello}})
	}()
	peerHello, err := readHello(conn)
	if sendErr := <-sent; err == nil {
		err = sendErr
	}
	if err != nil {
		return Identity{}, err
	}
	id := Identity{Fleet: peerHello.GetFleet(), Hall: peerHello.GetHall(), VM: peerHello.GetVm(), Start: peerHello.GetStart()}
	return id, m.checkHello(peerHello.GetVersion(), id)
}

func (m *Manager) checkHello(version uint32, id Identity) error {
	switch {
	case version != wire.Version:
		return errors.Wrapf(ErrHello, "%s has protocol version %d, want %d", id.VM, version, wire.Version)
	case id.Fleet != m.cfg.Self.Fleet:
		return errors.Wrapf(ErrHello, "%s belongs to fleet %q, want %q", id.VM, id.Fleet, m.cfg.Self.Fleet)
	case m.cfg.Allow != nil:
		return errors.Mark(errors.Wrapf(m.cfg.Allow(id), "%s", id.VM), ErrHello)
	}
	return nil
}
