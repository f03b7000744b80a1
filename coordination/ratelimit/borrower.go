// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"context"
	"sync"
	"time"
)

const (
	// maxWaiting bounds the requests of one VM that wait for an answer of the pool.
	maxWaiting = 4096
	// exhaustedTTL bounds how long the pool is not queried again for a workspace for which
	// it had no token. It limits a workspace far above its limit to a few queries a
	// second.
	exhaustedTTL = 200 * time.Millisecond
	// maxExhausted bounds the workspaces that are remembered as exhausted.
	maxExhausted = 4096
)

// RequestCounts maps the name of a workspace or the incarnation ID of a worker to the number
// of requests wanted for it.
type RequestCounts map[string]int

// Grants maps the name of a workspace or the incarnation ID of a worker to the grant for it.
type Grants map[string]Grant

// BorrowerConfig configures a Borrower. All fields are required.
type BorrowerConfig struct {
	// QueryPool queries the pool. It must return within a bounded time, with an error if
	// the pool's answer is unknown.
	QueryPool func(RequestCounts) (Grants, error)
	// Window is the longest retry delay that a request is given.
	Window time.Duration
	Now    func() time.Time
}

// Borrower queries a pool on behalf of requests for which the VM's local share has no
// token, or an issuer, with workers in place of workspaces. It has one query in flight at
// a time; requests that arrive meanwhile are batched into the next one. It is safe for
// concurrent use.
type Borrower struct {
	cfg BorrowerConfig

	mu           sync.Mutex
	querying     bool
	waiting      map[string][]chan Grant
	waitingCount int
	// exhausted holds the workspaces for which the pool had no token.
	exhausted map[string]exhausted
}

// exhausted records that the pool had no token for a workspace: when a refused request may
// be retried, and until when the pool is not queried for the workspace.
type exhausted struct{ retryAt, until time.Time }

// NewBorrower returns a Borrower without pending requests.
func NewBorrower(cfg BorrowerConfig) *Borrower {
	return &Borrower{cfg: cfg, waiting: make(map[string][]chan Grant), exhausted: make(map[string]exhausted)}
}

// TakeToken requests one token for a workspace. If there is none, it returns the delay
// after which the request may be retried.
func (b *Borrower) TakeToken(ctx context.Context, name string) (wait time.Duration, ok bool) {
	reply, wait := b.enqueue(name)
	if reply == nil {
		return wait, false
	}
	select {
	case g := <-reply:
		return g.RetryAfter, g.Requests > 0
	case <-ctx.Done():
		return b.cfg.Window, false
	}
}

// enqueue adds a request to the next batch, or returns a nil channel and the retry delay
// if the workspace is exhausted or too many requests wait.
func (b *Borrower) enqueue(name string) (reply chan Grant, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e, now := b.exhausted[name], b.cfg.Now(); now.Before(e.until) {
		return nil, max(e.retryAt.Sub(now), exhaustedTTL)
	}
	if b.waitingCount >= maxWaiting {
		return nil, exhaustedTTL
	}
	reply = make(chan Grant, 1)
	b.waiting[name] = append(b.waiting[name], reply)
	b.waitingCount++
	if !b.querying {
		b.querying = true
		go b.queryPool()
	}
	return reply, 0
}

// queryPool sends batches to the pool until no request waits.
func (b *Borrower) queryPool() {
	for {
		b.mu.Lock()
		batch := b.waiting
		if len(batch) == 0 {
			b.querying = false
			b.mu.Unlock()
			return
		}
		b.waiting, b.waitingCount = make(map[string][]chan Grant), 0
		b.mu.Unlock()
		counts := make(RequestCounts, len(batch))
		for name, replies := range batch {
			counts[name] = len(replies)
		}
		grants, err := b.cfg.QueryPool(counts)
		b.deliver(batch, grants, err)
	}
}

// deliver sends each request of a batch its answer. A workspace that is missing from the
// pool's answer is treated as refused.
func (b *Borrower) deliver(batch map[string][]chan Grant, grants Grants, err error) {
	for name, replies := range batch {
		g, known := grants[name]
		if err != nil || !known {
			g = Grant{RetryAfter: exhaustedTTL}
		}
		for i, reply := range replies {
			single := Grant{RetryAfter: g.RetryAfter}
			if i < g.Requests {
				single.Requests = 1
			}
			reply <- single
		}
		if g.Requests < len(replies) {
			b.markExhausted(name, g.RetryAfter)
		}
	}
}

func (b *Borrower) markExhausted(name string, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.exhausted) >= maxExhausted {
		clear(b.exhausted)
	}
	now := b.cfg.Now()
	b.exhausted[name] = exhausted{retryAt: now.Add(wait), until: now.Add(min(wait, exhaustedTTL))}
}
