// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package load

import (
	"maps"
	"sync"
	"time"
)

// HallMeters measures what one VM sends to the workers of each hall, with one Meter per
// hall. It is safe for concurrent use; each hall has a lock of its own.
type HallMeters struct {
	now    func() time.Time
	mu     sync.RWMutex
	meters map[string]*Meter
}

// NewHallMeters returns HallMeters without halls.
func NewHallMeters(now func() time.Time) *HallMeters {
	return &HallMeters{now: now, meters: make(map[string]*Meter)}
}

// Meter returns the meter of a hall, and creates it if needed.
func (h *HallMeters) Meter(hall string) *Meter {
	h.mu.RLock()
	m, ok := h.meters[hall]
	h.mu.RUnlock()
	if ok {
		return m
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if m, ok = h.meters[hall]; !ok {
		m = NewMeter(h.now)
		h.meters[hall] = m
	}
	return m
}

// Report is one VM's report on all halls.
type Report struct {
	// Generation is the generation in force at the VM.
	Generation uint64 `json:"generation"`
	// Halls holds the sums by hall and service.
	Halls map[string]map[string]ServiceStatus `json:"halls"`
}

// Report returns this VM's report with the given generation. It leaves the slots for the
// reader to fill in.
func (h *HallMeters) Report(generation uint64) Report {
	h.mu.RLock()
	meters := maps.Clone(h.meters)
	h.mu.RUnlock()
	report := Report{Generation: generation, Halls: make(map[string]map[string]ServiceStatus, len(meters))}
	for hall, m := range meters {
		services := make(map[string]ServiceStatus)
		for _, service := range m.Services() {
			var s ServiceStatus
			m.FillRates(service, &s)
			s.InUse = m.InFlight(service)
			services[service] = s
		}
		report.Halls[hall] = services
	}
	return report
}

// HallStatus returns the report's part on a hall, taken at a time. The part of a hall without
// traffic still has the VM's generation.
func (r Report) HallStatus(hall string, at time.Time) HallStatus {
	return HallStatus{Hall: hall, At: at.UnixMilli(), Generation: r.Generation, VMs: 1, Services: r.Halls[hall]}
}

// Merge adds another VM's status of the same hall. The result has the earliest time and the
// lowest generation of both.
func (h *HallStatus) Merge(o HallStatus) {
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
