// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"fmt"
	"time"

	"github.com/ryehill/ryehill/transport/pipeline"
)

// causeHeld means that the request would have been in time, had it or its response not
// waited for earlier requests of its connection.
const causeHeld = "late: behind others on its connection"

// minRecordedWait is the shortest wait for a turn that is recorded.
const minRecordedWait = time.Millisecond

// recordPosition records where a request stood on its connection, if it was sent before
// earlier ones were answered. Its time counts from its arrival, not from its turn to begin.
func (q *request) recordPosition() {
	position, ok := pipeline.PositionOf(q.req.Context())
	if !ok {
		return
	}
	q.arrivedAt, q.waited = q.arrivedAt.Add(-position.Waited), position.Waited
	if position.Ahead > 0 || position.Waited >= minRecordedWait {
		q.addInput("position on its connection", fmt.Sprintf("behind %d, began after %d ms", position.Ahead, position.Waited.Milliseconds()))
	}
	pipeline.OnSent(q.req.Context(), q.recordHeld)
}

// recordHeld records a response that became late while it waited for its turn.
func (q *request) recordHeld(held time.Duration) {
	took := q.elapsed(q.arrivedAt)
	if q.record.Rule != reasonAnswered || took < q.objective() {
		return
	}
	q.record.Rule = reasonLate
	q.addInput("held behind others", fmt.Sprintf("%d ms", held.Milliseconds()))
	q.record.Result = fmt.Sprintf("status %d after %d ms", q.status, took.Milliseconds())
	q.handler.losses.countHeld(q.service)
	q.handler.cfg.Decisions.failed.Add(q.record)
	q.handler.logLimiter.logRequest(q)
}
