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
	// maxExhausted bounds the workspaces that are remembered as exhausted, and those with
	// spare tokens.
	maxExhausted = 4096
	// spareTTL is how long a token is kept that arrives after its request has given up.
	spareTTL = 500 * time.Millisecond
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
	waiting      map[string][]*waiter
	waitingCount int
	// exhausted holds the workspaces for which the pool had no token.
	exhausted map[string]exhausted
	// spares holds the tokens that arrived too late for their requests.
	spares map[string]spare
}

// waiter is a request that waits for its token.
type waiter struct {
	reply chan Grant
	// gone is set once the request has given up.
	gone bool
}

// spare is a number of unused tokens that the next requests may use.
type spare struct {
	tokens int
	until  time.Time
}

// exhausted records that the pool had no token for a workspace: when a refused request may
// be retried, and until when the pool is not queried for the workspace.
type exhausted struct{ retryAt, until time.Time }

// NewBorrower returns a Borrower without pending requests.
func NewBorrower(cfg BorrowerConfig) *Borrower {
	return &Borrower{cfg: cfg, waiting: make(map[string][]*waiter), exhausted: make(map[string]exhausted), spares: make(map[string]spare)}
}

// TakeToken requests one token for a workspace. If there is none, it returns the delay
// after which the request may be retried. A token that arrives after ctx has ended is left to
// the next request.
func (b *Borrower) TakeToken(ctx context.Context, name string) (wait time.Duration, ok bool) {
	waiting, g := b.enqueue(name)
	if waiting == nil {
		return g.RetryAfter, g.Requests > 0
	}
	select {
	case g = <-waiting.reply:
	case <-ctx.Done():
		g = b.giveUp(waiting)
	}
	return g.RetryAfter, g.Requests > 0
}

// enqueue adds a request to the next batch. If the request need not wait it returns no
// waiter: there is a spare token, the workspace is exhausted or too many requests wait.
func (b *Borrower) enqueue(name string) (*waiter, Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Now()
	if b.takeSpare(name, now) {
		return nil, Grant{Requests: 1}
	}
	if e := b.exhausted[name]; now.Before(e.until) {
		return nil, Grant{RetryAfter: max(e.retryAt.Sub(now), exhaustedTTL)}
	}
	if b.waitingCount >= maxWaiting {
		return nil, Grant{RetryAfter: exhaustedTTL}
	}
	added := &waiter{reply: make(chan Grant, 1)}
	b.waiting[name] = append(b.waiting[name], added)
	b.waitingCount++
	if !b.querying {
		b.querying = true
		go b.queryPool()
	}
	return added, Grant{}
}

// giveUp ends the wait of a request, unless its answer has just arrived.
func (b *Borrower) giveUp(w *waiter) Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case g := <-w.reply:
		return g
	default:
		w.gone = true
		return Grant{RetryAfter: b.cfg.Window}
	}
}

// takeSpare takes a spare token, if there is one. The caller holds mu.
func (b *Borrower) takeSpare(name string, now time.Time) bool {
	s, ok := b.spares[name]
	if !ok {
		return false
	}
	usable := now.Before(s.until)
	s.tokens--
	if !usable || s.tokens == 0 {
		delete(b.spares, name)
	} else {
		b.spares[name] = s
	}
	return usable
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
		b.waiting, b.waitingCount = make(map[string][]*waiter), 0
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
func (b *Borrower) deliver(batch map[string][]*waiter, grants Grants, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, waiters := range batch {
		g, known := grants[name]
		if err != nil || !known {
			g = Grant{RetryAfter: exhaustedTTL}
		}
		left := g.Requests
		for _, w := range waiters {
			if w.gone {
				continue
			}
			single := Grant{RetryAfter: g.RetryAfter}
			if left > 0 {
				single.Requests = 1
				left--
			}
			w.reply <- single // Has room for one.
		}
		b.keepSpares(name, left)
		if g.Requests < len(waiters) {
			b.markExhausted(name, g.RetryAfter)
		}
	}
}

// keepSpares keeps tokens whose requests have given up. The caller holds mu.
func (b *Borrower) keepSpares(name string, tokens int) {
	if tokens <= 0 {
		return
	}
	if len(b.spares) >= maxExhausted {
		clear(b.spares)
	}
	b.spares[name] = spare{tokens: tokens, until: b.cfg.Now().Add(spareTTL)}
}

// markExhausted records that the pool has no token. The caller holds mu.
func (b *Borrower) markExhausted(name string, wait time.Duration) {
	if len(b.exhausted) >= maxExhausted {
		clear(b.exhausted)
	}
	now := b.cfg.Now()
	b.exhausted[name] = exhausted{retryAt: now.Add(wait), until: now.Add(min(wait, exhaustedTTL))}
}
