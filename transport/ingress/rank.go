// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"fmt"
	"time"

	"github.com/ryehill/ryehill/coordination/placement"
)

// setRank sets the rank of the request at its service, if ranks count.
func (q *request) setRank(s *placement.Snapshot) {
	if !q.handler.cfg.AdmissionByRank {
		return
	}
	q.rank, q.ranks = s.Routes.Rank(q.service, q.route, q.workspace)
	if q.ranked() {
		q.addInput("rank", fmt.Sprintf("%d of %d", q.rank, q.ranks))
	}
}

// ranked reports whether requests of the service have different ranks.
func (q *request) ranked() bool { return q.ranks > 1 }

// objectiveLeft returns the time until the objective of the request, or until its deadline
// if it has none. It is positive, since the request may use a free slot after that.
func (q *request) objectiveLeft() time.Duration {
	end := q.deadline
	if objective := q.arrivedAt.Add(q.route.Objective); q.route.Objective > 0 && objective.Before(end) {
		end = objective
	}
	return max(end.Sub(q.handler.cfg.Now()), 1)
}

// permitPriority returns the priority for permits of rate-limited workers.
func (q *request) permitPriority() int {
	if q.ranked() {
		return q.rank
	}
	return q.route.Priority
}

// countRankRefusal counts a request that was refused for lack of room.
func (q *request) countRankRefusal(refusal placement.Refusal) {
	if q.ranked() && refusal == placement.RefusalBusy {
		q.handler.cfg.Metrics.RankRefused(q.service, q.rank)
	}
}
