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

// destination is where a request is to run, before the load of workers is
// looked at.
type destination struct {
	region string
	// why says what steered the request there, or kept it at home.
	why string
	// away is set if it leaves the hall that would hold its key at home.
	away bool
	// hall is the target of the move that has the request, or "".
	hall string
	move steer.Candidate
}

// steers reports whether operators have any move or cap in force.
func (s *Snapshot) steers() bool {
	return s.Traffic != nil && len(s.Traffic.Traffic().Moves)+len(s.Traffic.Traffic().Caps) > 0
}

// destination decides where a request is to run: by the balance between regions
// within the caps of the hall that would hold its key at home, then by the moves
// out of the hall that holds it. A region without any worker gives everything:
// that is no move, and no cap counts it. Neither is a request that is sent
// again: it was counted before.
func (p *Placer) destination(s *Snapshot, r Request, workers []*worker.Worker) destination {
	placed := shareOut(p.cfg.Region, s, workers, r)
	if !s.steers() || len(r.Tried) > 0 {
		return p.placed(placed)
	}
	if placed.home > 0 {
		c, hall := p.arrive(s, r, workers, p.cfg.Region)
		if placed.region == p.cfg.Region {
			return moved(destination{region: placed.region}, c, hall)
		}
		// The keys that a cap lets go are those given first, so that they are
		// the same ones at any moment.
		within := placed.at >= 1-float64(c.Limit())/float64(share.Whole)
		if !within || !c.SpendCaps() {
			why := fmt.Sprintf("balance: kept in %s by a cap of %s", p.cfg.Region, c.Limit())
			return moved(destination{region: p.cfg.Region, why: why}, c, hall)
		}
	}
	c, hall := p.arrive(s, r, workers, placed.region)
	return moved(p.placed(placed), c, hall)
}

// placed is where the balance between regions puts a key.
func (p *Placer) placed(s shared) destination {
	return destination{region: s.region, why: s.reason(p.cfg.Region), away: s.region != p.cfg.Region}
}

// arrive counts a request at the hall whose worker would hold its key in a
// region, and returns what may steer it out of there.
func (p *Placer) arrive(s *Snapshot, r Request, workers []*worker.Worker, region string) (c steer.Candidate, hall string) {
	first, ok := p.ranked(r, workers, region).first()
	if !ok {
		return steer.Candidate{}, ""
	}
	hall = first.Hall
	return p.cfg.Steerer.ArriveAt(s.Traffic, r.Service, hall, share.Key(r.Key)), hall
}

// moved adds the move that has a request, if it has room.
func moved(d destination, c steer.Candidate, from string) destination {
	if c.Rule() != steer.RuleMove || !c.Spend() {
		return d
	}
	d.hall, d.move, d.away = c.Target(), c, true
	d.why = fmt.Sprintf("move %s: from %s to %s", c.Move().ID, from, c.Target())
	return d
}

// chooseAt chooses a worker at a destination. If the target of a move has no
// room the request runs where it would without the move.
func (p *Placer) chooseAt(s *Snapshot, r Request, workers []*worker.Worker, d destination) (Choice, Refusal) {
	if d.hall != "" {
		target := slices.DeleteFunc(slices.Clone(workers), func(w *worker.Worker) bool { return w.Hall != d.hall })
		if len(target) > 0 {
			if choice, refusal := p.choose(s, r, target, target[0].Region); refusal == RefusalNone {
				choice.steered, choice.moved = d.why, true
				return choice, refusal
			}
		}
		d.move.Refund()
		d.why, d.away = "", d.region != p.cfg.Region
	}
	choice, refusal := p.choose(s, r, workers, d.region)
	choice.steered, choice.moved = d.why, d.away
	return choice, refusal
}
