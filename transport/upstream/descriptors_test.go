// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package upstream_test

import (
	"context"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/transport/upstream"
)

// startWorkers starts workers that answer once release is closed.
func startWorkers(t *testing.T, n int, release <-chan struct{}) []upstream.Worker {
	t.Helper()
	var workers []upstream.Worker
	for range n {
		w, _ := startWorker(t, func(_ int, _ *http.Request, conn net.Conn) bool {
			<-release
			return writeResponse(conn, "ok")
		})
		workers = append(workers, w)
	}
	return workers
}

// Guards against treating a VM's own lack of descriptors as a failure of the worker.
func TestDialWithoutDescriptors(t *testing.T) {
	released := make(chan struct{})
	close(released)
	workers := startWorkers(t, 2, released)
	errExhausted := os.NewSyscallError("socket", syscall.EMFILE)
	open, most := 0, 1
	c := upstream.New(upstream.Config{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		if open == most {
			return nil, &net.OpError{Op: "dial", Err: errExhausted}
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err == nil {
			open++
			conn = &countedConn{Conn: conn, closed: func() { open-- }}
		}
		return conn, err
	}})
	t.Cleanup(c.CloseIdle)
	for i, w := range []upstream.Worker{workers[0], workers[1], workers[0]} {
		if _, err := do(c, w, upstream.Request{}); err != nil {
			t.Errorf("request %d, with an idle connection to the other worker: %v", i, err)
		}
	}
	most = open
	c.CloseIdle()
	open = most // Whatever else the VM has open.
	_, err := do(c, workers[1], upstream.Request{})
	var failed *upstream.Error
	if !errors.As(err, &failed) || failed.Kind() != upstream.KindBusy || !failed.NotRun() {
		t.Errorf("got %v, want %s", err, upstream.KindBusy)
	}
}

// countedConn calls closed once it is closed.
type countedConn struct {
	net.Conn
	closed func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

// Guards against connections to all workers together using up a VM's descriptors.
func TestOpenConnectionsOfAllWorkers(t *testing.T) {
	release := make(chan struct{})
	workers := startWorkers(t, 4, release)
	c := upstream.New(upstream.Config{MaxOpen: 3})
	t.Cleanup(c.CloseIdle)
	results := make(chan error, 3)
	for _, w := range workers[:3] {
		go func() {
			_, err := do(c, w, upstream.Request{})
			results <- err
		}()
	}
	for deadline := time.Now().Add(5 * time.Second); c.OpenConnections() < 3 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	_, err := do(c, workers[3], upstream.Request{})
	var failed *upstream.Error
	if !errors.As(err, &failed) || failed.Kind() != upstream.KindBusy {
		t.Errorf("got %v while all connections are in use, want %s", err, upstream.KindBusy)
	}
	close(release)
	for range 3 {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	if _, err := do(c, workers[3], upstream.Request{}); err != nil {
		t.Errorf("got %v while connections are idle", err)
	}
	if n := c.OpenConnections(); n > 3 {
		t.Errorf("%d connections are open", n)
	}
}
