// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/state/decision"
)

const (
	// keptFailed and keptAnswered bound the decisions that are remembered.
	// Failed requests are asked about, so more of them are kept.
	keptFailed, keptAnswered = 2048, 512
	// linesPerSecond and linesAtOnce bound the log lines for each reason.
	linesPerSecond, linesAtOnce = 20, 50
	// lateAfter is how long an answered request may take before it is logged
	// and kept like a failed one, if its route names no objective.
	lateAfter = time.Second
)

// Decisions are the last decisions on requests, found by the request's id.
// It is safe for concurrent use.
type Decisions struct {
	failed, answered *decision.Log
}

// NewDecisions returns an empty log.
func NewDecisions() *Decisions {
	return &Decisions{
		failed:   decision.New(decision.Config{Capacity: keptFailed}),
		answered: decision.New(decision.Config{Capacity: keptAnswered}),
	}
}

// Find returns the decision on a request.
func (d *Decisions) Find(id string) (decision.Record, bool) {
	if r, ok := d.failed.Find(id); ok {
		return r, true
	}
	return d.answered.Find(id)
}

// note adds an input to the record of a request.
func (q *request) note(name, value string) {
	q.record.Inputs = append(q.record.Inputs, decision.Input{Name: name, Value: value})
}

// noteChoice notes which workers were looked at for a try.
func (q *request) noteChoice(number int, c placement.Choice, refusal placement.Refusal) {
	seen := make([]string, 0, len(c.Considered()))
	for _, w := range c.Considered() {
		seen = append(seen, w.String())
	}
	text := strings.Join(seen, "; ")
	if refusal != placement.RefusalNone {
		text = string(refusal) + ": " + text
	}
	q.note(fmt.Sprintf("choice %d", number), text)
	if c.SteeringReason() != "" {
		q.note("steered", c.SteeringReason())
	}
	if c.SkippedHolder() != "" {
		q.note("passed over", c.SkippedHolder())
	}
}

// noteTry notes how a try ended.
func (q *request) noteTry(number int, c placement.Choice, begun time.Time, f *failure) {
	text := "answered"
	if f != nil {
		text = string(f.cause)
		if f.notRun {
			text += ", not run"
		} else {
			text += ", may have run"
		}
		if f.err != nil {
			text += ": " + f.err.Error()
		}
	}
	took := q.since(begun).Milliseconds()
	q.note(fmt.Sprintf("try %d", number), fmt.Sprintf("%s at %s after %d ms", text, c.Worker().ID, took))
}

// finish keeps the record of a request, and logs it if it failed or was late.
func (q *request) finish(reason string, status int) {
	took := q.since(q.arrived)
	q.record.ID, q.record.Time, q.record.VM = q.id, q.arrived, q.handler.cfg.VM
	q.record.Subject = q.subject()
	q.record.Rule = reason
	q.record.Result = fmt.Sprintf("status %d after %d ms", status, took.Milliseconds())
	if q.route != nil {
		q.note("route", q.route.Name+" to "+q.service)
	}
	if age := q.handler.cfg.Age; age != nil {
		q.record.Inputs = append(q.record.Inputs, decision.Input{Name: "workers and configuration", Value: "as the store had them", Age: age()})
	}
	late := took >= q.lateAfter()
	q.handler.losses.ended(q.service, q.lossCause(reason, late))
	if reason == reasonAnswered && !late {
		q.handler.cfg.Decisions.answered.Add(q.record)
		return
	}
	if reason == reasonAnswered {
		q.record.Rule = reasonLate
	}
	q.handler.cfg.Decisions.failed.Add(q.record)
	q.handler.lines.log(q)
}

func (q *request) lateAfter() time.Duration {
	if q.route != nil && q.route.Objective > 0 {
		return q.route.Objective
	}
	return lateAfter
}

// lines bounds the log lines for each reason, and counts what it leaves out.
type lines struct {
	mu      sync.Mutex
	reasons map[string]*limit
}

type limit struct {
	limiter *rate.Limiter
	leftOut int
}

func newLines() *lines { return &lines{reasons: make(map[string]*limit)} }

// allow reports whether a line may be written, and how many of its reason were
// left out since the last one.
func (l *lines) allow(reason string) (leftOut int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, known := l.reasons[reason]
	if !known {
		m = &limit{limiter: rate.NewLimiter(linesPerSecond, linesAtOnce)}
		l.reasons[reason] = m
	}
	if !m.limiter.Allow() {
		m.leftOut++
		return 0, false
	}
	leftOut, m.leftOut = m.leftOut, 0
	return leftOut, true
}

func (l *lines) log(q *request) {
	r := &q.record
	leftOut, ok := l.allow(r.Rule)
	if !ok {
		q.handler.cfg.Metrics.LogLeftOut(r.Rule)
		return
	}
	values := []any{"request", r.ID, "reason", r.Rule, "result", r.Result, "subject", r.Subject, "version", r.Generation}
	for _, in := range r.Inputs {
		value := in.Value
		if in.Age > 0 {
			value += ", " + strconv.FormatInt(in.Age.Milliseconds(), 10) + " ms ago"
		}
		values = append(values, in.Name, value)
	}
	if leftOut > 0 {
		values = append(values, "left_out_before", leftOut)
	}
	q.handler.cfg.Log.Info("ingress: request "+outcomeWord(r.Rule), values...)
}

func outcomeWord(reason string) string {
	if reason == reasonLate {
		return "late"
	}
	return "failed"
}
