// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/ryehill/ryehill/state/worker"
)

// The keys of a worker that leaves go to others, which are slow with them at first:
// all requests of a key that come while the first one runs are slow as well, some
// ten where keys get four a second and a slow run takes 2.6 s. But a worker that
// leaves works on for seconds. So one or two requests of each key go to its next
// holder at once, and the others follow once the time of the old one is over, when
// the next one is warm. Each VM decides by chance, as it sees a small part of a
// key's requests alone.
const (
	// leadTime is the mean time, from when a VM hears that a worker leaves, for
	// which requests go to the next holder ahead of the others. Together the VMs
	// of a region send about what comes in that time: one request of a key that
	// gets four a second.
	leadTime = 300 * time.Millisecond
	// leadPart is the part of the requests that go ahead after that, for keys of
	// which none came before.
	leadPart = 0.05
)

// ended reports whether a worker must get nothing more.
func (s *Snapshot) ended(w *worker.Worker, now time.Time) bool {
	return w.Leaving && !w.Ending.Open(now) || s.Closed[w.Hall] && !s.Closing[w.Hall].Open(now)
}

// ending returns how long a worker has left, if it is one that leaves.
func (s *Snapshot) ending(w *worker.Worker) (worker.Ending, bool) {
	if w.Leaving {
		return w.Ending, true
	}
	return s.Closing[w.Hall], s.Closed[w.Hall]
}

// handOver puts the workers that leave behind the others for a request that goes
// ahead to the next holder of its key, and for one without a key.
func (p *Placer) handOver(s *Snapshot, r Request, list *ranking) {
	first, ok := list.first()
	if !ok {
		return
	}
	ending, leaves := s.ending(first)
	if !leaves || r.Keyed && !goesAhead(p.cfg.Now().Sub(ending.Heard)) {
		return
	}
	list.putLast(func(w *worker.Worker) bool {
		_, leaves := s.ending(w)
		return leaves
	})
}

// goesAhead decides for one request, by the time since this VM heard that its worker
// leaves.
func goesAhead(since time.Duration) bool {
	return rand.Float64() < max(math.Exp(-since.Seconds()/leadTime.Seconds()), leadPart)
}
