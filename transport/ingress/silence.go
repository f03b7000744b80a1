// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/coordination/retry"
)

// silenceFraction is the fraction of the remaining time after which a repeatable
// request is sent to another worker, if the first one has not responded. The rest must
// cover the objective of the route: with less, the other worker, which is new to the
// request's key, would rarely respond in time, and no worker would ever be warm for the key.
const silenceFraction = 0.55

// errWorkerSilent cancels an attempt whose worker has not responded in time.
var errWorkerSilent = errors.New("ingress: the worker has not answered for long")

// startSilenceTimer cancels an attempt of a repeatable request if its worker has not
// responded for long, a retry is allowed and another worker has capacity. A VM that is
// stopping waits on, so that work in progress is not canceled. So does one that would leave
// the retry too little time. The returned function stops the timer and returns the worker
// for the next attempt if this one was canceled.
func (q *request) startSilenceTimer(ctx context.Context, cancel context.CancelCauseFunc, attemptNumber int) func() *placement.Choice {
	if !q.route.Repeatable || attemptNumber >= q.route.MaxAttempts || q.body.remainder != nil {
		return func() *placement.Choice { return nil }
	}
	remaining := q.remaining()
	silence := time.Duration(float64(remaining) * silenceFraction)
	if remaining-silence < q.route.Objective {
		return func() *placement.Choice { return nil }
	}
	var next *placement.Choice
	done := make(chan struct{})
	timer := time.AfterFunc(silence, func() {
		defer close(done)
		if next = q.nextWorker(ctx, attemptNumber); next != nil {
			cancel(errWorkerSilent)
		}
	})
	return func() *placement.Choice {
		if !timer.Stop() {
			<-done
		}
		return next
	}
}

// nextWorker chooses a worker for another attempt, or returns nil if none is allowed.
func (q *request) nextWorker(ctx context.Context, attemptNumber int) *placement.Choice {
	if q.handler.stopping.Load() {
		return nil
	}
	choice, refusal := q.place(q.handler.cfg.Snapshot(), true)
	if refusal != placement.RefusalNone {
		return nil
	}
	if !q.decideRetry(ctx, &failure{cause: retry.CauseBroken}, attemptNumber).Allowed() {
		q.withdrawChoice()
		choice.Load().End()
		return nil
	}
	return &choice
}
