// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package demo

import (
	"fmt"
	"slices"
	"strings"

	"github.com/ryehill/ryehill/internal/loadgen"
)

// Names of the promises, in the order of the brief.
const (
	promiseCap     = "a shift never moves more than its cap"
	promiseLoad    = "no region gets more load than it can carry"
	promiseAnswers = "every client gets its own complete answer"
	promiseNotRun  = "what is reported as not run was not run"
	promiseOnce    = "what may not be repeated runs at most once"
	promiseLeaving = "a leaving upstream gets no new work"
	promiseStop    = "a planned stop cuts off no request"
	promiseConfig  = "accepted configuration is in force and never reverts"
)

var allPromises = []string{
	promiseCap, promiseLoad, promiseAnswers, promiseNotRun, promiseOnce, promiseLeaving, promiseStop, promiseConfig,
}

// judge compares what clients were told with what upstreams counted, and fills
// in the report.
func (r *run) judge(l *loadgen.Report) {
	r.watch.addPaid(l.Paid)
	runs := make(map[string]int)
	for id, worker := range r.fleet.Workers() {
		c := worker.Counts()
		for key, n := range c.Runs {
			runs[key] += n
		}
		// A worker sheds what comes beyond its slots, so each one shed was
		// sent by a decision that gave it more than it can carry.
		r.tryMany(promiseLoad, "requests that reached upstreams; those beyond their slots are broken", int(c.Answered+c.Shed), int(c.Shed),
			fmt.Sprintf("%s shed %d", id, c.Shed))
	}
	for key, told := range r.watch.paid {
		r.try(promiseOnce, "payments with a ticket, answers lost, asked again", runs[key] <= 1, fmt.Sprintf("%s ran %d times", key, runs[key]))
		switch told {
		case loadgen.ToldNotRun:
			r.try(promiseNotRun, "payments told not run", runs[key] == 0, key+" ran")
		case loadgen.ToldAnswer:
			r.try(promiseOnce, "", runs[key] == 1, fmt.Sprintf("%s was answered and ran %d times", key, runs[key]))
		case loadgen.ToldUnknown:
		}
	}
	for name, s := range l.Kinds {
		if !strings.HasPrefix(name, string(loadgen.KindLookup)) {
			r.tryMany(promiseAnswers, "answers compared to the last byte", int(s.Answered), int(s.Wrong), name)
		}
		if strings.HasPrefix(name, string(loadgen.KindUpload)) {
			r.tryMany(promiseStop, "", int(s.Sent), int(s.Unknown), fmt.Sprintf("%s: %d cut off", name, s.Unknown))
		}
	}
	r.fill(l)
}

func (r *run) tryMany(name, how string, tried, broken int, detail string) {
	if tried == 0 {
		return
	}
	r.try(name, how, broken == 0, detail)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.promises[name].Tried += tried - 1
	r.promises[name].Broken += max(0, broken-1)
}

func (r *run) fill(l *loadgen.Report) {
	r.report.Latency = l.Kinds
	r.report.Refusals = l.Refusals
	r.report.Faults = slices.Concat(l.Faults, r.faults)
	for _, name := range allPromises {
		p, ok := r.promises[name]
		if !ok {
			p = &Promise{Name: name}
		}
		r.report.Promises = append(r.report.Promises, *p)
	}
	for _, region := range r.cfg.Plan.Regions {
		r.report.Headroom = append(r.report.Headroom, Headroom{
			Region: region, Shift: r.watch.least[phaseShift][region],
			Drain: r.watch.least[phaseDrain][region], After: r.watch.now[region],
		})
	}
}
