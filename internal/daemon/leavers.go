// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"maps"
	"sync"

	"github.com/ryehill/ryehill/state/view"
)

// leavers holds which upstreams of the hall leave, by the number of their start.
// Every VM of the hall keeps all of them, so that one that takes an upstream
// over from another does not find out anew by sending it work.
type leavers struct {
	mu     sync.Mutex
	starts map[string]uint64
}

func newLeavers() *leavers { return &leavers{starts: make(map[string]uint64)} }

// learn takes in what was found or told. It reports whether that was news.
func (l *leavers) learn(starts map[string]uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	news := false
	for id, start := range starts {
		if start > l.starts[id] {
			l.starts[id] = start
			news = true
		}
	}
	return news
}

// keep drops workers that are no longer configured.
func (l *leavers) keep(known map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.starts, func(id string, _ uint64) bool { return !known[id] })
}

func (l *leavers) all() map[string]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.starts)
}

func (l *leavers) start(id string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts[id]
}

// noteLeavers adds what the own pools found, and forgets what is gone.
func (d *Daemon) noteLeavers(v *view.View) {
	known := make(map[string]bool)
	for _, name := range v.Services() {
		service, _ := v.Service(name)
		for _, w := range service.Workers {
			if w.Hall == d.cfg.Hall {
				known[w.ID] = true
			}
		}
		d.leavers.learn(d.pools.Get(name).LeavingStarts())
	}
	d.leavers.keep(known)
}
