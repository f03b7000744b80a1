// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress

import "time"

// stopAnswerMargin is the time that is kept for the answer of a worker between the end of its
// deadline and that of a stopping process.
const stopAnswerMargin = 200 * time.Millisecond

// stopPeriod is the time from the beginning of a stop to the end of the process.
type stopPeriod struct{ begin, end time.Time }

// half returns the middle of the period.
func (p *stopPeriod) half() time.Time { return p.begin.Add(p.end.Sub(p.begin) / 2) }

// Stop makes every further response close its connection, so that clients reconnect to other VMs.
// Workers get the time until the end of the process at most, less stopAnswerMargin. Requests for which
// nothing of it is left are refused, and in the second half of that time those that may take longer.
func (h *Handler) Stop(end time.Time) {
	now := h.cfg.Now()
	h.arrivals.begin(now)
	h.period.Store(&stopPeriod{begin: now, end: end})
	h.stopping.Store(true)
}

// workerTime returns the time that a worker may take for a request with the given time left. If
// this process ends before, the worker's answer has to arrive by then.
func (h *Handler) workerTime(left time.Duration) time.Duration {
	if p := h.period.Load(); p != nil {
		return min(left, p.end.Sub(h.cfg.Now())-stopAnswerMargin)
	}
	return left
}

// stopsBefore reports whether a request that begins now comes late in a stop, and may still be in
// progress when the process ends. A worker can ignore the time that it gets, so that the request would
// be cut off, and its client can reach another VM before.
func (h *Handler) stopsBefore(deadline time.Time) bool {
	p := h.period.Load()
	return p != nil && h.cfg.Now().After(p.half()) && p.end.Add(-stopAnswerMargin).Before(deadline)
}
