// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/internal/socket"
)

const (
	// minAcceptPause and maxAcceptPause bound the pause after a failed accept, for example
	// for want of descriptors.
	minAcceptPause, maxAcceptPause = 5 * time.Millisecond, time.Second
	// acceptTimeout bounds the accept of a connection that waits.
	acceptTimeout = 100 * time.Millisecond
	// maxWaiting bounds the waiting connections that are accepted after Shutdown, since
	// clients may open further ones meanwhile.
	maxWaiting = 4096
)

// Serve accepts connections until Shutdown or Close, and then returns http.ErrServerClosed. It
// closes the listener.
func (s *Server) Serve(l net.Listener) error {
	defer s.removeListener(l)
	if !s.addListener(l) {
		return http.ErrServerClosed
	}
	pause := minAcceptPause
	for {
		nc, err := l.Accept()
		if err == nil {
			pause = minAcceptPause
			s.serveConn(nc)
			continue
		}
		if s.stopping.Load() {
			s.acceptWaiting(l)
			return http.ErrServerClosed
		}
		if !isTemporary(err) {
			return errors.Wrap(err, "pipeline: accept")
		}
		s.cfg.Log.Info("pipeline: accept failed, trying again", "error", err.Error(), "after_ms", pause.Milliseconds())
		time.Sleep(pause)
		pause = min(2*pause, maxAcceptPause)
	}
}

// isTemporary reports whether the next accept after a failed one may succeed. A lack of
// memory passes as well, though its errors do not say so.
func isTemporary(err error) bool {
	var temporary interface{ Temporary() bool }
	return errors.As(err, &temporary) && temporary.Temporary() || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping.Load() {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

// stopAccepting ends a pending accept, so that Serve accepts what waits and closes the listener.
func (s *Server) stopAccepting(l net.Listener) {
	if timed, ok := l.(interface{ SetDeadline(t time.Time) error }); ok && timed.SetDeadline(pastDeadline) == nil {
		return
	}
	s.closeListener(l)
}

// acceptWaiting serves the connections that the system has accepted before the listener is
// closed. Their clients may have sent requests.
func (s *Server) acceptWaiting(l net.Listener) {
	timed, ok := l.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return
	}
	for n := 0; n < maxWaiting && socket.IsReadable(l) && timed.SetDeadline(time.Now().Add(acceptTimeout)) == nil; n++ {
		nc, err := l.Accept()
		switch {
		case err == nil:
			s.serveConn(nc)
		case isTimeout(err):
			// The process lags: the connection still waits.
		case isTemporary(err):
			time.Sleep(minAcceptPause)
		default:
			s.cfg.Log.Info("pipeline: waiting connections are not accepted", "error", err.Error())
			return
		}
	}
}

// removeListener closes a listener that is no longer accepted from.
func (s *Server) removeListener(l net.Listener) {
	s.closeListener(l)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, l)
	s.ended.Broadcast()
}

func (s *Server) closeListener(l net.Listener) {
	if err := l.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		s.cfg.Log.Info("pipeline: listener not closed", "error", err.Error())
	}
}
