// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/state/worker"
	"github.com/ryehill/ryehill/transport/upstream"
)

// healthRequestID stands for the ID of a request in what is logged of a request for health.
const healthRequestID = "health"

// ColdTime asks a worker for its health at a path, and returns for how much longer it is
// cold, 0 if it does not say so. What the connections show is recorded, since only the first
// response after a new connection shows that the others were closed.
func (h *Handler) ColdTime(ctx context.Context, s *placement.Snapshot, w *worker.Worker, path string) time.Duration {
	begunAt, load := h.cfg.Now(), h.cfg.Placer.Load(w)
	target := h.target(s, *w)
	health, err := h.cfg.Upstreams.Health(ctx, target, path)
	if err == nil {
		h.recordConnection(responded{requestID: healthRequestID, worker: *w, load: load, reconnected: health.Reconnected, opened: health.ConnectionOpened})
		return health.ColdTime
	}
	var failed *upstream.Error
	if errors.As(err, &failed) && h.cfg.Reach.Conclusive(begunAt) {
		x := failedExchange{requestID: healthRequestID, worker: *w, target: target, load: load, err: failed}
		h.recordRefusedConnection(x)
		h.recordClosedConnection(x)
	}
	return 0
}
