// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ryehill/ryehill/transport/pipeline"
)

func TestResponsesBeforeAbortedOneAreSent(t *testing.T) {
	s := newTestServer(t, nil)
	c := s.dial(t)
	c.send(get("/1?work=100ms"), get("/2?abort"), get("/3"))
	c.want(http.StatusOK, "/1")
	c.wantEnd()
}

// A write that fails since the client has left must not be counted as sent: the next
// response would be taken for the missing bytes.
func TestNothingFollowsIncompleteResponse(t *testing.T) {
	s := newTestServer(t, func(c *pipeline.Config) {
		c.MaxHeld = 100
		c.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body := r.URL.Path
			switch r.URL.Path {
			case "/1":
				time.Sleep(300 * time.Millisecond)
			case "/2":
				body = strings.Repeat("x", 1000)
			}
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
			_, _ = io.WriteString(w, body)
		})
	})
	c := s.dial(t)
	c.send(get("/1"), get("/2"), get("/3"))
	time.Sleep(100 * time.Millisecond)
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	c.want(http.StatusOK, "/1")
	if rest, _ := io.ReadAll(c.br); strings.Contains(string(rest), "/3") {
		t.Errorf("behind an incomplete response: %q", rest)
	}
}

// A response without a length ends with the connection, so nothing may follow it.
func TestNothingFollowsResponseThatEndsWithConnection(t *testing.T) {
	old := "GET %s HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
	for name, behind := range map[string]string{"request": fmt.Sprintf(old, "/2"), "malformed": "nonsense\r\n\r\n", "newer": get("/2")} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, nil)
			c := s.dial(t)
			c.send(fmt.Sprintf(old, "/1?work=50ms&large=xxx"), behind)
			c.want(http.StatusOK, "/1"+strings.Repeat("x", 3000))
			c.wantEnd()
		})
	}
}

// countingListener counts the reads of its connections.
type countingListener struct {
	net.Listener
	reads atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	return countingConn{nc, &l.reads}, err
}

type countingConn struct {
	net.Conn
	reads *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	c.reads.Add(1)
	return c.Conn.Read(p)
}

// A read deadline of an earlier phase must not end each read while a request waits.
func TestWaitingConnectionDoesNotSpin(t *testing.T) {
	for name, sent := range map[string][]string{
		"for its turn":               {get("/1?work=600ms"), post("/2", "body")},
		"for its turn, header split": {get("/1?work=600ms"), "POST /2 HTTP/1.1\r\n", "Host: h\r\nContent-Length: 0\r\n\r\n"},
		"for the end":                {"GET /1?work=600ms HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, func(c *pipeline.Config) {
				c.IdleTimeout, c.HeaderTimeout = 100*time.Millisecond, 100*time.Millisecond
			})
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l := &countingListener{Listener: inner}
			go func() { _ = s.Serve(l) }()
			s.address = inner.Addr().String()
			c := s.dial(t)
			for _, part := range sent {
				c.send(part)
				time.Sleep(20 * time.Millisecond)
			}
			c.want(http.StatusOK, "/1")
			if n := l.reads.Load(); n > 50 {
				t.Errorf("%d reads while a request waited", n)
			}
		})
	}
}

func TestShutdownDoesNotWaitForUnsentBody(t *testing.T) {
	s := newTestServer(t, nil)
	c := s.dial(t)
	c.send("POST /1?unread HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n")
	c.want(http.StatusOK, "/1")
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		t.Error(err)
	}
}

// recordedEnds counts the reasons for which connections ended.
type recordedEnds struct {
	pipeline.Metrics
	aborted, left atomic.Int64
}

func (*recordedEnds) PipelinedRequest(int)       {}
func (*recordedEnds) ResponseHeld(time.Duration) {}
func (*recordedEnds) HeldBytes(int)              {}
func (m *recordedEnds) ConnectionEnded(reason string) {
	switch reason {
	case "aborted":
		m.aborted.Add(1)
	case "client-left":
		m.left.Add(1)
	}
}

func TestEndOfConnectionIsCountedOnce(t *testing.T) {
	m := &recordedEnds{}
	s := newTestServer(t, func(c *pipeline.Config) { c.Metrics = m })
	c := s.dial(t)
	c.send(get("/1?work=5s"), get("/2?work=5s"), post("/never", "body"))
	waitUntil(t, "two began", func() bool { return len(s.begun()) == 2 })
	_ = c.Close()
	waitUntil(t, "both canceled", func() bool { return s.ended.Load() == 2 })
	_ = s.Shutdown(context.Background())
	if left, aborted := m.left.Load(), m.aborted.Load(); left != 1 || aborted != 0 {
		t.Errorf("%d counted for a client that left, %d as aborted", left, aborted)
	}
}

func TestOnSentIsNotCalledForLostResponse(t *testing.T) {
	var calls, ended atomic.Int64
	s := newTestServer(t, func(c *pipeline.Config) {
		c.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer ended.Add(1)
			pipeline.OnSent(r.Context(), func(time.Duration) { calls.Add(1) })
			if r.URL.Path == "/1" {
				time.Sleep(50 * time.Millisecond)
				panic(http.ErrAbortHandler)
			}
		})
	})
	c := s.dial(t)
	c.send(get("/1"), get("/2"))
	c.wantEnd()
	_ = s.Shutdown(context.Background())
	if n := calls.Load(); ended.Load() != 2 || n != 0 {
		t.Errorf("%d requests, %d recorded as sent", ended.Load(), n)
	}
}

// A client that reads late must still receive what was complete, though it has sent more
// than the server will read.
func TestAbortDoesNotDropResponsesOnTheirWay(t *testing.T) {
	const large = 300_000
	s := newTestServer(t, func(c *pipeline.Config) {
		c.MaxDepth = 2
		c.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/2" {
				panic(http.ErrAbortHandler)
			}
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(w, strings.Repeat("x", large))
		})
	})
	c := s.dial(t)
	if err := c.Conn.(*net.TCPConn).SetReadBuffer(16 << 10); err != nil {
		t.Fatal(err)
	}
	c.send(get("/1"), get("/2"), strings.Repeat(get("/3"), 1000))
	time.Sleep(200 * time.Millisecond)
	if _, body := c.receive(); len(body) != large {
		t.Errorf("%d bytes of the first response", len(body))
	}
	c.wantEnd()
}

// The end of the connection tells the client of HTTP/1.0 that a response is complete.
func TestAbortedResponseWithoutLengthIsReset(t *testing.T) {
	s := newTestServer(t, func(c *pipeline.Config) {
		c.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", 9000))
			panic(http.ErrAbortHandler)
		})
	})
	c := s.dial(t)
	c.send("GET /1 HTTP/1.0\r\n\r\n")
	if received, err := io.ReadAll(c.Conn); err == nil {
		t.Errorf("%d bytes look complete", len(received))
	}
}

// Guards against a response that a handler writes late, although its request is canceled,
// being taken for the aborted one before it or for the missing bytes of that.
func TestNothingFollowsAbortedResponse(t *testing.T) {
	for name, part := range map[string]string{"without a byte": "", "in its body": "part"} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, func(c *pipeline.Config) {
				c.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/1" {
						w.Header().Set("Content-Length", "1000")
						if part != "" {
							_, _ = io.WriteString(w, part)
						}
						panic(http.ErrAbortHandler)
					}
					time.Sleep(100 * time.Millisecond) // The turn comes meanwhile.
					w.Header().Set("Content-Length", "5000")
					_, _ = io.WriteString(w, strings.Repeat("x", 5000))
				})
			})
			c := s.dial(t)
			c.send(get("/1"), get("/2"))
			received, _ := io.ReadAll(c.br) // It ends with the connection, however that ends.
			if _, body, _ := strings.Cut(string(received), "\r\n\r\n"); body != part {
				t.Errorf("%q is behind the header of the aborted response, want %q", body[:min(len(body), 100)], part)
			}
		})
	}
}
