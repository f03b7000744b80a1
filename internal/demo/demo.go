// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package demo runs a fleet at a user's sizes through load, a shift onto cold
// caches, a drain, failures and a change of configuration, and reports latency,
// headroom, drain time and every promise: how often it was tried, how often it
// was broken.
//
// Nothing in a report is assumed. What clients were told is compared with what
// the upstreams counted, and a promise that nothing tried says so.
//
// # Usage
//
//	report, err := demo.Run(ctx, demo.Config{Plan: fleet.Kelani(), Duration: 34 * time.Second})
package demo

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/ryehill/ryehill/coordination/intent"
	"github.com/ryehill/ryehill/internal/fleet"
	"github.com/ryehill/ryehill/internal/loadgen"
	"github.com/ryehill/ryehill/internal/standin"
	"github.com/ryehill/ryehill/state/share"
)

// DefaultDuration is how long the load runs.
const DefaultDuration = 32 * time.Second

// LeastDuration leaves each part of the run the time that it needs.
const LeastDuration = 25 * time.Second

// Config sets up a run. Plan is required.
type Config struct {
	Plan     fleet.Plan
	Duration time.Duration
	// Progress gets a line for each event, if set.
	Progress io.Writer
	Log      logr.Logger
}

// Promise is one line of what must always hold.
type Promise struct {
	Name string `json:"name"`
	// Tried is how often the run put it to the test, Broken how often it did
	// not hold.
	Tried  int    `json:"tried"`
	Broken int    `json:"broken"`
	How    string `json:"how"`
}

// Headroom is the spare capacity of a region: the part of usable slots not in
// use, of the service that has least.
type Headroom struct {
	Region string  `json:"region"`
	Shift  float64 `json:"least_during_shift"`
	Drain  float64 `json:"least_during_drain"`
	After  float64 `json:"after"`
}

// Report is the result of a run.
type Report struct {
	Fleet        string                      `json:"fleet"`
	Latency      map[string]*loadgen.Summary `json:"latency"`
	Headroom     []Headroom                  `json:"headroom"`
	DrainSeconds float64                     `json:"drain_seconds"`
	StopSeconds  float64                     `json:"stop_seconds"`
	InForce      float64                     `json:"configuration_seconds"`
	Promises     []Promise                   `json:"promises"`
	Faults       []string                    `json:"faults,omitempty"`
	Refusals     map[string]int              `json:"refusals,omitempty"`
}

// Broken returns how many promises were broken.
func (r *Report) Broken() int {
	broken := 0
	for _, p := range r.Promises {
		if p.Broken > 0 {
			broken++
		}
	}
	return broken
}

// Numbers of the run.
const (
	clientsPerHall  = 64
	readsPerHall    = 100.0
	paysPerHall     = 5.0
	uploadsPerHall  = 1.5
	uploadBytes     = 256 << 10
	uploadOver      = 700 * time.Millisecond
	readBytes       = 2 << 10
	shiftShare      = 30 * share.Percent
	shiftCap        = 20 * share.Percent
	leavingGrace    = 3 * time.Second
	configGrace     = 14 * time.Second
	burstRate       = 900.0
	samplesInterval = 100 * time.Millisecond
)

// run is one run under way.
type run struct {
	cfg   Config
	fleet *fleet.Fleet
	op    *fleet.Operator
	halls []string
	began time.Time
	watch *watcher

	mu       sync.Mutex
	promises map[string]*Promise
	faults   []string
	report   Report
}

// Run runs the demo. The error says why it could not be carried out; broken
// promises are in the report.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if cfg.Duration == 0 {
		cfg.Duration = DefaultDuration
	}
	if cfg.Duration < LeastDuration {
		return Report{}, errors.Newf("demo: duration=%s: allowed are %s and above", cfg.Duration, LeastDuration)
	}
	if cfg.Progress == nil {
		cfg.Progress = io.Discard
	}
	f, err := fleet.Start(cfg.Plan, fleet.Options{Log: cfg.Log})
	if err != nil {
		return Report{}, err
	}
	defer f.Close()
	r := &run{cfg: cfg, fleet: f, halls: f.Halls(), began: time.Now(), promises: make(map[string]*Promise)}
	r.op = f.Operator(f.VMs()[0])
	r.report.Fleet = cfg.Plan.Name
	return r.all(ctx)
}

func (r *run) say(format string, args ...any) {
	_, _ = fmt.Fprintf(r.cfg.Progress, "%5.1fs  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *run) all(ctx context.Context) (Report, error) {
	r.say("%d VMs in %d halls serve; caches are cold; load begins", len(r.fleet.VMs()), len(r.halls))
	r.watch = newWatcher(r)
	progress := loadgen.NewProgress()
	loads := r.loads(progress)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { r.watch.watch(ctx) })
	done := make(chan loadgen.Report, 1)
	go func() { done <- loadgen.Run(ctx, loads...) }()

	events := r.events(ctx, progress)
	cancelEvents := ctx.Err()
	report := <-done
	cancel()
	background.Wait()
	if events != nil {
		return Report{}, events
	}
	if cancelEvents != nil {
		return Report{}, cancelEvents
	}
	r.judge(&report)
	return r.report, nil
}

// loads are the clients of each hall, and a burst of payments from one hall,
// larger than its upstreams can take, near the end.
func (r *run) loads(progress *loadgen.Progress) []loadgen.Load {
	services := r.cfg.Plan.Services
	var loads []loadgen.Load
	for i, hall := range r.halls {
		l := loadgen.Load{
			Streams: []loadgen.Stream{
				{Kind: loadgen.KindRead, Service: services[0].Name, Rate: readsPerHall, Size: readBytes},
				{Kind: loadgen.KindPay, Service: services[1].Name, Rate: paysPerHall},
				{Kind: loadgen.KindUpload, Service: services[2].Name, Rate: uploadsPerHall, Size: uploadBytes, Over: uploadOver},
				{Kind: loadgen.KindLookup, Service: services[0].Name, Rate: paysPerHall},
			},
			VMs: r.fleet.Entries(hall), HTTP: r.fleet.ClientHTTP(hall), Duration: r.cfg.Duration,
			Seed: uint64(i + 1), Origin: hall,
		}
		for n := range clientsPerHall {
			l.Clients = append(l.Clients, clientOf(i, n))
		}
		if i == 0 {
			l.Progress = progress
		}
		loads = append(loads, l)
	}
	return loads
}

func clientOf(hall, n int) netip.Addr { return fleet.Client(hall, 256+n) }

// events carries out the parts of the run, one after the other.
func (r *run) events(ctx context.Context, progress *loadgen.Progress) error {
	steps := []struct {
		at   float64 // part of the duration
		what func(context.Context) error
	}{
		{0.06, func(ctx context.Context) error { return r.shift(ctx, progress) }},
		{0.22, r.loseAnswers},
		{0.30, r.leaveUpstream},
		{0.34, r.changeConfig},
		{0.42, r.drain},
		{0.72, r.stopVM},
		{0.88, r.burst},
	}
	for _, s := range steps {
		due := time.Until(r.began.Add(time.Duration(s.at * float64(r.cfg.Duration))))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(max(due, 0)):
		}
		if err := s.what(ctx); err != nil {
			return err
		}
	}
	return nil
}

// shift moves reads from the first hall to a hall of the next region, whose
// caches have seen only their own clients.
func (r *run) shift(ctx context.Context, progress *loadgen.Progress) error {
	from, to := r.halls[0], r.halls[r.cfg.Plan.Halls]
	limit := shiftCap
	service := r.cfg.Plan.Services[0].Name
	id, err := r.op.CarryOut(ctx, intent.Shift{Service: service, From: from, To: to, Share: shiftShare, Cap: &limit})
	if err != nil {
		return err
	}
	r.say("shift %s: %s of %s from %s to %s, cap %s", id, shiftShare, service, from, to, shiftCap)
	r.watch.followCap(service, from, progress)
	r.watch.enter(phaseShift)
	return nil
}

// loseAnswers lets workers of the payment service run requests and then close
// without an answer, so that clients ask again.
func (r *run) loseAnswers(context.Context) error {
	const each = 2
	service := r.cfg.Plan.Services[1].Name
	for i := range len(r.halls) {
		r.fleet.Worker(fmt.Sprintf("%s-%d", service, i+1)).SetFaults(standin.UpstreamFaults{DropRequests: each})
	}
	r.watch.enter(phaseOther)
	r.say("a worker of %s in each hall loses the answers of %d requests that it ran", service, each)
	return nil
}

// leaveUpstream lets a worker leave while its health and load endpoints hide it.
func (r *run) leaveUpstream(context.Context) error {
	id := fmt.Sprintf("%s-%d", r.cfg.Plan.Services[0].Name, 2)
	worker := r.fleet.Worker(id)
	left := time.Now()
	worker.SetFaults(standin.UpstreamFaults{Leaving: true, Quiet: true})
	r.say("upstream %s leaves, and its health and load endpoints hide it", id)
	r.watch.followLeaving(worker, left)
	return nil
}
