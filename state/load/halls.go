// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package load

import (
	"maps"
	"sync"
	"time"

	"github.com/ryehill/ryehill/state/object"
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
	// Era and Generation are the version in force at the VM.
	Era        uint64 `json:"era,omitempty"`
	Generation uint64 `json:"generation"`
	// Halls holds the sums by hall and service.
	Halls map[string]map[string]ServiceStatus `json:"halls"`
}

// Report returns this VM's report with the version in force. It leaves the slots for the
// reader to fill in.
func (h *HallMeters) Report(version object.Version) Report {
	h.mu.RLock()
	meters := maps.Clone(h.meters)
	h.mu.RUnlock()
	report := Report{Era: version.Era, Generation: version.Revision, Halls: make(map[string]map[string]ServiceStatus, len(meters))}
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
// traffic still has the VM's version.
func (r Report) HallStatus(hall string, at time.Time) HallStatus {
	return HallStatus{Hall: hall, At: at.UnixMilli(), Era: r.Era, Generation: r.Generation, VMs: 1, Services: r.Halls[hall]}
}

// Merge adds another VM's status of the same hall. The result has the earliest time and the
// oldest version of both.
func (h *HallStatus) Merge(o HallStatus) {
	if h.VMs == 0 {
		h.At = o.At
	}
	if h.VMs == 0 || o.Version().Before(h.Version()) {
		h.Era, h.Generation = o.Era, o.Generation
	}
	h.At = min(h.At, o.At)
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
