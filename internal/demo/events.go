// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package demo

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/intent"
	"github.com/ryehill/ryehill/internal/loadgen"
	"github.com/ryehill/ryehill/state/share"
	"github.com/ryehill/ryehill/state/spec"
)

// eventPatience bounds how long the run waits for a condition.
const eventPatience = 25 * time.Second

// until waits for a condition, and reports whether it came about.
func until(ctx context.Context, condition func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, eventPatience)
	defer cancel()
	ticker := time.NewTicker(samplesInterval / 2)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// changeConfig applies an object and measures until it is in force everywhere.
func (r *run) changeConfig(ctx context.Context) error {
	object := spec.Object{
		Key:  spec.Key{Kind: spec.KindBlocks, Name: "more"},
		Spec: fmt.Appendf(nil, `{"halls":{%q:["10.200.0.0/16"]}}`, r.halls[1]),
	}
	accepted := time.Now()
	version, err := r.op.Apply(ctx, object)
	if err != nil {
		return err
	}
	if !until(ctx, func() bool { return r.watch.leastGeneration() >= version }) {
		return errors.Newf("demo: version %d is not in force everywhere", version)
	}
	took := time.Since(accepted)
	r.report.InForce = took.Seconds()
	r.say("configuration version %d is in force at every VM after %s", version, took.Round(time.Millisecond))
	r.try(promiseConfig, "changes applied", took <= configGrace, "took "+took.String())
	return nil
}

// drain empties a hall of the last region in busy load, and measures until none
// of its upstreams has a request in flight or gets a new one.
func (r *run) drain(ctx context.Context) error {
	hall := r.halls[len(r.halls)-1]
	confirmed := time.Now()
	id, err := r.op.CarryOut(ctx, intent.DrainHall{Hall: hall, Step: drainStep})
	if err != nil {
		return err
	}
	r.say("drain %s: hall %s, in steps of %s", id, hall, drainStep)
	r.watch.enter(phaseDrain)
	defer r.watch.enter(phaseOther)
	workers := r.watch.workersIn(hall)
	quietSince := time.Now()
	last := -1
	emptied := until(ctx, func() bool {
		busy, answered := 0, 0
		for _, w := range workers {
			busy += w.InFlight()
			answered += int(w.Counts().Answered)
		}
		if busy > 0 || answered != last {
			quietSince = time.Now()
		}
		last = answered
		return time.Since(quietSince) > drainQuiet
	})
	if !emptied {
		return errors.Newf("demo: hall %s is not empty: %s", hall, r.op.Describe(ctx, id))
	}
	r.report.DrainSeconds = quietSince.Sub(confirmed).Seconds()
	r.say("hall %s is empty %.1f s after the confirm", hall, r.report.DrainSeconds)
	return nil
}

const (
	drainStep  = 25 * share.Percent
	drainQuiet = 500 * time.Millisecond
)

// stopVM stops a VM as planned while slow uploads to it are under way.
func (r *run) stopVM(ctx context.Context) error {
	const uploads, slow = 4, 3 * time.Second
	hall := r.halls[1]
	id := hall + "-vm1"
	host := r.fleet.Host(id)
	service := r.cfg.Plan.Services[2].Name
	var wg sync.WaitGroup
	results := make(chan loadgen.Result, uploads)
	for n := range uploads {
		// A client that holds only this VM's name, as from a cached look-up.
		client := loadgen.New(loadgen.Config{
			VMs: []string{host.VM.Entry}, HTTP: r.fleet.ClientHTTP(hall), Client: clientOf(1, n), MaxTries: 1,
		})
		wg.Go(func() { results <- client.UploadTo(ctx, host.VM.Entry, service, uploadBytes, slow) })
	}
	if !until(ctx, func() bool { return r.watch.inFlightAt(id) >= uploads }) {
		return errors.Newf("demo: no uploads under way at %s", id)
	}
	r.say("VM %s stops as planned with %d slow uploads under way", id, uploads)
	took, err := r.fleet.StopVM(id)
	if err != nil {
		return err
	}
	wg.Wait()
	close(results)
	for result := range results {
		if result.Told == loadgen.ToldNotRun {
			continue // It was refused before it began, so it was not under way.
		}
		r.try(promiseStop, "uploads under way at a VM that stopped", result.Told == loadgen.ToldAnswer && result.Wrong == nil, result.Outcome)
	}
	r.report.StopSeconds = took.Seconds()
	r.say("VM %s has stopped after %.1f s", id, took.Seconds())
	return nil
}

// burst sends more payments from one hall than its upstreams can take.
func (r *run) burst(ctx context.Context) error {
	hall := r.halls[2]
	r.say("a burst of payments hits hall %s", hall)
	l := loadgen.Load{
		Streams: []loadgen.Stream{{Kind: loadgen.KindPay, Service: r.cfg.Plan.Services[1].Name, Rate: burstRate}},
		VMs:     r.fleet.Entries(hall), HTTP: r.fleet.ClientHTTP(hall), Duration: 1500 * time.Millisecond, Seed: 99, Origin: hall,
	}
	for n := range clientsPerHall {
		l.Clients = append(l.Clients, clientOf(2, 1000+n))
	}
	report := loadgen.Run(ctx, l)
	r.watch.addPaid(report.Paid)
	for _, name := range report.Names() {
		s := report.Kinds[name]
		r.say("of %d payments, %d were answered, %d told not run, %d unknown", s.Sent, s.Answered, s.NotRun, s.Unknown)
	}
	return nil
}

// fault notes what broke a promise; the first few are shown.
func (r *run) fault(text string) {
	const most = 12
	if len(r.faults) < most {
		r.faults = append(r.faults, strings.TrimSpace(text))
	}
}

// try counts one trial of a promise.
func (r *run) try(name, how string, held bool, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.promises[name]
	if !ok {
		p = &Promise{Name: name, How: how}
		r.promises[name] = p
	}
	if p.How == "" {
		p.How = how
	}
	p.Tried++
	if !held {
		p.Broken++
		r.fault(name + ": " + detail)
	}
}
