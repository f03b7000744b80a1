// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker

import (
	"maps"
	"sync"
	"time"
)

// replacedSharedFor is how long VMs share the exit of a process after they know its successor.
// The store may serve others later.
const replacedSharedFor = 3 * time.Second

// replaced holds the exits of processes whose successors are known, by incarnation ID.
type replaced struct {
	mu    sync.Mutex
	exits map[string]replacedExit
}

type replacedExit struct {
	exit  SuspectedExit
	until time.Time
}

// RecordReplaced records that the entry of the next process of a worker has come. If the
// process was seen to exit, its exit is shared for replacedSharedFor.
func (l *Loads) RecordReplaced(previous *Worker) {
	load, ok := l.Lookup(previous.Incarnation())
	if !ok {
		return
	}
	shared, _ := load.sharedSignals()
	if shared.Exit.At.IsZero() || shared.Exit.Uncertain {
		return
	}
	r, now := &l.replaced, l.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropOld(now)
	if r.exits == nil {
		r.exits = make(map[string]replacedExit)
	}
	if len(r.exits) < maxSharedSignals {
		r.exits[previous.Incarnation()] = replacedExit{exit: shared.Exit, until: now.Add(replacedSharedFor)}
	}
}

// ReplacedExits returns the exits of processes whose successors are known, by incarnation ID.
func (l *Loads) ReplacedExits() map[string]SuspectedExit {
	r := &l.replaced
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropOld(l.now())
	if len(r.exits) == 0 {
		return nil
	}
	exits := make(map[string]SuspectedExit, len(r.exits))
	for incarnation, e := range r.exits {
		exits[incarnation] = e.exit
	}
	return exits
}

// dropOld drops the exits that are no longer shared. mu is held.
func (r *replaced) dropOld(now time.Time) {
	maps.DeleteFunc(r.exits, func(_ string, e replacedExit) bool { return !now.Before(e.until) })
}
