// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"fmt"

	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/coordination/retry"
	"github.com/ryehill/ryehill/coordination/rollout"
	"github.com/ryehill/ryehill/state/worker"
)

// place chooses a worker for the next attempt. If the new version has no capacity, it
// falls back to the stable version, if the rollout allows that.
func (q *request) place(s *placement.Snapshot, retrying bool) (placement.Choice, placement.Refusal) {
	q.splitter, q.track = s.Splitters[q.service], worker.TrackStable
	if q.splitter != nil {
		defer q.splitter.BeginPlacing()()
		step := q.splitter.Step()
		q.track = q.splitter.ChooseTrack(q.route.Name, q.key, retrying)
		q.addInput("rollout", fmt.Sprintf("%s; %s", q.track, step))
	}
	choice, refusal := q.handler.cfg.Placer.Place(s, q.placementRequest())
	if refusal == placement.RefusalNone || q.track == worker.TrackStable {
		return choice, refusal
	}
	if !q.splitter.WithdrawChoice() {
		return choice, refusal
	}
	q.track = worker.TrackStable
	return q.handler.cfg.Placer.Place(s, q.placementRequest())
}

// withdrawChoice returns an unused choice of the new version to the rollout.
func (q *request) withdrawChoice() {
	if q.track != worker.TrackStable {
		q.splitter.WithdrawChoice()
	}
}

// rolloutAttempt counts an attempt for the comparison of the two versions.
type rolloutAttempt struct {
	rolloutTry *rollout.Attempt
	// cold is set if the worker has just started, which makes any version slow.
	cold bool
}

// startRolloutAttempt counts the start of an attempt at a worker. The result does
// nothing if no rollout is in progress.
func (q *request) startRolloutAttempt(c placement.Choice) rolloutAttempt {
	if q.splitter == nil {
		return rolloutAttempt{}
	}
	w, considered := c.Worker(), c.Considered()
	cold := len(considered) > 0 && considered[len(considered)-1].Cold
	sent := q.splitter.RecordSent(q.track, q.route.Name, w.Incarnation(), q.key)
	if cold {
		sent.IgnoreLatency()
	}
	return rolloutAttempt{rolloutTry: sent, cold: cold}
}

// answered counts a complete response. The way by a proxy makes any version slow.
func (t rolloutAttempt) answered(status int, forwarded bool) {
	if t.rolloutTry == nil {
		return
	}
	failed := countsAgainstWorker(status)
	t.rolloutTry.RecordEnd(failed || !t.cold && !forwarded, failed)
}

// failed counts an attempt without a response. Only what the worker may be to blame
// for counts: timeouts as slow responses, other interrupted requests as failures. It counts
// once it is known that the path of this VM was not the cause.
func (t rolloutAttempt) failed(f *failure, reach Reach) {
	if t.rolloutTry == nil {
		return
	}
	switch {
	case f.clientGone && !f.ownPath:
		t.rolloutTry.RecordLeft()
		return
	case f.cause != retry.CauseBroken, f.notRun, f.ownPath:
		t.rolloutTry.RecordEnd(false, !timedOut(f.err))
		return
	}
	reach.WhenVerified(func(verified bool) { t.rolloutTry.RecordEnd(verified, !timedOut(f.err)) })
}
