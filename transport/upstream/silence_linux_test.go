// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/ryehill/ryehill/transport/upstream"
)

const (
	testAckTimeout = 900 * time.Millisecond
	// smallWindow is the receive buffer of a worker in bytes, of which an upload fills it.
	smallWindow = 64 << 10
)

// startReader starts a worker with a small receive window that reads the head of a request and
// leaves its connection to serve.
func startReader(t *testing.T, serve func(conn net.Conn, head *http.Request)) upstream.Worker {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallWindow) })
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		head, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		serve(conn, head)
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-served
	})
	return upstream.Worker{ID: "w", Address: listener.Addr().String()}
}

// discardPackets makes a connection ignore all that arrives, like a machine that is gone:
// nothing is acknowledged any more.
func discardPackets(t *testing.T, conn net.Conn) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	rejectAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &rejectAll})
	})
	if err != nil || optErr != nil {
		t.Errorf("attach a filter: %v, %v", err, optErr)
	}
}

func upload(c *upstream.Client, w upstream.Worker, size int) (string, error) {
	res, err := c.Do(context.Background(), w, &upstream.Request{
		Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: bytes.NewReader(make([]byte, size)), Length: int64(size),
	})
	if err != nil {
		return "", err
	}
	defer res.Close()
	body, err := io.ReadAll(res.Body())
	return string(body), err
}

// Guards against breaking off uploads whose workers leave the body unread for a while:
// TCP_USER_TIMEOUT also ends connections whose receive window stays closed.
func TestUnreadUploadIsNotBrokenOff(t *testing.T) {
	cases := map[string]struct {
		size int
		read func(body io.Reader)
	}{
		"read late": {300_000, func(body io.Reader) {
			time.Sleep(3 * time.Second)
			_, _ = io.Copy(io.Discard, body)
		}},
		"more than the send buffer, read late": {8 << 20, func(body io.Reader) {
			time.Sleep(3 * time.Second)
			_, _ = io.Copy(io.Discard, body)
		}},
		"read in small portions": {1 << 20, func(body io.Reader) {
			for {
				if _, err := io.CopyN(io.Discard, body, 24<<10); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}},
		"read in large portions, with pauses": {8 << 20, func(body io.Reader) {
			for {
				if _, err := io.CopyN(io.Discard, body, 3<<20); err != nil {
					return
				}
				time.Sleep(1500 * time.Millisecond)
			}
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startReader(t, func(conn net.Conn, head *http.Request) {
				c.read(head.Body)
				writeResponse(conn, "read")
			})
			client := upstream.New(upstream.Config{AckTimeout: testAckTimeout})
			defer client.CloseIdle()
			if got, err := upload(client, w, c.size); got != "read" || err != nil {
				t.Errorf("got %q, %v, want the worker's response", got, err)
			}
		})
	}
}

// Guards against holding a request until its deadline if the machine of its worker is gone.
func TestSilentPeerIsNoticed(t *testing.T) {
	const (
		// checkTime is what may be added by the interval at which connections are checked.
		checkTime = 300 * time.Millisecond
		// probeTime is the time in which two window probes are sent, when one was just answered.
		probeTime = 2 * time.Second
	)
	cases := map[string]struct {
		size int
		// silentAfter is when the machine is gone, from the request's head on.
		silentAfter time.Duration
		within      time.Duration
	}{
		"at the start of an upload":       {8 << 20, 0, testAckTimeout + checkTime},
		"while its window is closed":      {8 << 20, 500 * time.Millisecond, testAckTimeout + probeTime},
		"while its window is long closed": {8 << 20, 4 * time.Second, testAckTimeout + probeTime},
		"all is in the send buffer":       {300_000, 2 * time.Second, testAckTimeout + probeTime},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			silentSince := make(chan time.Time, 1)
			ended := make(chan struct{})
			defer close(ended)
			w := startReader(t, func(conn net.Conn, _ *http.Request) {
				time.Sleep(c.silentAfter)
				discardPackets(t, conn)
				silentSince <- time.Now()
				<-ended
			})
			client := upstream.New(upstream.Config{AckTimeout: testAckTimeout})
			defer client.CloseIdle()
			_, err := upload(client, w, c.size)
			took := time.Since(<-silentSince)
			t.Logf("noticed after %v", took)
			var failed *upstream.Error
			if !errors.As(err, &failed) || failed.Kind() != upstream.KindBroken || failed.NotRun() || failed.PeerClosed() || !errors.Is(err, syscall.ETIMEDOUT) {
				t.Errorf("got %v, want a connection that timed out", err)
			}
			if took > c.within {
				t.Errorf("noticed after %v, want %v at most", took, c.within)
			}
		})
	}
}

// Guards against taking a connection that this machine has ended for one that the worker
// closed, which counts as a crash of its process.
func TestOwnTimeoutIsNoHangUp(t *testing.T) {
	w := startReader(t, func(conn net.Conn, _ *http.Request) {
		time.Sleep(2 * time.Second)
	})
	client := upstream.New(upstream.Config{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 300) })
		}}
		return d.DialContext(ctx, "tcp", address)
	}})
	defer client.CloseIdle()
	_, err := upload(client, w, 8<<20)
	var failed *upstream.Error
	if !errors.As(err, &failed) || failed.PeerClosed() || !errors.Is(err, syscall.ETIMEDOUT) {
		t.Errorf("got %v, want a timeout that is not the worker's", err)
	}
}
