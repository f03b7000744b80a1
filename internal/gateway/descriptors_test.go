// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/internal/gateway"
)

func TestConnectionLimit(t *testing.T) {
	cases := map[string]struct{ descriptors, limit int }{
		"unknown":      {0, 0},
		"a small VM":   {4100, 1537},
		"a wide VM":    {11275, 4407},
		"without room": {100, 64},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := gateway.ConnectionLimit(c.descriptors); got != c.limit {
				t.Errorf("%d descriptors allow %d connections, want %d", c.descriptors, got, c.limit)
			}
		})
	}
}

// Guards against clients' connections leaving a VM without descriptors for its requests.
func TestClientsLeaveRoomForWorkers(t *testing.T) {
	const descriptors = 500
	f := newFleet(t)
	f.startWorker("w1", "s", "north-a")
	v := f.startVM("a", "north-a", func(cfg *gateway.Config, _ *storeClient) { cfg.Descriptors = descriptors })
	f.waitFor("the VM is ready", v.ready)
	limit := gateway.ConnectionLimit(descriptors)
	var conns []net.Conn
	for range 2 * limit {
		conn, err := net.Dial("tcp", v.ingressAddr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		conns = append(conns, conn)
	}
	time.Sleep(1200 * time.Millisecond) // Connections that rest for a second give way to new ones.
	open := 0
	for _, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := conn.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			open++
		}
	}
	if open != limit {
		t.Errorf("%d connections are open, want %d", open, limit)
	}
	// Each request opens a connection of its own, in place of one that rests.
	for range 5 {
		if status, id := v.sendRequest("/"); status != http.StatusOK {
			t.Errorf("a new client got %d, %s", status, id)
		}
	}
}
