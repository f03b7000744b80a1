// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/ryehill/ryehill/transport/pipeline"
)

// collector is a handler whose requests to /large ask to collect their response, report what
// was granted, and wait until the test releases them.
type collector struct {
	granted  chan bool
	released chan struct{}
}

func newCollector() *collector {
	return &collector{granted: make(chan bool, 16), released: make(chan struct{})}
}

// ServeHTTP implements http.Handler.
func (c *collector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/large" {
		time.Sleep(20 * time.Millisecond) // Until the requests behind it have begun.
		c.granted <- pipeline.Collect(r.Context(), 1000)
		<-c.released
	}
	_, _ = io.WriteString(w, r.URL.Path)
}

// Guards against losing the responses behind one that is sent as it comes and breaks off.
func TestNothingBeginsBehindStreamedResponse(t *testing.T) {
	h := newCollector()
	s, begun := newTestServer(t, func(c *pipeline.Config) { c.Handler = h }), h.granted
	c := s.dial(t)
	c.send(get("/large"))
	if <-begun {
		t.Fatal("a response without others behind it is collected")
	}
	c.send(get("/large"))
	select {
	case <-begun:
		t.Error("a request has begun behind a response that is sent as it comes")
	case <-time.After(200 * time.Millisecond):
	}
	close(h.released)
	c.want(http.StatusOK, "/large")
	c.want(http.StatusOK, "/large")
}

func TestCollectedBytesAreShared(t *testing.T) {
	const connections, room = 6, 4000
	h := newCollector()
	s := newTestServer(t, func(c *pipeline.Config) { c.Handler, c.MaxCollectedTotal = h, room })
	var clients []*client
	granted := 0
	for range connections {
		c := s.dial(t)
		clients = append(clients, c)
		c.send(get("/large"), get("/1"))
		if <-h.granted {
			granted++
		}
	}
	if granted == 0 || granted == connections {
		t.Errorf("%d of %d connections collect 1000 of %d bytes", granted, connections, room)
	}
	close(h.released)
	for _, c := range clients {
		c.want(http.StatusOK, "/large")
		c.want(http.StatusOK, "/1")
		c.send(get("/large"), get("/1"))
		if !<-h.granted {
			t.Error("what was collected is not released")
		}
		c.want(http.StatusOK, "/large")
		c.want(http.StatusOK, "/1")
	}
}
