// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"testing"
	"time"

	"github.com/ryehill/ryehill/internal/gateway"
)

// A VM that the store turns away calls it now and then, not for each kind by itself,
// and all kinds are young soon after the store answers again.
func TestCallsToAStoreThatFailsAreSpaced(t *testing.T) {
	f := newFleet(t)
	f.worker("w1", "s", "north-a")
	v := f.start("a", "north-a", func(cfg *gateway.Config, _ *door) { cfg.StaleAfter = time.Second })
	f.until("it serves", v.ready)
	v.door.set(true, false)
	f.until("its knowledge is old", func() bool { return v.Age() > 2*time.Second })
	const span = 3 * time.Second
	before := v.door.countAll()
	time.Sleep(span)
	// The wait between two calls is 0.3 to 0.6 s.
	if calls := v.door.countAll() - before; calls < 4 || calls > 12 {
		t.Errorf("%d calls in %s, want 4 to 12", calls, span)
	}
	v.door.set(false, false)
	f.within(1200*time.Millisecond, "all kinds are young", func() bool { return v.Age() < 900*time.Millisecond })
}
