// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"sync"
	"time"

	"github.com/ryehill/ryehill/state/worker"
)

// relayed is what a VM that stands between others in the tree passes on: what it was
// told of workers by those that ask it, until it asks the next time, and which
// workers those that it asks spare. It is safe for concurrent use.
type relayed struct {
	mu       sync.Mutex
	outcomes map[string]worker.Outcomes
	spared   map[string]time.Time
}

func newRelayed() *relayed {
	return &relayed{outcomes: make(map[string]worker.Outcomes), spared: make(map[string]time.Time)}
}

// addOutcomes notes what other VMs have seen of workers, of maxOutcomes at most.
func (r *relayed) addOutcomes(heard map[string]worker.Outcomes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	joinOutcomes(r.outcomes, heard)
}

// takeOutcomes adds what was noted since the last call to what this VM has seen.
func (r *relayed) takeOutcomes(own map[string]worker.Outcomes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	joinOutcomes(own, r.outcomes)
	clear(r.outcomes)
}

// joinOutcomes adds outcomes to a sum of maxOutcomes workers at most.
func joinOutcomes(sum, more map[string]worker.Outcomes) {
	for id, o := range more {
		held, ok := sum[id]
		if !ok && len(sum) >= maxOutcomes {
			continue
		}
		sum[id] = worker.Outcomes{Succeeded: held.Succeeded + o.Succeeded, Failed: held.Failed + o.Failed}
	}
}

// spare notes that a VM nearer to the root spares workers.
func (r *relayed) spare(workers map[string]time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.spared)
	for id, left := range workers {
		r.spared[id] = now.Add(left)
	}
}

// addSpared adds the workers noted, and for how much longer, to those that this VM
// finds itself.
func (r *relayed) addSpared(own map[string]time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, until := range r.spared {
		if left := until.Sub(now); left > own[id] {
			own[id] = left
		}
	}
}
