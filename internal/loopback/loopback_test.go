// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package loopback_test

import (
	"os"
	"runtime"
	"testing"

	"github.com/ryehill/ryehill/internal/loopback"
)

// What a process has claimed stays its own, also after a garbage collection, which
// closes listeners that nobody holds.
func TestNetworkIsKept(t *testing.T) {
	own := loopback.Network()
	runtime.GC()
	runtime.GC()
	if again := loopback.Network(); again != own {
		t.Errorf("first %s, then %s", own, again)
	}
	other, l := loopback.ClaimFrom(os.Getpid())
	defer func() { _ = l.Close() }()
	if other == own {
		t.Errorf("another process with the same number would have %s, too", own)
	}
}
