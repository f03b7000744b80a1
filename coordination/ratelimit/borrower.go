// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"context"
	"sync"
	"time"
)

const (
	// maxWaiting bounds the requests of a VM that wait for the pool's answer.
	maxWaiting = 4096
	// emptyFor bounds for how long a workspace of which the pool had nothing is not
	// asked for again: long enough that a workspace that asks for many times its limit
	// costs five questions a second and not one for each request.
	emptyFor = 200 * time.Millisecond
	// maxEmpty bounds the workspaces that are remembered as empty.
	maxEmpty = 4096
)

// Want is how many requests are wanted of each workspace.
type Want map[string]int

// Granted is what a pool gives of each workspace.
type Granted map[string]Grant

// BorrowerConfig sets up a Borrower. All fields are required.
type BorrowerConfig struct {
	// Ask asks the pool. It returns within a time of its own, with an error if
	// nothing is known of the pool's answer.
	Ask func(Want) (Granted, error)
	// Window is the longest wait that a request is told.
	Window time.Duration
	Now    func() time.Time
}

// Borrower asks the pool for requests that the VM's own part has no room for. It has
// one question under way at a time, and those that come meanwhile go with the next
// one. It is safe for concurrent use.
type Borrower struct {
	cfg BorrowerConfig

	mu      sync.Mutex
	asking  bool
	waiting map[string][]chan Grant
	count   int
	// empty holds the workspaces of which the pool had nothing.
	empty map[string]empty
}

// empty is what the pool last told of a workspace of which it had nothing: the time at
// which a request that it refused may come back, and until when it is not asked again.
type empty struct{ back, until time.Time }

// NewBorrower returns a borrower.
func NewBorrower(cfg BorrowerConfig) *Borrower {
	return &Borrower{cfg: cfg, waiting: make(map[string][]chan Grant), empty: make(map[string]empty)}
}

// Take asks for one request of a workspace, or returns after what time there may be
// one.
func (b *Borrower) Take(ctx context.Context, name string) (wait time.Duration, ok bool) {
	answer, wait := b.join(name)
	if answer == nil {
		return wait, false
	}
	select {
	case g := <-answer:
		return g.Wait, g.Requests > 0
	case <-ctx.Done():
		return b.cfg.Window, false
	}
}

// join puts a request among those that wait, or returns how long the pool has
// nothing for it.
func (b *Borrower) join(name string) (answer chan Grant, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e, now := b.empty[name], b.cfg.Now(); now.Before(e.until) {
		return nil, max(e.back.Sub(now), emptyFor)
	}
	if b.count >= maxWaiting {
		return nil, emptyFor
	}
	answer = make(chan Grant, 1)
	b.waiting[name] = append(b.waiting[name], answer)
	b.count++
	if !b.asking {
		b.asking = true
		go b.ask()
	}
	return answer, 0
}

// ask asks until nobody waits.
func (b *Borrower) ask() {
	for {
		b.mu.Lock()
		waiting := b.waiting
		if len(waiting) == 0 {
			b.asking = false
			b.mu.Unlock()
			return
		}
		b.waiting, b.count = make(map[string][]chan Grant), 0
		b.mu.Unlock()
		want := make(Want, len(waiting))
		for name, list := range waiting {
			want[name] = len(list)
		}
		granted, err := b.cfg.Ask(want)
		b.hand(waiting, granted, err)
	}
}

// hand gives each request that waited its answer.
func (b *Borrower) hand(waiting map[string][]chan Grant, granted Granted, err error) {
	for name, list := range waiting {
		g, known := granted[name]
		if err != nil || !known {
			g = Grant{Wait: emptyFor}
		}
		for i, answer := range list {
			one := Grant{Wait: g.Wait}
			if i < g.Requests {
				one.Requests = 1
			}
			answer <- one
		}
		if g.Requests < len(list) {
			b.noteEmpty(name, g.Wait)
		}
	}
}

func (b *Borrower) noteEmpty(name string, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.empty) >= maxEmpty {
		clear(b.empty)
	}
	now := b.cfg.Now()
	b.empty[name] = empty{back: now.Add(wait), until: now.Add(min(wait, emptyFor))}
}
