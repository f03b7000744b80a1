// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package logs_test

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ryehill/ryehill/internal/logs"
)

// An output that nobody reads holds nobody up, and what was left out is told
// once it is read again.
func TestUnreadOutputHoldsNobodyUp(t *testing.T) {
	in, out := io.Pipe()
	log := logs.New(logs.NewQueue(out), false)
	const lines = 5000
	begun := time.Now()
	for range lines {
		log.Info("part: something happened", "n", 1)
	}
	if took := time.Since(begun); took > 2*time.Second {
		t.Errorf("%d lines took %s", lines, took)
	}
	var mu sync.Mutex
	var text strings.Builder
	go func() {
		buffer := make([]byte, 4096)
		for {
			n, err := in.Read(buffer)
			if err != nil {
				return
			}
			mu.Lock()
			text.Write(buffer[:n])
			mu.Unlock()
		}
	}()
	t.Cleanup(func() { _ = in.Close() })
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		mu.Lock()
		told := strings.Contains(text.String(), "lines left out")
		mu.Unlock()
		if told {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("what was left out is not told")
		}
	}
}

func BenchmarkLine(b *testing.B) {
	log := logs.New(logs.NewQueue(io.Discard), false)
	for b.Loop() {
		log.Info("ingress: request failed", "request", "9c41d07be2a35f68", "reason", "busy", "result", "status 503 after 2 ms")
	}
}
