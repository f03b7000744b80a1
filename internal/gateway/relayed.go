// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"sync"
	"time"

	"github.com/ryehill/ryehill/state/worker"
)

// relayed holds what an inner VM of the tree passes on: the outcomes of workers
// reported by its children, until its next request to its parent, and the workers that
// its parent spares. It is safe for concurrent use.
type relayed struct {
	mu       sync.Mutex
	outcomes map[string]worker.Outcomes
	spared   map[string]time.Time
}

func newRelayed() *relayed {
	return &relayed{outcomes: make(map[string]worker.Outcomes), spared: make(map[string]time.Time)}
}

// addOutcomes adds outcomes reported by other VMs, for maxOutcomes workers at most.
func (r *relayed) addOutcomes(received map[string]worker.Outcomes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	mergeOutcomes(r.outcomes, received)
}

// takeOutcomes moves the outcomes added since the last call to this VM's own.
func (r *relayed) takeOutcomes(own map[string]worker.Outcomes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	mergeOutcomes(own, r.outcomes)
	clear(r.outcomes)
}

// mergeOutcomes adds outcomes to a sum of at most maxOutcomes workers.
func mergeOutcomes(sum, more map[string]worker.Outcomes) {
	for id, o := range more {
		total, ok := sum[id]
		if !ok && len(sum) >= maxOutcomes {
			continue
		}
		sum[id] = worker.Outcomes{Succeeded: total.Succeeded + o.Succeeded, Failed: total.Failed + o.Failed}
	}
}

// spare replaces the workers spared by a VM nearer to the root, given with the
// remaining time.
func (r *relayed) spare(workers map[string]time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.spared)
	for id, left := range workers {
		r.spared[id] = now.Add(left)
	}
}

// addSpared adds these workers and their remaining time to those that this VM spares
// itself.
func (r *relayed) addSpared(own map[string]time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, until := range r.spared {
		if left := until.Sub(now); left > own[id] {
			own[id] = left
		}
	}
}
