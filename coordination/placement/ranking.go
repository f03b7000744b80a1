// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"math"
	"slices"

	"github.com/ryehill/ryehill/state/holders"
	"github.com/ryehill/ryehill/state/worker"
)

// ranking gives the workers of a region in the order in which one key prefers them.
// Hardly ever more than two are looked at, so each is found when it is asked for:
// sorting all of 1,047 workers took a third of the time of a placement.
type ranking struct{ left []candidate }

// candidate is a worker with its weight for one key.
type candidate struct {
	worker *worker.Worker
	weight uint64
	// last is set for one that comes after all others.
	last bool
}

// before reports whether a candidate is preferred to another.
func (c candidate) before(other candidate) bool {
	if c.last != other.last {
		return other.last
	}
	return c.weight > other.weight
}

// first returns the best worker that is left.
func (r *ranking) first() (*worker.Worker, bool) {
	at := r.best()
	if at < 0 {
		return nil, false
	}
	return r.left[at].worker, true
}

// next returns the best worker that is left and takes it off.
func (r *ranking) next() (*worker.Worker, bool) {
	at := r.best()
	if at < 0 {
		return nil, false
	}
	w, last := r.left[at].worker, len(r.left)-1
	r.left[at] = r.left[last]
	r.left = r.left[:last]
	return w, true
}

// best returns the index of the best candidate, below 0 if none is left.
func (r *ranking) best() int {
	best := -1
	for i := range r.left {
		if best < 0 || r.left[i].before(r.left[best]) {
			best = i
		}
	}
	return best
}

// putLast makes some workers the last ones, in the order that they have.
func (r *ranking) putLast(which func(*worker.Worker) bool) {
	for i := range r.left {
		r.left[i].last = which(r.left[i].worker)
	}
}

// ranked returns the workers of a region, best first for the request's key: the
// one that the table names, then those that hashing gives it.
func (p *Placer) ranked(r Request, workers []*worker.Worker, region string) *ranking {
	list := hashed(workers, region, r.Key)
	if !r.Keyed {
		return list
	}
	holder, ok := p.cfg.Holders.Holder(holders.KeyOf(r.Service, p.cfg.Region, r.Key))
	if !ok {
		return list
	}
	if at := slices.IndexFunc(list.left, func(c candidate) bool { return c.worker.ID == holder }); at >= 0 {
		list.left[at].weight = math.MaxUint64
	}
	return list
}

// hashed returns the workers of a region, best first for a key by hashing.
func hashed(workers []*worker.Worker, region string, key uint64) *ranking {
	list := make([]candidate, 0, len(workers))
	for _, w := range workers {
		if w.Region == region {
			list = append(list, candidate{worker: w, weight: mix(key ^ w.Hash())})
		}
	}
	return &ranking{left: list}
}
