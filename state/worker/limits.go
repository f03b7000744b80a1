// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker

import (
	"maps"
	"sync"
	"sync/atomic"
)

// limits holds the workers that have a standing of their own, or had one lately, so that the
// choice among a thousand workers need not ask each of them. Readers take an
// immutable map and no lock.
type limits struct {
	mu sync.Mutex // for writers
	// added counts the calls of add.
	added   int
	current atomic.Pointer[map[string]*Load]
}

// add notes a load, under whose lock the caller is.
func (l *limits) add(load *Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.added++
	held := l.all()
	if held[load.id] == load {
		return
	}
	next := make(map[string]*Load, len(held)+1)
	maps.Copy(next, held)
	next[load.id] = load
	l.current.Store(&next)
}

// keep forgets the loads that the function does not want kept, unless one is added
// meanwhile: then it leaves that to the next call.
func (l *limits) keep(wanted func(*Load) bool) {
	l.mu.Lock()
	added, held := l.added, l.all()
	l.mu.Unlock()
	next := make(map[string]*Load)
	for id, load := range held { // Not under the lock: a load that is added holds its own.
		if wanted(load) {
			next[id] = load
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.added == added && len(next) < len(held) {
		l.current.Store(&next)
	}
}

func (l *limits) all() map[string]*Load {
	if held := l.current.Load(); held != nil {
		return *held
	}
	return nil
}

// Limited returns, by life, the workers that may have a standing of their own; all others are
// neither. The map must not be changed.
func (l *Loads) Limited() map[string]*Load { return l.limits.all() }
