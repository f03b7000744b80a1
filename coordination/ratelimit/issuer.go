// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"sync"
	"time"
)

const (
	// issuedPart is the part of a worker's limit that is handed out. Two VMs that both take
	// themselves for its issuer stay within one and a half times the limit.
	issuedPart = 0.75
	// isolatedPart is the part of a limit that the VMs of a region which see less than half
	// of it hand out together.
	isolatedPart = 0.3
	// leastIssued is the least rate, in requests a second: a worker that gets nothing cannot
	// say that it takes requests again.
	leastIssued = 0.2
	// issuedBurst is how many requests may follow each other at once.
	issuedBurst = 2
	// rankReserve is what must be left beyond a request for each rank of its priority up to
	// maxRank, so that more urgent requests find something.
	rankReserve = 0.5
	maxRank     = 2
	// longestTurn bounds after what time a request that is refused is told to come back.
	longestTurn = time.Second
	// maxIssued bounds the workers of an issuer. Beyond, all are forgotten and start empty.
	maxIssued = 16_384
)

// Demand asks for requests to a worker that names a limit.
type Demand struct {
	// Life names the worker.
	Life string
	// PerS is its limit in requests a second.
	PerS float64
	// Live and Listed are how many VMs of the worker's region the issuer takes to be live,
	// and how many are listed.
	Live, Listed int
	// Priority is that of the requests, 0 being the most urgent.
	Priority int
	// Requests is how many are wanted.
	Requests int
}

// rate returns the rate at which requests are handed out.
func (d Demand) rate() float64 {
	rate := max(d.PerS*issuedPart, leastIssued)
	if 2*d.Live < d.Listed {
		return rate * isolatedPart / issuedPart / float64(d.Listed)
	}
	return rate
}

// Issuer hands out, for all VMs, the requests that workers which name a limit take from
// them together. Each worker has one issuer, a VM of its region. A worker's bucket starts
// empty, so that a new issuer adds nothing to what an earlier one let run. It is safe for
// concurrent use.
type Issuer struct {
	now func() time.Time

	mu      sync.Mutex
	workers map[string]*issued
}

// issued is the bucket of one worker.
type issued struct {
	bucket
	turns
}

// NewIssuer returns an issuer that has handed out nothing yet.
func NewIssuer(now func() time.Time) *Issuer {
	return &Issuer{now: now, workers: make(map[string]*issued)}
}

// Issue grants requests to a worker, up to the number wanted.
func (i *Issuer) Issue(d Demand) Grant {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	b, ok := i.workers[d.Life]
	if !ok {
		if len(i.workers) >= maxIssued {
			clear(i.workers)
		}
		b = &issued{}
		i.workers[d.Life] = b
	}
	f := flow{rate: d.rate(), capacity: issuedBurst}
	b.fill(f, now)
	reserve := rankReserve * float64(min(max(d.Priority, 0), maxRank))
	var g Grant
	for g.Requests < d.Requests && b.level >= 1+reserve {
		b.level--
		g.Requests++
	}
	for range d.Requests - g.Requests {
		g.Wait = b.next(f, now, longestTurn)
	}
	return g
}

// Forget drops the workers that the function does not want kept.
func (i *Issuer) Forget(keep func(life string) bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for life := range i.workers {
		if !keep(life) {
			delete(i.workers, life)
		}
	}
}
