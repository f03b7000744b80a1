// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"fmt"
	"net/http"
	"time"

	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/state/worker"
	"github.com/ryehill/ryehill/transport/upstream"
)

// reasonSignal is the reason under which log lines on worker signals are limited.
const reasonSignal = "signal"

// signalReader applies the signals in a worker's response header to what this VM knows of the
// worker.
type signalReader struct {
	handler   *Handler
	worker    worker.Worker
	load      *worker.Load
	requestID string
	// sentAt is when the request was sent.
	sentAt time.Time
	// addInput adds a signal to the decision record of the request.
	addInput func(name, value string)
}

// signals returns the reader for a response of the chosen worker.
func (q *request) signals(c placement.Choice) signalReader {
	return signalReader{handler: q.handler, worker: c.Worker(), load: c.Load(), requestID: q.id, sentAt: q.sentAt, addInput: q.addInput}
}

// read applies the signals in a response header, whatever the status is and whether or not the
// body arrives. It returns how many requests are queued at the worker.
func (r signalReader) read(status int, header http.Header) (waiting int) {
	cfg := &r.handler.cfg
	if running, queued, ok := cfg.Dialect.Load(header); ok {
		r.load.RecordReport(running, queued)
		waiting = queued
	}
	if cfg.Dialect.Leaving(header) {
		now := cfg.Now()
		r.apply(worker.Leaving{DrainWindow: worker.DrainWindow{ObservedAt: now, Until: now.Add(cfg.LeavingGrace)}, From: worker.FromResponse})
	}
	if rest, asked := cfg.Dialect.Backoff(status, header); asked {
		r.apply(worker.Rest{For: rest})
	}
	r.readRateLimit(status, header)
	return waiting
}

// readFailure applies the signals in the response of a failed exchange, if it had one. That of
// a different worker at the address says nothing of this one.
func (r signalReader) readFailure(failed *upstream.Error) {
	if failed.Kind() != upstream.KindWrongWorker {
		r.read(failed.Status(), failed.Header())
	}
}

// readRateLimit applies the rate limit that a response declares. A missing limit ends an
// earlier one only in a successful response, since errors may omit the header.
func (r signalReader) readRateLimit(status int, header http.Header) {
	cfg := &r.handler.cfg
	perSecond, err := cfg.Dialect.RateLimit(header)
	limit := worker.RateLimit{PerSecond: perSecond, SentAt: r.sentAt, ReceivedAt: cfg.Now(), From: worker.FromResponse}
	switch {
	case err != nil:
		r.addInput("signal", r.worker.ID+" names a limit that cannot be read: "+err.Error())
	case limit.Finite() || status < http.StatusMultipleChoices:
		r.apply(limit)
	}
}

// apply applies a signal to the worker's state and adds it to the decision record. It logs the
// signal if it is the first of its kind.
func (r signalReader) apply(signal worker.Signal) {
	w, first := r.worker, r.load.Observe(signal)
	metrics := r.handler.cfg.Metrics
	switch s := signal.(type) {
	case worker.Leaving:
		r.addInput("signal", w.ID+" says that it leaves")
		if first {
			metrics.SaidLeaving(w.Service)
			r.handler.logSignal("workers: one says that it leaves", w, r.requestID, "leaving_in_store", w.Leaving, "gets_requests_for_ms", s.Until.Sub(s.ObservedAt).Milliseconds())
		}
	case worker.Rest:
		r.addInput("signal", fmt.Sprintf("%s asks for %s of rest", w.ID, s.For.Round(time.Millisecond)))
		metrics.AskedForRest(w.Service)
		if first {
			r.handler.logSignal("workers: one asks for rest", w, r.requestID, "for_ms", s.For.Milliseconds())
		}
	case worker.RateLimit:
		if s.Finite() {
			r.addInput("signal", fmt.Sprintf("%s takes %.1f a second from all VMs", w.ID, s.PerSecond))
			metrics.NamedLimit(w.Service)
		}
		if first {
			r.logRateLimit(s)
		}
	}
}

// logRateLimit logs that the rate limit declared by a worker was set, changed or removed.
func (r signalReader) logRateLimit(limit worker.RateLimit) {
	if limit.Finite() {
		r.handler.logSignal("workers: one takes a limited rate from all VMs", r.worker, r.requestID, "per_s", limit.PerSecond)
		return
	}
	r.handler.logSignal("workers: one no longer names a limit", r.worker, r.requestID)
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
