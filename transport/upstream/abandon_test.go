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

// What a VM has sent of a request that it gives up may lie in between for long, say where a
// hall was cut off. It must not reach the worker later, when another one has served the
// request, or the hall is closed: the system would go on sending it after the connection was
// closed.
func TestRequestThatWasGivenUpIsNotSentLater(t *testing.T) {
	const body = 8 << 20 // More than the system takes in.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client := upstream.New(upstream.Config{Progress: 2 * time.Second})
	ctx, giveUp := context.WithCancel(context.Background())
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
	time.Sleep(100 * time.Millisecond) // It fills what lies in between.
	giveUp()
	if err := <-ended; err == nil {
		t.Fatal("a request that was given up was answered")
	}
	_ = worker.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.Copy(io.Discard, worker); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the worker reads on until %v, want a reset", err)
	}
}
