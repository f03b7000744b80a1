// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/ryehill/ryehill/coordination/assign"
	"github.com/ryehill/ryehill/coordination/capacity"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/state/view"
)

const (
	pollTimeout = time.Second
	// pollsAtOnce bounds the polls under way.
	pollsAtOnce = 16
	// maxPollBody bounds the answer to a poll, in bytes.
	maxPollBody = 4 << 10
	// assignInterval is how often the division of upstreams is looked at
	// without a cause.
	assignInterval = time.Second
	gaugeInterval  = 2 * time.Second
)

// assignLoop divides the hall's upstreams among its VMs whenever the
// configuration or the members have changed.
func (d *Daemon) assignLoop(ctx context.Context) {
	ticker := time.NewTicker(assignInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		d.assign()
		select {
		case <-ctx.Done():
		case <-d.reassign:
		case <-d.members.Changed():
		case <-ticker.C:
		}
	}
}

func (d *Daemon) assign() {
	v := d.view.Load()
	vms := d.owningVMs()
	d.noteLeavers(v)
	leaving := d.store.VMs().Leaving
	others := make(map[string][]string)
	grown := false
	for _, name := range v.Services() {
		service, _ := v.Service(name)
		mine, rest := d.divide(v, service, vms, leaving)
		others[name] = rest
		pool := d.pools.Get(name)
		pool.SetHeadroom(v.Fleet().Headroom())
		grown = grown || len(mine) > len(pool.OwnedWorkers())
		pool.SetWorkers(mine)
	}
	d.owner.Store(&others)
	for _, l := range v.Fleet().Links {
		if l.From == d.cfg.Hall {
			d.links.SetLimit(l.To, l.BytesPerSecond, d.hallSize())
		}
	}
	if grown {
		d.signal(d.pollNow)
	}
}

// hallSize counts the VMs that a link is divided among: all that may be alive.
func (d *Daemon) hallSize() int {
	size := 1
	for _, m := range d.members.Others() {
		if m.Hall == d.cfg.Hall {
			size++
		}
	}
	return size
}

// divide returns the own workers of a service and the other VMs that own some.
func (d *Daemon) divide(v *view.View, s *spec.Service, vms, leaving []string) (mine []capacity.Worker, others []string) {
	var inHall []spec.Worker
	var names []string
	for _, w := range s.Workers {
		if w.Hall == d.cfg.Hall {
			inHall = append(inHall, w)
			names = append(names, w.ID)
		}
	}
	owners := assign.Owners(names, vms)
	for _, w := range inHall {
		owner := owners[w.ID]
		if owner == d.cfg.VM {
			own := poolWorker(s, w, v.IsLeaving(w.ID) || contains(leaving, w.ID))
			own.LeavingStart = d.leavers.start(w.ID)
			mine = append(mine, own)
		} else if owner != "" && !contains(others, owner) {
			others = append(others, owner)
		}
	}
	return mine, others
}

func poolWorker(s *spec.Service, w spec.Worker, leaving bool) capacity.Worker {
	cold := s.ColdAnswers
	if cold == 0 {
		cold = spec.DefaultColdAnswers
	}
	connections := w.Connections
	if connections == 0 {
		connections = spec.DefaultConnections
	}
	return capacity.Worker{
		ID: w.ID, Address: w.Address, Slots: w.Slots, Connections: connections,
		ColdAnswers: cold, Leaving: leaving,
	}
}

// pollLoop asks owned upstreams for their load.
func (d *Daemon) pollLoop(ctx context.Context) {
	ticker := time.NewTicker(d.cfg.PollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		d.pollAll(ctx)
		select {
		case <-ctx.Done():
		case <-d.pollNow:
		case <-ticker.C:
		}
	}
}

func (d *Daemon) pollAll(ctx context.Context) {
	var wg sync.WaitGroup
	free := make(chan struct{}, pollsAtOnce)
	for _, service := range d.view.Load().Services() {
		pool := d.pools.Get(service)
		for _, w := range pool.OwnedWorkers() {
			free <- struct{}{}
			wg.Go(func() {
				defer func() { <-free }()
				d.poll(ctx, pool, w)
			})
		}
	}
	wg.Wait()
}

// workerLoad is the JSON answer of an upstream's load endpoint.
type workerLoad struct {
	Start    uint64 `json:"start"`
	InFlight int    `json:"in_flight"`
	Leaving  bool   `json:"leaving"`
	Answered uint64 `json:"answered"`
}

func (d *Daemon) poll(ctx context.Context, pool *capacity.Pool, w capacity.Worker) {
	var l workerLoad
	status, err := d.ask(ctx, w.Address, "/load", &l)
	if err != nil || status != http.StatusOK {
		pool.RecordUnreachable(w.ID)
		return
	}
	var health struct {
		Leaving bool `json:"leaving"`
	}
	status, err = d.ask(ctx, w.Address, "/health", &health)
	if err != nil || (status != http.StatusOK && !health.Leaving) {
		// Unhealthy for no stated cause: no work until it recovers.
		pool.RecordUnreachable(w.ID)
		return
	}
	pool.Report(w.ID, capacity.Report{
		Start: l.Start, InFlight: l.InFlight, Answered: l.Answered, Leaving: l.Leaving || health.Leaving,
	})
}

func (d *Daemon) ask(ctx context.Context, address, path string, into any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, err
	}
	res, err := d.polls.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxPollBody))
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(body, into); err != nil && res.StatusCode == http.StatusOK {
		return 0, err
	}
	return res.StatusCode, nil
}

// gaugeLoop keeps the gauges of the metrics.
func (d *Daemon) gaugeLoop(ctx context.Context) {
	every(ctx, gaugeInterval, func() {
		for _, service := range d.view.Load().Services() {
			s := d.pools.Get(service).Status()
			d.metrics.Pool(service, s.InUse, s.Free, s.Lent, s.OldestReport)
		}
		states := make(map[string]int)
		for _, m := range d.members.Others() {
			states[m.State.String()]++
		}
		for _, state := range []string{"live", "suspect", "leaving", "gone"} {
			d.metrics.Members(state, states[state])
		}
	})
}
