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

// fault is how the new version of a modelled service is bad.
type fault struct {
	// part of its answers fails, or takes times as long.
	part, times float64
	// after is when that begins, and route where, "" for everywhere.
	after time.Duration
	route string
	// underLoad is set if it shows only once the version serves everything.
	underLoad bool
}

// model is a service with some VMs before it, a thousandth of a second at a time. Its keys
// are slow with a worker at first; each worker of the new version starts without any.
type model struct {
	seed    uint64
	random  *rand.Rand
	now     time.Time
	begun   time.Time
	vms     []*rolling.Share
	decider *rolling.Decider
	order   rollout.Order
	perS    float64
	keys    int
	slots   int
	// warm is from when on a key is fast at a place.
	warm     map[string]time.Time
	fault    *fault
	ill      float64 // The part of the answers of both versions that fail.
	deaf     map[int]bool
	ends     ends
	toNew    int
	requests int
	// lost counts what was under way at old workers when the order was completed.
	lost, underWay int
	done           time.Duration
	phase          rollout.Phase
	reason         string
	// stored keeps the old version's requests under way.
	share float64
}

// ending is a request that ends at a moment.
type ending struct {
	at     time.Time
	try    *rolling.Try
	failed bool
	old    bool
}

type ends []ending

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *ends) Pop() any {
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
		perS: 1200, keys: 400, slots: modelSlots, warm: make(map[string]time.Time), deaf: make(map[int]bool), share: modelShare,
		order: rollout.Order{Service: "s", Version: 2, Duration: modelDuration},
	}
	for range vms {
		m.vms = append(m.vms, rolling.NewShare(rolling.ShareConfig{Service: "s", Version: 2, Part: m.share, Now: func() time.Time { return m.now }}))
	}
	m.decider = rolling.NewDecider(rolling.DeciderConfig{Order: m.order})
	for k := range m.keys {
		m.warm[fmt.Sprint("old", k)] = m.begun
	}
	return m
}

// run plays the order until it has ended, or for twice its time.
func (m *model) run() {
	const tick, round = time.Millisecond, 100 * time.Millisecond
	for at := time.Duration(0); at < 2*modelDuration; at += tick {
		m.now = m.begun.Add(at)
		for len(m.ends) > 0 && !m.ends[0].at.After(m.now) {
			e := heap.Pop(&m.ends).(ending)
			e.try.Ended(true, e.failed)
			if e.old {
				m.underWay--
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
	mean := m.perS * tick.Seconds()
	n := int(mean)
	if m.random.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// request sends one request, of a key that is as popular as any other.
func (m *model) request(at time.Duration) {
	const cold, warm = 1300.0, 400.0
	k := m.random.IntN(m.keys)
	hash := xxhash.Sum64String(fmt.Sprint(m.seed, "key", k))
	vm := m.vms[m.random.IntN(len(m.vms))]
	route := fmt.Sprintf("/%d/", k%3)
	track := vm.Choose(route, hash, false)
	place := "old"
	if track != worker.TrackStable {
		place = fmt.Sprint("new", track)
	}
	if at < modelDuration {
		m.requests++
		if track != worker.TrackStable {
			m.toNew++
		}
	}
	took := cold
	at0, known := m.warm[fmt.Sprint(place, k)]
	if known && !m.now.Before(at0) {
		took = warm
	}
	failed := m.random.Float64() < m.ill
	if f := m.fault; f != nil && track != worker.TrackStable && f.strikes(at, route, m.phase) && m.random.Float64() < f.part {
		failed = failed || f.times == 0
		took *= max(f.times, 1)
	}
	took *= 0.85 + 0.3*m.random.Float64()
	life := fmt.Sprint("w", hash%3) // The canaries.
	e := ending{at: m.now.Add(time.Duration(took) * time.Millisecond), try: vm.Sent(track, route, life, hash), failed: failed, old: track == worker.TrackStable}
	if e.old {
		m.underWay++
	}
	if !known {
		m.warm[fmt.Sprint(place, k)] = e.at
	}
	heap.Push(&m.ends, e)
}

func (f *fault) strikes(at time.Duration, route string, phase rollout.Phase) bool {
	return at >= f.after && (f.route == "" || f.route == route) && (!f.underLoad || phase >= rollout.PhaseShift)
}

// step has the decider hear all VMs that it reaches and tell them; it reports whether
// the order has ended.
func (m *model) step(at time.Duration) bool {
	sum, heard := rollout.NewReport(), 0
	for i, vm := range m.vms {
		if !m.deaf[i] {
			sum.Join(vm.Report())
			heard++
		}
	}
	sum.UnderWayOld = m.underWay
	step := m.decider.Decide(rolling.Inputs{Now: m.now, Left: modelDuration - at, Report: sum, VMs: heard, Slots: m.slots})
	m.phase, m.reason = step.Phase, step.Reason
	for i, vm := range m.vms {
		if !m.deaf[i] {
			vm.Hear(step)
		}
	}
	if step.Phase.Final() {
		m.done, m.lost = at, m.underWay
	}
	return step.Phase.Final()
}

// overShare returns by how many requests the new version got more than it may.
func (m *model) overShare() float64 {
	return float64(m.toNew) - modelShare*float64(m.requests) - modelSlack
}
