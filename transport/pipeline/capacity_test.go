// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline_test

import (
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
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

// exhaustedListener fails to accept connections once for each of the codes.
type exhaustedListener struct {
	net.Listener
	codes []syscall.Errno
}

// Accept implements net.Listener.
func (l *exhaustedListener) Accept() (net.Conn, error) {
	if len(l.codes) > 0 {
		code := l.codes[0]
		l.codes = l.codes[1:]
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", code)}
	}
	return l.Listener.Accept()
}

// Guards against a VM that takes no more clients once it had no descriptors or memory left.
func TestAcceptContinuesAfterExhaustion(t *testing.T) {
	s := newTestServer(t, nil)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &exhaustedListener{Listener: inner, codes: []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	s.address = inner.Addr().String()
	c := s.dial(t)
	c.send(get("/1"))
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	c.want(http.StatusOK, "/1")
	_ = s.Close()
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		t.Error(err)
	}
}
