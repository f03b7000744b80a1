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

// closing returns how long the workers of a closed hall have left.
func (s *Snapshot) closing(hall string) (worker.Leaving, bool) {
	return worker.Leaving{Ending: s.Closing[hall], From: worker.FromStore}, s.Closed[hall]
}

// leaving returns how long a worker has left, if it is one that leaves or whose hall is
// closed: whichever binds first.
func (p *Placer) leaving(s *Snapshot, w *worker.Worker) (worker.Leaving, bool) {
	closing, closed := s.closing(w.Hall)
	leaving, leaves := p.cfg.Loads.Leaving(w)
	if closed && (!leaves || closing.Until.Before(leaving.Until)) {
		return closing, true
	}
	return leaving, leaves
}

// standing returns the standing of a worker, that of its hall included.
func (s *Snapshot) standing(all worker.Standings, w *worker.Worker, now time.Time) worker.Standing {
	if s.Closed[w.Hall] {
		if closing, _ := s.closing(w.Hall); !closing.Open(now) {
			return worker.Left{Leaving: closing}
		}
	}
	return all.Of(w, now)
}

// handOver puts the workers that leave behind the others for a request that goes
// ahead to the next holder of its key, and for one without a key.
func (p *Placer) handOver(s *Snapshot, r Request, list *ranking) {
	first, ok := list.first()
	if !ok {
		return
	}
	leaving, leaves := p.leaving(s, first)
	if !leaves || r.Keyed && !goesAhead(p.cfg.Now().Sub(leaving.Heard)) {
		return
	}
	list.putLast(func(w *worker.Worker) bool {
		_, leaves := p.leaving(s, w)
		return leaves
	})
}

// goesAhead decides for one request, by the time since this VM heard that its worker
// leaves.
func goesAhead(since time.Duration) bool {
	return rand.Float64() < max(math.Exp(-since.Seconds()/leadTime.Seconds()), leadPart)
}
