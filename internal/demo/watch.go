// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package demo

import (
	"context"
	"fmt"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/ryehill/ryehill/internal/fleet"
	"github.com/ryehill/ryehill/internal/loadgen"
	"github.com/ryehill/ryehill/internal/standin"
	"github.com/ryehill/ryehill/state/load"
	"github.com/ryehill/ryehill/transport/operator"
)

// phase is the part of the run that headroom is measured for.
type phase int

const (
	phaseOther phase = iota
	phaseShift
	phaseDrain
)

// enter begins a phase.
func (w *watcher) enter(p phase) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.phase = p
}

// watcher looks at the fleet from outside while the run goes on.
type watcher struct {
	run *run

	mu          sync.Mutex
	generations map[string]uint64
	statuses    map[string]operator.Status
	phase       phase
	least       map[phase]map[string]float64 // by phase, by region
	now         map[string]float64
	paid        map[string]loadgen.Told
	checks      []func()
}

func newWatcher(r *run) *watcher {
	return &watcher{
		run: r, generations: make(map[string]uint64), statuses: make(map[string]operator.Status),
		least: map[phase]map[string]float64{phaseOther: {}, phaseShift: {}, phaseDrain: {}}, now: make(map[string]float64), paid: make(map[string]loadgen.Told),
	}
}

// watch samples until ctx ends.
func (w *watcher) watch(ctx context.Context) {
	ticker := time.NewTicker(samplesInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.sample(ctx)
		}
	}
}

func (w *watcher) sample(ctx context.Context) {
	var wg sync.WaitGroup
	for _, vm := range w.run.fleet.VMs() {
		wg.Go(func() {
			s, err := w.run.fleet.Operator(vm).Status(ctx)
			if err == nil {
				w.take(vm, s)
			}
		})
	}
	wg.Wait()
	w.mu.Lock()
	checks := w.checks
	w.mu.Unlock()
	for _, check := range checks {
		check()
	}
}

func (w *watcher) take(vm string, s operator.Status) {
	w.mu.Lock()
	before := w.generations[vm]
	w.generations[vm] = s.Generation
	w.statuses[vm] = s
	w.mu.Unlock()
	w.run.try(promiseConfig, "", s.Generation >= before, fmt.Sprintf("VM %s went from generation %d to %d", vm, before, s.Generation))
	w.headroom(s.Halls)
}

// headroom keeps, for each region, the least part of usable slots that is not in
// use, over its services.
func (w *watcher) headroom(halls []load.HallStatus) {
	usable, inUse := make(map[[2]string]int), make(map[[2]string]int)
	for _, h := range halls {
		region := regionOf(w.run.cfg.Plan, h.Hall)
		for name, s := range h.Services {
			usable[[2]string{region, name}] += s.Usable
			inUse[[2]string{region, name}] += s.InUse
		}
	}
	now := make(map[string]float64)
	for key, slots := range usable {
		if slots == 0 {
			continue
		}
		free := float64(slots-inUse[key]) / float64(slots)
		if known, ok := now[key[0]]; !ok || free < known {
			now[key[0]] = free
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now = now
	least := w.least[w.phase]
	for region, free := range now {
		if known, ok := least[region]; !ok || free < known {
			least[region] = free
		}
	}
}

func regionOf(p fleet.Plan, hall string) string {
	for _, region := range p.Regions {
		if len(hall) > len(region) && hall[:len(region)] == region {
			return region
		}
	}
	return hall
}

// leastGeneration returns the lowest generation in force at any VM.
func (w *watcher) leastGeneration() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	least := uint64(math.MaxUint64)
	for _, g := range w.generations {
		least = min(least, g)
	}
	return least
}

// inFlightAt returns how many requests are under way at a VM's own upstreams.
func (w *watcher) inFlightAt(vm string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := 0
	for _, s := range w.statuses[vm].Own.Services {
		total += int(math.Round(s.Busy)) + s.InUse
	}
	return total
}

func (w *watcher) workersIn(hall string) []*standin.Upstream {
	var workers []*standin.Upstream
	for id, worker := range w.run.fleet.Workers() {
		if w.run.fleet.HallOf(id) == hall {
			workers = append(workers, worker)
		}
	}
	return workers
}

// followCap checks from now on that no more than the cap of a hall's requests
// ran elsewhere. Both counts are taken outside of ryehill: by the clients before
// a request leaves, and by the upstreams that run it.
func (w *watcher) followCap(service, from string, progress *loadgen.Progress) {
	moved := func() int {
		total := 0
		for id, worker := range w.run.fleet.Workers() {
			if w.run.fleet.HallOf(id) != from && w.run.fleet.ServiceOf(id) == service {
				total += worker.Origin(from)
			}
		}
		return total
	}
	before := moved()
	_, done := progress.Counts(loadgen.KindRead)
	w.follow(func() {
		m := moved() - before
		sent, _ := progress.Counts(loadgen.KindRead)
		most := int(shiftCap.Scale(uint64(sent - done)))
		w.run.try(promiseCap, "samples of requests run elsewhere against the cap of those sent", m <= most,
			fmt.Sprintf("%d of %d requests ran elsewhere", m, sent-done))
	})
}

// followLeaving checks that a worker runs nothing new some seconds after it left.
func (w *watcher) followLeaving(worker *standin.Upstream, left time.Time) {
	w.follow(func() {
		if time.Since(left) < leavingGrace {
			return
		}
		last := time.UnixMilli(worker.Counts().LastWork)
		refused := worker.RefusedSince(left.Add(leavingGrace))
		w.run.try(promiseLeaving, "samples of an upstream that left, later than "+leavingGrace.String(),
			last.Before(left.Add(leavingGrace)) && refused == 0, fmt.Sprintf("work at %s, %d sent and refused", last, refused))
	})
}

func (w *watcher) follow(check func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checks = append(w.checks, check)
}

func (w *watcher) addPaid(paid map[string]loadgen.Told) {
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.Copy(w.paid, paid)
}
