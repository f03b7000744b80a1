// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/coordination/steer"
	"github.com/ryehill/ryehill/state/route"
	"github.com/ryehill/ryehill/state/worker"
)

// What the load below is like: the keys of a region, each asked for four times a
// second through any of many VMs; a worker is slow with a key until its first run
// of it has ended.
const (
	loadVMs, loadWorkers, loadKeys = 20, 60, 120
	perKey                         = 4 // A second.
	slowRun, warmRun               = 2600 * time.Millisecond, 780 * time.Millisecond
	loadObjective                  = 1500 * time.Millisecond
	loadStep                       = 10 * time.Millisecond
)

// keyedLoad plays requests against the placers of several VMs.
type keyedLoad struct {
	clock   *clockwork.FakeClock
	placers []*placement.Placer
	// warmFrom is when a worker is warm for a key.
	warmFrom map[string]time.Time
	ends     map[time.Time][]func()
	arrived  map[string]time.Time // the last arrival at each worker
	late     int
	asked    int
}

func newKeyedLoad() *keyedLoad {
	l := &keyedLoad{
		clock: clockwork.NewFakeClock(), warmFrom: make(map[string]time.Time),
		ends: make(map[time.Time][]func()), arrived: make(map[string]time.Time),
	}
	for range loadVMs {
		cold := placement.NewCold(placement.ColdConfig{VM: "vm", Region: "north", Peers: alone{}, Now: l.clock.Now})
		l.placers = append(l.placers, placement.New(placement.Config{
			Hall: "north-a", Region: "north", Loads: worker.NewLoads(l.clock.Now), Cold: cold, Steerer: steer.New(steer.Config{Hall: "north-a"}), Now: l.clock.Now,
		}))
	}
	return l
}

// play sends requests for a time; snapshots gives what each VM believes.
func (l *keyedLoad) play(random *rand.Rand, span time.Duration, snapshot func(vm int) *placement.Snapshot) {
	for end := l.clock.Now().Add(span); l.clock.Now().Before(end); l.clock.Advance(loadStep) {
		now := l.clock.Now()
		for _, done := range l.ends[now] {
			done()
		}
		delete(l.ends, now)
		for key := range uint64(loadKeys) {
			if random.Float64() < perKey*loadStep.Seconds() {
				vm := random.IntN(loadVMs)
				l.ask(l.placers[vm], snapshot(vm), key)
			}
		}
	}
}

// ask sends one request, and counts it if it is refused or late.
func (l *keyedLoad) ask(p *placement.Placer, s *placement.Snapshot, key uint64) {
	l.asked++
	choice, refusal := p.Place(s, request(key))
	if refusal != placement.RefusalNone {
		l.late++
		return
	}
	now, id := l.clock.Now(), choice.Worker().ID
	l.arrived[id] = now
	run, held := slowRun, fmt.Sprint(id, key)
	if from, ok := l.warmFrom[held]; !ok {
		l.warmFrom[held] = now.Add(slowRun)
	} else if !now.Before(from) {
		run = warmRun
	}
	if run > loadObjective {
		l.late++
	}
	l.ends[now.Add(run)] = append(l.ends[now.Add(run)], choice.Load().End)
}

// loadSnapshot returns what a VM believes of the workers; those below a number leave.
func loadSnapshot(leaving int, ending worker.Ending) *placement.Snapshot {
	workers := make([]worker.Worker, 0, loadWorkers)
	for i := range loadWorkers {
		w := worker.Worker{ID: fmt.Sprintf("w-%d", i), Service: "read", Hall: "north-a", Region: "north", Slots: 9}
		if i < leaving {
			w.Leaving, w.Ending = true, ending
		}
		workers = append(workers, w)
	}
	return &placement.Snapshot{
		Routes:  route.NewTable(route.Config{Services: []route.Service{{Name: "read", ColdRate: 10}}}),
		Workers: worker.NewSet(workers), Regions: []string{"north"},
	}
}

// lateWhenWorkersLeave plays a planned end of a fifth of the workers, of which each
// VM hears within half a second, and returns the part of the requests of the next
// seconds that are not answered within their objective. Workers may get requests for
// so long after a VM has heard.
func lateWhenWorkersLeave(t *testing.T, seed uint64, left time.Duration) float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	l := newKeyedLoad()
	calm := loadSnapshot(0, worker.Ending{})
	l.play(random, 8*time.Second, func(int) *placement.Snapshot { return calm })
	l.late, l.asked = 0, 0
	began := l.clock.Now()
	heard := make([]time.Time, loadVMs)
	after := make([]*placement.Snapshot, loadVMs)
	last := began
	for vm := range heard {
		heard[vm] = began.Add(time.Duration(random.IntN(50)) * loadStep)
		ending := worker.Ending{Heard: heard[vm], Until: heard[vm].Add(left)}
		if ending.Until.After(last) {
			last = ending.Until
		}
		after[vm] = loadSnapshot(loadWorkers/5, ending)
	}
	l.play(random, 8*time.Second, func(vm int) *placement.Snapshot {
		if l.clock.Now().Before(heard[vm]) {
			return calm
		}
		return after[vm]
	})
	for i := range loadWorkers / 5 {
		if at := l.arrived[fmt.Sprintf("w-%d", i)]; at.After(last) {
			t.Errorf("w-%d got a request %s after its time", i, at.Sub(last))
		}
	}
	return float64(l.late) / float64(l.asked)
}

// Callers of a worker that leaves wait for fewer slow runs if its keys are warm
// elsewhere before it ends.
func TestKeysAreHandedOver(t *testing.T) {
	const seeds = 4
	atOnce, handed := 0.0, 0.0
	for seed := range uint64(seeds) {
		atOnce += lateWhenWorkersLeave(t, seed, 0) / seeds
		handed += lateWhenWorkersLeave(t, seed, 2500*time.Millisecond) / seeds
	}
	t.Logf("late or refused: %.4f of the requests when all keys move at once, %.4f when they are handed over", atOnce, handed)
	if handed > 0.6*atOnce {
		t.Errorf("%.4f of the requests late, want at most 0.6 of %.4f", handed, atOnce)
	}
}

// A worker that leaves gets nothing once its time is over, and one without a time
// never.
func TestEndedWorkersGetNothing(t *testing.T) {
	cases := map[string]struct {
		left time.Duration
		gets bool
	}{
		"no time":      {0, false},
		"time left":    {time.Second, true},
		"time is over": {-time.Millisecond, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(map[string]int{"north": 2}, nil)
			now := f.clock.Now()
			f.snapshot.Closed = map[string]bool{"north-a": true}
			f.snapshot.Closing = map[string]worker.Ending{"north-a": {Heard: now.Add(-time.Minute), Until: now.Add(c.left)}}
			got := false
			for key := range uint64(40) {
				choice, _ := f.placer.Place(f.snapshot, request(key))
				got = got || choice.Worker().Hall == "north-a"
				choice.Load().End()
			}
			if got != c.gets {
				t.Errorf("its workers get requests: %t", got)
			}
		})
	}
}
