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
// VMs nearer to the root have ejected. It is safe for concurrent use.
type relayed struct {
	mu       sync.Mutex
	outcomes map[string]worker.Outcomes
	ejected  map[string]time.Time
}

func newRelayed() *relayed {
	return &relayed{outcomes: make(map[string]worker.Outcomes), ejected: make(map[string]time.Time)}
}

// addOutcomes adds outcomes reported by other VMs, for maxOutcomes workers at most.
func (r *relayed) addOutcomes(received map[string]worker.Outcomes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	mergeOutcomes(r.outcomes, received)
}

// takeOutcomes moves the outcomes added since the last call to sum.
func (r *relayed) takeOutcomes(sum map[string]worker.Outcomes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	mergeOutcomes(sum, r.outcomes)
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

// setEjected replaces the workers ejected by VMs nearer to the root, given with the
// remaining time.
func (r *relayed) setEjected(workers map[string]time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.ejected)
	for id, remaining := range workers {
		r.ejected[id] = now.Add(remaining)
	}
}

// mergeEjected adds the workers ejected by VMs nearer to the root, with their remaining
// time, to those that this VM ejects itself.
func (r *relayed) mergeEjected(ejected map[string]time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, until := range r.ejected {
		if remaining := until.Sub(now); remaining > ejected[id] {
			ejected[id] = remaining
		}
	}
}
