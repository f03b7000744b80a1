// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package experiment

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"github.com/ryehill/ryehill/coordination/admission"
)

// What the model of workers with requests of three ranks is like. There is a worker for
// each VM.
const (
	admitService   = "s"
	admitSlots     = 3
	admitRun       = 170 * time.Millisecond
	admitSpread    = 0.3
	admitObjective = 400 * time.Millisecond
	admitDeadline  = 2 * time.Second
	admitLength    = 12 * time.Second
	admitWarmUp    = 2 * time.Second
	admitKeys      = 4 // A worker.
	admitNews      = 200 * time.Millisecond
	admitNear      = 2 * time.Millisecond
	admitRetries   = 1
	admitRanks     = 3
	// admitPoll and admitMaxWait are of the way in which VMs let requests wait.
	admitPoll    = 20 * time.Millisecond
	admitMaxWait = 100 * time.Millisecond
	// admitWindow is how often workers change their levels or credits.
	admitWindow = 100 * time.Millisecond
	// admitQueueTarget is the time in the queue from which a worker counts as overloaded.
	admitQueueTarget = 100 * time.Millisecond
	admitLevelStep   = 0.05
)

var (
	admitFleets = []int{26, 88}
	admitLoads  = []float64{0.8, 1.2, 2}
	// admitShares are the parts of the requests that have each rank.
	admitShares = [admitRanks]float64{0.2, 0.3, 0.5}
	// admitLimits are of the holders of a key, as multiples of their slots.
	admitLimits = [...]float64{2, 1.0 / 3}
)

// admitWay is a way in which room goes by rank.
type admitWay string

const (
	admitToday    admitWay = "who comes first"
	admitLevels   admitWay = "levels told"
	admitCredits  admitWay = "credits"
	admitReserved admitWay = "reserved"
	admitInTime   admitWay = "in time"
	admitBoth     admitWay = "reserved, in time"
	admitWaiting  admitWay = "the same, short wait"
)

var admitWays = []admitWay{admitToday, admitLevels, admitCredits, admitReserved, admitInTime, admitBoth, admitWaiting}

// admissionTable compares the ways on the same seeds.
func admissionTable(ctx context.Context, out *tabwriter.Writer) error {
	_, _ = fmt.Fprintln(out, "VMs\tload\tway\trank 0: in aim, late, refused\trank 1\trank 2\tall in aim, served\tmessages a second")
	for _, vms := range admitFleets {
		for _, load := range admitLoads {
			for _, way := range admitWays {
				if err := ctx.Err(); err != nil {
					return err
				}
				m := newAdmitModel(vms, load, way)
				m.run()
				m.print(out)
			}
		}
	}
	return nil
}

// admitWorker is a worker with a queue.
type admitWorker struct {
	running int
	queue   []*admitRequest
	// level is the admission level that the worker tells, from 0 to the number of ranks.
	level  float64
	waited time.Duration
	// budget is the number of credits of the worker, and credits those of each VM.
	budget  float64
	credits []float64
}

func (w *admitWorker) busy() int { return w.running + len(w.queue) }

// admitVM is a VM with what it knows of the workers.
type admitVM struct {
	controller *admission.Controller
	// own are its requests at each worker, reported what others had there as last told.
	own, reported []int
	level         []float64
	wanted        []float64
}

// admitRequest is a request of a client.
type admitRequest struct {
	rank, vm, key  int
	position       float64
	sent, passedOn time.Time
	retries        int
	admit          admission.Request
	perSlot        float64
}

// admitOutcome counts what the callers of one rank got.
type admitOutcome struct{ inAim, late, refused int }

// admitModel plays an overload of a service at all VMs.
type admitModel struct {
	way      admitWay
	load     float64
	random   *rand.Rand
	now      time.Time
	begun    time.Time
	events   restEvents
	workers  []*admitWorker
	vms      []*admitVM
	outcomes [admitRanks]admitOutcome
	messages int
}

func newAdmitModel(vms int, load float64, way admitWay) *admitModel {
	m := &admitModel{way: way, load: load, random: rand.New(rand.NewPCG(uint64(vms), uint64(10*load))), now: time.Unix(0, 0)}
	m.begun = m.now
	for range vms {
		m.workers = append(m.workers, &admitWorker{level: admitRanks, budget: admitSlots, credits: make([]float64, vms)})
		v := &admitVM{
			controller: admission.New(admission.Config{Now: func() time.Time { return m.now }}),
			own:        make([]int, vms), reported: make([]int, vms), level: make([]float64, vms), wanted: make([]float64, vms),
		}
		for i := range v.level {
			v.level[i] = admitRanks
		}
		m.vms = append(m.vms, v)
	}
	return m
}

func (m *admitModel) after(d time.Duration, do func()) {
	heap.Push(&m.events, restEvent{m.now.Add(d), do})
}

func (m *admitModel) ended() bool { return m.now.Sub(m.begun) >= admitLength }

func (m *admitModel) run() {
	rate := m.load * float64(len(m.workers)) * admitSlots / admitRun.Seconds()
	var arrive, window func()
	arrive = func() {
		if m.ended() {
			return
		}
		r := &admitRequest{rank: m.pickRank(), vm: m.random.IntN(len(m.vms)), key: m.random.IntN(len(m.workers) * admitKeys), position: m.random.Float64(), sent: m.now}
		m.place(r, m.now)
		m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	window = func() {
		if m.ended() {
			return
		}
		m.adapt()
		m.after(admitWindow, window)
	}
	m.after(0, arrive)
	m.after(0, window)
	for i := range m.vms {
		m.after(time.Duration(m.random.Int64N(int64(admitNews))), func() { m.hear(i) })
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(restEvent)
		m.now = e.at
		e.do()
	}
}

func (m *admitModel) pickRank() int {
	at := m.random.Float64()
	for rank, share := range admitShares {
		if at -= share; at < 0 {
			return rank
		}
	}
	return admitRanks - 1
}

// hear tells a VM the loads of all workers, as VMs do among themselves.
func (m *admitModel) hear(vm int) {
	if m.ended() {
		return
	}
	v := m.vms[vm]
	for i, w := range m.workers {
		v.reported[i] = max(w.busy()-v.own[i], 0)
	}
	m.after(admitNews, func() { m.hear(vm) })
}

// holders returns the first two holders of a key.
func (m *admitModel) holders(key int) [2]int {
	n := len(m.workers)
	return [2]int{key % n, (key + 1 + key/n) % n}
}

// place sends a request to a worker, lets it wait or refuses it.
func (m *admitModel) place(r *admitRequest, first time.Time) {
	v := m.vms[r.vm]
	r.admit = admission.Request{Service: admitService, Rank: r.rank, Ranks: admitRanks, TimeLeft: max(admitObjective-m.now.Sub(r.sent), 1)}
	reservation := admission.Reservation{}
	switch m.way {
	case admitReserved:
		r.admit.TimeLeft = 0
		reservation = v.controller.Reserve(r.admit)
	case admitInTime:
		r.admit.Rank = 0
		reservation = v.controller.Reserve(r.admit)
	case admitBoth, admitWaiting:
		reservation = v.controller.Reserve(r.admit)
	case admitToday, admitLevels, admitCredits:
	}
	after := 100 * time.Millisecond
	for i, worker := range m.holders(r.key) {
		busy, limit := float64(v.own[worker]+v.reported[worker]), admitLimits[i]*admitSlots
		limit = reservation.Limit(admitSlots, limit)
		if i == 0 {
			after = max(after, reservation.RoomAfter(admitSlots, busy, limit))
			if r.retries == 0 && m.now.Equal(first) {
				v.controller.CountRequest(r.admit, busy >= admitSlots)
			}
		}
		if busy >= limit || !m.allowed(r, worker) {
			continue
		}
		r.perSlot = (busy + 1) / admitSlots
		m.send(r, worker)
		return
	}
	if m.way == admitWaiting && m.now.Add(admitPoll).Sub(first) <= admitMaxWait {
		m.after(admitPoll, func() { m.place(r, first) })
		return
	}
	m.refuse(r, after)
}

// allowed applies what workers tell VMs of themselves.
func (m *admitModel) allowed(r *admitRequest, worker int) bool {
	v := m.vms[r.vm]
	switch m.way {
	case admitLevels:
		return float64(r.rank)+r.position < v.level[worker]
	case admitCredits:
		v.wanted[worker]++
		// The last credits are kept for rank 0.
		if m.workers[worker].credits[r.vm] < 1+float64(r.rank)*0.25 {
			return false
		}
		m.workers[worker].credits[r.vm]--
	case admitToday, admitReserved, admitInTime, admitBoth, admitWaiting:
	}
	return true
}

func (m *admitModel) refuse(r *admitRequest, after time.Duration) {
	if r.retries < admitRetries {
		r.retries++
		m.after(after+time.Duration(m.random.Int64N(int64(150*time.Millisecond))), func() { m.place(r, m.now) })
		return
	}
	if r.sent.Sub(m.begun) >= admitWarmUp {
		m.outcomes[r.rank].refused++
	}
}

func (m *admitModel) send(r *admitRequest, worker int) {
	m.vms[r.vm].own[worker]++
	r.passedOn = m.now
	m.after(admitNear, func() {
		w := m.workers[worker]
		w.queue = append(w.queue, r)
		m.startNext(worker)
	})
}

func (m *admitModel) startNext(worker int) {
	w := m.workers[worker]
	for w.running < admitSlots && len(w.queue) > 0 {
		r := w.queue[0]
		w.queue = w.queue[1:]
		w.running++
		w.waited = max(w.waited, m.now.Sub(r.passedOn))
		run := time.Duration(float64(admitRun) * math.Exp(admitSpread*m.random.NormFloat64()-admitSpread*admitSpread/2))
		m.after(run, func() {
			w.running--
			m.startNext(worker)
			m.after(admitNear, func() { m.answer(r, worker) })
		})
	}
}

func (m *admitModel) answer(r *admitRequest, worker int) {
	v := m.vms[r.vm]
	v.own[worker]--
	v.level[worker] = m.workers[worker].level
	v.controller.RecordRunTime(r.admit, m.now.Sub(r.passedOn), r.perSlot)
	if r.sent.Sub(m.begun) < admitWarmUp {
		return
	}
	o := &m.outcomes[r.rank]
	switch took := m.now.Sub(r.sent); {
	case took <= admitObjective:
		o.inAim++
	case took <= admitDeadline:
		o.late++
	default:
		o.refused++
	}
}

// adapt changes the levels and the credits of all workers.
func (m *admitModel) adapt() {
	for i, w := range m.workers {
		if w.waited > admitQueueTarget {
			w.level = max(w.level-2*admitLevelStep, 1)
			w.budget = max(0.8*w.budget, 1)
		} else {
			w.level = min(w.level+admitLevelStep, admitRanks)
			w.budget = min(w.budget+0.25, 2*admitSlots)
		}
		w.waited = 0
		if m.way == admitCredits {
			m.issueCredits(i, w)
		}
	}
}

// issueCredits divides the credits of a worker among the VMs that asked for some.
func (m *admitModel) issueCredits(worker int, w *admitWorker) {
	total := 0.0
	for _, v := range m.vms {
		total += v.wanted[worker]
	}
	room := max(w.budget-float64(w.busy())+admitSlots*admitWindow.Seconds()/admitRun.Seconds(), 0)
	for i, v := range m.vms {
		if v.wanted[worker] == 0 {
			w.credits[i] *= 0.5
			continue
		}
		w.credits[i] = min(w.credits[i]+room*v.wanted[worker]/total, admitSlots)
		v.wanted[worker] *= 0.5
		m.messages++
	}
}

// share returns what part of the requests of a rank were answered in time, late and not.
func (o admitOutcome) share() (inAim, late, refused float64) {
	total := max(float64(o.inAim+o.late+o.refused), 1)
	return float64(o.inAim) / total, float64(o.late) / total, float64(o.refused) / total
}

// total returns what callers of all ranks got.
func (m *admitModel) total() admitOutcome {
	var sum admitOutcome
	for _, o := range m.outcomes {
		sum.inAim += o.inAim
		sum.late += o.late
		sum.refused += o.refused
	}
	return sum
}

func (m *admitModel) print(out *tabwriter.Writer) {
	_, _ = fmt.Fprintf(out, "%d\t%.1f\t%s", len(m.vms), m.load, m.way)
	for _, o := range m.outcomes {
		inAim, late, refused := o.share()
		_, _ = fmt.Fprintf(out, "\t%.3f %.3f %.3f", inAim, late, refused)
	}
	inAim, late, _ := m.total().share()
	_, _ = fmt.Fprintf(out, "\t%.3f %.3f\t%.0f\n", inAim, inAim+late, float64(m.messages)/admitLength.Seconds())
}
