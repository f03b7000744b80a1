// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// silenceInterval is the time between two checks of the connection of an exchange.
	silenceInterval = 150 * time.Millisecond
	// minUnansweredProbes is the number of window probes in a row without an answer that
	// show a silent peer. A single one may have been lost.
	minUnansweredProbes = 2
)

// errPeerSilent ends an exchange whose peer acknowledges nothing. It counts as the timeout of
// the connection that it is.
var errPeerSilent = errors.Wrap(syscall.ETIMEDOUT, "the remote machine acknowledges nothing")

// transmission describes what the operating system knows of the data sent on a connection.
type transmission struct {
	// inFlight is set if sent data is not acknowledged yet, and unsent if data waits for the
	// peer to open its receive window.
	inFlight, unsent bool
	// retransmits is the number of timeouts in a row without progress.
	retransmits int
	// unansweredProbes is the number of window probes since the last acknowledgment.
	unansweredProbes int
	// sinceSent and sinceAck are the times since data was last sent and since an
	// acknowledgment last arrived.
	sinceSent, sinceAck time.Duration
}

// complete reports whether the peer has acknowledged all data.
func (t transmission) complete() bool {
	return !t.inFlight && !t.unsent && t.unansweredProbes == 0
}

// unanswered reports whether something was sent that the peer should have acknowledged. Data
// that a peer without room discards stays in flight though the peer acknowledges each
// retransmission, so only what was sent after the last acknowledgment counts.
func (t transmission) unanswered() bool {
	if t.inFlight {
		return t.retransmits == 0 || t.sinceSent < t.sinceAck
	}
	return t.unansweredProbes >= minUnansweredProbes
}

// silenceDetector decides whether the peer of a connection is silent: its machine, or the
// path to it, is gone. A peer that acknowledges but reads nothing is not silent, however
// long its receive window stays closed.
type silenceDetector struct {
	timeout   time.Duration
	silentFor time.Duration
}

// observe takes the result of a check, elapsed after the one before or after the start of the
// exchange, and reports whether the peer is silent. A long pause between two checks counts as a
// short one, since this machine may have been suspended.
func (d *silenceDetector) observe(t transmission, elapsed time.Duration) bool {
	if !t.inFlight {
		d.silentFor = 0
		return t.unanswered() && t.sinceAck >= d.timeout
	}
	if !t.unanswered() || t.sinceAck < elapsed {
		d.silentFor = 0
		return false
	}
	d.silentFor += min(elapsed, 2*silenceInterval)
	return d.silentFor >= d.timeout
}

// silenceWatch ends an exchange once its peer is silent.
type silenceWatch struct {
	exchange *exchange
	detector silenceDetector
	// detected is set before the connection is closed for the silence of the peer.
	detected atomic.Bool

	mu        sync.Mutex
	timer     *time.Timer
	lastCheck time.Time
	stopped   bool
}

// startSilenceWatch starts a watch, unless the user timeout of the connection takes its place
// or nothing is known of what was sent.
func (x *exchange) startSilenceWatch() {
	if x.conn.transmission == nil {
		return
	}
	w := &silenceWatch{exchange: x, detector: silenceDetector{timeout: x.client.cfg.AckTimeout}, lastCheck: time.Now()}
	x.silence = w
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(silenceInterval, w.check)
}

// check examines the connection and schedules the next check, unless the peer is silent or has
// acknowledged the whole request.
func (w *silenceWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	sent, err := w.exchange.conn.transmission()
	if err != nil {
		return // The connection is closed.
	}
	now := time.Now()
	elapsed := now.Sub(w.lastCheck)
	w.lastCheck = now
	if w.detector.observe(sent, elapsed) {
		w.detected.Store(true)
		w.exchange.conn.abort()
		return
	}
	if sent.complete() && w.exchange.sendEnded() {
		return
	}
	w.timer.Reset(silenceInterval)
}

// stop ends the watch. It may be called for a nil watch.
func (w *silenceWatch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// found reports whether the watch has closed the connection. It may be called for a nil watch.
func (w *silenceWatch) found() bool { return w != nil && w.detected.Load() }
