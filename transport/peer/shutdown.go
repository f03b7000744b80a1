// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// shutdownPollInterval is the interval at which Shutdown checks whether streams are left.
	shutdownPollInterval = 20 * time.Millisecond
	// maxShutdownPolls bounds these checks, since a peer that hangs never closes its streams.
	// A time would be over before a process that lags has read anything.
	maxShutdownPolls = 50
)

// Shutdown lets peers open no further streams, and returns once the handlers of those that have
// arrived are done and their peers have closed them, or once ctx ends. Streams that arrive later
// are rejected, which tells their peers that no handler has seen them. Close ends the sessions.
func (m *Manager) Shutdown(ctx context.Context) {
	for _, mux := range m.stop() {
		m.dismiss(mux)
	}
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for n := 0; n < maxShutdownPolls && !m.isDrained(); n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// stop marks the manager as stopping and returns the incoming sessions.
func (m *Manager) stop() []*yamux.Session {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopping = true
	return slices.Collect(maps.Keys(m.inbound))
}

// dismiss rejects further streams of an incoming session. Once the peer has answered a ping, all
// streams that it opened before have been read.
func (m *Manager) dismiss(mux *yamux.Session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil {
		return
	}
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		if mux.GoAway() != nil {
			return // The session has ended.
		}
		if _, err := mux.Ping(); err != nil {
			return
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		if _, open := m.inbound[mux]; open {
			m.inbound[mux] = true
		}
	}()
}

// isDrained reports whether the incoming sessions have no streams, and none on their way.
func (m *Manager) isDrained() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for mux, dismissed := range m.inbound {
		if !dismissed || mux.NumStreams() > 0 {
			return false
		}
	}
	return m.greeting == 0
}
