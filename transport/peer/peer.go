// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package peer carries messages and requests between the VMs of a fleet.
//
// One TCP connection, with mutual TLS if set, holds a yamux session; each
// exchange is a stream of its own. A session begins with a Hello in both
// directions: a peer of another fleet or protocol version, or one that is not
// the VM that was meant, is refused there. Sessions are opened on demand, are
// bounded in number and closed when idle, so that a VM holds as many as it has
// business with and never one to every VM of the fleet.
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

// Errors of sessions and calls. All of them are marked with the peer's id in
// their text.
var (
	// ErrUnreachable reports that no session could be opened, so that no
	// byte of the message reached the peer.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrNotYet reports a peer that is not dialled again so soon after it could
	// not be reached.
	ErrNotYet = errors.New("peer: not tried again yet")
	// ErrHello reports a peer that was refused at the hello.
	ErrHello = errors.New("peer: hello refused")
	// ErrBusy reports too many sessions or streams.
	ErrBusy = errors.New("peer: too many sessions or streams")
)

const (
	maxSessions      = 512
	maxInbound       = 2048
	maxStreams       = 8192
	helloTimeout     = 3 * time.Second
	idleClose        = time.Minute
	keepAlive        = 15 * time.Second
	writeTimeout     = 5 * time.Second
	streamOpen       = 5 * time.Second
	firstMessage     = 5 * time.Second
	acceptBacklog    = 256
	streamWindow     = 512 << 10
	sessionsPerSweep = 8
)

// Identity says who a process is.
type Identity struct {
	Fleet string
	Hall  string
	VM    string
	Start uint64
}

// Target is a VM to reach. Without an id it is whichever VM has the address.
type Target struct {
	VM      string
	Address string
}

// key names the session to a target.
func (t Target) key() string {
	if t.VM == "" {
		return "@" + t.Address
	}
	return t.VM
}

// Handler serves one stream that a peer opened. It owns the stream and closes
// it. The first message has been read already.
type Handler func(ctx context.Context, from Identity, s *Stream, first *peerpb.Envelope)

// Config sets up a Manager. Self and Handler are required.
type Config struct {
	Self    Identity
	Handler Handler
	Log     logr.Logger
	// Allow looks at the identity of a peer that connects. Nil allows all
	// that pass the hello.
	Allow func(Identity) error
	// Dial opens connections. Default: a net.Dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// ServerTLS and ClientTLS switch TLS on. Both must ask for certificates.
	ServerTLS, ClientTLS *tls.Config
}

// Manager keeps the sessions of one process. It is safe for concurrent use.
type Manager struct {
	cfg     Config
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	streams chan struct{}

	mu       sync.Mutex
	sessions map[string]*session
	inbound  map[*yamux.Session]struct{}
}

// session is the outgoing session to one VM.
type session struct {
	mu      sync.Mutex // held while dialling
	address string
	mux     *yamux.Session
	peer    Identity
	used    time.Time
	pause   *pause
}

// New returns a manager without sessions.
func New(cfg Config) *Manager {
	if cfg.Dial == nil {
		d := &net.Dialer{Timeout: helloTimeout}
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		cfg:      cfg,
		ctx:      ctx,
		cancel:   cancel,
		streams:  make(chan struct{}, maxStreams),
		sessions: make(map[string]*session),
		inbound:  make(map[*yamux.Session]struct{}),
	}
	m.wg.Add(1)
	go m.closeIdle()
	return m
}

// Close ends every session and waits for the handlers to return.
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

// Sessions returns how many outgoing and incoming sessions are open.
func (m *Manager) Sessions() (out, in int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.sessions), len(m.inbound)
}

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	c.KeepAliveInterval = keepAlive
	c.ConnectionWriteTimeout = writeTimeout
	c.MaxStreamWindowSize = streamWindow
	c.StreamOpenTimeout = streamOpen
	c.LogOutput = io.Discard
	return c
}

// Open begins an exchange with a VM and sends its first message. It returns
// ErrUnreachable if no byte of the message left.
func (m *Manager) Open(ctx context.Context, t Target, first *peerpb.Envelope) (*Stream, error) {
	s, err := m.session(t)
	if err != nil {
		return nil, err
	}
	mux, err := s.connect(ctx, m, t)
	if err != nil {
		return nil, err
	}
	raw, err := mux.OpenStream()
	if err != nil {
		s.drop(mux)
		return nil, errors.Mark(errors.Wrapf(err, "open stream to %s", t.VM), ErrUnreachable)
	}
	stream := newStream(raw, t.VM)
	if err := stream.Write(first); err != nil {
		_ = raw.Close()
		return nil, errors.Wrapf(err, "first message to %s", t.VM)
	}
	return stream, nil
}

// Call sends a message and waits for the one reply, until ctx ends.
func (m *Manager) Call(ctx context.Context, t Target, message *peerpb.Envelope) (*peerpb.Envelope, error) {
	stream, err := m.Open(ctx, t, message)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	stop := stream.CloseWith(ctx)
	defer stop()
	reply, err := stream.Read()
	if err != nil {
		if ctx.Err() != nil {
			m.suspect(t)
		}
		return nil, errors.Wrapf(err, "reply from %s", t.VM)
	}
	return reply, nil
}

// suspect drops a session whose peer let a call run out of time, so that the
// next call dials anew and finds out quickly whether the VM is there.
func (m *Manager) suspect(t Target) {
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

func (m *Manager) session(t Target) (*session, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.sessions[t.key()]
	if ok {
		return s, nil
	}
	if len(m.sessions) >= maxSessions {
		return nil, errors.Mark(errors.Wrapf(ErrBusy, "%d sessions, %s", maxSessions, t.VM), ErrUnreachable)
	}
	s = &session{pause: newPause()}
	m.sessions[t.key()] = s
	return s, nil
}

// greeted lets a VM that has just opened a session be dialled at once, however
// often it could not be reached before.
func (m *Manager) greeted(vm string) {
	m.mu.Lock()
	s := m.sessions[vm]
	m.mu.Unlock()
	if s != nil {
		s.pause.end()
	}
}

func (s *session) connect(ctx context.Context, m *Manager, t Target) (*yamux.Session, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = time.Now()
	if s.mux != nil && !s.mux.IsClosed() && s.address == t.Address {
		return s.mux, nil
	}
	if s.address != t.Address {
		s.pause.end()
	}
	s.address = t.Address
	if failure := s.pause.underWay(); failure != nil {
		err := errors.Wrapf(failure, "%s, not tried again yet", t.VM)
		return nil, errors.Mark(errors.Mark(err, ErrNotYet), ErrUnreachable)
	}
	mux, id, err := m.dial(ctx, t)
	if err != nil {
		s.pause.begin(err)
		return nil, errors.Mark(errors.Wrapf(err, "%s at %s", t.VM, t.Address), ErrUnreachable)
	}
	s.pause.end()
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
		err = errors.Wrapf(ErrHello, "meant VM %s, found %s", t.VM, id.VM)
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

func (m *Manager) closeIdle() {
	defer m.wg.Done()
	ticker := time.NewTicker(idleClose / sessionsPerSweep)
	defer ticker.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case now := <-ticker.C:
			m.sweep(now)
		}
	}
}

func (m *Manager) sweep(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for vm, s := range m.sessions {
		if !s.mu.TryLock() {
			continue // Being dialled, so in use.
		}
		streams := 0
		if s.mux != nil {
			streams = s.mux.NumStreams()
		}
		if streams == 0 && now.Sub(s.used) > idleClose {
			if s.mux != nil {
				_ = s.mux.Close()
			}
			delete(m.sessions, vm)
		}
		s.mu.Unlock()
	}
}

// hello exchanges identities on a new connection and checks the peer's.
func (m *Manager) hello(conn net.Conn) (Identity, error) {
	_ = conn.SetDeadline(time.Now().Add(helloTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	own := &peerpb.Hello{
		Version: wire.Version, Fleet: m.cfg.Self.Fleet, Hall: m.cfg.Self.Hall,
		Vm: m.cfg.Self.VM, Start: m.cfg.Self.Start,
	}
	sent := make(chan error, 1)
	go func() {
		sent <- wire.NewWriter(conn).Write(&peerpb.Envelope{Kind: &peerpb.Envelope_Hello{Hello: own}})
	}()
	theirs, err := readHello(conn)
	if sendErr := <-sent; err == nil {
		err = sendErr
	}
	if err != nil {
		return Identity{}, err
	}
	id := Identity{Fleet: theirs.GetFleet(), Hall: theirs.GetHall(), VM: theirs.GetVm(), Start: theirs.GetStart()}
	return id, m.check(theirs.GetVersion(), id)
}

func (m *Manager) check(version uint32, id Identity) error {
	switch {
	case version != wire.Version:
		return errors.Wrapf(ErrHello, "%s speaks version %d, want %d", id.VM, version, wire.Version)
	case id.Fleet != m.cfg.Self.Fleet:
		return errors.Wrapf(ErrHello, "%s is of fleet %q, want %q", id.VM, id.Fleet, m.cfg.Self.Fleet)
	case m.cfg.Allow != nil:
		return errors.Mark(errors.Wrapf(m.cfg.Allow(id), "%s", id.VM), ErrHello)
	}
	return nil
}
