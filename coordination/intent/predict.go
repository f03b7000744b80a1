// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package intent

import (
	"fmt"
	"time"

	"github.com/ryehill/ryehill/state/load"
	"github.com/ryehill/ryehill/state/share"
	"github.com/ryehill/ryehill/state/spec"
)

// predict fills in the steps, loads and duration, and refuses a plan that exceeds
// the capacity.
func (p *Plan) predict(f Facts) error {
	for _, m := range p.Changes {
		if err := p.predictMove(f, m); err != nil {
			return err
		}
	}
	p.planSteps(f)
	fleet := f.View.Fleet()
	p.PausedBy = []string{
		fmt.Sprintf("a hall's status older than %s", MaxStatusAge),
		fmt.Sprintf("a target with less than %s of its usable slots free", fleet.Headroom()),
		"requests that wait for a slot or are refused at a target",
		"the platform being away: no step is taken until it answers",
	}
	p.StoppedBy = []string{
		fmt.Sprintf("a target with less than %s of its usable slots free: the share goes back by one step", fleet.Headroom()/2),
		"an operator's stop: the share goes to 0%",
	}
	return nil
}

func (p *Plan) predictMove(f Facts, m spec.Move) error {
	source, ok := f.Halls[m.From]
	if !ok || source.Age(f.Now) > MaxStatusAge {
		return refuse("hall %s has sent no status within %s, so the load cannot be predicted", m.From, MaxStatusAge)
	}
	s := source.Services[m.Service]
	p.Halls = append(p.Halls, hallLoad(source, m.Service, f.Now, -s.Busy*fraction(m.Goal)))
	total := uint32(0)
	for _, t := range m.Targets {
		total += t.Weight
	}
	for _, t := range m.Targets {
		targetShare := fraction(m.Goal) * float64(t.Weight) / float64(total)
		if err := p.predictTarget(f, m, t.Hall, s, targetShare); err != nil {
			return err
		}
	}
	return nil
}

func (p *Plan) predictTarget(f Facts, m spec.Move, hall string, source load.ServiceStatus, targetShare float64) error {
	target, ok := f.Halls[hall]
	if !ok || target.Age(f.Now) > MaxStatusAge {
		return refuse("hall %s has sent no status within %s, so its headroom is unknown", hall, MaxStatusAge)
	}
	added := source.Busy * targetShare
	l := hallLoad(target, m.Service, f.Now, added)
	p.Halls = append(p.Halls, l)
	spare := spareSlots(target.Services[m.Service], f.View.Fleet().Headroom())
	if l.Usable == 0 || added > spare {
		return refuse("hall %s has %d usable slots of %s, %.1f in use; %.1f more would leave less than the headroom of %s (room for %.1f)",
			hall, l.Usable, m.Service, l.Before, added, f.View.Fleet().Headroom(), spare)
	}
	return p.predictLink(f, m.From, hall, source.Bytes*targetShare)
}

func (p *Plan) predictLink(f Facts, from, to string, added float64) error {
	for _, link := range f.View.Fleet().Links {
		if link.From != from || link.To != to {
			continue
		}
		before := f.Halls[from].Links[to]
		l := LinkLoad{From: from, To: to, Limit: link.BytesPerSecond, Before: before, After: before + added}
		for _, other := range p.Links {
			if other.From == from && other.To == to {
				l.Before, l.After = other.After, other.After+added
			}
		}
		p.Links = append(p.Links, l)
		if ceiling := fraction(maxLinkUse) * float64(l.Limit); l.After > ceiling {
			return refuse("link %s to %s would carry %.0f bytes/s, more than %s of its limit %d",
				from, to, l.After, maxLinkUse, l.Limit)
		}
	}
	return nil
}

func (p *Plan) predictWorker(f Facts, s *spec.Service, w spec.Worker) error {
	status, ok := f.Halls[w.Hall]
	if !ok || status.Age(f.Now) > MaxStatusAge {
		return refuse("hall %s has sent no status within %s, so its headroom is unknown", w.Hall, MaxStatusAge)
	}
	l := hallLoad(status, s.Name, f.Now, 0)
	l.Usable -= w.Slots
	l.Headroom -= float64(w.Slots)
	p.Halls = append(p.Halls, l)
	if l.Headroom < 0 {
		return refuse("hall %s uses %.1f slots of %s; without upstream %s it would have %d",
			w.Hall, l.Before, s.Name, w.ID, l.Usable)
	}
	return nil
}

func hallLoad(h load.HallStatus, service string, now time.Time, added float64) HallLoad {
	s := h.Services[service]
	before := max(s.Busy, float64(s.InUse))
	if added < 0 {
		before = s.Busy
	}
	return HallLoad{
		Hall: h.Hall, Service: service, Usable: s.Usable, Before: before, After: before + added,
		Headroom: float64(s.Usable) - before - added, Age: h.Age(now),
	}
}

func (p *Plan) planSteps(f Facts) {
	interval := f.View.Fleet().Interval()
	longest := 0
	for _, m := range p.Changes {
		steps := StepShares(m.Goal, m.Step)
		if len(steps) <= longest {
			continue
		}
		longest = len(steps)
		p.Steps = p.Steps[:0]
		for i, s := range steps {
			p.Steps = append(p.Steps, Step{Number: i + 1, Share: s, After: time.Duration(i) * interval})
		}
	}
	p.MinDuration = time.Duration(longest) * interval
}

// StepShares returns the shares that a move passes through on the way to its goal.
func StepShares(goal, step share.PPM) []share.PPM {
	var steps []share.PPM
	for s := share.PPM(0); s < goal; {
		s = min(s+max(step, 1), goal)
		steps = append(steps, s)
	}
	return steps
}

func fraction(p share.PPM) float64 { return float64(p) / float64(share.Whole) }
