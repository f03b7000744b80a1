// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline

import "sync/atomic"

// maxIdleWorkers bounds the goroutines that wait for a request.
const maxIdleWorkers = 16

// workers runs requests on goroutines that are used again, since the stack of a new one has
// to grow for each request. It is safe for concurrent use.
type workers struct {
	requests chan *response
	idle     atomic.Int64
	stopped  chan struct{}
}

func newWorkers() *workers {
	return &workers{requests: make(chan *response), stopped: make(chan struct{})}
}

// run runs a request without waiting for it.
func (w *workers) run(r *response) {
	select {
	case w.requests <- r:
	default:
		go w.work(r)
	}
}

// work runs a request, and then others until enough goroutines wait for one.
func (w *workers) work(r *response) {
	for {
		r.conn.run(r)
		if w.idle.Add(1) > maxIdleWorkers {
			w.idle.Add(-1)
			return
		}
		select {
		case r = <-w.requests:
			w.idle.Add(-1)
		case <-w.stopped:
			return
		}
	}
}
