// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package rolloutmodel simulates the rollout of a new version of a service behind several
// VMs, with their real splitters and decider but without I/O or waiting.
//
// # Usage
//
//	m := rolloutmodel.New(1, 26)
//	m.Fault = &rolloutmodel.Fault{Fraction: 0.3}
//	m.Run()
//	fmt.Println(m.Phase, m.Ended, m.Excess())
package rolloutmodel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	rolling "github.com/ryehill/ryehill/coordination/rollout"
	"github.com/ryehill/ryehill/state/rollout"
	"github.com/ryehill/ryehill/state/worker"
)

// Fault describes how the new version of a simulated service is bad.
type Fault struct {
	// Fraction of its responses fails, or takes Slowdown times as long.
	Fraction, Slowdown float64
	// Start is when the fault begins, and Route where, "" for everywhere.
	Start time.Duration
	Route string
	// UnderLoad limits the fault to the time in which the new version has much of the load.
	UnderLoad bool
}

// Model simulates a service behind several VMs in steps of 1 ms. The first run of a key at a
// worker is slow; workers of the new version start without warm keys.
type Model struct {
	// Rate is the number of requests a second, Keys the number of affinity keys, and Slots
	// the slots of the new workers.
	Rate  float64
	Keys  int
	Slots int
	// Fault is how the new version is bad, or nil. BaseFailures is the failure rate of both
	// versions.
	Fault        *Fault
	BaseFailures float64
	// Way is how the new version gets its requests.
	Way Way
	// ReplaceDecider replaces the decider by a new one after each of its decisions.
	ReplaceDecider bool

	// Phase is the last phase, with its reason, and Ended when the order ended.
	Phase  rollout.Phase
	Reason string
	Ended  time.Duration
	// Requests counts the requests until the order's deadline, SentToNew those of the new
	// version, and FailedAtNew the failures among these.
	Requests, SentToNew, FailedAtNew int
	// InFlightAtEnd counts the requests in flight at old workers when the order ended.
	InFlightAtEnd int

	seed        uint64
	random      *rand.Rand
	now, begun  time.Time
	vms         []*rolling.Splitter
	decider     decider
	loaded      bool                 // what the last decider that decided says, also once it is replaced
	warm        map[string]time.Time // when a key becomes fast at a location
	pending     completions
	oldInFlight int
	newInFlight int
}

// completion is the scheduled end of a request.
type completion struct {
	at     time.Time
	try    *rolling.Attempt
	failed bool
	old    bool
}

type completions []completion

func (e completions) Len() int           { return len(e) }
func (e completions) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e completions) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completions) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completions) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// The limits and the order of the model.
const (
	// Share is the maximum fraction of requests for a version that is not proved, and Slack
	// the number of requests by which it may be exceeded.
	Share = 0.1
	Slack = 50
	// Duration is the duration of the order.
	Duration = 14 * time.Second
	// Slots is the default number of slots of the new workers.
	Slots = 720
)

// New returns a model of an order at some VMs. Plays of the same seed are the same.
func New(seed uint64, vms int) *Model {
	m := &Model{
		seed:   seed,
		random: rand.New(rand.NewPCG(seed, seed)), begun: time.Unix(1000, 0), now: time.Unix(1000, 0),
		Rate: 1200, Keys: 400, Slots: Slots, warm: make(map[string]time.Time),
	}
	for range vms {
		m.vms = append(m.vms, rolling.NewSplitter(rolling.SplitterConfig{Service: "s", Version: 2, MaxFraction: Share, Now: func() time.Time { return m.now }, Random: m.random.Float64}))
	}
	for k := range m.Keys {
		m.warm[fmt.Sprint("old", k)] = m.begun
	}
	return m
}

// Run simulates until the order ends, or for twice its duration.
func (m *Model) Run() {
	const tick, round = time.Millisecond, 100 * time.Millisecond
	m.decider = m.Way.newDecider()
	for at := time.Duration(0); at < 2*Duration; at += tick {
		m.now = m.begun.Add(at)
		for len(m.pending) > 0 && !m.pending[0].at.After(m.now) {
			e := heap.Pop(&m.pending).(completion)
			e.try.RecordEnd(true, e.failed)
			if e.old {
				m.oldInFlight--
			} else {
				m.newInFlight--
			}
		}
		for range m.arrivals(tick) {
			m.request(at)
		}
		if at%round == 0 && m.step(at) {
			return
		}
	}
}

func (m *Model) arrivals(tick time.Duration) int {
	mean := m.Rate * tick.Seconds()
	n := int(mean)
	if m.random.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// request sends one request of a random key; all keys are equally popular.
func (m *Model) request(at time.Duration) {
	const cold, warm = 1300.0, 400.0
	k := m.random.IntN(m.Keys)
	hash := xxhash.Sum64String(fmt.Sprint(m.seed, "key", k))
	vm := m.vms[m.random.IntN(len(m.vms))]
	route := fmt.Sprintf("/%d/", k%3)
	track := m.decider.chooseTrack(vm, route, hash)
	location := "old"
	if track != worker.TrackStable {
		location = fmt.Sprint("new", track)
	}
	if at < Duration {
		m.Requests++
		if track != worker.TrackStable {
			m.SentToNew++
		}
	}
	took := cold
	warmAt, known := m.warm[fmt.Sprint(location, k)]
	if known && !m.now.Before(warmAt) {
		took = warm
	}
	failed := m.random.Float64() < m.BaseFailures
	if f := m.Fault; f != nil && track != worker.TrackStable && f.affects(at, route, m.loaded) && m.random.Float64() < f.Fraction {
		failed = failed || f.Slowdown == 0
		took *= max(f.Slowdown, 1)
	}
	if failed && track != worker.TrackStable {
		m.FailedAtNew++
	}
	took *= 0.85 + 0.3*m.random.Float64()
	incarnation := fmt.Sprint("w", hash%3) // one of three canaries
	e := completion{at: m.now.Add(time.Duration(took) * time.Millisecond), try: vm.RecordSent(track, route, incarnation, hash), failed: failed, old: track == worker.TrackStable}
	if e.old {
		m.oldInFlight++
	} else {
		m.newInFlight++
	}
	if !known {
		m.warm[fmt.Sprint(location, k)] = e.at
	}
	heap.Push(&m.pending, e)
}

func (f *Fault) affects(at time.Duration, route string, loaded bool) bool {
	return at >= f.Start && (f.Route == "" || f.Route == route) && (!f.UnderLoad || loaded)
}

// step runs the decider with the reports of the reachable VMs and distributes its step. It
// reports whether the order has ended.
func (m *Model) step(at time.Duration) bool {
	sum := rollout.NewReport()
	for _, vm := range m.vms {
		sum.Merge(vm.Report())
	}
	sum.InFlightOld, sum.InFlightNew = m.oldInFlight, m.newInFlight
	step := m.decider.decide(rolling.Inputs{Now: m.now, TimeLeft: Duration - at, Report: sum, VMs: len(m.vms), Slots: m.Slots, CanarySlots: int(worker.CanaryFraction * float64(m.Slots))})
	m.loaded = m.decider.loaded()
	if m.ReplaceDecider && step.Phase != m.Phase {
		m.decider = m.Way.newDecider()
	}
	m.Phase, m.Reason = step.Phase, step.Reason
	for _, vm := range m.vms {
		vm.Apply(step)
	}
	if step.Phase.Final() {
		m.Ended, m.InFlightAtEnd = at, m.oldInFlight
	}
	return step.Phase.Final()
}

// Excess returns by how many requests the new version exceeded its share.
func (m *Model) Excess() float64 {
	return float64(m.SentToNew) - Share*float64(m.Requests) - Slack
}
