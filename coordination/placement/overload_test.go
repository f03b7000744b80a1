// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package placement_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/coordination/steer"
	"github.com/ryehill/ryehill/state/route"
	"github.com/ryehill/ryehill/state/worker"
)

const (
	overloadVMs       = 6
	overloadWorkers   = 6
	overloadSlots     = 4
	overloadStep      = 5 * time.Millisecond
	overloadRun       = 100 * time.Millisecond
	overloadObjective = 250 * time.Millisecond
	overloadReports   = 100 * time.Millisecond
	overloadKeys      = 60
)

// overloadJob is a request that a worker runs or queues.
type overloadJob struct {
	rank    int
	sent    time.Time
	request placement.Request
	choice  placement.Choice
	placer  *placement.Placer
}

// overloadWorker is a worker with a queue.
type overloadWorker struct {
	queue, running []overloadJob
	endsAt         []time.Time
}

// overloadResult counts what the callers of a rank got.
type overloadResult struct{ asked, inTime, served, refused int }

// overloadPlay plays the requests of two ranks, the first of which is a quarter, at several
// VMs that share workers. The VMs restart one by one if restarts is set, and the last is
// never told loads if cutOff is set. Requests have ranks if ranked is set, and else one rank,
// or nothing that tells of ranks if plain is set.
type overloadPlay struct {
	load             float64
	ranked, plain    bool
	restarts, cutOff bool

	clock   *clockwork.FakeClock
	random  *rand.Rand
	workers map[string]*overloadWorker
	loads   []*worker.Loads
	placers []*placement.Placer
	results [2]overloadResult
	text    strings.Builder
}

func (p *overloadPlay) newPlacer(vm int) {
	p.loads[vm] = worker.NewLoads(p.clock.Now)
	cold := placement.NewColdLimiter(placement.ColdLimiterConfig{VM: "vm", Region: "north", Peers: singleVM{}, Now: p.clock.Now})
	p.placers[vm] = placement.New(placement.Config{
		Hall: "north-a", Region: "north", Loads: p.loads[vm], ColdLimiter: cold, Steerer: steer.New(steer.Config{Hall: "north-a"}), Now: p.clock.Now,
	})
}

func (p *overloadPlay) play(length time.Duration) {
	p.clock, p.random = clockwork.NewFakeClock(), rand.New(rand.NewPCG(1, 2))
	p.workers = make(map[string]*overloadWorker)
	p.loads, p.placers = make([]*worker.Loads, overloadVMs), make([]*placement.Placer, overloadVMs)
	for vm := range overloadVMs {
		p.newPlacer(vm)
	}
	var list []worker.Worker
	for i := range overloadWorkers {
		id := fmt.Sprint("w", i)
		p.workers[id] = &overloadWorker{}
		list = append(list, worker.Worker{ID: id, Service: "read", Hall: "north-a", Region: "north", Slots: overloadSlots})
	}
	snapshot := &placement.Snapshot{Routes: route.NewTable(route.Config{Services: []route.Service{{Name: "read"}}}), Workers: worker.NewSet(list), Regions: []string{"north"}}
	perStep := p.load * overloadWorkers * overloadSlots * overloadStep.Seconds() / overloadRun.Seconds()
	steps, due := int(length/overloadStep), 0.0
	for step := range steps {
		p.clock.Advance(overloadStep)
		p.finish(list)
		if step%int(overloadReports/overloadStep) == 0 {
			p.report(list)
		}
		if p.restarts && step%(steps/overloadVMs) == steps/overloadVMs/2 {
			p.newPlacer(step / (steps / overloadVMs))
		}
		for due += perStep; due >= 1; due-- {
			p.arrive(snapshot)
		}
	}
}

func (p *overloadPlay) arrive(s *placement.Snapshot) {
	rank := 1
	if p.random.IntN(4) == 0 {
		rank = 0
	}
	r := placement.Request{Service: "read", Key: p.random.Uint64N(overloadKeys) << 40, Keyed: true, Rank: rank, Ranks: 1, TimeLeft: overloadObjective}
	switch {
	case p.ranked:
		r.Ranks = 2
	case p.plain:
		r.Rank, r.Ranks, r.TimeLeft = 0, 0, 0
	}
	placer := p.placers[p.random.IntN(overloadVMs)]
	choice, refusal := placer.Place(s, r)
	p.results[rank].asked++
	_, _ = fmt.Fprintln(&p.text, choice.Worker().ID, refusal, choice.RetryAfter(), choice.Considered())
	if refusal != placement.RefusalNone {
		p.results[rank].refused++
		return
	}
	w := p.workers[choice.Worker().ID]
	w.queue = append(w.queue, overloadJob{rank: rank, sent: p.clock.Now(), request: r, choice: choice, placer: placer})
}

// finish ends requests and starts queued ones.
func (p *overloadPlay) finish(list []worker.Worker) {
	now := p.clock.Now()
	for _, entry := range list {
		w := p.workers[entry.ID]
		for i := 0; i < len(w.running); i++ {
			if now.Before(w.endsAt[i]) {
				continue
			}
			job := w.running[i]
			w.running, w.endsAt = append(w.running[:i], w.running[i+1:]...), append(w.endsAt[:i], w.endsAt[i+1:]...)
			i--
			took := now.Sub(job.sent)
			job.placer.RecordRunTime(job.request, job.choice, took)
			job.choice.Load().End()
			p.results[job.rank].served++
			if took <= overloadObjective {
				p.results[job.rank].inTime++
			}
		}
		for len(w.running) < overloadSlots && len(w.queue) > 0 {
			w.running, w.queue = append(w.running, w.queue[0]), w.queue[1:]
			w.endsAt = append(w.endsAt, now.Add(overloadRun))
		}
	}
}

// report tells the VMs the loads of the workers.
func (p *overloadPlay) report(list []worker.Worker) {
	for vm, loads := range p.loads {
		if p.cutOff && vm == overloadVMs-1 {
			continue
		}
		for _, entry := range list {
			w := p.workers[entry.ID]
			loads.GetOrCreate(entry.Incarnation()).MergeReport(worker.LoadReport{Requests: len(w.running) + len(w.queue)})
		}
	}
}

func (r overloadResult) share(n int) float64 { return float64(n) / float64(max(r.asked, 1)) }

// Room must go by rank once holders are full, without a loss for all callers together, also
// while VMs restart or are cut off.
func TestRoomGoesByRankInOverload(t *testing.T) {
	const length, leastServedOfLowest = 20 * time.Second, 0.1
	cases := map[string]struct {
		load             float64
		restarts, cutOff bool
	}{
		"load 1.2":           {1.2, false, false},
		"load 2":             {2, false, false},
		"VMs restart":        {1.5, true, false},
		"one VM is cut off":  {1.5, false, true},
		"high ranks overrun": {6, false, false}, // Rank 0 alone asks for more than there is.
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			before := &overloadPlay{load: c.load, restarts: c.restarts, cutOff: c.cutOff}
			after := &overloadPlay{load: c.load, restarts: c.restarts, cutOff: c.cutOff, ranked: true}
			before.play(length)
			after.play(length)
			for rank := range after.results {
				b, a := before.results[rank], after.results[rank]
				t.Logf("rank %d: in time %.3f, was %.3f; served %.3f, was %.3f", rank, a.share(a.inTime), b.share(b.inTime), a.share(a.served), b.share(b.served))
			}
			if is, was := after.results[0].inTime, before.results[0].inTime; is <= was {
				t.Errorf("%d of rank 0 in time, %d without ranks", is, was)
			}
			is, was := after.results[0].inTime+after.results[1].inTime, before.results[0].inTime+before.results[1].inTime
			if is < was {
				t.Errorf("%d in time together, %d without ranks", is, was)
			}
			high, low := after.results[0], after.results[1]
			if high.share(high.served) <= low.share(low.served) {
				t.Errorf("%.3f of rank 0 served, %.3f of rank 1", high.share(high.served), low.share(low.served))
			}
			if fair := min(1/c.load, 1); low.share(low.served) < leastServedOfLowest*fair {
				t.Errorf("%.3f of rank 1 served, its even share is %.3f", low.share(low.served), fair)
			}
		})
	}
}

// Guards against any change where all requests of a service have one rank.
func TestEqualRanksAreServedAsWithoutRanks(t *testing.T) {
	const length = 5 * time.Second
	for _, load := range []float64{0.8, 2} {
		equal, plain := &overloadPlay{load: load}, &overloadPlay{load: load, plain: true}
		equal.play(length)
		plain.play(length)
		if equal.text.String() != plain.text.String() {
			t.Errorf("load %.1f: choices, refusals or their explanations differ", load)
		}
		if equal.results != plain.results {
			t.Errorf("load %.1f: callers got %v, without ranks %v", load, equal.results, plain.results)
		}
		for _, word := range []string{"reserved", "too late", string(placement.RefusalBusy) + " 1"} {
			if strings.Contains(equal.text.String(), word) {
				t.Errorf("load %.1f: %q is in an explanation", load, word)
			}
		}
	}
}

// Refusals must say when there is room and for whom it is kept.
func TestRefusalsExplainReservations(t *testing.T) {
	p := &overloadPlay{load: 2, ranked: true}
	p.play(5 * time.Second)
	for _, word := range []string{"up to 8.0 reserved for rank 0 or higher", string(placement.RefusalBusy) + " "} {
		if !strings.Contains(p.text.String(), word) {
			t.Errorf("no explanation contains %q", word)
		}
	}
	// The time that requests take is known once the first have been answered.
	lines := strings.Split(p.text.String(), "\n")
	if later := strings.Join(lines[len(lines)/4:], "\n"); strings.Contains(later, " "+string(placement.RefusalBusy)+" 0s ") {
		t.Error("a refusal does not say when there is room")
	}
}
