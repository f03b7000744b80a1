// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/state/worker"
	"github.com/ryehill/ryehill/transport/upstream"
)

// Reach tells whether this VM reaches any worker, and what its failed connections prove. It
// must be safe for concurrent use.
type Reach interface {
	// Isolated reports whether this VM reaches no worker by new connections.
	Isolated() bool
	// OpenConnectionsWork reports whether the open connections of an isolated VM still
	// bring responses.
	OpenConnectionsWork() bool
	// Conclusive reports whether the failure of an exchange that began at the given time
	// says anything about its worker.
	Conclusive(begunAt time.Time) bool
	// WhenVerified calls apply once it is known whether the failures up to now were the
	// workers' (true) or this VM's.
	WhenVerified(apply func(verified bool))
}

// alwaysReached is the default Reach of a Handler.
type alwaysReached struct{}

func (alwaysReached) Isolated() bool                         { return false }
func (alwaysReached) OpenConnectionsWork() bool              { return true }
func (alwaysReached) Conclusive(time.Time) bool              { return true }
func (alwaysReached) WhenVerified(apply func(verified bool)) { apply(true) }

// Evidence of a suspected exit, as shown in logs and metrics.
const (
	exitRefused        = "connection refused"
	exitAllConnections = "all connections closed"
	exitOneConnection  = "one connection closed"
)

// failedExchange is an exchange of this VM with a worker that failed. The failure is
// conclusive: it is not that of this VM's own path.
type failedExchange struct {
	requestID string
	worker    worker.Worker
	target    upstream.Worker
	load      *worker.Load
	err       *upstream.Error
	// clientGone is set if the client had left, which ends an exchange as well.
	clientGone bool
}

// recordFailedExchange updates the state of a worker after a failed exchange: it is paused, the failure counts for
// its ejection, and its process may have exited.
func (h *Handler) recordFailedExchange(x failedExchange) {
	switch x.err.Kind() {
	case upstream.KindLeaving:
		x.load.RecordFailure()
	case upstream.KindUnreachable:
		if !x.clientGone {
			x.load.RecordFailure()
			x.load.RecordOutcome(true)
		}
		h.recordRefusedConnection(x)
	case upstream.KindWrongWorker:
		x.load.MarkAddressReused()
	case upstream.KindBroken:
		if x.clientGone {
			return
		}
		x.load.RecordFailure()
		x.load.RecordOutcome(!timedOut(x.err))
		h.recordClosedConnection(x)
	case upstream.KindShed, upstream.KindBusy, upstream.KindRequestBody:
	}
}

// recordRefusedConnection records that a worker's process has exited if its port refused the
// connection of a failed exchange.
func (h *Handler) recordRefusedConnection(x failedExchange) {
	if errors.Is(x.err, syscall.ECONNREFUSED) && x.load.RecordConnectionRefused() {
		h.logExit(x, exitRefused)
	}
}

// recordClosedConnection records that a worker's process may have exited if it closed the
// connection of a failed exchange, and checks whether it has.
func (h *Handler) recordClosedConnection(x failedExchange) {
	if x.err.PeerClosed() && x.load.RecordConnectionClosed() {
		h.logExit(x, exitOneConnection)
		go h.probeForExit(x)
	}
}

// responded is an exchange of this VM with a worker that responded.
type responded struct {
	requestID string
	worker    worker.Worker
	load      *worker.Load
	// reconnected and opened are those of the upstream.Response.
	reconnected bool
	opened      time.Time
}

// recordConnection updates what this VM knows of a worker's process from the connection of
// a response.
func (h *Handler) recordConnection(x responded) {
	if x.reconnected && x.load.RecordAllConnectionsClosed() {
		h.logExit(failedExchange{requestID: x.requestID, worker: x.worker}, exitAllConnections)
	}
	if x.load.ConfirmAlive(x.opened) {
		h.logSignal("workers: suspected exit retracted", x.worker, x.requestID)
	}
}

// logExit logs and counts that the process of a worker may have exited.
func (h *Handler) logExit(x failedExchange, evidence string) {
	h.cfg.Metrics.SuspectedExit(evidence)
	h.logSignal("workers: process may have exited", x.worker, x.requestID, "evidence", evidence)
}

// exitProbeDelay is the time between the two probes after a closed connection. The port may
// stay open for a moment after the first connections of an exiting process are closed.
const exitProbeDelay = 100 * time.Millisecond

// probeForExit checks whether a worker that closed one connection still accepts new ones.
// A refused connection shows that its process has exited, which the closed connection alone
// doesn't.
func (h *Handler) probeForExit(x failedExchange) {
	for _, delay := range []time.Duration{0, exitProbeDelay} {
		time.Sleep(delay)
		begunAt := h.cfg.Now()
		err := h.cfg.Upstreams.Probe(context.Background(), x.target)
		if errors.Is(err, syscall.ECONNREFUSED) && h.cfg.Reach.Conclusive(begunAt) {
			if x.load.RecordConnectionRefused() {
				h.logExit(x, exitRefused)
			}
			return
		}
	}
}
