// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package peer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/transport/peer"
)

// countingListener counts accepted connections.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return c, err
}

// Guards against a stream whose receiver does not read ending the other streams of its session,
// or being broken off itself.
func TestStalledStreamKeepsSession(t *testing.T) {
	const (
		// stall is longer than the time that a session has for a write, or for opening a stream.
		stall  = 6 * time.Second
		chunks = 64
		size   = 32 << 10
	)
	t.Parallel()
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &countingListener{Listener: plain}
	receiver := peer.New(peer.Config{Self: peer.Identity{Fleet: "f", Hall: "a", VM: "b1", Start: 1}, Handler: func(ctx context.Context, from peer.Identity, s *peer.Stream, first *peerpb.Envelope) {
		if first.GetFind().GetId() == "stall" {
			time.Sleep(stall)
			for range chunks {
				if _, err := s.Read(); err != nil {
					t.Errorf("read after the stall: %v", err)
					return
				}
			}
		}
		echo(ctx, from, s, first)
	}})
	done := make(chan error, 1)
	go func() { done <- receiver.Serve(l) }()
	defer func() {
		_ = l.Close()
		receiver.Close()
		<-done
	}()
	sender := peer.New(peer.Config{Self: peer.Identity{Fleet: "f", Hall: "a", VM: "a1", Start: 1}})
	defer sender.Close()
	target := peer.Target{VM: "b1", Address: plain.Addr().String()}
	stalled, err := sender.Open(context.Background(), target, &peerpb.Envelope{Kind: &peerpb.Envelope_Find{Find: &peerpb.Find{Id: "stall"}}})
	if err != nil {
		t.Fatal(err)
	}
	defer stalled.Close()
	written := make(chan error, 1)
	go func() {
		for range chunks {
			if err := stalled.Write(&peerpb.Envelope{Kind: &peerpb.Envelope_Chunk{Chunk: &peerpb.Chunk{Data: make([]byte, size)}}}); err != nil {
				written <- err
				return
			}
		}
		written <- nil
	}()
	for end := time.Now().Add(stall); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		begun := time.Now()
		if _, err := callFind(sender, "b1", target.Address); err != nil {
			t.Fatalf("a call beside the stalled stream: %v", err)
		}
		if took := time.Since(begun); took > time.Second {
			t.Errorf("a call beside the stalled stream took %v", took)
		}
	}
	if err := <-written; err != nil {
		t.Errorf("write to the stalled stream: %v", err)
	}
	if _, err := stalled.Read(); err != nil {
		t.Errorf("reply of the stalled stream: %v", err)
	}
	if n := l.accepted.Load(); n != 1 {
		t.Errorf("%d sessions were opened, want one", n)
	}
}
