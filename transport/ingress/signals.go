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

// reasonSignal is the reason under which log lines on worker signals are limited.
const reasonSignal = "signal"

// readSignals applies the signals of a worker in a response header, whatever the status
// is and whether or not the body arrives. It returns how many requests are queued at the
// worker.
func (q *request) readSignals(c placement.Choice, status int, header http.Header) (waiting int) {
	cfg := &q.handler.cfg
	if running, queued, ok := cfg.Dialect.Load(header); ok {
		c.Load().RecordReport(running, queued)
		waiting = queued
	}
	if cfg.Dialect.Leaving(header) {
		now := cfg.Now()
		q.applySignal(c, worker.Leaving{DrainWindow: worker.DrainWindow{ObservedAt: now, Until: now.Add(cfg.LeavingGrace)}, From: worker.FromResponse})
	}
	if rest, asked := cfg.Dialect.Backoff(status, header); asked {
		q.applySignal(c, worker.Rest{For: rest})
	}
	q.readRateLimit(c, status, header)
	return waiting
}

// readRateLimit applies the rate limit that a response declares. A missing limit ends an
// earlier one only in a successful response, since errors may omit the header.
func (q *request) readRateLimit(c placement.Choice, status int, header http.Header) {
	cfg := &q.handler.cfg
	perSecond, err := cfg.Dialect.RateLimit(header)
	limit := worker.RateLimit{PerSecond: perSecond, SentAt: q.sentAt, ReceivedAt: cfg.Now(), From: worker.FromResponse}
	switch {
	case err != nil:
		q.addInput("signal", c.Worker().ID+" names a limit that cannot be read: "+err.Error())
	case limit.Finite() || status < http.StatusMultipleChoices:
		q.applySignal(c, limit)
	}
}

// applySignal applies a signal to the worker's state and adds it to the decision record.
// It logs the signal if it is the first of its kind.
func (q *request) applySignal(c placement.Choice, signal worker.Signal) {
	w, first := c.Worker(), c.Load().Observe(signal)
	metrics := q.handler.cfg.Metrics
	switch s := signal.(type) {
	case worker.Leaving:
		q.addInput("signal", w.ID+" says that it leaves")
		if first {
			metrics.SaidLeaving(w.Service)
			q.logSignal("workers: one says that it leaves", w, "leaving_in_store", w.Leaving, "gets_requests_for_ms", s.Until.Sub(s.ObservedAt).Milliseconds())
		}
	case worker.Rest:
		q.addInput("signal", fmt.Sprintf("%s asks for %s of rest", w.ID, s.For.Round(time.Millisecond)))
		metrics.AskedForRest(w.Service)
		if first {
			q.logSignal("workers: one asks for rest", w, "for_ms", s.For.Milliseconds())
		}
	case worker.RateLimit:
		if s.Finite() {
			q.addInput("signal", fmt.Sprintf("%s takes %.1f a second from all VMs", w.ID, s.PerSecond))
			metrics.NamedLimit(w.Service)
		}
		if first {
			q.logRateLimit(w, s)
		}
	}
}

// logRateLimit logs that the rate limit declared by a worker was set, changed or removed.
func (q *request) logRateLimit(w worker.Worker, r worker.RateLimit) {
	if r.Finite() {
		q.logSignal("workers: one takes a limited rate from all VMs", w, "per_s", r.PerSecond)
		return
	}
	q.logSignal("workers: one no longer names a limit", w)
}

// logSignal logs a line on a signal, unless too many were logged.
func (h *Handler) logSignal(message string, w worker.Worker, requestID string, values ...any) {
	suppressed, ok := h.logLimiter.allow(reasonSignal)
	if !ok {
		h.cfg.Metrics.LogLeftOut(reasonSignal)
		return
	}
	values = append([]any{"worker", w.ID, "service", w.Service, "hall", w.Hall, "request", requestID}, values...)
	if suppressed > 0 {
		values = append(values, "left_out_before", suppressed)
	}
	h.cfg.Log.Info(message, values...)
}

func (q *request) logSignal(message string, w worker.Worker, values ...any) {
	q.handler.logSignal(message, w, q.id, values...)
}
