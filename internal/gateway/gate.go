// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/internal/clock"
)

// gate spaces this VM's calls to the store while it does not answer. All kinds of
// objects share it: a store that fails for one fails for all, and one call finds out
// when it answers again. With a wait for each kind, 103 VMs that the store turned
// away for 9 s made some 6,000 calls, worked out. The zero value lets all calls
// through. It is safe for concurrent use.
type gate struct {
	mu       sync.Mutex
	failures int // in a row
	next     time.Time
}

// enter waits until a call may be made, after failures up to the longest wait.
func (g *gate) enter(ctx context.Context, longest time.Duration) {
	for ctx.Err() == nil {
		wait := g.reserve(clock.Now(), longest)
		if wait <= 0 {
			return
		}
		// It may end sooner: another kind's call may find the store answering.
		sleep(ctx, min(wait, firstRetry))
	}
}

// reserve takes the next place for a call if its time has come, and else returns how
// long that takes.
func (g *gate) reserve(now time.Time, longest time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failures == 0 {
		return 0
	}
	if g.next.IsZero() {
		g.next = now.Add(backoff(g.failures, longest))
	}
	if wait := g.next.Sub(now); wait > 0 {
		return wait
	}
	g.next = now.Add(backoff(g.failures, longest))
	return 0
}

// ended notes how a call went. A store that has forgotten history answers.
func (g *gate) ended(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil || errors.Is(err, ErrForgotten) {
		g.failures = 0
		return
	}
	g.failures++
	g.next = time.Time{} // Drawn by the next one that waits.
}
