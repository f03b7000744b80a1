// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/protocol/wire"
)

// Stream is a bidirectional message stream to a peer. One goroutine may read
// while another writes.
type Stream struct {
	raw    *yamux.Stream
	reader *wire.Reader
	writer *wire.Writer
	peer   string
	began  time.Time
}

func newStream(raw *yamux.Stream, vm string) *Stream {
	return &Stream{raw: raw, reader: wire.NewReader(raw), writer: wire.NewWriter(raw), peer: vm, began: time.Now()}
}

// Peer returns the id of the peer's VM.
func (s *Stream) Peer() string { return s.peer }

// Read reads one message. It returns io.EOF once the peer has closed its side, and
// ErrRejected if the peer has rejected the stream.
func (s *Stream) Read() (*peerpb.Envelope, error) {
	e, err := s.reader.Read()
	return e, s.markRejected(err)
}

// Write writes one message. It returns ErrRejected if the peer has rejected the stream.
func (s *Stream) Write(e *peerpb.Envelope) error { return s.markRejected(s.writer.Write(e)) }

// markRejected marks the error of a reset stream. A peer resets a stream that it does not accept,
// or one that it has closed streamCloseTimeout ago. The end of a session resets none.
func (s *Stream) markRejected(err error) error {
	if errors.Is(err, yamux.ErrConnectionReset) && time.Since(s.began) < streamCloseTimeout {
		return errors.Mark(err, ErrRejected)
	}
	return err
}

// SetReadDeadline sets the deadline of reads; the zero time removes it.
func (s *Stream) SetReadDeadline(t time.Time) { _ = s.raw.SetReadDeadline(t) }

// SetWriteDeadline sets the deadline of writes; the zero time removes it.
func (s *Stream) SetWriteDeadline(t time.Time) { _ = s.raw.SetWriteDeadline(t) }

// Close closes the stream in both directions.
func (s *Stream) Close() {
	_ = s.raw.Close()
	// yamux closes only the sending side; a deadline in the past unblocks a
	// pending read.
	_ = s.raw.SetReadDeadline(time.Unix(1, 0))
}

// CloseOnDone closes the stream once ctx ends. The returned function cancels
// this, as that of context.AfterFunc does.
func (s *Stream) CloseOnDone(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, s.Close)
}

// Bounds of the pause after a failed accept, for example for want of descriptors.
const minAcceptPause, maxAcceptPause = 5 * time.Millisecond, time.Second

// Serve accepts sessions until the listener fails for good or is closed, or the manager
// is closed. A connection that fails does not affect the others.
func (m *Manager) Serve(l net.Listener) error {
	pause := minAcceptPause
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
		case m.ctx.Err() == nil && isTemporary(err):
			m.cfg.Log.Info("peer: accept failed, trying again", "error", err.Error(), "after_ms", pause.Milliseconds())
			m.pause(pause)
			pause = min(2*pause, maxAcceptPause)
			continue
		default:
			if m.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				err = nil
			}
			return errors.Wrap(err, "peer: accept")
		}
		pause = minAcceptPause
		if !m.beginGreeting() {
			_ = conn.Close()
			return nil
		}
		go func() {
			defer m.wg.Done()
			m.serveConn(conn)
		}()
	}
}

// isTemporary reports whether the next accept after a failed one may succeed. A lack of
// memory passes as well, though its errors do not say so.
func isTemporary(err error) bool {
	var temporary interface{ Temporary() bool }
	return errors.As(err, &temporary) && temporary.Temporary() || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// pause waits for a while, or until the manager is closed.
func (m *Manager) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-m.ctx.Done():
	case <-timer.C:
	}
}

// beginGreeting registers a connection and its goroutine, which Close waits for. It returns
// false once the manager is stopping or closed, since nothing may be added while Close waits.
func (m *Manager) beginGreeting() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping || m.ctx.Err() != nil {
		return false
	}
	m.wg.Add(1)
	m.greeting++
	return true
}

func (m *Manager) endGreeting() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.greeting--
}

func (m *Manager) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	mux, id, ok := m.acceptSession(conn)
	if !ok {
		return
	}
	defer func() { _ = mux.Close() }()
	defer m.unregisterInbound(mux)
	m.resetBackoff(id.VM)
	m.acceptStreams(mux, id)
}

// acceptSession returns the session of a connection after the hello, unless it is refused.
func (m *Manager) acceptSession(conn net.Conn) (*yamux.Session, Identity, bool) {
	defer m.endGreeting()
	remote := conn.RemoteAddr().String()
	if m.cfg.ServerTLS != nil {
		conn = tls.Server(conn, m.cfg.ServerTLS)
	}
	id, err := m.hello(conn)
	if err != nil {
		m.cfg.Log.Info("peer: hello refused", "remote", remote, "error", err.Error())
		return nil, Identity{}, false
	}
	mux, err := yamux.Server(conn, muxConfig())
	if err != nil {
		return nil, Identity{}, false
	}
	registered, stopping := m.registerInbound(mux)
	if !registered {
		m.cfg.Log.Info("peer: too many sessions", "remote", remote)
		_ = mux.Close()
		return nil, Identity{}, false
	}
	if stopping {
		m.dismiss(mux)
	}
	return mux, id, true
}

func (m *Manager) registerInbound(mux *yamux.Session) (registered, stopping bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil || len(m.inbound) >= maxInboundSessions {
		return false, m.stopping
	}
	m.inbound[mux] = false
	return true, m.stopping
}

func (m *Manager) unregisterInbound(mux *yamux.Session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.inbound, mux)
}

func (m *Manager) acceptStreams(mux *yamux.Session, id Identity) {
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	for {
		raw, err := mux.AcceptStream()
		if err != nil {
			return
		}
		select {
		case m.streamSlots <- struct{}{}:
		default:
			_ = raw.Close()
			m.cfg.Log.Info("peer: too many streams", "peer", id.VM)
			continue
		}
		m.wg.Add(1)
		go func() {
			defer m.wg.Done()
			defer func() { <-m.streamSlots }()
			m.serveStream(ctx, newStream(raw, id.VM), id)
		}()
	}
}

func (m *Manager) serveStream(ctx context.Context, s *Stream, id Identity) {
	defer s.Close()
	s.SetReadDeadline(time.Now().Add(firstMessageTimeout))
	first, err := s.Read()
	if err != nil {
		if !errors.Is(err, io.EOF) {
			m.cfg.Log.Info("peer: bad first message", "peer", id.VM, "error", err.Error())
		}
		return
	}
	s.SetReadDeadline(time.Time{})
	m.cfg.Handler(ctx, id, s, first)
}

// readHello reads the hello that precedes the yamux session. It reads without
// buffering, so that no bytes of the session are consumed.
func readHello(conn net.Conn) (*peerpb.Hello, error) {
	e, err := wire.ReadUnbuffered(conn)
	if err != nil {
		return nil, errors.Wrap(err, "hello")
	}
	h := e.GetHello()
	if h == nil {
		return nil, errors.Wrap(ErrHello, "first message is not a hello")
	}
	return h, nil
}
