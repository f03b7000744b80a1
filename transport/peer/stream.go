// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/protocol/wire"
)

// Stream is one exchange with a peer. One goroutine may read while another
// writes.
type Stream struct {
	raw    *yamux.Stream
	reader *wire.Reader
	writer *wire.Writer
	peer   string
}

func newStream(raw *yamux.Stream, peer string) *Stream {
	return &Stream{raw: raw, reader: wire.NewReader(raw), writer: wire.NewWriter(raw), peer: peer}
}

// Peer returns the VM id of the other end.
func (s *Stream) Peer() string { return s.peer }

// Read reads one message. It returns io.EOF once the peer has closed its side.
func (s *Stream) Read() (*peerpb.Envelope, error) { return s.reader.Read() }

// Write writes one message.
func (s *Stream) Write(e *peerpb.Envelope) error { return s.writer.Write(e) }

// SetReadDeadline bounds reads; the zero time takes the bound off.
func (s *Stream) SetReadDeadline(t time.Time) { _ = s.raw.SetReadDeadline(t) }

// SetWriteDeadline bounds writes; the zero time takes the bound off.
func (s *Stream) SetWriteDeadline(t time.Time) { _ = s.raw.SetWriteDeadline(t) }

// Close ends the stream in both directions.
func (s *Stream) Close() {
	_ = s.raw.Close()
	// Close alone leaves the other direction open; a deadline in the past
	// wakes a reader that still waits.
	_ = s.raw.SetReadDeadline(time.Unix(1, 0))
}

// CloseWith closes the stream once ctx ends. The returned function takes that
// back.
func (s *Stream) CloseWith(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, s.Close)
}

// Serve accepts sessions until the listener fails or the manager is closed. A
// peer that misbehaves loses its session and nothing more.
func (m *Manager) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			if m.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				err = nil
			}
			return errors.Wrap(err, "peer: accept")
		}
		m.wg.Add(1)
		go func() {
			defer m.wg.Done()
			m.serveConn(conn)
		}()
	}
}

func (m *Manager) serveConn(conn net.Conn) {
	remote := conn.RemoteAddr().String()
	defer func() { _ = conn.Close() }()
	if m.cfg.ServerTLS != nil {
		conn = tls.Server(conn, m.cfg.ServerTLS)
	}
	id, err := m.hello(conn)
	if err != nil {
		m.cfg.Log.Info("peer: hello refused", "remote", remote, "error", err.Error())
		return
	}
	mux, err := yamux.Server(conn, muxConfig())
	if err != nil {
		return
	}
	defer func() { _ = mux.Close() }()
	if !m.keep(mux) {
		m.cfg.Log.Info("peer: too many sessions", "remote", remote)
		return
	}
	defer m.release(mux)
	m.greeted(id.VM)
	m.acceptStreams(mux, id)
}

func (m *Manager) keep(mux *yamux.Session) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil || len(m.inbound) >= maxInbound {
		return false
	}
	m.inbound[mux] = struct{}{}
	return true
}

func (m *Manager) release(mux *yamux.Session) {
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
		case m.streams <- struct{}{}:
		default:
			_ = raw.Close()
			m.cfg.Log.Info("peer: too many streams", "peer", id.VM)
			continue
		}
		m.wg.Add(1)
		go func() {
			defer m.wg.Done()
			defer func() { <-m.streams }()
			m.serveStream(ctx, newStream(raw, id.VM), id)
		}()
	}
}

func (m *Manager) serveStream(ctx context.Context, s *Stream, id Identity) {
	defer s.Close()
	s.SetReadDeadline(time.Now().Add(firstMessage))
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

// readHello reads the one message that comes before the session. It reads byte
// by byte, so that nothing of the session is taken from the connection.
func readHello(conn net.Conn) (*peerpb.Hello, error) {
	e, err := wire.ReadUnbuffered(conn)
	if err != nil {
		return nil, errors.Wrap(err, "hello")
	}
	h := e.GetHello()
	if h == nil {
		return nil, errors.Wrap(ErrHello, "first message is no hello")
	}
	return h, nil
}
