// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// firstRetry and longestRetry bound the wait after a failed dial.
	firstRetry   = 100 * time.Millisecond
	longestRetry = 3 * time.Second
)

// pause is the wait before a peer that could not be reached is dialled again. It
// grows with the failures in a row and ends when the peer shows itself. It is safe
// for concurrent use, also while a dial holds the session.
type pause struct {
	mu      sync.Mutex
	backoff *backoff.ExponentialBackOff
	until   time.Time
	failure error
}

func newPause() *pause {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstRetry
	b.MaxInterval = longestRetry
	return &pause{backoff: b}
}

// begin notes a dial that failed.
func (p *pause) begin(failure error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failure = failure
	p.until = time.Now().Add(p.backoff.NextBackOff())
}

// end lets the next dial go at once.
func (p *pause) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = time.Time{}
	p.backoff.Reset()
}

// underWay returns why the last dial failed if the wait is not over, or nil.
func (p *pause) underWay() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(p.until) {
		return p.failure
	}
	return nil
}
