// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"fmt"
	"slices"

	"github.com/ryehill/ryehill/coordination/steer"
	"github.com/ryehill/ryehill/state/share"
	"github.com/ryehill/ryehill/state/worker"
)

// destination is the region or hall for a request, before the load of its workers is
// checked.
type destination struct {
	region string
	// reason explains why the request was sent there or kept at home.
	reason string
	// leavesHome is set if the request leaves the hall that would hold its key at home.
	leavesHome bool
	// hall is the target hall of the move that applies to the request, or "".
	hall string
	move steer.Candidate
}

// hasMovesOrCaps reports whether any move or cap is in force.
func (s *Snapshot) hasMovesOrCaps() bool {
	return s.Traffic != nil && len(s.Traffic.Traffic().Moves)+len(s.Traffic.Traffic().Caps) > 0
}

// chooseDestination chooses the destination of a request: first by the balancing between
// regions, within the caps of the hall that would hold the key at home, then by the moves
// out of the hall that holds it. A region without workers sends all requests away,
// regardless of its caps. Retries are not steered, since they were counted before.
func (p *Placer) chooseDestination(s *Snapshot, r Request, workers []*worker.Worker) destination {
	balanced := assignRegion(p.cfg.Region, s, workers, r)
	if !s.hasMovesOrCaps() || len(r.Tried) > 0 {
		return p.balancedDestination(balanced)
	}
	if balanced.homeSlots > 0 {
		c, hall := p.countArrival(s, r, workers, p.cfg.Region)
		if balanced.region == p.cfg.Region {
			return applyMove(destination{region: balanced.region}, c, hall)
		}
		// The keys sent away under a cap are always the highest positions, so that the set
		// of keys is stable.
		within := balanced.position >= 1-float64(c.CapLimit())/float64(share.Whole)
		if !within || !c.SpendCaps() {
			reason := fmt.Sprintf("balance: kept in %s by a cap of %s", p.cfg.Region, c.CapLimit())
			return applyMove(destination{region: p.cfg.Region, reason: reason}, c, hall)
		}
	}
	c, hall := p.countArrival(s, r, workers, balanced.region)
	return applyMove(p.balancedDestination(balanced), c, hall)
}

// balancedDestination returns the destination given by the balancing between regions.
func (p *Placer) balancedDestination(s regionAssignment) destination {
	return destination{region: s.region, reason: s.reason(p.cfg.Region), leavesHome: s.region != p.cfg.Region}
}

// countArrival counts a request at the hall whose worker would hold its key in a region,
// and returns the move that may apply to it.
func (p *Placer) countArrival(s *Snapshot, r Request, workers []*worker.Worker, region string) (c steer.Candidate, hall string) {
	first, ok := p.rankWorkers(r, workers, region).first()
	if !ok {
		return steer.Candidate{}, ""
	}
	hall = first.Hall
	return p.cfg.Steerer.EvaluateAt(s.Traffic, r.Service, hall, share.KeyFromHash(r.Key)), hall
}

// applyMove sends the request to the target of its move, if the move has capacity.
func applyMove(d destination, c steer.Candidate, from string) destination {
	if c.Rule() != steer.RuleMove || !c.Spend() {
		return d
	}
	d.hall, d.move, d.leavesHome = c.Target(), c, true
	d.reason = fmt.Sprintf("move %s: from %s to %s", c.Move().ID, from, c.Target())
	return d
}

// chooseAtDestination chooses a worker at a destination. If the target of a move is full,
// the request runs where it would without the move.
func (p *Placer) chooseAtDestination(s *Snapshot, r Request, workers []*worker.Worker, d destination) (Choice, Refusal) {
	if d.hall != "" {
		target := slices.DeleteFunc(slices.Clone(workers), func(w *worker.Worker) bool { return w.Hall != d.hall })
		if len(target) > 0 {
			if choice, refusal := p.choose(s, r, target, target[0].Region); refusal == RefusalNone {
				choice.steeringReason, choice.moved = d.reason, true
				return choice, refusal
			}
		}
		d.move.Refund()
		d.reason, d.leavesHome = "", d.region != p.cfg.Region
	}
	choice, refusal := p.choose(s, r, workers, d.region)
	choice.steeringReason, choice.moved = d.reason, d.leavesHome
	return choice, refusal
}
