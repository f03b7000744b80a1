// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package load measures the load of services and reports it by VM and by hall.
//
// Each VM measures its own traffic in a Meter. The reporter of a hall collects the sums of
// its VMs into a HallStatus, which the controller and the operators read. Check the age of
// a status before using it: an old status with a low load doesn't mean that the load is low
// now.
//
// # Usage
//
//	meter := load.NewMeter(time.Now)
//	meter.Begin("lookup")
//	meter.End("lookup", load.RequestResult{Moved: true})
//	var status load.ServiceStatus
//	meter.FillRates("lookup", &status)
package load

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ryehill/ryehill/state/object"
)

// ServiceStatus sums the load of one service over one VM or one hall.
type ServiceStatus struct {
	// Slots is the nominal number of slots, Usable the number usable now, and Free the
	// unused part of these. InUse is the number of requests in flight, Lent the number of
	// slots lent to other VMs and not in use, and Waiting the number of requests that wait
	// for a slot.
	Slots   int `json:"slots"`
	Usable  int `json:"usable"`
	Free    int `json:"free"`
	InUse   int `json:"in_use"`
	Lent    int `json:"lent"`
	Waiting int `json:"waiting"`
	// Busy is InUse averaged over the last few seconds.
	Busy float64 `json:"busy"`
	// Offered, Moved and Refused are rates in requests per second: those from callers,
	// those of them sent to another hall, and those refused.
	Offered float64 `json:"offered_per_second"`
	Moved   float64 `json:"moved_per_second"`
	Refused float64 `json:"refused_per_second"`
	// Bytes is the rate of request and response bytes of offered requests, per second.
	Bytes float64 `json:"bytes_per_second"`
	// OldestReport is the age of the oldest worker report.
	OldestReport time.Duration `json:"oldest_report_ns"`
}

// Add adds another status of the same service to s.
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

// VMStatus is one VM's report.
type VMStatus struct {
	VM         string                   `json:"vm"`
	Generation uint64                   `json:"generation"`
	Services   map[string]ServiceStatus `json:"services"`
	// Links holds bytes per second by destination hall.
	Links map[string]float64 `json:"links,omitempty"`
}

// HallStatus sums the reports of a hall's VMs.
type HallStatus struct {
	Hall string `json:"hall"`
	// At is the Unix time in milliseconds at which the sums were taken.
	At int64 `json:"at"`
	// Era and Generation are the oldest version in force at a reporting VM.
	Era        uint64                   `json:"era,omitempty"`
	Generation uint64                   `json:"generation"`
	VMs        int                      `json:"vms"`
	Missing    int                      `json:"missing_vms"`
	Services   map[string]ServiceStatus `json:"services"`
	Links      map[string]float64       `json:"links,omitempty"`
}

// Version returns the oldest version in force at a reporting VM.
func (h *HallStatus) Version() object.Version {
	return object.Version{Era: h.Era, Revision: h.Generation}
}

// Age returns the age of the status at the given time.
func (h *HallStatus) Age(now time.Time) time.Duration { return now.Sub(time.UnixMilli(h.At)) }

// Sum sums the reports of a hall's VMs. The parameter missing is the number of live VMs
// that did not respond.
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

// RequestResult describes how a request ended.
type RequestResult struct {
	Moved   bool
	Refused bool
	Bytes   int64
}

// averagingWindow is the time over which rates are averaged.
const averagingWindow = 3 * time.Second

// Meter computes the rates of requests by service. It is safe for concurrent use.
type Meter struct {
	now      func() time.Time
	mu       sync.Mutex
	services map[string]*counts
}

type counts struct {
	offered, moved, refused, bytes rate
	busy                           rate
	inFlight                       int
	updatedAt                      time.Time
}

// rate is an exponentially decaying sum.
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
	return r.value / averagingWindow.Seconds()
}

// NewMeter returns an empty Meter.
func NewMeter(now func() time.Time) *Meter {
	return &Meter{now: now, services: make(map[string]*counts)}
}

// Begin counts a request that has arrived.
func (m *Meter) Begin(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.countsFor(service)
	now := m.now()
	c.offered.add(1, now)
	c.accumulateBusy(now)
	c.inFlight++
}

// End counts the end of a request that Begin counted.
func (m *Meter) End(service string, e RequestResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.countsFor(service)
	now := m.now()
	c.accumulateBusy(now)
	c.inFlight--
	c.bytes.add(float64(e.Bytes), now)
	if e.Moved {
		c.moved.add(1, now)
	}
	if e.Refused {
		c.refused.add(1, now)
	}
}

// accumulateBusy adds the time spent by the requests in flight since the last update.
func (c *counts) accumulateBusy(now time.Time) {
	if !c.updatedAt.IsZero() {
		c.busy.add(float64(c.inFlight)*now.Sub(c.updatedAt).Seconds(), now)
	}
	c.updatedAt = now
}

func (m *Meter) countsFor(service string) *counts {
	c, ok := m.services[service]
	if !ok {
		c = &counts{}
		m.services[service] = c
	}
	return c
}

// InFlight returns the number of requests of a service that have begun and not ended.
func (m *Meter) InFlight(service string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.countsFor(service).inFlight
}

// Services returns the names of the services counted so far, in no particular order.
func (m *Meter) Services() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.services))
}

// FillRates sets the rates of a service in s. Busy is the average number of requests in
// flight that came from this VM's callers, wherever they ran.
func (m *Meter) FillRates(service string, s *ServiceStatus) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.countsFor(service)
	now := m.now()
	c.accumulateBusy(now)
	s.Offered = c.offered.perSecond(now)
	s.Moved = c.moved.perSecond(now)
	s.Refused = c.refused.perSecond(now)
	s.Bytes = c.bytes.perSecond(now)
	s.Busy = c.busy.perSecond(now)
}
