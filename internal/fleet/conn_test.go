// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"net"
	"testing"
	"time"
)

// A connection whose other end reads nothing is closed all the same, and frees
// whoever is at a write: two ends that wait for each other would else hang for
// good, with every lock that is held over a close.
func TestCloseDoesNotWaitForAFullConnection(t *testing.T) {
	raw, other := net.Pipe()
	t.Cleanup(func() { _ = other.Close() })
	c := newConn(raw, newNetwork(func(string, string) time.Duration { return 0 }), "a", "b", 0)
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 2*maxPieces*pieceBytes))
		written <- err
	}()
	time.Sleep(100 * time.Millisecond) // The pieces fill up.
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-written:
		if err == nil {
			t.Error("the write ended without an error")
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the write still waits")
	}
}
