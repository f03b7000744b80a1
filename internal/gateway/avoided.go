// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"sync"
	"time"
)

// avoidDuration is how long an unresponsive VM is not contacted.
const avoidDuration = 3 * time.Second

// avoided holds the VMs that recently failed to respond. It is safe for concurrent use.
type avoided struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newAvoided() *avoided { return &avoided{until: make(map[string]time.Time)} }

// add records that a VM did not respond.
func (a *avoided) add(id string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.until[id] = now.Add(avoidDuration)
}

// has reports whether a VM is still to be avoided.
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
