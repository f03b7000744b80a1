// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"fmt"
	"net/http"
	"time"

	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/state/worker"
)

// reasonSignal bounds the lines on what workers say of themselves.
const reasonSignal = "signal"

// hear takes in what a worker says of itself in the head of an answer, whatever the
// answer is and whether or not its body comes through. It returns how many requests
// wait at the worker.
func (q *request) hear(c placement.Choice, status int, header http.Header) (waiting int) {
	cfg := &q.handler.cfg
	if running, queued, ok := cfg.Dialect.Load(header); ok {
		c.Load().RecordReport(running, queued)
		waiting = queued
	}
	if cfg.Dialect.Leaving(header) {
		now := cfg.Now()
		q.hearSignal(c, worker.Leaving{DrainWindow: worker.DrainWindow{ObservedAt: now, Until: now.Add(cfg.LeaveWithin)}, From: worker.FromResponse})
	}
	if rest, asked := cfg.Dialect.Rest(status, header); asked {
		q.hearSignal(c, worker.Rest{For: rest})
	}
	q.hearLimit(c, status, header)
	return waiting
}

// hearLimit takes in the limit that a worker names in an answer, or that it names none.
// That counts in a success alone: a refusal or a failure may lack what others say.
func (q *request) hearLimit(c placement.Choice, status int, header http.Header) {
	cfg := &q.handler.cfg
	perS, err := cfg.Dialect.RateLimit(header)
	limit := worker.RateLimit{PerSecond: perS, SentAt: q.sent, ReceivedAt: cfg.Now(), From: worker.FromResponse}
	switch {
	case err != nil:
		q.note("signal", c.Worker().ID+" names a limit that cannot be read: "+err.Error())
	case limit.Finite() || status < http.StatusMultipleChoices:
		q.hearSignal(c, limit)
	}
}

// hearSignal takes in one signal, notes it of the request and, if it is the first of
// its kind that holds, logs it.
func (q *request) hearSignal(c placement.Choice, signal worker.Signal) {
	w, first := c.Worker(), c.Load().Observe(signal)
	metrics := q.handler.cfg.Metrics
	switch s := signal.(type) {
	case worker.Leaving:
		q.note("signal", w.ID+" says that it leaves")
		if first {
			metrics.SaidLeaving(w.Service)
			q.logSignal("workers: one says that it leaves", w, "leaving_in_store", w.Leaving, "gets_requests_for_ms", s.Until.Sub(s.ObservedAt).Milliseconds())
		}
	case worker.Rest:
		q.note("signal", fmt.Sprintf("%s asks for %s of rest", w.ID, s.For.Round(time.Millisecond)))
		metrics.AskedForRest(w.Service)
		if first {
			q.logSignal("workers: one asks for rest", w, "for_ms", s.For.Milliseconds())
		}
	case worker.RateLimit:
		if s.Finite() {
			q.note("signal", fmt.Sprintf("%s takes %.1f a second from all VMs", w.ID, s.PerSecond))
			metrics.NamedLimit(w.Service)
		}
		if first {
			q.logLimit(w, s)
		}
	}
}

// logLimit writes that a worker begins or ceases to name a limit, or names another one.
func (q *request) logLimit(w worker.Worker, r worker.RateLimit) {
	if r.Finite() {
		q.logSignal("workers: one takes a limited rate from all VMs", w, "per_s", r.PerSecond)
		return
	}
	q.logSignal("workers: one no longer names a limit", w)
}

// logSignal writes a bounded number of lines on signals.
func (q *request) logSignal(message string, w worker.Worker, values ...any) {
	leftOut, ok := q.handler.lines.allow(reasonSignal)
	if !ok {
		q.handler.cfg.Metrics.LogLeftOut(reasonSignal)
		return
	}
	values = append([]any{"worker", w.ID, "service", w.Service, "hall", w.Hall, "request", q.id}, values...)
	if leftOut > 0 {
		values = append(values, "left_out_before", leftOut)
	}
	q.handler.cfg.Log.Info(message, values...)
}
