// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"sync"
	"time"
)

// avoidFor is for how long a VM that did not answer is not asked.
const avoidFor = 3 * time.Second

// avoided holds the VMs that did not answer lately. It is safe for concurrent
// use.
type avoided struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newAvoided() *avoided { return &avoided{until: make(map[string]time.Time)} }

// add notes that a VM did not answer.
func (a *avoided) add(id string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.until[id] = now.Add(avoidFor)
}

// has reports whether a VM is to be avoided still.
func (a *avoided) has(id string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	until, ok := a.until[id]
	if ok && !now.Before(until) {
		delete(a.until, id)
		return false
	}
	return ok
}
