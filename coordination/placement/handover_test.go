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

// Parameters of the simulated load: the keys of a region are requested through many VMs,
// and a worker serves a key slowly until its first request for it has ended.
const (
	loadVMs, loadWorkers, loadKeys = 20, 60, 120
	requestsPerKey                 = 4 // per second
	slowRun, warmRun               = 2600 * time.Millisecond, 780 * time.Millisecond
	latencyObjective               = 1500 * time.Millisecond
	loadStep                       = 10 * time.Millisecond
)

// keyedLoad simulates keyed requests to the placers of several VMs.
type keyedLoad struct {
	clock   *clockwork.FakeClock
	placers []*placement.Placer
	// warmFrom is the time from which a worker is warm for a key.
	warmFrom    map[string]time.Time
	ends        map[time.Time][]func()
	lastArrival map[string]time.Time // by worker
	late        int
	sent        int
}

func newKeyedLoad() *keyedLoad {
	l := &keyedLoad{
		clock: clockwork.NewFakeClock(), warmFrom: make(map[string]time.Time),
		ends: make(map[time.Time][]func()), lastArrival: make(map[string]time.Time),
	}
	for range loadVMs {
		cold := placement.NewColdLimiter(placement.ColdLimiterConfig{VM: "vm", Region: "north", Peers: singleVM{}, Now: l.clock.Now})
		l.placers = append(l.placers, placement.New(placement.Config{
			Hall: "north-a", Region: "north", Loads: worker.NewLoads(l.clock.Now), ColdLimiter: cold, Steerer: steer.New(steer.Config{Hall: "north-a"}), Now: l.clock.Now,
		}))
	}
	return l
}

// play sends requests for a time span; snapshot returns the snapshot of a VM.
func (l *keyedLoad) play(random *rand.Rand, span time.Duration, snapshot func(vm int) *placement.Snapshot) {
	for end := l.clock.Now().Add(span); l.clock.Now().Before(end); l.clock.Advance(loadStep) {
		now := l.clock.Now()
		for _, done := range l.ends[now] {
			done()
		}
		delete(l.ends, now)
		for key := range uint64(loadKeys) {
			if random.Float64() < requestsPerKey*loadStep.Seconds() {
				vm := random.IntN(loadVMs)
				l.send(l.placers[vm], snapshot(vm), key)
			}
		}
	}
}

// send sends one request and counts it as late if it is refused or slow.
func (l *keyedLoad) send(p *placement.Placer, s *placement.Snapshot, key uint64) {
	l.sent++
	choice, refusal := p.Place(s, request(key))
	if refusal != placement.RefusalNone {
		l.late++
		return
	}
	now, id := l.clock.Now(), choice.Worker().ID
	l.lastArrival[id] = now
	run, workerKey := slowRun, fmt.Sprint(id, key)
	if from, ok := l.warmFrom[workerKey]; !ok {
		l.warmFrom[workerKey] = now.Add(slowRun)
	} else if !now.Before(from) {
		run = warmRun
	}
	if run > latencyObjective {
		l.late++
	}
	l.ends[now.Add(run)] = append(l.ends[now.Add(run)], choice.Load().End)
}

// loadSnapshot returns a snapshot in which the first leaving workers are shutting down.
func loadSnapshot(leaving int, ending worker.DrainWindow) *placement.Snapshot {
	workers := make([]worker.Worker, 0, loadWorkers)
	for i := range loadWorkers {
		w := worker.Worker{ID: fmt.Sprintf("w-%d", i), Service: "read", Hall: "north-a", Region: "north", Slots: 9}
		if i < leaving {
			w.Leaving, w.DrainWindow = true, ending
		}
		workers = append(workers, w)
	}
	return &placement.Snapshot{
		Routes:  route.NewTable(route.Config{Services: []route.Service{{Name: "read", ColdRate: 10}}}),
		Workers: worker.NewSet(workers), Regions: []string{"north"},
	}
}

// lateRatioWhenWorkersLeave simulates a planned shutdown of a fifth of the workers, of
// which each VM learns within half a second, and returns the fraction of requests that
// then miss their latency objective. Workers may get requests for drainTime after that.
func lateRatioWhenWorkersLeave(t *testing.T, seed uint64, drainTime time.Duration) float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	l := newKeyedLoad()
	initial := loadSnapshot(0, worker.DrainWindow{})
	l.play(random, 8*time.Second, func(int) *placement.Snapshot { return initial })
	l.late, l.sent = 0, 0
	began := l.clock.Now()
	learnedAt := make([]time.Time, loadVMs)
	after := make([]*placement.Snapshot, loadVMs)
	last := began
	for vm := range learnedAt {
		learnedAt[vm] = began.Add(time.Duration(random.IntN(50)) * loadStep)
		ending := worker.DrainWindow{ObservedAt: learnedAt[vm], Until: learnedAt[vm].Add(drainTime)}
		if ending.Until.After(last) {
			last = ending.Until
		}
		after[vm] = loadSnapshot(loadWorkers/5, ending)
	}
	l.play(random, 8*time.Second, func(vm int) *placement.Snapshot {
		if l.clock.Now().Before(learnedAt[vm]) {
			return initial
		}
		return after[vm]
	})
	for i := range loadWorkers / 5 {
		if at := l.lastArrival[fmt.Sprintf("w-%d", i)]; at.After(last) {
			t.Errorf("w-%d got a request %s after its deadline", i, at.Sub(last))
		}
	}
	return float64(l.late) / float64(l.sent)
}

// Guards against moving all keys of a worker that shuts down at once to cold workers.
func TestKeysAreHandedOver(t *testing.T) {
	const seeds = 4
	atOnce, gradual := 0.0, 0.0
	for seed := range uint64(seeds) {
		atOnce += lateRatioWhenWorkersLeave(t, seed, 0) / seeds
		gradual += lateRatioWhenWorkersLeave(t, seed, 2500*time.Millisecond) / seeds
	}
	t.Logf("late or refused: a fraction of %.4f when all keys move at once, %.4f with a gradual handover", atOnce, gradual)
	if gradual > 0.6*atOnce {
		t.Errorf("a fraction of %.4f is late, want at most 0.6 of %.4f", gradual, atOnce)
	}
}

// Guards against requests to workers of a closed hall after their deadline.
func TestDepartedWorkersGetNothing(t *testing.T) {
	cases := map[string]struct {
		left time.Duration
		gets bool
	}{
		"no time left":        {0, false},
		"time left":           {time.Second, true},
		"deadline has passed": {-time.Millisecond, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(map[string]int{"north": 2}, nil)
			now := f.clock.Now()
			f.snapshot.Closed = map[string]bool{"north-a": true}
			f.snapshot.Closing = map[string]worker.DrainWindow{"north-a": {ObservedAt: now.Add(-time.Minute), Until: now.Add(c.left)}}
			got := false
			for key := range uint64(40) {
				choice, _ := f.placer.Place(f.snapshot, request(key))
				got = got || choice.Worker().Hall == "north-a"
				choice.Load().End()
			}
			if got != c.gets {
				t.Errorf("workers of the closed hall get requests: %t", got)
			}
		})
	}
}
