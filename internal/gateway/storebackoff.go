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

// storeBackoff spaces this VM's calls to the store while the store fails. All kinds
// share it, because a store that fails for one kind fails for all, and one successful
// call shows that it answers again. The zero value lets all calls through. It is safe
// for concurrent use.
type storeBackoff struct {
	mu       sync.Mutex
	failures int // consecutive
	next     time.Time
}

// wait waits until a call may be made; after failures the wait between two calls is
// longest at most.
func (g *storeBackoff) wait(ctx context.Context, longest time.Duration) {
	for ctx.Err() == nil {
		wait := g.reserve(clock.Now(), longest)
		if wait <= 0 {
			return
		}
		// The wait is polled, because a call for another kind may succeed and end it
		// early.
		sleep(ctx, min(wait, minBackoff))
	}
}

// reserve claims the next call if its time has come, and otherwise returns the
// remaining wait.
func (g *storeBackoff) reserve(now time.Time, longest time.Duration) time.Duration {
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

// recordResult records the result of a call. ErrHistoryGone counts as a response of the
// store.
func (g *storeBackoff) recordResult(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil || errors.Is(err, ErrHistoryGone) {
		g.failures = 0
		return
	}
	g.failures++
	g.next = time.Time{} // Set by the next call to reserve.
}
