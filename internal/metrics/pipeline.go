// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// pipeline holds the metrics of clients' connections on which requests are sent ahead.
type pipeline struct {
	ahead     prometheus.Histogram
	held      prometheus.Histogram
	heldBytes prometheus.Gauge
	ended     *prometheus.CounterVec
}

func newPipeline(r *prometheus.Registry) pipeline {
	p := pipeline{
		ahead: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "ryehill", Name: "pipelined_ahead",
			Help:    "Unanswered requests of the connection when a request began that was sent ahead.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 6),
		}),
		held: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "ryehill", Name: "response_held_seconds",
			Help:    "Time for which a complete response waited for those before it on its connection.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}),
		heldBytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "ryehill", Name: "responses_held_bytes", Help: "Bytes of responses that wait for those before them on their connections.",
		}),
		ended: counter(r, "connections_ended_total", "Connections of clients that ended other than after a response or in rest, by reason.", "reason"),
	}
	r.MustRegister(p.ahead, p.held, p.heldBytes)
	return p
}

// PipelinedRequest counts a request that began behind others of its connection.
func (s *Set) PipelinedRequest(ahead int) { s.pipeline.ahead.Observe(float64(ahead)) }

// ResponseHeld notes how long a complete response waited for its turn.
func (s *Set) ResponseHeld(d time.Duration) { s.pipeline.held.Observe(d.Seconds()) }

// HeldBytes sets the bytes of the responses that wait for their turn.
func (s *Set) HeldBytes(n int) { s.pipeline.heldBytes.Set(float64(n)) }

// ConnectionEnded counts a client's connection that ended before its time.
func (s *Set) ConnectionEnded(reason string) { s.pipeline.ended.WithLabelValues(reason).Inc() }
