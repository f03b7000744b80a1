// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline_test

import (
	"net/http"
	"testing"
	"time"

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
