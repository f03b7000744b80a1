// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline

import (
	"net"
	"time"
)

// minEvictedRest is how long a connection must have been without requests to be closed in
// favor of a new one. Otherwise clients that are all active would close each other's.
const minEvictedRest = time.Second

// admit reports whether a new connection may be served. At the limit, the connection that
// has been without requests for longest is closed to make room. If all are in use, the new
// one is closed unread, so that its client may go to another VM at once. A connection that
// waited when the server was shut down may have a request, so it is served above the limit.
func (s *Server) admit(nc net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.MaxConnections <= 0 || len(s.conns) < s.cfg.MaxConnections || s.stopping.Load() {
		return true
	}
	longest := s.longestRested(time.Now())
	if longest == nil {
		s.cfg.Metrics.ConnectionEnded(reasonRejected)
		_ = nc.Close() // Nothing was read or written.
		return false
	}
	s.cfg.Metrics.ConnectionEnded(reasonEvicted)
	longest.drain()
	return true
}

// longestRested returns the connection that has been without requests for longest, or nil if
// none has been for minEvictedRest. All connections are looked at only when there may be one
// again, since many new ones may be rejected until then. mu is held.
func (s *Server) longestRested(now time.Time) *conn {
	if now.Before(s.noneRestedBefore) {
		return nil
	}
	var longest *conn
	rest := time.Duration(0)
	for c := range s.conns {
		if d := c.restedFor(now); d > rest {
			longest, rest = c, d
		}
	}
	if rest < minEvictedRest {
		s.noneRestedBefore = now.Add(minEvictedRest - rest)
		return nil
	}
	return longest
}

// restedFor returns how long the connection has been without requests, or 0 if it has any
// or is ending.
func (c *conn) restedFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.draining || c.phase != phaseIdle || len(c.queue) > 0 {
		return 0
	}
	return now.Sub(c.restsSince)
}
