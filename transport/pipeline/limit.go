// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline

import "sync"

// sharedLimit divides a number of units among connections by dynamic thresholds: a
// connection may hold as many units as are free. One connection alone can hold half of
// them, and n connections that want all hold 1/(n+1) each. It is safe for concurrent use.
type sharedLimit struct {
	mu         sync.Mutex
	used, size int
}

func newSharedLimit(size int) *sharedLimit { return &sharedLimit{size: size} }

// take takes n units for a connection that holds some, if its threshold allows it.
func (l *sharedLimit) take(holding, n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n > l.size-l.used-holding { // A sum of n could overflow.
		return false
	}
	l.used += n
	return true
}

// release returns n units.
func (l *sharedLimit) release(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used -= n
}

// inUse returns the number of units that are taken.
func (l *sharedLimit) inUse() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}
