// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/ryehill/ryehill/internal/loopback"
	"github.com/ryehill/ryehill/state/spec"
)

// Plan is the size and shape of a fleet.
type Plan struct {
	Name     string
	Regions  []string
	Halls    int // in each region
	VMs      int // in each hall
	Services []ServicePlan
	// One-way delays.
	BetweenHalls, BetweenRegions, ToClients time.Duration
	// LinkBytes limits each link between halls, in bytes a second.
	LinkBytes int64
	TTL, Step time.Duration
}

// ServicePlan is one service and its workers.
type ServicePlan struct {
	Name    string
	Workers int // in the whole fleet
	Slots   int
	// Time is how long a worker takes for a request when warm.
	Time      time.Duration
	Essential bool
	Once      bool // requests of this service may not be repeated
}

// Kelani is the first user's fleet, at the sizes of the brief.
func Kelani() Plan {
	return Plan{
		Name: "kelani", Regions: []string{"colombo", "kandy", "galle"}, Halls: 2, VMs: 2,
		Services: []ServicePlan{
			{Name: "lookup", Workers: 25, Slots: 5, Time: 8 * time.Millisecond},
			{Name: "payment", Workers: 10, Slots: 5, Time: 20 * time.Millisecond, Essential: true, Once: true},
			{Name: "intake", Workers: 10, Slots: 5, Time: 20 * time.Millisecond, Essential: true},
		},
		BetweenHalls: time.Millisecond, BetweenRegions: 35 * time.Millisecond, ToClients: 3 * time.Millisecond,
		LinkBytes: 20 << 20, TTL: time.Second, Step: 1500 * time.Millisecond,
	}
}

// Tazrout is the second user's fleet, at the sizes of the brief.
func Tazrout() Plan {
	return Plan{
		Name: "tazrout", Regions: []string{"casablanca", "rabat", "tanger"}, Halls: 2, VMs: 2,
		Services: []ServicePlan{
			{Name: "queue", Workers: 20, Slots: 4, Time: 8 * time.Millisecond},
			{Name: "reply", Workers: 10, Slots: 4, Time: 20 * time.Millisecond, Essential: true, Once: true},
			{Name: "case", Workers: 10, Slots: 4, Time: 20 * time.Millisecond, Essential: true},
		},
		BetweenHalls: time.Millisecond, BetweenRegions: 55 * time.Millisecond, ToClients: time.Millisecond,
		LinkBytes: 20 << 20, TTL: time.Second, Step: 1500 * time.Millisecond,
	}
}

// hall is one hall of a plan.
type hall struct {
	name, region string
	index        int
}

func (p *Plan) halls() []hall {
	var halls []hall
	for _, region := range p.Regions {
		for i := range p.Halls {
			halls = append(halls, hall{name: fmt.Sprintf("%s-%d", region, i+1), region: region, index: len(halls)})
		}
	}
	return halls
}

func (p *Plan) regionOf(place string) string {
	for _, h := range p.halls() {
		if h.name == place {
			return h.region
		}
	}
	return place
}

// delay returns the one-way delay between two places: halls, clients of a
// region ("client/REGION"), or the platform, which is near everywhere.
func (p *Plan) delay(from, to string) time.Duration {
	const client = "client/"
	if from == PlatformPlace || to == PlatformPlace || from == to {
		return 0
	}
	extra := time.Duration(0)
	if len(from) > len(client) && from[:len(client)] == client {
		from = from[len(client):]
		extra = p.ToClients
		if from == p.regionOf(to) {
			return extra
		}
	}
	if p.regionOf(from) == p.regionOf(to) {
		return extra + p.BetweenHalls
	}
	return extra + p.BetweenRegions
}

// Client returns the n-th client address of a hall, from 0 to 65,535.
func Client(hallIndex, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(hallIndex + 1), byte(n >> 8), byte(n)})
}

// address returns the IP number of a part of the fleet. The platform, workers and
// VMs have numbers of their own in the network of this process, under a base that
// differs for each of the fleets that it runs at once.
func (f *Fleet) address(kind, n int) string {
	const last = 200 // of the numbers that differ in the last part only
	return fmt.Sprintf("%s%d.%d", loopback.Network(), f.base+kind*numbersOfKind+n/last, 1+n%last)
}

func (p *Plan) fleetObject() spec.Object {
	object := &spec.Fleet{LookupTTL: spec.Duration(p.TTL), StepInterval: spec.Duration(p.Step)}
	for _, h := range p.halls() {
		object.Halls = append(object.Halls, spec.Hall{Name: h.name, Region: h.region})
		for _, other := range p.halls() {
			if other.name != h.name && p.LinkBytes > 0 {
				object.Links = append(object.Links, spec.Link{From: h.name, To: other.name, BytesPerSecond: p.LinkBytes})
			}
		}
	}
	return spec.Encode(spec.Key{Kind: spec.KindFleet, Name: spec.SingletonName}, object)
}

func (p *Plan) blocksObject() spec.Object {
	object := &spec.Blocks{Halls: make(map[string][]netip.Prefix)}
	for _, h := range p.halls() {
		object.Halls[h.name] = []netip.Prefix{netip.PrefixFrom(Client(h.index, 0), 16)}
	}
	return spec.Encode(spec.Key{Kind: spec.KindBlocks, Name: "all"}, object)
}
