// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker

import (
	"maps"
	"sync"
	"sync/atomic"
)

// constrainedLoads holds the workers that may not be fully available, so that selecting
// among many workers needs no lock for each of them. Readers get an immutable map and take
// no lock.
type constrainedLoads struct {
	mu sync.Mutex // held by writers
	// additions counts the calls of add.
	additions int
	current   atomic.Pointer[map[string]*Load]
}

// add includes a load. The caller holds the load's lock.
func (l *constrainedLoads) add(load *Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.additions++
	current := l.snapshot()
	if current[load.id] == load {
		return
	}
	next := make(map[string]*Load, len(current)+1)
	maps.Copy(next, current)
	next[load.id] = load
	l.current.Store(&next)
}

// prune removes the loads for which wanted returns false. If a load is added concurrently,
// it removes nothing and leaves that to the next call.
func (l *constrainedLoads) prune(wanted func(*Load) bool) {
	l.mu.Lock()
	additions, current := l.additions, l.snapshot()
	l.mu.Unlock()
	next := make(map[string]*Load)
	for id, load := range current { // Without the lock, since add is called under the lock of a load.
		if wanted(load) {
			next[id] = load
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.additions == additions && len(next) < len(current) {
		l.current.Store(&next)
	}
}

func (l *constrainedLoads) snapshot() map[string]*Load {
	if loads := l.current.Load(); loads != nil {
		return *loads
	}
	return nil
}

// Constrained returns the workers that may not be fully available, by incarnation ID. Workers
// that are missing in it have no restriction but those of the store. The map must not be
// modified.
func (l *Loads) Constrained() map[string]*Load { return l.constrained.snapshot() }
