// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package experiment

import (
	"context"
	"fmt"
	"math"
	"sync"
	"text/tabwriter"
	"time"
)

// What the model of three regions of unequal capacity is like. Times of work are those of a
// read with and without its key warm at the worker.
const (
	regionLength   = 36 * time.Second
	regionLong     = 180 * time.Second
	regionWorkers  = 164
	regionSlots    = 3
	regionQueue    = 9 // Requests that a worker holds beyond its slots before it refuses.
	regionKeys     = 283
	regionWarmKeys = 21 // Keys that a worker keeps warm.
	regionRate     = 1134.0
	regionWarm     = 168 * time.Millisecond
	regionCold     = 560 * time.Millisecond
	regionSpread   = 0.15
	regionNear     = 10 * time.Millisecond // From a client to a worker of its region and back.
	regionFar      = 70 * time.Millisecond // From one region to another and back.
	regionSeeds    = 4
	// Warm requests of another region have 150 ms to wait, or 50 ms.
	regionObjective = 400 * time.Millisecond
	regionTight     = 300 * time.Millisecond
	regionReturn    = 200 * time.Millisecond // After which a refused client comes back once.
	regionDecision  = 500 * time.Millisecond
	regionNews      = 500 * time.Millisecond // From a decision until all VMs follow it.
	regionWindow    = 2 * time.Second
	regionPeriod    = 36 * time.Second
	regionSwing     = 0.55
	regionFrom      = 12 * time.Second // When the trouble of a load begins.
	regionUntil     = 19 * time.Second
	regionLost      = 26 * time.Second // When what was decided is lost.
	regionMaxShift  = 0.15
)

// The regions of the model. The small one is the last.
const (
	regionA = iota
	regionB
	regionSmall
	regionCount
)

var (
	regionUnequal = [regionCount]float64{0.45, 0.45, 0.10}
	regionEqual   = [regionCount]float64{1.0 / 3, 1.0 / 3, 1.0 / 3}
)

// regionLoad is the demand and the trouble of one play.
type regionLoad struct {
	name string
	// level is the usual demand as a factor, wave the period in which the demand of regions
	// swings, 0 for none. length is that of the play, 0 for regionLength. burst is the demand of all regions between
	// regionFrom and regionUntil as a factor, moved the part of region A's demand that
	// comes from the small region meanwhile.
	level        float64
	wave, length time.Duration
	burst, moved float64
	// closed closes half of region A, cut separates region A from the others. lost is set
	// if the decisions are lost.
	closed, cut, lost bool
}

var regionLoads = []regionLoad{
	{name: "even", level: 1, burst: 1},
	{name: "waves", level: 1, wave: regionPeriod, burst: 1},
	{name: "waves, burst of 2", level: 1, wave: regionPeriod, burst: 2},
	{name: "waves, half of A moves to small", level: 1, wave: regionPeriod, burst: 1, moved: 0.5},
	{name: "waves, half of A closed", level: 1, wave: regionPeriod, burst: 1, closed: true},
	{name: "waves, A cut off", level: 1, wave: regionPeriod, burst: 1, cut: true},
	{name: "waves, decisions lost", level: 1, wave: regionPeriod, burst: 1, lost: true},
	{name: "1.5 times, waves", level: 1.5, wave: regionPeriod, burst: 1},
	{name: "1.5 times, waves, half of A moves to small", level: 1.5, wave: regionPeriod, burst: 1, moved: 0.5},
	{name: "half, waves, burst of 2", level: 0.5, wave: regionPeriod, burst: 2},
	{name: "half, even, 180 s", level: 0.5, burst: 1, length: regionLong},
	{name: "half, waves of 180 s", level: 0.5, wave: regionLong, burst: 1, length: regionLong},
}

// rate returns the requests per second of a region.
func (l regionLoad) rate(region int, at time.Duration) float64 {
	demand := func(region int) float64 {
		factor := 1.0
		if l.wave > 0 {
			phase := at.Seconds()/l.wave.Seconds() + float64(region)/regionCount
			factor += regionSwing * math.Sin(2*math.Pi*phase)
		}
		return factor * l.level * regionRate / regionCount
	}
	rate := demand(region)
	if !l.troubled(at) {
		return rate
	}
	switch region {
	case regionA:
		rate -= l.moved * demand(regionA)
	case regionSmall:
		rate += l.moved * demand(regionA)
	}
	return rate * l.burst
}

func (l regionLoad) troubled(at time.Duration) bool { return at >= regionFrom && at < regionUntil }

// regionWay is a way in which regions keep their keys or send them to other regions.
type regionWay struct {
	name string
	// capacity is the part of the workers by region.
	capacity [regionCount]float64
	// times is the kept part as a multiple of that by equal demand, 0 for 1.
	times float64
	// decide changes the kept parts and the weights of targets. Nil leaves those of equal
	// demand.
	decide func(m *regionModel, p *regionParts)
	// step bounds the change of a part at a decision.
	step float64
}

const (
	regionStep = 0.005 // Of a region's keys at a decision.
	// Kept parts as multiples of those by equal demand.
	regionFew    = 0.5
	regionLess   = 0.75
	regionMore   = 1.3
	regionDouble = 2.0
	// Parts of the slots in use up to which a region keeps its keys.
	regionLow    = 0.45
	regionMiddle = 0.6
	regionHigh   = 0.75
)

var regionWays = []regionWay{
	{name: "equal demand (as now)", capacity: regionUnequal},
	{name: "enough capacity everywhere", capacity: regionEqual},
	{name: "static, 0.5 times", capacity: regionUnequal, times: regionFew},
	{name: "static, 0.75 times", capacity: regionUnequal, times: regionLess},
	{name: "static, 1.3 times", capacity: regionUnequal, times: regionMore},
	{name: "static, 2 times", capacity: regionUnequal, times: regionDouble},
	{name: "by demand, at once", capacity: regionUnequal, decide: decideByDemand, step: 1},
	{name: "kept by demand, at once", capacity: regionUnequal, decide: decideKeptByDemand, step: 1},
	{name: "by demand, steps", capacity: regionUnequal, decide: decideByDemand, step: regionStep},
	{name: "as now, shed above 0.6, steps", capacity: regionUnequal, decide: decideShed(regionMiddle), step: regionStep},
	{name: "near, between 0.45 and 0.75", capacity: regionUnequal, decide: decideNearBetween, step: regionStep},
	{name: "near up to 0.6, steps", capacity: regionUnequal, decide: decideNear(regionMiddle), step: regionStep},
	{name: "near up to 0.75, steps", capacity: regionUnequal, decide: decideNear(regionHigh), step: regionStep},
	{name: "as now, shed above 0.75, steps", capacity: regionUnequal, decide: decideShed(regionHigh), step: regionStep},
}

// decideByDemand shares the slots by the demand seen so far.
func decideByDemand(m *regionModel, p *regionParts) {
	slots, total, demand := m.slots()
	for r := range regionCount {
		fair := total * m.measured[r] / demand
		p.kept[r] = min(1, slots[r]/max(fair, 1))
		p.surplus[r] = max(0, slots[r]-fair)
	}
}

// decideNear keeps keys near up to a part of the slots, or up to that of the fleet if it is
// higher. Targets stay as by equal demand.
func decideNear(target float64) func(m *regionModel, p *regionParts) {
	return func(m *regionModel, p *regionParts) {
		slots, total, demand := m.slots()
		part := max(target, demand*regionWarm.Seconds()/max(total, 1))
		for r := range regionCount {
			p.kept[r] = min(1, part*slots[r]/max(m.measured[r]*regionWarm.Seconds(), 1))
		}
	}
}

// decideNearBetween changes the kept parts only where less than regionLow or more than
// regionHigh of the slots would be in use.
func decideNearBetween(m *regionModel, p *regionParts) {
	decideNear(regionHigh)(m, p)
	most := p.kept
	decideNear(regionLow)(m, p)
	for r := range regionCount {
		p.kept[r] = max(p.kept[r], min(m.decided.kept[r], most[r]))
	}
}

// decideShed keeps keys as by equal demand up to a part of the slots, or up to that of the
// fleet if it is higher.
func decideShed(target float64) func(m *regionModel, p *regionParts) {
	return func(m *regionModel, p *regionParts) {
		equal := p.kept
		decideNear(target)(m, p)
		for r := range regionCount {
			p.kept[r] = min(equal[r], p.kept[r])
		}
	}
}

// decideKeptByDemand keeps keys as decideByDemand. Targets stay as by equal demand.
func decideKeptByDemand(m *regionModel, p *regionParts) {
	surplus := p.surplus
	decideByDemand(m, p)
	p.surplus = surplus
}

// regions compares the ways on the same seeds.
func regions(ctx context.Context, out *tabwriter.Writer) error {
	_, _ = fmt.Fprintln(out, "load\tway\tin objective\tlate\trefused\tof A\tof B\tof small\tsmall: in objective\tin 300 ms\tnear\tmoved in 2 s\tfirst runs")
	for _, load := range regionLoads {
		for _, way := range regionWays {
			if err := ctx.Err(); err != nil {
				return err
			}
			playRegions(load, way, regionSeeds).print(out)
		}
	}
	return nil
}

// regionResult is the sum of the plays of one way under one load.
type regionResult struct {
	load      regionLoad
	way       regionWay
	seeds     int
	tallies   [regionCount]regionTally
	mostMoved float64
	firstRuns int
}

func playRegions(load regionLoad, way regionWay, seeds int) *regionResult {
	sum := &regionResult{load: load, way: way, seeds: seeds}
	models := make([]*regionModel, seeds)
	var plays sync.WaitGroup
	for seed := range models {
		models[seed] = newRegionModel(load, way, uint64(seed))
		plays.Go(models[seed].run)
	}
	plays.Wait()
	for _, m := range models {
		for r, t := range m.tallies {
			sum.tallies[r].add(t)
		}
		sum.mostMoved = max(sum.mostMoved, m.mostMoved)
		sum.firstRuns += m.firstRuns
	}
	return sum
}

// all returns the sum over all regions.
func (s *regionResult) all() regionTally {
	var all regionTally
	for _, t := range s.tallies {
		all.add(t)
	}
	return all
}

// regionTally is what happened to the requests of one region.
// inTight counts those that were answered within regionTight, near those that ran in their
// own region.
type regionTally struct{ asked, inTime, inTight, late, refused, near int }

func (t *regionTally) answer(took time.Duration) {
	if took <= regionTight {
		t.inTight++
	}
	if took <= regionObjective {
		t.inTime++
	} else {
		t.late++
	}
}

func (t *regionTally) add(o regionTally) {
	t.asked, t.inTime, t.inTight, t.late = t.asked+o.asked, t.inTime+o.inTime, t.inTight+o.inTight, t.late+o.late
	t.refused, t.near = t.refused+o.refused, t.near+o.near
}

func (t *regionTally) percent(n int) float64 { return 100 * float64(n) / float64(max(t.asked, 1)) }

func (s *regionResult) print(out *tabwriter.Writer) {
	all, a, b, small := s.all(), s.tallies[regionA], s.tallies[regionB], s.tallies[regionSmall]
	note := ""
	if s.mostMoved > regionMaxShift {
		note = " above the bound"
	}
	_, _ = fmt.Fprintf(out, "%s\t%s\t%.1f %%\t%.1f %%\t%.1f %%\t%.1f %%\t%.1f %%\t%.1f %%\t%.1f %%\t%.1f %%\t%.0f %%\t%.0f %%%s\t%d\n", s.load.name, s.way.name,
		all.percent(all.inTime), all.percent(all.late), all.percent(all.refused), a.percent(a.refused), b.percent(b.refused), small.percent(small.refused),
		small.percent(small.inTime), small.percent(small.inTight), small.percent(small.near), 100*s.mostMoved, note, s.firstRuns/s.seeds)
}
