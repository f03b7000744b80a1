// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ryehill/ryehill/transport/pipeline"
)

// largest records the largest number of bytes held and of requests ahead.
type largest struct {
	recordedEnds
	held, ahead, stalled atomic.Int64
}

func raise(max *atomic.Int64, n int64) {
	for old := max.Load(); n > old && !max.CompareAndSwap(old, n); old = max.Load() {
	}
}

func (m *largest) HeldBytes(n int)            { raise(&m.held, int64(n)) }
func (m *largest) PipelinedRequest(ahead int) { raise(&m.ahead, int64(ahead)) }
func (m *largest) ConnectionEnded(reason string) {
	if reason == "stalled" {
		m.stalled.Add(1)
	}
}

// blockedServer starts a server whose requests run until the test releases them. It returns
// the number of those that run.
func blockedServer(t *testing.T, configure func(*pipeline.Config)) (s *testServer, running *atomic.Int64, release func()) {
	t.Helper()
	running, released := &atomic.Int64{}, make(chan struct{})
	s = newTestServer(t, func(c *pipeline.Config) {
		c.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			running.Add(1)
			defer running.Add(-1)
			select {
			case <-released:
			case <-r.Context().Done():
			}
			_, _ = io.WriteString(w, r.URL.Path)
		})
		configure(c)
	})
	return s, running, func() { close(released) }
}

func TestDepthOfConnectionIsBounded(t *testing.T) {
	const depth, sent = 4, 20
	s, running, release := blockedServer(t, func(c *pipeline.Config) { c.MaxDepth = depth })
	c := s.dial(t)
	for i := range sent {
		c.send(get(fmt.Sprintf("/%d", i)))
	}
	waitUntil(t, "the first ones run", func() bool { return running.Load() == depth })
	time.Sleep(50 * time.Millisecond)
	if n := running.Load(); n != depth {
		t.Errorf("%d requests run", n)
	}
	release()
	for i := range sent {
		c.want(http.StatusOK, fmt.Sprintf("/%d", i))
	}
}

// Connections that all want more than there is must share it, and one that comes late must
// be served.
func TestConnectionsShareRoomForRequestsBehind(t *testing.T) {
	const room, depth, connections = 40, 32, 9
	s, running, release := blockedServer(t, func(c *pipeline.Config) { c.MaxBehind, c.MaxDepth = room, depth })
	var clients []*client
	for n := range connections {
		c := s.dial(t)
		clients = append(clients, c)
		before := running.Load()
		c.send(strings.Repeat(get("/1"), depth))
		waitUntil(t, "the first request runs", func() bool { return running.Load() > before })
		time.Sleep(20 * time.Millisecond)
		// One connection alone may use half of the room, besides its first request.
		if n == 0 && running.Load() != room/2+1 {
			t.Errorf("%d requests of a connection alone", running.Load())
		}
	}
	if n := running.Load(); n > room+connections {
		t.Errorf("%d requests run at once", n)
	}
	release()
	for _, c := range clients {
		for range depth {
			c.want(http.StatusOK, "/1")
		}
	}
}

// With room for none, connections are served one request at a time.
func TestShortOfRoomRequestsRunInTurn(t *testing.T) {
	s := newTestServer(t, func(c *pipeline.Config) { c.MaxBehind = 1 })
	clients := make([]*client, 6)
	for i := range clients {
		clients[i] = s.dial(t)
		clients[i].send(strings.Repeat(get("/1?work=5ms"), 10))
	}
	for _, c := range clients {
		for range 10 {
			c.want(http.StatusOK, "/1")
		}
	}
}

func TestHeldBytesAreBounded(t *testing.T) {
	const maxHeld, maxTotal, connections, depth = 8 << 10, 20 << 10, 6, 8
	body := strings.Repeat("x", 3<<10)
	m := &largest{}
	s := newTestServer(t, func(c *pipeline.Config) {
		c.MaxHeld, c.MaxHeldTotal, c.MaxDepth, c.Metrics = maxHeld, maxTotal, depth, m
		c.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				time.Sleep(150 * time.Millisecond)
			}
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
			_, _ = io.WriteString(w, body)
		})
	})
	var clients []*client
	for range connections {
		c := s.dial(t)
		clients = append(clients, c)
		c.send(get("/slow"), strings.Repeat(get("/1"), 2*depth))
	}
	for _, c := range clients {
		for range 1 + 2*depth {
			c.want(http.StatusOK, body)
		}
	}
	if held := m.held.Load(); held == 0 || held > maxTotal {
		t.Errorf("%d bytes were held, %d allowed", held, maxTotal)
	}
	_ = s.Shutdown(context.Background())
}

// A client that sends and reads nothing must cost bounded memory and nobody else's time, and
// must be closed.
func TestClientThatReadsNothingIsBounded(t *testing.T) {
	const requests, depth, stall = 4000, 8, 500 * time.Millisecond
	m := &largest{}
	var began atomic.Int64
	body := strings.Repeat("x", 16<<10)
	s := newTestServer(t, func(c *pipeline.Config) {
		c.MaxDepth, c.StallTimeout, c.Metrics = depth, stall, m
		c.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/1" {
				began.Add(1)
			}
			_, _ = io.WriteString(w, body)
		})
	})
	other := s.dial(t)
	other.send(get("/2"))
	other.want(http.StatusOK, body)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c := s.dial(t)
	if err := c.Conn.(*net.TCPConn).SetReadBuffer(16 << 10); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range requests {
			if _, err := io.WriteString(c.Conn, get("/1")); err != nil {
				return
			}
		}
	}()
	waitUntil(t, "the client stalls the server", func() bool {
		n := began.Load()
		time.Sleep(30 * time.Millisecond)
		return n > 0 && began.Load() == n
	})
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 2<<20 {
		t.Errorf("the heap grew by %d bytes", grown)
	}
	for range 10 {
		started := time.Now()
		other.send(get("/2"))
		other.want(http.StatusOK, body)
		if took := time.Since(started); took > 200*time.Millisecond {
			t.Errorf("another client waited %s", took)
		}
	}
	waitUntil(t, "the client is closed", func() bool { return m.stalled.Load() == 1 })
	<-done
	if n := began.Load(); n >= requests {
		t.Errorf("all of %d requests began", n)
	}
	if held := m.held.Load(); held > 2*pipeline.DefaultMaxHeld { // Of two connections.
		t.Errorf("%d bytes were held", held)
	}
}

// readCounter counts the bytes that a server reads from a connection.
type readCounter struct {
	net.Conn
	read *atomic.Int64
}

func (c readCounter) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

type readCounters struct {
	net.Listener
	read atomic.Int64
}

func (l *readCounters) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	return readCounter{nc, &l.read}, err
}

func TestBytesReadAheadAreBounded(t *testing.T) {
	const readAhead, buffers = 8 << 10, 2 * 4 << 10
	s, running, release := blockedServer(t, func(c *pipeline.Config) { c.ReadAhead, c.MaxDepth = readAhead, 1 })
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &readCounters{Listener: inner}
	go func() { _ = s.Serve(l) }()
	s.address = inner.Addr().String()
	c := s.dial(t)
	const requests = 3000
	go func() { _, _ = io.WriteString(c.Conn, strings.Repeat(get("/1"), requests)) }()
	waitUntil(t, "the first runs", func() bool { return running.Load() == 1 })
	time.Sleep(200 * time.Millisecond)
	if n := l.read.Load(); n > readAhead+buffers {
		t.Errorf("%d bytes were read while one request ran", n)
	}
	release()
	for range requests {
		c.want(http.StatusOK, "/1")
	}
}

// Nothing may begin after its client has left.
func TestNothingBeginsAfterClientLeft(t *testing.T) {
	const work, stay, notice = 400 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond
	for name, depth := range map[string]int{"beside each other": 16, "one after the other": 1, "two at a time": 2} {
		for half, leave := range map[string]func(c *client){
			"closed":      func(c *client) { _ = c.Close() },
			"half closed": func(c *client) { _ = c.Conn.(*net.TCPConn).CloseWrite() },
			"reset":       func(c *client) { _ = c.Conn.(*net.TCPConn).SetLinger(0); _ = c.Close() },
		} {
			t.Run(name+", "+half, func(t *testing.T) {
				t.Parallel()
				s := newTestServer(t, func(c *pipeline.Config) { c.MaxDepth = depth })
				for range 10 {
					before := len(s.begun())
					c := s.dial(t)
					c.send(strings.Repeat(get("/1?work="+work.String()), 4))
					time.Sleep(stay)
					leave(c)
					time.Sleep(notice)
					began := len(s.begun())
					if n := began - before; n != min(4, depth) {
						t.Errorf("%d began", n)
					}
					if n := int(s.ended.Load()); n != began {
						t.Errorf("%d of %d still run %s after the client left", began-n, began, notice)
					}
				}
				time.Sleep(work)
				if began, canceled := len(s.begun()), int(s.canceled.Load()); canceled != began {
					t.Errorf("%d of %d were canceled", canceled, began)
				}
			})
		}
	}
}

// A client that waits for each response must not be counted as one that sends ahead, though
// its next request may arrive before the server has done with the last.
func TestClientThatWaitsIsNotCountedAsSendingAhead(t *testing.T) {
	const requests = 5000
	m := &largest{}
	s := newTestServer(t, func(c *pipeline.Config) { c.Metrics = m })
	c := s.dial(t)
	for range requests {
		c.send(get("/1"))
		c.want(http.StatusOK, "/1")
	}
	if ahead := m.ahead.Load(); ahead > 0 {
		t.Errorf("a request was counted behind %d others", ahead)
	}
}
