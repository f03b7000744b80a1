// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package experiment measures ryehill against its own baselines, each pair in
// one run, so that what the machine does meanwhile touches both alike.
//
// # Usage
//
//	err := experiment.Run(ctx, "overhead", os.Stdout)
package experiment

import (
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/internal/fleet"
)

var experiments = map[string]func(context.Context, *tabwriter.Writer) error{
	"overhead":  overhead,
	"overload":  overload,
	"admission": admissionTable,
	"choice":    choice,
	"lending":   lending,
	"limits":    limits,
	"regions":   regions,
	"rests":     rests,
	"rollout":   rollouts,
	"stop":      stopping,
	"steps":     steps,
	"scale":     scale,
	"table":     table,
}

// Names returns the names of all experiments in order.
func Names() []string { return slices.Sorted(maps.Keys(experiments)) }

// Run carries out one experiment and prints its table.
func Run(ctx context.Context, name string, out io.Writer) error {
	e, ok := experiments[name]
	if !ok {
		return errors.Newf("experiment %q: allowed are %v", name, Names())
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if err := e(ctx, w); err != nil {
		return err
	}
	return w.Flush()
}

// small is a fleet without delays: two halls with two VMs each.
func small(service fleet.ServicePlan) fleet.Plan {
	return fleet.Plan{
		Name: "experiment", Regions: []string{"east"}, Halls: 2, VMs: 2, Services: []fleet.ServicePlan{service},
		TTL: 200 * time.Millisecond, Step: 200 * time.Millisecond,
	}
}

// times collects latencies. It is safe for concurrent use.
type times struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newTimes() *times {
	const longest, figures = 60_000_000, 3
	return &times{h: hdrhistogram.New(1, longest, figures)}
}

func (t *times) add(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.h.RecordValue(max(d.Microseconds(), 1))
}

func (t *times) millis(quantile float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.h.ValueAtQuantile(quantile)) / 1000
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

func until(ctx context.Context, what string, condition func() bool) error {
	const patience = 30 * time.Second
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Newf("not in time: %s", what)
		case <-ticker.C:
		}
	}
	return nil
}
