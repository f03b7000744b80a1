// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/coordination/retry"
	"github.com/ryehill/ryehill/coordination/rollout"
	"github.com/ryehill/ryehill/state/worker"
)

// Rollouts knows the services of which a new version is being brought in. It is used by
// several goroutines.
type Rollouts interface {
	// Share returns this VM's part in that, nil for a service with one version.
	Share(service string) *rollout.Splitter
}

// noRollouts is the Rollouts of a Handler without one.
type noRollouts struct{}

func (noRollouts) Share(string) *rollout.Splitter { return nil }

// place chooses a worker for the next try. A new version that has no room for what it was
// to get leaves it to the old one, as long as that serves.
func (q *request) place(s *placement.Snapshot, again bool) (placement.Choice, placement.Refusal) {
	if q.share != nil {
		q.track = q.share.ChooseTrack(q.route.Name, q.key, again)
	}
	choice, refusal := q.handler.cfg.Placer.Place(s, q.placement())
	if refusal == placement.RefusalNone || q.track == worker.TrackStable {
		return choice, refusal
	}
	if !q.share.WithdrawChoice() {
		return choice, refusal
	}
	q.track = worker.TrackStable
	return q.handler.cfg.Placer.Place(s, q.placement())
}

// withdraw takes back a choice that is not used.
func (q *request) withdraw() {
	if q.track != worker.TrackStable {
		q.share.WithdrawChoice()
	}
}

// versionedTry counts a try for the comparison of two versions.
type versionedTry struct {
	try *rollout.Attempt
	// cold is set if the worker has just started, which makes any version slow.
	cold bool
}

// sentTo notes that a request is sent to a worker. The result may be used where no new
// version is being brought in.
func (q *request) sentTo(c placement.Choice) versionedTry {
	if q.share == nil {
		return versionedTry{}
	}
	w, considered := c.Worker(), c.Considered()
	cold := len(considered) > 0 && considered[len(considered)-1].Cold
	return versionedTry{try: q.share.RecordSent(q.track, q.route.Name, w.Incarnation(), q.key), cold: cold}
}

// answered notes the status of a whole answer.
func (t versionedTry) answered(status int) {
	if t.try == nil {
		return
	}
	failed := failing(status)
	t.try.RecordEnd(failed || !t.cold, failed)
}

// failed notes a try that brought no answer. Only what the worker may have done wrong
// itself counts: time that ran out as slowness, other ends of a request under way as
// failures.
func (t versionedTry) failed(f *failure) {
	if t.try == nil {
		return
	}
	counts := f.cause == retry.CauseBroken && !f.notRun && !f.clientLeft
	t.try.RecordEnd(counts, !ranOut(f.err))
}
