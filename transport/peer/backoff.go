// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// Bounds of the delay before a peer is dialled again after a failed dial.
	initialRedialDelay = 100 * time.Millisecond
	maxRedialDelay     = 3 * time.Second
)

// dialBackoff delays the next dial of a peer after failed dials. The delay grows
// with consecutive failures and ends when the peer opens a session itself. It is
// safe for concurrent use, also while a dial holds the session's lock.
type dialBackoff struct {
	mu      sync.Mutex
	delays  *backoff.ExponentialBackOff
	retryAt time.Time
	lastErr error
}

func newDialBackoff() *dialBackoff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialRedialDelay
	b.MaxInterval = maxRedialDelay
	return &dialBackoff{delays: b}
}

// recordFailure starts a delay after a failed dial.
func (b *dialBackoff) recordFailure(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastErr = err
	b.retryAt = time.Now().Add(b.delays.NextBackOff())
}

// reset ends the delay, so that the next dial is made at once.
func (b *dialBackoff) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retryAt = time.Time{}
	b.delays.Reset()
}

// activeFailure returns the error of the last failed dial while the delay lasts,
// or nil.
func (b *dialBackoff) activeFailure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Before(b.retryAt) {
		return b.lastErr
	}
	return nil
}
