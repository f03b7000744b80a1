// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/state/worker"
)

const (
	// coldCheckInterval is the time between two requests for the health of a worker while
	// the store is silent.
	coldCheckInterval = 500 * time.Millisecond
	// coldCheckGrace is how long workers are still asked after a silence of the store, until
	// their entries of that time have arrived.
	coldCheckGrace = 3 * time.Second
	// maxColdChecks bounds the workers that are asked for their health at a time.
	maxColdChecks = 16
	// maxColdNotices bounds the VMs that are told at once of a worker that has turned cold. The
	// others hear of it with the usual messages.
	maxColdNotices = 32
)

// coldLoop asks workers whether they are cold while the store is silent, and shortly after. A
// worker can turn cold at any moment, and else only its entry in the store tells of it.
func (g *Gateway) coldLoop(ctx context.Context) {
	ticker := time.NewTicker(coldCheckInterval)
	defer ticker.Stop()
	var until time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := clock.Now()
		// A VM that has just started has heard nothing of the store yet, which is no silence.
		if confirmed := g.replica.ConfirmedAt(g.cfg.Codec.WorkerKind()); !confirmed.IsZero() && now.Sub(confirmed) > worker.StoreSilentAfter {
			until = now.Add(coldCheckGrace)
		}
		if s := g.snapshot.Load(); s != nil && !g.isolation.monitor.Isolated() && now.Before(until) {
			g.checkCold(ctx, s)
		}
	}
}

// checkCold asks the workers whose cold rate this VM owns for their health, so that each is
// asked by one VM. It omits those that are known to be cold or get no requests.
func (g *Gateway) checkCold(ctx context.Context, s *placement.Snapshot) {
	availability := g.placer.Availability(s)
	workers := slices.DeleteFunc(g.cold.Owned(s.Workers.All()), func(w *worker.Worker) bool {
		service, _ := s.Routes.Service(w.Service)
		_, ready := availability(w).(worker.Ready)
		return service.HealthPath == "" || service.ColdRate <= 0 || !ready || g.placer.IsCold(s, w)
	})
	var pending sync.WaitGroup
	slots := make(chan struct{}, maxColdChecks)
	for _, w := range workers {
		slots <- struct{}{}
		pending.Go(func() {
			defer func() { <-slots }()
			g.askCold(ctx, s, w)
		})
	}
	pending.Wait()
}

// askCold asks a worker for its health and applies the cold time in the response, if any.
func (g *Gateway) askCold(ctx context.Context, s *placement.Snapshot, w *worker.Worker) {
	service, _ := s.Routes.Service(w.Service)
	if remaining := g.ingress.ColdTime(ctx, s, w, service.HealthPath); remaining > 0 {
		if g.applyCold(w, worker.Cold{Until: clock.Now().Add(remaining), From: worker.FromResponse}) {
			g.tellRegion(ctx)
		}
	}
}

// applyCold applies the cold time of a worker, by its own response or from another VM. It
// reports whether the worker was not known to be cold.
func (g *Gateway) applyCold(w *worker.Worker, cold worker.Cold) (first bool) {
	first = g.loads.GetOrCreate(w.Incarnation()).Observe(cold)
	if first {
		g.log.V(1).Info("workers: cold by its health", "worker", w.ID, "from", cold.From, "for_ms", clock.Until(cold.Until).Milliseconds())
	}
	return first
}

// tellRegion sends the signals of workers to other VMs of the region at once.
func (g *Gateway) tellRegion(ctx context.Context) {
	told := 0
	for _, m := range g.members.Others() {
		if m.State != membership.StateLive || !g.inRegion(m) {
			continue
		}
		if told++; told > maxColdNotices {
			return
		}
		go g.probe(ctx, m)
	}
}
