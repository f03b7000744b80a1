// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package experiment

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/coordination/steer"
	"github.com/ryehill/ryehill/state/route"
	"github.com/ryehill/ryehill/state/worker"
)

// What the model of workers that ask for rest is like. Times of work are those of a read
// with and without its key warm at the worker.
const (
	restSlots       = 9
	restQueue       = 9 // Requests that a worker holds beyond its slots before it turns away.
	restWarm        = 190 * time.Millisecond
	restCold        = 640 * time.Millisecond
	restObjective   = 500 * time.Millisecond
	restDeadline    = 3 * time.Second
	restsASpread    = 150 * time.Millisecond
	restLength      = 12 * time.Second // Of a run; the load's trouble begins at a quarter of it.
	restKeys        = 4                // A worker.
	restBase        = 0.6              // Of the slots, with all keys warm.
	restWorkers     = 2                // A VM.
	restNewsTakes   = 350 * time.Millisecond
	restUnderWay    = 500 * time.Millisecond
	restMost        = 2
	restDefault     = time.Second
	restOfTheOne    = 3 * time.Second
	restTroubleFor  = 6 * time.Second
	restSecondTries = 0.1 // Of all requests.
)

// restFleets are the numbers of VMs that are played.
var restFleets = []int{12, 74}

// restLoad is a load under which workers ask for rest.
type restLoad struct {
	name string
	// factor is of the usual rate while the trouble lasts, slowPart the part of the workers
	// at half speed meanwhile, one is set if the first worker turns everything away.
	factor, slowPart float64
	one              bool
}

var restLoads = []restLoad{
	{"a third at half speed", 1, 1.0 / 3, false},
	{"overload of 1.3", 1.3 / restBase, 0, false},
	{"one asks all for 3 s in a row", 1, 0, true},
}

// restWay is a way in which VMs heed rests.
type restWay string

const (
	wayAlone  restWay = "each VM alone"
	wayShared restWay = "told to all VMs"
	wayLimit  restWay = "limit a VM and worker"
	// wayDeaf is none: what workers ask for is not heard.
	wayDeaf restWay = "not heard"
)

var restWays = []restWay{wayDeaf, wayAlone, wayShared, wayLimit}

// rests compares what callers get by each way on the same seeds.
func rests(ctx context.Context, out *tabwriter.Writer) error {
	_, _ = fmt.Fprintln(out, "load\tVMs\tway\tin time\tlost\tlongest wait\tsent again\trests broken\tlost, a # each 0.5 %")
	for _, load := range restLoads {
		for _, vms := range restFleets {
			for _, way := range restWays {
				if err := ctx.Err(); err != nil {
					return err
				}
				m := newRestModel(vms, load, way, uint64(vms))
				m.run()
				m.print(out)
			}
		}
	}
	return nil
}

// restModel plays one load against the placers of all VMs.
type restModel struct {
	load    restLoad
	way     restWay
	random  *rand.Rand
	now     time.Time
	begun   time.Time
	events  restEvents
	vms     []*restVM
	workers []*restWorker
	set     *placement.Snapshot

	asked, inTime, lost, again, broken, rests int
	longest                                   time.Duration
}

type restVM struct {
	loads  *worker.Loads
	placer *placement.Placer
	// limits are what the VM has under way at most at a worker, by wayLimit.
	limits map[string]float64
	tries  float64
}

type restWorker struct {
	id      string
	slow    bool
	held    int // Requests that it runs or that wait.
	waiting []*restRequest
	warm    map[uint64]bool
	// asked says until when each VM was asked to send nothing, and arrived what came since.
	asked map[*restVM]*restAsked
}

type restAsked struct {
	from, until time.Time
	n           int
}

type restRequest struct {
	vm     *restVM
	key    uint64
	first  time.Time
	again  bool
	choice placement.Choice
}

// restEvents are what happens next, the earliest first.
type restEvents []restEvent

type restEvent struct {
	at time.Time
	do func()
}

func (e restEvents) Len() int           { return len(e) }
func (e restEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e restEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *restEvents) Push(x any) { *e = append(*e, x.(restEvent)) }

// Pop implements heap.Interface.
func (e *restEvents) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

func newRestModel(vms int, load restLoad, way restWay, seed uint64) *restModel {
	m := &restModel{load: load, way: way, random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(0, 0), begun: time.Unix(0, 0)}
	now := func() time.Time { return m.now }
	var list []worker.Worker
	for i := range vms * restWorkers {
		w := &restWorker{id: fmt.Sprintf("w%d", i), warm: make(map[uint64]bool), asked: make(map[*restVM]*restAsked)}
		w.slow = float64(i%3) < 3*load.slowPart
		m.workers = append(m.workers, w)
		list = append(list, worker.Worker{ID: w.id, Service: "s", Hall: "h", Region: "r", Slots: restSlots})
	}
	m.set = &placement.Snapshot{
		Routes: route.NewTable(route.Config{Services: []route.Service{{Name: "s"}}}), Workers: worker.NewSet(list), Regions: []string{"r"},
	}
	for range vms {
		loads := worker.NewLoads(now)
		m.vms = append(m.vms, &restVM{loads: loads, limits: make(map[string]float64), placer: placement.New(placement.Config{
			Hall: "h", Region: "r", Loads: loads, Now: now, Steerer: steer.New(steer.Config{Hall: "h"}),
			ColdLimiter: placement.NewColdLimiter(placement.ColdLimiterConfig{Region: "r", Now: now}),
		})})
	}
	return m
}

func (m *restModel) after(d time.Duration, do func()) {
	heap.Push(&m.events, restEvent{m.now.Add(d), do})
}

// troubled reports whether the load's trouble lasts.
func (m *restModel) troubled() bool {
	since := m.now.Sub(m.begun) - restLength/4
	return since >= 0 && since < restTroubleFor
}

// run plays all requests to their ends.
func (m *restModel) run() {
	perSecond := restBase * float64(len(m.workers)*restSlots) / restWarm.Seconds()
	var arrive func()
	arrive = func() {
		if m.now.Sub(m.begun) >= restLength {
			return
		}
		vm := m.vms[m.random.IntN(len(m.vms))]
		m.asked++
		m.send(&restRequest{vm: vm, key: m.random.Uint64N(uint64(restKeys * len(m.workers))), first: m.now})
		rate := perSecond
		if m.troubled() {
			rate *= m.load.factor
		}
		m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	m.after(0, arrive)
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(restEvent)
		m.now = e.at
		e.do()
	}
}

// send places a request, or refuses it.
func (m *restModel) send(r *restRequest, tried ...string) {
	if m.way == wayLimit {
		for id, limit := range r.vm.limits {
			if float64(r.vm.loads.GetOrCreate(id).InFlight()) >= limit {
				tried = append(tried, id)
			}
		}
	}
	choice, refusal := r.vm.placer.Place(m.set, placement.Request{Service: "s", Key: r.key, Keyed: true, Tried: tried})
	if refusal != placement.RefusalNone {
		m.refuse(r, choice.RetryAfter())
		return
	}
	r.choice = choice
	m.arriveAt(r, m.workerOf(choice))
}

func (m *restModel) workerOf(c placement.Choice) *restWorker {
	var at int
	_, _ = fmt.Sscanf(c.Worker().ID, "w%d", &at)
	return m.workers[at]
}

// arriveAt lets a worker take a request, or turn it away.
func (m *restModel) arriveAt(r *restRequest, w *restWorker) {
	if a := w.asked[r.vm]; a != nil && m.now.After(a.from) && m.now.Before(a.until) {
		if a.n++; a.n == restMost+1 {
			m.broken++
		}
	}
	one := m.load.one && w == m.workers[0] && m.troubled()
	if one || w.held >= restSlots+restQueue {
		m.turnAway(r, w, one)
		return
	}
	w.held++
	if w.held > restSlots {
		w.waiting = append(w.waiting, r)
		return
	}
	m.work(r, w)
}

func (m *restModel) work(r *restRequest, w *restWorker) {
	takes := restCold
	if w.warm[r.key] {
		takes = restWarm
	}
	w.warm[r.key] = true
	if w.slow && m.troubled() {
		takes *= 2
	}
	m.after(takes, func() {
		w.held--
		r.choice.Load().RecordReport(min(w.held, restSlots), max(w.held-restSlots, 0))
		r.choice.Load().End()
		r.choice.Load().RecordResponse()
		if limit, ok := r.vm.limits[w.id]; ok {
			r.vm.limits[w.id] = limit + 1/limit
		}
		m.answer(r)
		if len(w.waiting) > 0 {
			next := w.waiting[0]
			w.waiting = w.waiting[1:]
			m.work(next, w)
		}
	})
}

func (m *restModel) answer(r *restRequest) {
	took := m.now.Sub(r.first)
	m.longest = max(m.longest, took)
	if took <= restObjective {
		m.inTime++
	}
	r.vm.tries = min(r.vm.tries+restSecondTries, restMost)
}

// turnAway asks for rest. The VM tries another worker while its budget lasts.
func (m *restModel) turnAway(r *restRequest, w *restWorker, one bool) {
	rest := restDefault
	if one {
		rest = restOfTheOne
	}
	load := r.choice.Load()
	load.RecordReport(min(w.held, restSlots), max(w.held-restSlots, 0))
	own := load.InFlight()
	load.End()
	m.rests++
	w.asked[r.vm] = &restAsked{from: m.now.Add(restUnderWay), until: m.now.Add(rest)}
	if m.way != wayDeaf {
		load.Observe(worker.Rest{For: rest})
	}
	switch m.way {
	case wayShared:
		m.after(restNewsTakes, func() {
			for _, vm := range m.vms {
				if vm != r.vm {
					vm.loads.GetOrCreate(w.id).Observe(worker.Rest{For: rest - restNewsTakes})
				}
			}
		})
	case wayLimit:
		r.vm.limits[w.id] = max(1, float64(own)/2)
	case wayAlone, wayDeaf:
	}
	if r.vm.tries < 1 {
		m.refuse(r, 0)
		return
	}
	r.vm.tries--
	m.again++
	m.send(r, w.id)
}

// refuse lets the client come back once, if it has the time.
func (m *restModel) refuse(r *restRequest, wait time.Duration) {
	wait = max(wait, restsASpread) + time.Duration(m.random.Int64N(int64(restsASpread)))
	if r.again || m.now.Sub(r.first)+wait >= restDeadline {
		m.lost++
		return
	}
	r.again = true
	m.after(wait, func() { m.send(r) })
}

func (m *restModel) print(out *tabwriter.Writer) {
	part := func(n int) float64 { return 100 * float64(n) / float64(m.asked) }
	const barUnit = 0.5
	_, _ = fmt.Fprintf(out, "%s\t%d\t%s\t%.1f %%\t%.2f %%\t%d ms\t%.2f %%\t%d of %d\t%s\n", m.load.name, len(m.vms), m.way, part(m.inTime), part(m.lost),
		m.longest.Milliseconds(), part(m.again), m.broken, m.rests, strings.Repeat("#", int(part(m.lost)/barUnit+barUnit)))
}
