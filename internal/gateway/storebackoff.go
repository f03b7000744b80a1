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
// call shows that it responds again. With a wait for each kind, 103 VMs would make 6,000
// calls to a store that rejects them for 9 s. The zero value lets all calls through. It is safe
// for concurrent use.
type storeBackoff struct {
	mu       sync.Mutex
	failures int // consecutive
	next     time.Time
}

// wait waits until a call may be made; after failures the wait between two calls is
// longest at most.
func (b *storeBackoff) wait(ctx context.Context, longest time.Duration) {
	for ctx.Err() == nil {
		wait := b.reserve(clock.Now(), longest)
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
func (b *storeBackoff) reserve(now time.Time, longest time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures == 0 {
		return 0
	}
	if b.next.IsZero() {
		b.next = now.Add(backoff(b.failures, longest))
	}
	if wait := b.next.Sub(now); wait > 0 {
		return wait
	}
	b.next = now.Add(backoff(b.failures, longest))
	return 0
}

// recordResult records the result of a call. ErrHistoryExpired counts as a response of the
// store.
func (b *storeBackoff) recordResult(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil || errors.Is(err, ErrHistoryExpired) {
		b.failures = 0
		return
	}
	b.failures++
	b.next = time.Time{} // Set by the next call to reserve.
}
