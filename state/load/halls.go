// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package load

import (
	"maps"
	"sync"
	"time"
)

// HallMeters sums what one VM sends to the workers of each hall, in a Meter for
// each. It is safe for concurrent use; each hall is under a lock of its own.
type HallMeters struct {
	now func() time.Time
	mu  sync.RWMutex
	by  map[string]*Meter
}

// NewHallMeters returns meters of no hall yet.
func NewHallMeters(now func() time.Time) *HallMeters {
	return &HallMeters{now: now, by: make(map[string]*Meter)}
}

// Of returns the meter of a hall.
func (h *HallMeters) Of(hall string) *Meter {
	h.mu.RLock()
	m, ok := h.by[hall]
	h.mu.RUnlock()
	if ok {
		return m
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if m, ok = h.by[hall]; !ok {
		m = NewMeter(h.now)
		h.by[hall] = m
	}
	return m
}

// Report is what one VM has to say of all halls.
type Report struct {
	// Generation is the one in force at the VM.
	Generation uint64 `json:"generation"`
	// Halls holds the sums by hall and service.
	Halls map[string]map[string]ServiceStatus `json:"halls"`
}

// Report returns what this VM has to say, with the generation that is in force
// here. Slots are for the reader to fill in.
func (h *HallMeters) Report(generation uint64) Report {
	h.mu.RLock()
	meters := maps.Clone(h.by)
	h.mu.RUnlock()
	report := Report{Generation: generation, Halls: make(map[string]map[string]ServiceStatus, len(meters))}
	for hall, m := range meters {
		services := make(map[string]ServiceStatus)
		for _, service := range m.Services() {
			var s ServiceStatus
			m.Fill(service, &s)
			s.InUse = m.InFlight(service)
			services[service] = s
		}
		report.Halls[hall] = services
	}
	return report
}

// Of returns the report's part on a hall, taken at a moment. A VM that sends
// nothing to a hall still says what generation it is at.
func (r Report) Of(hall string, at time.Time) HallStatus {
	return HallStatus{Hall: hall, At: at.UnixMilli(), Generation: r.Generation, VMs: 1, Services: r.Halls[hall]}
}

// Join adds the report of another VM on the same hall. The sums are as old as
// their oldest part, and the generation is the lowest.
func (h *HallStatus) Join(o HallStatus) {
	if h.VMs == 0 {
		h.At, h.Generation = o.At, o.Generation
	}
	h.At, h.Generation = min(h.At, o.At), min(h.Generation, o.Generation)
	h.VMs += o.VMs
	h.Missing += o.Missing
	if h.Services == nil {
		h.Services = make(map[string]ServiceStatus)
	}
	for name, s := range o.Services {
		sum := h.Services[name]
		sum.Add(s)
		h.Services[name] = sum
	}
}
