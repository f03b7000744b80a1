// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package rollout_test

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

// fault describes how the new version of a simulated service is bad.
type fault struct {
	// fraction of its responses fails, or takes slowdown times as long.
	fraction, slowdown float64
	// start is when the fault begins, and route where, "" for everywhere.
	start time.Duration
	route string
	// underLoad limits the fault to the shift and later phases.
	underLoad bool
}

// model simulates a service behind several VMs in steps of 1 ms. The first run of a key at a
// worker is slow; workers of the new version start without warm keys.
type model struct {
	seed    uint64
	random  *rand.Rand
	now     time.Time
	begun   time.Time
	vms     []*rolling.Splitter
	decider *rolling.Decider
	order   rollout.Order
	rate    float64
	keys    int
	slots   int
	// warm is when a key becomes fast at a location.
	warm         map[string]time.Time
	fault        *fault
	baseFailures float64 // failure rate of both versions
	unreachable  map[int]bool
	pending      completions
	sentToNew    int
	requests     int
	// inFlightAtEnd counts the requests in flight at old workers when the order ended.
	inFlightAtEnd, oldInFlight int
	done                       time.Duration
	phase                      rollout.Phase
	reason                     string
	// share is the maximum fraction of requests for the new version.
	share float64
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

const (
	modelShare    = 0.1
	modelSlack    = 50
	modelDuration = 14 * time.Second
	modelSlots    = 720
)

func newModel(seed uint64, vms int) *model {
	m := &model{
		seed:   seed,
		random: rand.New(rand.NewPCG(seed, seed)), begun: time.Unix(1000, 0), now: time.Unix(1000, 0),
		rate: 1200, keys: 400, slots: modelSlots, warm: make(map[string]time.Time), unreachable: make(map[int]bool), share: modelShare,
		order: rollout.Order{Service: "s", Version: 2, Duration: modelDuration},
	}
	for range vms {
		m.vms = append(m.vms, rolling.NewSplitter(rolling.SplitterConfig{Service: "s", Version: 2, MaxFraction: m.share, Now: func() time.Time { return m.now }, Random: m.random.Float64}))
	}
	m.decider = rolling.NewDecider(rolling.DeciderConfig{Order: m.order})
	for k := range m.keys {
		m.warm[fmt.Sprint("old", k)] = m.begun
	}
	return m
}

// run simulates until the order ends, or for twice its duration.
func (m *model) run() {
	const tick, round = time.Millisecond, 100 * time.Millisecond
	for at := time.Duration(0); at < 2*modelDuration; at += tick {
		m.now = m.begun.Add(at)
		for len(m.pending) > 0 && !m.pending[0].at.After(m.now) {
			e := heap.Pop(&m.pending).(completion)
			e.try.RecordEnd(true, e.failed)
			if e.old {
				m.oldInFlight--
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

func (m *model) arrivals(tick time.Duration) int {
	mean := m.rate * tick.Seconds()
	n := int(mean)
	if m.random.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// request sends one request of a random key; all keys are equally popular.
func (m *model) request(at time.Duration) {
	const cold, warm = 1300.0, 400.0
	k := m.random.IntN(m.keys)
	hash := xxhash.Sum64String(fmt.Sprint(m.seed, "key", k))
	vm := m.vms[m.random.IntN(len(m.vms))]
	route := fmt.Sprintf("/%d/", k%3)
	track := vm.ChooseTrack(route, hash, false)
	location := "old"
	if track != worker.TrackStable {
		location = fmt.Sprint("new", track)
	}
	if at < modelDuration {
		m.requests++
		if track != worker.TrackStable {
			m.sentToNew++
		}
	}
	took := cold
	warmAt, known := m.warm[fmt.Sprint(location, k)]
	if known && !m.now.Before(warmAt) {
		took = warm
	}
	failed := m.random.Float64() < m.baseFailures
	if f := m.fault; f != nil && track != worker.TrackStable && f.affects(at, route, m.phase) && m.random.Float64() < f.fraction {
		failed = failed || f.slowdown == 0
		took *= max(f.slowdown, 1)
	}
	took *= 0.85 + 0.3*m.random.Float64()
	incarnation := fmt.Sprint("w", hash%3) // one of three canaries
	e := completion{at: m.now.Add(time.Duration(took) * time.Millisecond), try: vm.RecordSent(track, route, incarnation, hash), failed: failed, old: track == worker.TrackStable}
	if e.old {
		m.oldInFlight++
	}
	if !known {
		m.warm[fmt.Sprint(location, k)] = e.at
	}
	heap.Push(&m.pending, e)
}

func (f *fault) affects(at time.Duration, route string, phase rollout.Phase) bool {
	return at >= f.start && (f.route == "" || f.route == route) && (!f.underLoad || phase >= rollout.PhaseShift)
}

// step runs the decider with the reports of the reachable VMs and distributes its step. It
// reports whether the order has ended.
func (m *model) step(at time.Duration) bool {
	sum, reached := rollout.NewReport(), 0
	for i, vm := range m.vms {
		if !m.unreachable[i] {
			sum.Merge(vm.Report())
			reached++
		}
	}
	sum.InFlightOld = m.oldInFlight
	step := m.decider.Decide(rolling.Inputs{Now: m.now, TimeLeft: modelDuration - at, Report: sum, VMs: reached, Slots: m.slots})
	m.phase, m.reason = step.Phase, step.Reason
	for i, vm := range m.vms {
		if !m.unreachable[i] {
			vm.Apply(step)
		}
	}
	if step.Phase.Final() {
		m.done, m.inFlightAtEnd = at, m.oldInFlight
	}
	return step.Phase.Final()
}

// excess returns by how many requests the new version exceeded its share.
func (m *model) excess() float64 {
	return float64(m.sentToNew) - modelShare*float64(m.requests) - modelSlack
}
