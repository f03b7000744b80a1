// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/transport/pipeline"
)

// Guards against clients' connections using up the descriptors that connections to workers
// need.
func TestConnectionsAreBounded(t *testing.T) {
	s := newTestServer(t, func(cfg *pipeline.Config) { cfg.MaxConnections = 3 })
	var clients []*client
	for range 3 {
		c := s.dial(t)
		c.send(get("/first"))
		c.want(http.StatusOK, "/first")
		clients = append(clients, c)
	}
	rejected := s.dial(t)
	rejected.wantEnd()
	time.Sleep(1200 * time.Millisecond)
	for _, c := range clients[1:] {
		c.send(get("/busy?work=300ms"))
	}
	waitUntil(t, "two requests began", func() bool { return len(s.begun()) == 5 })
	admitted := s.dial(t)
	admitted.send(post("/admitted", "body"))
	admitted.want(http.StatusOK, "/admittedbody")
	clients[0].wantEnd()
	for _, c := range clients[1:] {
		c.want(http.StatusOK, "/busy")
	}
}

// Guards against rejections that each cost a look at all connections, when the clients of
// many VMs come to one whose connections are all in use.
func TestRejectionLooksAtNoConnection(t *testing.T) {
	s := newTestServer(t, func(cfg *pipeline.Config) { cfg.MaxConnections = 3 })
	for range 3 {
		s.dial(t).send(get("/busy?work=5s"))
	}
	waitUntil(t, "three requests began", func() bool { return len(s.begun()) == 3 })
	s.dial(t).wantEnd() // None can become idle for long enough before minEvictedRest.
	unlock := s.LockConnections()
	rejected := s.dial(t)
	_ = rejected.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, err := rejected.Read(make([]byte, 1))
	unlock()
	if !errors.Is(err, io.EOF) {
		t.Errorf("got %v while no connection can be looked at, want %v", err, io.EOF)
	}
}
