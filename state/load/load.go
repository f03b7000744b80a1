// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package load holds what halls report of themselves, each with its age.
//
// Every VM sums its own traffic in a Meter. The reporter of a hall collects the
// sums of its VMs into a HallStatus, which the controller and the operators
// read. A status is never taken as fresh without looking at its age: a stale
// low load is not a low load.
//
// # Usage
//
//	meter := load.NewMeter(time.Now)
//	meter.Count("lookup", load.Event{Moved: true})
//	sums := meter.Sums()
package load

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// ServiceStatus sums one service over one VM or one hall.
type ServiceStatus struct {
	// Slots is the nominal number, Usable what may be used now, Free what is
	// left of it; InUse counts requests in flight, Lent slots lent to other
	// VMs and not in use, Waiting requests that wait for a slot.
	Slots   int `json:"slots"`
	Usable  int `json:"usable"`
	Free    int `json:"free"`
	InUse   int `json:"in_use"`
	Lent    int `json:"lent"`
	Waiting int `json:"waiting"`
	// Busy is InUse averaged over the last few seconds.
	Busy float64 `json:"busy"`
	// Offered, Moved and Refused are requests per second: those that callers
	// brought, those of them sent to another hall, those refused.
	Offered float64 `json:"offered_per_second"`
	Moved   float64 `json:"moved_per_second"`
	Refused float64 `json:"refused_per_second"`
	// Bytes are request and answer bytes per second of offered requests.
	Bytes float64 `json:"bytes_per_second"`
	// OldestReport is the age of the oldest worker's report.
	OldestReport time.Duration `json:"oldest_report_ns"`
}

// Add sums another status of the same service into s.
func (s *ServiceStatus) Add(o ServiceStatus) {
	s.Slots += o.Slots
	s.Usable += o.Usable
	s.Free += o.Free
	s.InUse += o.InUse
	s.Lent += o.Lent
	s.Waiting += o.Waiting
	s.Busy += o.Busy
	s.Offered += o.Offered
	s.Moved += o.Moved
	s.Refused += o.Refused
	s.Bytes += o.Bytes
	s.OldestReport = max(s.OldestReport, o.OldestReport)
}

// VMStatus is what one VM reports.
type VMStatus struct {
	VM         string                   `json:"vm"`
	Generation uint64                   `json:"generation"`
	Services   map[string]ServiceStatus `json:"services"`
	// Links are bytes per second sent to each other hall.
	Links map[string]float64 `json:"links,omitempty"`
}

// HallStatus sums the VMs of a hall.
type HallStatus struct {
	Hall string `json:"hall"`
	// At is the Unix time in milliseconds at which the sums were taken.
	At int64 `json:"at"`
	// Generation is the lowest in force at any VM that was asked.
	Generation uint64                   `json:"generation"`
	VMs        int                      `json:"vms"`
	Missing    int                      `json:"missing_vms"`
	Services   map[string]ServiceStatus `json:"services"`
	Links      map[string]float64       `json:"links,omitempty"`
}

// Age returns how old the status is at a time.
func (h *HallStatus) Age(now time.Time) time.Duration { return now.Sub(time.UnixMilli(h.At)) }

// Sum joins the reports of a hall's VMs. Missing counts VMs that are live but
// did not answer.
func Sum(hall string, at time.Time, reports []VMStatus, missing int) HallStatus {
	h := HallStatus{
		Hall:     hall,
		At:       at.UnixMilli(),
		VMs:      len(reports),
		Missing:  missing,
		Services: make(map[string]ServiceStatus),
		Links:    make(map[string]float64),
	}
	for i, r := range reports {
		if i == 0 || r.Generation < h.Generation {
			h.Generation = r.Generation
		}
		for name, s := range r.Services {
			sum := h.Services[name]
			sum.Add(s)
			h.Services[name] = sum
		}
		for to, rate := range r.Links {
			h.Links[to] += rate
		}
	}
	return h
}

// Event is one finished request.
type Event struct {
	Moved   bool
	Refused bool
	Bytes   int64
}

// window is the time over which rates are averaged.
const window = 3 * time.Second

// Meter sums events into rates. It is safe for concurrent use.
type Meter struct {
	now func() time.Time
	mu  sync.Mutex
	by  map[string]*counts
}

type counts struct {
	offered, moved, refused, bytes rate
	busy                           rate
	inFlight                       int
	changed                        time.Time
}

// rate is an exponentially weighted sum over the window.
type rate struct {
	value float64
	last  time.Time
}

func (r *rate) add(n float64, now time.Time) {
	r.decay(now)
	r.value += n
}

func (r *rate) decay(now time.Time) {
	elapsed := now.Sub(r.last)
	r.last = now
	if elapsed <= 0 || r.value == 0 {
		return
	}
	r.value *= decayFactor(elapsed)
}

func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.value / window.Seconds()
}

// NewMeter returns an empty meter.
func NewMeter(now func() time.Time) *Meter {
	return &Meter{now: now, by: make(map[string]*counts)}
}

// Begin counts a request that arrived.
func (m *Meter) Begin(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.of(service)
	now := m.now()
	c.offered.add(1, now)
	c.hold(now)
	c.inFlight++
}

// End counts a request that Begin counted and that has ended.
func (m *Meter) End(service string, e Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.of(service)
	now := m.now()
	c.hold(now)
	c.inFlight--
	c.bytes.add(float64(e.Bytes), now)
	if e.Moved {
		c.moved.add(1, now)
	}
	if e.Refused {
		c.refused.add(1, now)
	}
}

// hold adds the time that the requests in flight took since the last change.
func (c *counts) hold(now time.Time) {
	if !c.changed.IsZero() {
		c.busy.add(float64(c.inFlight)*now.Sub(c.changed).Seconds(), now)
	}
	c.changed = now
}

func (m *Meter) of(service string) *counts {
	c, ok := m.by[service]
	if !ok {
		c = &counts{}
		m.by[service] = c
	}
	return c
}

// InFlight returns how many requests of a service have begun and not ended.
func (m *Meter) InFlight(service string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.of(service).inFlight
}

// Services returns the names of the services that were counted, in no order.
func (m *Meter) Services() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.by))
}

// Fill sets the rates of a service in a status. Busy is the number of the
// service's requests, brought by this VM's callers, that were in flight on
// average, wherever they ran.
func (m *Meter) Fill(service string, s *ServiceStatus) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.of(service)
	now := m.now()
	c.hold(now)
	s.Offered = c.offered.perSecond(now)
	s.Moved = c.moved.perSecond(now)
	s.Refused = c.refused.perSecond(now)
	s.Bytes = c.bytes.perSecond(now)
	s.Busy = c.busy.perSecond(now)
}
