// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package experiment

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"github.com/ryehill/ryehill/coordination/ratelimit"
)

// What the model of one worker that names a limit is like.
const (
	limitLength   = 30 * time.Second
	limitWindow   = 4 * time.Second
	limitDemand   = 3.0  // Times the limit.
	limitPressure = 20.0 // Least requests a second that are wanted of the worker.
	limitNear     = 2 * time.Millisecond
	limitFar      = 70 * time.Millisecond
	limitEmpty    = 200 * time.Millisecond
	limitPart     = 0.75
	limitFew      = 3
	limitRegions  = 3
)

var (
	limitFleets = []int{12, 74, 295, 985}
	limitRates  = []float64{0.4, 3, 30}
)

// limitWay is a way in which all VMs together keep the limit of a worker.
type limitWay string

const (
	limitByParts   limitWay = "each VM its part"
	limitByOne     limitWay = "one VM sends alone"
	limitByFew     limitWay = "three VMs send"
	limitByPermits limitWay = "one VM hands out"
)

var limitWays = []limitWay{limitByParts, limitByOne, limitByFew, limitByPermits}

// limits compares the ways on the same seeds.
func limits(ctx context.Context, out *tabwriter.Writer) error {
	_, _ = fmt.Fprintln(out, "VMs\tlimit\tway\tmost in 4 s\tallowed\tused\tVMs that serve\tquestions a second\twait for one")
	for _, vms := range limitFleets {
		for _, perS := range limitRates {
			for _, way := range limitWays {
				if err := ctx.Err(); err != nil {
					return err
				}
				m := newLimitModel(vms, perS, way)
				m.run()
				m.print(out)
			}
		}
	}
	return nil
}

// limitModel plays the requests for one worker at all VMs.
type limitModel struct {
	way    limitWay
	vms    int
	perS   float64
	random *rand.Rand
	now    time.Time
	events restEvents
	issuer *ratelimit.Issuer
	// tokens are the buckets of VMs that have a part, filled at the moments given.
	tokens []float64
	filled []time.Time
	// empty is until when each VM asks for no permit.
	empty []time.Time

	ran       []time.Time
	serves    map[int]bool
	questions int
	asked     int
	waited    time.Duration
}

func newLimitModel(vms int, perS float64, way limitWay) *limitModel {
	m := &limitModel{
		way: way, vms: vms, perS: perS, random: rand.New(rand.NewPCG(uint64(vms), uint64(10*perS))), now: time.Unix(0, 0),
		tokens: make([]float64, vms), filled: make([]time.Time, vms), empty: make([]time.Time, vms), serves: make(map[int]bool),
	}
	for i := range m.filled {
		m.filled[i] = m.now
	}
	m.issuer = ratelimit.NewIssuer(func() time.Time { return m.now })
	return m
}

func (m *limitModel) after(d time.Duration, do func()) {
	heap.Push(&m.events, restEvent{m.now.Add(d), do})
}

func (m *limitModel) run() {
	begun, rate := m.now, max(limitDemand*m.perS, limitPressure)
	var arrive func()
	arrive = func() {
		if m.now.Sub(begun) >= limitLength {
			return
		}
		m.ask(m.random.IntN(m.vms))
		m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	m.after(0, arrive)
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(restEvent)
		m.now = e.at
		e.do()
	}
}

// ask is a request for the worker at a VM. The first VM hands out, or sends alone.
func (m *limitModel) ask(vm int) {
	switch m.way {
	case limitByParts:
		m.spend(vm, m.perS/float64(m.vms))
	case limitByOne:
		if vm == 0 {
			m.spend(vm, limitPart*m.perS)
		}
	case limitByFew:
		if vm < limitFew {
			m.spend(vm, limitPart*m.perS/limitFew)
		}
	case limitByPermits:
		m.askPermit(vm)
	}
}

// spend takes a token of the VM's own.
func (m *limitModel) spend(vm int, rate float64) {
	const burst = 2
	m.tokens[vm] = min(burst, m.tokens[vm]+rate*m.now.Sub(m.filled[vm]).Seconds())
	m.filled[vm] = m.now
	if m.tokens[vm] >= 1 {
		m.tokens[vm]--
		m.runs(vm)
	}
}

func (m *limitModel) askPermit(vm int) {
	if m.now.Before(m.empty[vm]) {
		return
	}
	way := limitFar
	switch {
	case vm == 0:
		way = 0
	case vm%limitRegions == 0:
		way = limitNear
	}
	if vm != 0 {
		m.questions++
	}
	m.asked++
	m.waited += way
	m.after(way/2, func() {
		g := m.issuer.Issue(ratelimit.Demand{Incarnation: "w", RatePerSecond: m.perS, LiveVMs: m.vms, ListedVMs: m.vms, Requests: 1})
		m.after(way/2, func() {
			if g.Requests > 0 {
				m.runs(vm)
				return
			}
			m.empty[vm] = m.now.Add(min(g.RetryAfter, limitEmpty))
		})
	})
}

func (m *limitModel) runs(vm int) {
	m.ran, m.serves[vm] = append(m.ran, m.now), true
}

func (m *limitModel) print(out *tabwriter.Writer) {
	most, first := 0, 0
	for i, at := range m.ran {
		for at.Sub(m.ran[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	const factor, slack = 1.5, 5
	wait := 0.0
	if m.asked > 0 {
		wait = m.waited.Seconds() * 1000 / float64(m.asked)
	}
	_, _ = fmt.Fprintf(out, "%d\t%.1f\t%s\t%d\t%.0f\t%.2f\t%d\t%.1f\t%.0f ms\n", m.vms, m.perS, m.way, most, factor*limitWindow.Seconds()*m.perS+slack,
		float64(len(m.ran))/limitLength.Seconds()/m.perS, len(m.serves), float64(m.questions)/limitLength.Seconds(), wait)
}
