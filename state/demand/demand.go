// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package demand counts the requests of callers by service and affinity key, and measures
// how long workers take to respond.
//
// Each VM counts its own requests in a Meter. The counts are drained periodically into a
// Report and sent to the VM that sums up those of all VMs.
//
// # Usage
//
//	meter := demand.NewMeter("north")
//	meter.CountRequest(demand.Key{Service: "lookup", Region: "north", Hash: 17})
//	meter.RecordLatency("lookup", 120*time.Millisecond)
//	report := meter.Drain()
package demand

import (
	"sync"
	"time"
)

// Key is an affinity key of a service, as used by callers of a region.
type Key struct {
	Service string
	Region  string
	// Hash is the hash of the affinity key.
	Hash uint64
}

// Latency is the number of responses of a service's workers and their total latency,
// including the time spent waiting.
type Latency struct {
	Responses uint32
	Total     time.Duration
}

// Report holds the counts since the previous report.
type Report struct {
	// Region is the region of the callers.
	Region string
	// Keys counts the requests with an affinity key, including refused ones.
	Keys map[Key]uint32
	// Latencies holds the latency by service.
	Latencies map[string]Latency
}

// NewReport returns an empty report for the callers of a region.
func NewReport(region string) Report {
	return Report{Region: region, Keys: make(map[Key]uint32), Latencies: make(map[string]Latency)}
}

// Bounds of a report.
const (
	// MaxKeys bounds the keys of a report to about 10 KB. Requests with further keys are
	// not counted.
	MaxKeys = 1024
	// MaxServices bounds the services.
	MaxServices = 1024
)

// Merge adds another report on callers of the same region.
func (r *Report) Merge(o Report) {
	for key, n := range o.Keys {
		r.addRequests(key, n)
	}
	for service, w := range o.Latencies {
		r.addLatency(service, w)
	}
}

func (r *Report) addRequests(key Key, n uint32) {
	if _, ok := r.Keys[key]; ok || len(r.Keys) < MaxKeys {
		r.Keys[key] += n
	}
}

func (r *Report) addLatency(service string, w Latency) {
	if sum, ok := r.Latencies[service]; ok || len(r.Latencies) < MaxServices {
		r.Latencies[service] = Latency{Responses: sum.Responses + w.Responses, Total: sum.Total + w.Total}
	}
}

// Meter counts the requests of one VM. It is safe for concurrent use.
type Meter struct {
	mu     sync.Mutex
	report Report
}

// NewMeter returns a meter for a VM with callers in a region.
func NewMeter(region string) *Meter { return &Meter{report: NewReport(region)} }

// CountRequest counts a request with an affinity key.
func (m *Meter) CountRequest(key Key) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.report.addRequests(key, 1)
}

// RecordLatency records the latency of a response from a worker of a service.
func (m *Meter) RecordLatency(service string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.report.addLatency(service, Latency{Responses: 1, Total: took})
}

// Merge adds the report of another VM of the region.
func (m *Meter) Merge(o Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.report.Merge(o)
}

// Drain returns the counts since the previous call and resets them.
func (m *Meter) Drain() Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	drained := m.report
	m.report = NewReport(drained.Region)
	return drained
}
