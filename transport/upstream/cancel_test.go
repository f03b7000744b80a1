// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package upstream_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/ryehill/ryehill/transport/upstream"
)

// Guards against the operating system delivering buffered data of a canceled request later.
func TestCancelResetsConnection(t *testing.T) {
	const body = 8 << 20 // more than the socket buffers hold
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client := upstream.New(upstream.Config{ProgressTimeout: 2 * time.Second})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := client.Do(ctx, upstream.Worker{ID: "w", Address: listener.Addr().String()}, &upstream.Request{
			Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: bytes.NewReader(make([]byte, body)), Length: body,
		})
		ended <- err
	}()
	worker, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer worker.Close()
	time.Sleep(100 * time.Millisecond) // Let the client fill the socket buffers.
	cancel()
	if err := <-ended; err == nil {
		t.Fatal("a canceled request got a response")
	}
	_ = worker.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.Copy(io.Discard, worker); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read at the worker ended with %v, want a connection reset", err)
	}
}
