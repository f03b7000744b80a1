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
	// failedCapacity and answeredCapacity limit the decision records kept in
	// memory. Failed requests are looked up more often, so their limit is higher.
	failedCapacity, answeredCapacity = 2048, 512
	// logLinesPerSecond and logBurst limit the log lines for each reason.
	logLinesPerSecond, logBurst = 20, 50
	// defaultObjective is the latency above which an answered request is logged
	// and kept like a failed one, if its route has no objective.
	defaultObjective = time.Second
)

// Decisions keeps the most recent decision records of requests, by request id.
// It is safe for concurrent use.
type Decisions struct {
	failed, answered *decision.Log
}

// NewDecisions returns an empty Decisions.
func NewDecisions() *Decisions {
	return &Decisions{
		failed:   decision.New(decision.Config{Capacity: failedCapacity}),
		answered: decision.New(decision.Config{Capacity: answeredCapacity}),
	}
}

// Find returns the decision record of a request.
func (d *Decisions) Find(id string) (decision.Record, bool) {
	if r, ok := d.failed.Find(id); ok {
		return r, true
	}
	return d.answered.Find(id)
}

// addInput adds an input to the decision record of the request.
func (q *request) addInput(name, value string) {
	q.record.Inputs = append(q.record.Inputs, decision.Input{Name: name, Value: value})
}

// recordChoice records which workers were considered for an attempt.
func (q *request) recordChoice(attemptNumber int, c placement.Choice, refusal placement.Refusal) {
	considered := make([]string, 0, len(c.Considered()))
	for _, w := range c.Considered() {
		considered = append(considered, w.String())
	}
	text := strings.Join(considered, "; ")
	if refusal != placement.RefusalNone {
		text = string(refusal) + ": " + text
	}
	q.addInput(fmt.Sprintf("choice %d", attemptNumber), text)
	if c.SteeringReason() != "" {
		q.addInput("steered", c.SteeringReason())
	}
	if c.SkippedHolder() != "" {
		q.addInput("passed over", c.SkippedHolder())
	}
}

// recordAttempt records the outcome of an attempt.
func (q *request) recordAttempt(attemptNumber int, c placement.Choice, started time.Time, f *failure) {
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
	took := q.elapsed(started).Milliseconds()
	q.addInput(fmt.Sprintf("try %d", attemptNumber), fmt.Sprintf("%s at %s after %d ms", text, c.Worker().ID, took))
}

// recordOutcome stores the decision record of a finished request, and logs it if
// the request failed or was late.
func (q *request) recordOutcome(reason string, status int) {
	took := q.elapsed(q.arrivedAt)
	q.record.ID, q.record.Time, q.record.VM = q.id, q.arrivedAt, q.handler.cfg.VM
	q.record.Subject = q.subject()
	q.record.Rule = reason
	q.record.Result = fmt.Sprintf("status %d after %d ms", status, took.Milliseconds())
	if q.route != nil {
		q.addInput("route", q.route.Name+" to "+q.service)
	}
	q.addStateAge()
	late := took >= q.objective()
	q.handler.losses.countEnded(q.service, q.lossCause(reason, late))
	if reason == reasonAnswered && !late {
		q.handler.cfg.Decisions.answered.Add(q.record)
		return
	}
	if reason == reasonAnswered {
		q.record.Rule = reasonLate
	}
	q.handler.cfg.Decisions.failed.Add(q.record)
	q.handler.logLimiter.logRequest(q)
}

// addStateAge adds the age of the state that the decision rests on, if it is to be recorded.
func (q *request) addStateAge() {
	stateAge := q.handler.cfg.StateAge
	if stateAge == nil {
		return
	}
	in := decision.Input{Name: "workers and configuration", Value: "as the store had them"}
	if age, known := stateAge(); known {
		in.Age = age
	} else {
		in.Value += ", of unknown age"
	}
	q.record.Inputs = append(q.record.Inputs, in)
}

func (q *request) objective() time.Duration {
	if q.route != nil && q.route.Objective > 0 {
		return q.route.Objective
	}
	return defaultObjective
}

// logLimiter limits the log lines for each reason and counts the suppressed ones.
type logLimiter struct {
	mu       sync.Mutex
	byReason map[string]*reasonLimiter
}

type reasonLimiter struct {
	limiter    *rate.Limiter
	suppressed int
}

func newLogLimiter() *logLimiter { return &logLimiter{byReason: make(map[string]*reasonLimiter)} }

// allow reports whether a line may be logged, and how many lines with the same
// reason were suppressed since the last one.
func (l *logLimiter) allow(reason string) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, known := l.byReason[reason]
	if !known {
		entry = &reasonLimiter{limiter: rate.NewLimiter(logLinesPerSecond, logBurst)}
		l.byReason[reason] = entry
	}
	if !entry.limiter.Allow() {
		entry.suppressed++
		return 0, false
	}
	suppressed, entry.suppressed = entry.suppressed, 0
	return suppressed, true
}

func (l *logLimiter) logRequest(q *request) {
	r := &q.record
	suppressed, ok := l.allow(r.Rule)
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
	if suppressed > 0 {
		values = append(values, "left_out_before", suppressed)
	}
	q.handler.cfg.Log.Info("ingress: request "+outcomeName(r.Rule), values...)
}

func outcomeName(reason string) string {
	if reason == reasonLate {
		return "late"
	}
	return "failed"
}
