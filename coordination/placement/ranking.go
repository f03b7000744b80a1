// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"math"
	"slices"

	"github.com/ryehill/ryehill/state/holders"
	"github.com/ryehill/ryehill/state/worker"
)

// ranking returns the workers of a region in the order of preference for one key. The next
// worker is searched for on demand instead of sorting all of them, since rarely more than
// two are needed.
type ranking struct{ remaining []candidate }

// candidate is a worker with its rendezvous weight for one key.
type candidate struct {
	worker *worker.Worker
	weight uint64
	// demoted is set for a worker that ranks after all others.
	demoted bool
}

// before reports whether a candidate ranks before another.
func (c candidate) before(other candidate) bool {
	if c.demoted != other.demoted {
		return other.demoted
	}
	return c.weight > other.weight
}

// first returns the best remaining worker.
func (r *ranking) first() (*worker.Worker, bool) {
	i := r.bestIndex()
	if i < 0 {
		return nil, false
	}
	return r.remaining[i].worker, true
}

// next removes and returns the best remaining worker.
func (r *ranking) next() (*worker.Worker, bool) {
	i := r.bestIndex()
	if i < 0 {
		return nil, false
	}
	w, last := r.remaining[i].worker, len(r.remaining)-1
	r.remaining[i] = r.remaining[last]
	r.remaining = r.remaining[:last]
	return w, true
}

// bestIndex returns the index of the best remaining candidate, or -1 if there is none.
func (r *ranking) bestIndex() int {
	best := -1
	for i := range r.remaining {
		if best < 0 || r.remaining[i].before(r.remaining[best]) {
			best = i
		}
	}
	return best
}

// demote ranks the matching workers last and keeps their relative order.
func (r *ranking) demote(demoted func(*worker.Worker) bool) {
	for i := range r.remaining {
		r.remaining[i].demoted = demoted(r.remaining[i].worker)
	}
}

// rankWorkers ranks the workers of a region for the request's key: first the holder in the
// table, then the others by hashing.
func (p *Placer) rankWorkers(r Request, workers []*worker.Worker, region string) *ranking {
	list := rankByHash(workers, region, r.Key)
	if !r.Keyed {
		return list
	}
	holder, ok := p.cfg.Holders.Holder(holders.KeyOf(r.Service, p.cfg.Region, r.Key))
	if !ok {
		return list
	}
	if i := slices.IndexFunc(list.remaining, func(c candidate) bool { return c.worker.ID == holder }); i >= 0 {
		list.remaining[i].weight = math.MaxUint64
	}
	return list
}

// rankByHash ranks the workers of a region for a key by hashing.
func rankByHash(workers []*worker.Worker, region string, key uint64) *ranking {
	list := make([]candidate, 0, len(workers))
	for _, w := range workers {
		if w.Region == region {
			list = append(list, candidate{worker: w, weight: mix(key ^ w.Hash())})
		}
	}
	return &ranking{remaining: list}
}
