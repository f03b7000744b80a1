// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package demand counts what callers ask for, by service and by key, and how
// long workers take for it.
//
// Every VM counts its own requests in a Meter. Now and then the counts are taken
// as a Report and sent to whoever adds up those of all VMs.
//
// # Usage
//
//	meter := demand.NewMeter("north")
//	meter.Keyed(demand.Key{Service: "lookup", Region: "north", Hash: 17})
//	meter.Served("lookup", 120*time.Millisecond)
//	report := meter.Take()
package demand

import (
	"sync"
	"time"
)

// Key is one affinity key of a service that callers of a region use.
type Key struct {
	Service string
	Region  string
	// Hash is that of the affinity key.
	Hash uint64
}

// Work is how many requests workers answered, and how long they took together,
// waiting included.
type Work struct {
	Answers uint32
	Time    time.Duration
}

// Report is what was counted since the last one.
type Report struct {
	// Region is that of the callers.
	Region string
	// Keys are the requests that have a key, those among them that were
	// refused included.
	Keys map[Key]uint32
	// Work is by service.
	Work map[string]Work
}

// NewReport returns an empty report of a region's callers.
func NewReport(region string) Report {
	return Report{Region: region, Keys: make(map[Key]uint32), Work: make(map[string]Work)}
}

// Bounds of one report.
const (
	// MaxKeys bounds the keys; requests with others are not counted. At 10
	// bytes a key it is 10 KB, three times a second at most.
	MaxKeys = 1024
	// MaxServices bounds the services.
	MaxServices = 1024
)

// Join adds another report of the same region's callers.
func (r *Report) Join(o Report) {
	for key, n := range o.Keys {
		r.keyed(key, n)
	}
	for service, w := range o.Work {
		r.worked(service, w)
	}
}

func (r *Report) keyed(key Key, n uint32) {
	if _, ok := r.Keys[key]; ok || len(r.Keys) < MaxKeys {
		r.Keys[key] += n
	}
}

func (r *Report) worked(service string, w Work) {
	if sum, ok := r.Work[service]; ok || len(r.Work) < MaxServices {
		r.Work[service] = Work{Answers: sum.Answers + w.Answers, Time: sum.Time + w.Time}
	}
}

// Meter counts the requests of one VM. It is safe for concurrent use.
type Meter struct {
	mu     sync.Mutex
	report Report
}

// NewMeter returns a meter of a VM whose callers are in a region.
func NewMeter(region string) *Meter { return &Meter{report: NewReport(region)} }

// Keyed counts a request that has a key.
func (m *Meter) Keyed(key Key) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.report.keyed(key, 1)
}

// Served notes how long a worker of a service took for an answer.
func (m *Meter) Served(service string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.report.worked(service, Work{Answers: 1, Time: took})
}

// Add joins what another VM of the region has counted.
func (m *Meter) Add(o Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.report.Join(o)
}

// Take returns what was counted since the last call.
func (m *Meter) Take() Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.report
	m.report = NewReport(taken.Region)
	return taken
}
