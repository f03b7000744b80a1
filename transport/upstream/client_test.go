// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"github.com/ryehill/ryehill/transport/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startWorker starts a server that calls serve for each request, with the request's
// number on its connection, from 1. It closes the connection if serve returns false.
// The counter is the number of requests received.
func startWorker(t *testing.T, serve func(n int, req *http.Request, conn net.Conn) bool) (upstream.Worker, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var requests atomic.Int64
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for n := 1; ; n++ {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					requests.Add(1)
					if !serve(n, req, conn) {
						return
					}
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		wg.Wait()
	})
	return upstream.Worker{ID: "w", Address: l.Addr().String(), MaxConnections: 4}, &requests
}

func writeResponse(conn net.Conn, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

func newClient(t *testing.T) *upstream.Client {
	c := upstream.New(upstream.Config{ProgressTimeout: 2 * time.Second})
	t.Cleanup(c.CloseIdle)
	return c
}

func do(c *upstream.Client, w upstream.Worker, req upstream.Request) (string, error) {
	req.Target, req.Host = "/x", "h"
	if req.Method == "" {
		req.Method = http.MethodGet
	}
	req.ResponseHeaderTimeout = 2 * time.Second
	res, err := c.Do(context.Background(), w, &req)
	if err != nil {
		return "", err
	}
	defer res.Close()
	body, err := io.ReadAll(res.Body())
	return string(body), err
}

// Guards against a resend when an idle connection turns out to be closed, as net/http does it.
func TestNoResendOnClosedConnection(t *testing.T) {
	cases := map[string]upstream.Request{
		"GET":             {},
		"POST with a key": {Method: http.MethodPost, Header: http.Header{"Idempotency-Key": {"k"}}},
	}
	for name, req := range cases {
		t.Run(name, func(t *testing.T) {
			w, requests := startWorker(t, func(n int, _ *http.Request, conn net.Conn) bool {
				return n == 1 && writeResponse(conn, "first")
			})
			c := newClient(t)
			if body, err := do(c, w, req); body != "first" || err != nil {
				t.Fatal(body, err)
			}
			_, err := do(c, w, req)
			var u *upstream.Error
			if !errors.As(err, &u) || u.NotRun() {
				t.Fatalf("got %v, want an error without NotRun: the request was written to the worker", err)
			}
			if n := requests.Load(); n != 2 {
				t.Fatalf("the worker got %d requests, want 2", n)
			}
		})
	}
}

func TestAtMostOnceOpensConnection(t *testing.T) {
	w, _ := startWorker(t, func(n int, _ *http.Request, conn net.Conn) bool { return n == 1 && writeResponse(conn, "ok") })
	c := newClient(t)
	for range 3 {
		if body, err := do(c, w, upstream.Request{Method: http.MethodPost, AtMostOnce: true}); body != "ok" || err != nil {
			t.Fatal(body, err)
		}
	}
}

// Guards against taking unsolicited data after a response for the next response.
func TestSurplusResponseIsDropped(t *testing.T) {
	w, _ := startWorker(t, func(n int, _ *http.Request, conn net.Conn) bool {
		const surplus = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nanother's"
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nown %d%s", n, surplus)
		return err == nil
	})
	c := newClient(t)
	for range 20 {
		if body, err := do(c, w, upstream.Request{}); body != "own 1" || err != nil {
			t.Fatal(body, err)
		}
	}
}

func TestIncompleteResponsesFail(t *testing.T) {
	cases := map[string]string{
		"short body":       "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"chunks cut off":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"end unknown":      "HTTP/1.1 200 OK\r\n\r\nhalf",
		"head cut off":     "HTTP/1.1 200 OK\r\nContent-",
		"nothing":          "",
		"no HTTP at all":   "SSH-2.0-nonsense\r\n",
		"bad chunk length": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			w, _ := startWorker(t, func(_ int, _ *http.Request, conn net.Conn) bool {
				_, _ = io.WriteString(conn, text)
				return false
			})
			_, err := do(newClient(t), w, upstream.Request{})
			var u *upstream.Error
			if !errors.As(err, &u) || u.NotRun() {
				t.Fatalf("got %v", err)
			}
		})
	}
}

func TestNotRunOnlyIfCertain(t *testing.T) {
	overloaded, _ := startWorker(t, func(_ int, _ *http.Request, conn net.Conn) bool {
		_, err := io.WriteString(conn, "HTTP/1.1 503 Busy\r\nUpstream-Refused: shed\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	unavailable, _ := startWorker(t, func(_ int, _ *http.Request, conn net.Conn) bool {
		_, err := io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	var u *upstream.Error
	if _, err := do(newClient(t), overloaded, upstream.Request{}); !errors.As(err, &u) || !u.NotRun() || u.Kind() != upstream.KindShed {
		t.Errorf("refused with shed: %v", err)
	}
	if _, err := do(newClient(t), unavailable, upstream.Request{}); err != nil {
		t.Errorf("a 503 without a refusal header must be returned as a response: %v", err)
	}
	if _, err := do(newClient(t), upstream.Worker{ID: "w", Address: "127.0.0.1:1"}, upstream.Request{}); !errors.As(err, &u) || !u.NotRun() {
		t.Errorf("unreachable: %v", err)
	}
}

// Guards against losing a refusal that arrives before the upload is read.
func TestEarlyRefusalEndsUpload(t *testing.T) {
	w, _ := startWorker(t, func(_ int, _ *http.Request, conn net.Conn) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nUpstream-Refused: leaving\r\nContent-Length: 0\r\n\r\n")
		return false
	})
	body := io.LimitReader(endlessReader{}, 64<<20)
	_, err := do(newClient(t), w, upstream.Request{Method: http.MethodPut, Body: body, Length: 64 << 20})
	var u *upstream.Error
	if !errors.As(err, &u) || !u.NotRun() {
		t.Fatal(err)
	}
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

func TestRequestBodyError(t *testing.T) {
	w, _ := startWorker(t, func(_ int, req *http.Request, conn net.Conn) bool {
		_, err := io.Copy(io.Discard, req.Body)
		return err == nil && writeResponse(conn, "ok")
	})
	body := io.MultiReader(strings.NewReader("part"), errorReader{})
	_, err := do(newClient(t), w, upstream.Request{Method: http.MethodPut, Body: body, Length: 100_000})
	var u *upstream.Error
	if !errors.As(err, &u) || u.Kind() != upstream.KindRequestBody || u.NotRun() {
		t.Fatal(err)
	}
	// The body fails before the buffered header is flushed, so nothing was sent.
	_, err = do(newClient(t), w, upstream.Request{Method: http.MethodPut, Body: errorReader{}, Length: 100})
	if !errors.As(err, &u) || u.Kind() != upstream.KindRequestBody || !u.NotRun() {
		t.Fatal(err)
	}
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against a deadlock between CloseIdle and the pool's lock.
func TestCloseIdleReturns(t *testing.T) {
	w, _ := startWorker(t, func(_ int, _ *http.Request, conn net.Conn) bool { return writeResponse(conn, "ok") })
	c := newClient(t)
	if _, err := do(c, w, upstream.Request{}); err != nil {
		t.Fatal(err)
	}
	c.CloseIdle()
	c.CloseIdle()
}

func TestConnectionLimit(t *testing.T) {
	release := make(chan struct{})
	w, _ := startWorker(t, func(_ int, _ *http.Request, conn net.Conn) bool {
		<-release
		return writeResponse(conn, "ok")
	})
	c := newClient(t)
	results := make(chan error, 6)
	for range 6 {
		go func() {
			_, err := do(c, w, upstream.Request{})
			results <- err
		}()
	}
	busy := 0
	for range 2 {
		var u *upstream.Error
		if err := <-results; errors.As(err, &u) && u.Kind() == upstream.KindBusy && u.NotRun() {
			busy++
		}
	}
	close(release)
	for range 4 {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	if busy != 2 {
		t.Fatalf("%d of 6 requests were refused at a limit of 4 connections, want 2", busy)
	}
}
