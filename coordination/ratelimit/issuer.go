// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"sync"
	"time"
)

const (
	// issuedFraction is the fraction of a worker's limit that is granted. Two VMs that
	// both act as its issuer stay within one and a half times the limit.
	issuedFraction = 0.75
	// isolatedFraction is the fraction of a limit that the VMs of a region grant together
	// while each of them sees less than half of the region.
	isolatedFraction = 0.3
	// minIssueRate is the lowest rate, in requests a second. A worker that gets no request
	// cannot report that it accepts requests again.
	minIssueRate = 0.2
	// issuedBurst is the burst of a worker, in requests.
	issuedBurst = 2
	// priorityReserve is the number of tokens, for each step of priority up to
	// maxReservePriority, that must remain after a request is granted, so that more urgent
	// requests find some.
	priorityReserve    = 0.5
	maxReservePriority = 2
	// maxRetryDelay bounds the retry delay of a refused request.
	maxRetryDelay = time.Second
	// maxIssuerWorkers bounds the workers of an issuer. An issuer that exceeds it is
	// cleared, and its buckets start empty again.
	maxIssuerWorkers = 16_384
)

// Demand is a query for requests to a worker that states a limit.
type Demand struct {
	// Incarnation identifies the worker's process.
	Incarnation string
	// RatePerSecond is the worker's limit in requests a second.
	RatePerSecond float64
	// LiveVMs and ListedVMs are the numbers of VMs of the worker's region that the issuer
	// considers live, and that are listed.
	LiveVMs, ListedVMs int
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	// Requests is the number of requests wanted.
	Requests int
}

// rate returns the rate at which requests are granted.
func (d Demand) rate() float64 {
	rate := max(d.RatePerSecond*issuedFraction, minIssueRate)
	if 2*d.LiveVMs < d.ListedVMs {
		return rate * isolatedFraction / issuedFraction / float64(d.ListedVMs)
	}
	return rate
}

// Issuer grants, for all VMs together, requests to workers that state a limit. Each worker
// has one issuer, a VM of its region. The bucket of a worker starts empty, so that a new
// issuer adds nothing to what the previous one granted. It is safe for concurrent use.
type Issuer struct {
	now func() time.Time

	mu      sync.Mutex
	workers map[string]*issuerBucket
}

// issuerBucket is the token bucket of one worker.
type issuerBucket struct {
	bucket
	retrySchedule
}

// NewIssuer returns an Issuer without workers.
func NewIssuer(now func() time.Time) *Issuer {
	return &Issuer{now: now, workers: make(map[string]*issuerBucket)}
}

// Issue grants up to d.Requests requests to a worker.
func (i *Issuer) Issue(d Demand) Grant {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	b, ok := i.workers[d.Incarnation]
	if !ok {
		if len(i.workers) >= maxIssuerWorkers {
			clear(i.workers)
		}
		b = &issuerBucket{}
		i.workers[d.Incarnation] = b
	}
	params := bucketParams{rate: d.rate(), capacity: issuedBurst}
	b.refill(params, now)
	reserve := priorityReserve * float64(min(max(d.Priority, 0), maxReservePriority))
	var g Grant
	for g.Requests < d.Requests && b.tokens >= 1+reserve {
		b.tokens--
		g.Requests++
	}
	for range d.Requests - g.Requests {
		g.RetryAfter = b.nextDelay(params, now, maxRetryDelay)
	}
	return g
}

// Retain removes the workers for which keep returns false.
func (i *Issuer) Retain(keep func(incarnation string) bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for incarnation := range i.workers {
		if !keep(incarnation) {
			delete(i.workers, incarnation)
		}
	}
}
