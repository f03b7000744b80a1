// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package admission reserves room of busy workers for requests of higher rank.
//
// A worker may hold a limited number of requests beyond its slots. A request gets no part
// of this queue room in which it would wait past its objective, and a part of the rest is
// reserved for higher ranks, in proportion to their share of the recent demand for the
// service that found no free slot (trunk reservation). Slots are never reserved, so no
// worker idles because of a reservation, and some requests of each rank ignore it, so no
// rank is starved.
//
// Every VM decides by the demand that it has seen itself. A VM that has seen none, for
// example after a restart, reserves nothing. The package does no I/O.
//
// # Usage
//
//	controller := admission.New(admission.Config{Now: time.Now})
//	r := admission.Request{Service: "lookup", Rank: 1, Ranks: 3, TimeLeft: time.Second}
//	limit := controller.Reserve(r).Limit(slots, limit)
//	controller.CountRequest(r, busy >= slots)
package admission

import (
	"math"
	"sync"
	"time"
)

const (
	// MaxRanks is the number of ranks that are counted separately. Lower ones count as the
	// last.
	MaxRanks = 8
	// maxServices bounds the services with counts. If there are more, all counts are
	// cleared.
	maxServices = 256
	// demandHalfLife is the time after which a counted request has half its weight.
	demandHalfLife = 2 * time.Second
	// evidence is a number of requests without rank that is added to the demand, so that a
	// VM that has seen few requests reserves little.
	evidence = 4
	// maxReserved is the largest fraction of the queue room that is reserved.
	maxReserved = 0.5
	// exemptInterval is the number of requests of a rank of which one ignores reservations.
	exemptInterval = 8
	// runTimeStep is the fraction by which each run time moves the estimate of their median.
	runTimeStep = 0.03
	// maxRoomWait bounds the time in which room is expected.
	maxRoomWait = 2 * time.Second
)

// Request describes a request to admit.
type Request struct {
	Service string
	// Rank is the rank of the request, 0 to Ranks-1. 0 is served first.
	Rank int
	// Ranks is the number of different ranks that the configuration in force gives to
	// requests of the service. Nothing is reserved if it is below 2.
	Ranks int
	// TimeLeft is the time until the end of the request's objective. 0 means that it has
	// none.
	TimeLeft time.Duration
}

// Ranked reports whether requests of the service have different ranks.
func (r Request) Ranked() bool { return r.Ranks > 1 }

// level returns the rank as an index of the counts.
func (r Request) level() int { return min(max(r.Rank, 0), MaxRanks-1) }

// Config configures a Controller. All fields are required.
type Config struct {
	Now func() time.Time
}

// Controller counts the demand of each rank and reserves room accordingly. It is safe for
// concurrent use.
type Controller struct {
	cfg Config

	mu       sync.Mutex
	services map[string]*service
}

// service contains the counts of one service.
type service struct {
	// demand is the decaying number of all requests as of countedAt, and contended that of
	// requests by rank for which the holder of the key had no free slot.
	demand    float64
	contended [MaxRanks]float64
	countedAt time.Time
	// requests is the number of requests by rank, modulo exemptInterval.
	requests [MaxRanks]int
	// runTime is an estimate of the median time that a worker takes with a free slot. A few
	// slow or cold workers do not change what is expected of the others.
	runTime time.Duration
}

// New returns a controller that has counted nothing.
func New(cfg Config) *Controller {
	return &Controller{cfg: cfg, services: make(map[string]*service)}
}

// find returns the counts of a service. It is called with mu held.
func (c *Controller) find(name string) *service {
	s, ok := c.services[name]
	if ok {
		return s
	}
	if len(c.services) >= maxServices {
		clear(c.services)
	}
	s = &service{countedAt: c.cfg.Now()}
	c.services[name] = s
	return s
}

// CountRequest counts a request of a client, once for all its attempts. It is contended if
// the holder of its key has no free slot.
func (c *Controller) CountRequest(r Request, contended bool) {
	if !r.Ranked() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.find(r.Service)
	s.decay(c.cfg.Now())
	s.demand++
	if contended {
		s.contended[r.level()]++
	}
	s.requests[r.level()] = (s.requests[r.level()] + 1) % exemptInterval
}

// decay reduces the weight of earlier requests.
func (s *service) decay(now time.Time) {
	elapsed := now.Sub(s.countedAt)
	if elapsed <= 0 {
		return
	}
	s.countedAt = now
	factor := math.Exp2(-elapsed.Seconds() / demandHalfLife.Seconds())
	s.demand *= factor
	for i := range s.contended {
		s.contended[i] *= factor
	}
}

// RecordRunTime records the time in which a worker answered a request, and the number of
// requests per slot that it had then, this one included.
func (c *Controller) RecordRunTime(r Request, took time.Duration, perSlot float64) {
	if !r.Ranked() || took <= 0 {
		return
	}
	took = time.Duration(float64(took) / max(perSlot, 1))
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.find(r.Service)
	switch step := time.Duration(runTimeStep * float64(s.runTime)); {
	case s.runTime == 0:
		s.runTime = took
	case took > s.runTime:
		s.runTime = min(s.runTime+step, took)
	default:
		s.runTime = max(s.runTime-step, took)
	}
}

// Reserve returns what is reserved from a request.
func (c *Controller) Reserve(r Request) Reservation {
	if !r.Ranked() {
		return Reservation{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.find(r.Service)
	s.decay(c.cfg.Now())
	reservation := Reservation{ranked: true, rank: r.level(), runTime: s.runTime, timeLeft: r.TimeLeft}
	if s.requests[r.level()] != 0 {
		reservation.fraction = s.reservedFrom(r.level())
	}
	return reservation
}

// reservedFrom returns the fraction of the queue room that is reserved for the ranks above
// a level.
func (s *service) reservedFrom(level int) float64 {
	higher := 0.0
	for _, n := range s.contended[:level] {
		higher += n
	}
	return min(higher/(s.demand+evidence), maxReserved)
}

// Services returns the number of services with counts.
func (c *Controller) Services() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.services)
}
