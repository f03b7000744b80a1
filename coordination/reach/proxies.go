// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package reach

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxForwardedPerProxy bounds the requests that one isolated VM has in flight at one
	// proxy.
	maxForwardedPerProxy = 64
	// maxProxyChoices bounds the proxies of a region among which one isolated VM chooses, and
	// so its sessions with other VMs.
	maxProxyChoices = 8
	// defaultLinkMbps is assumed of a VM whose bandwidth is unknown.
	defaultLinkMbps = 1000
)

// Proxy is a VM that may send requests to workers on behalf of an isolated one.
type Proxy struct {
	ID      string
	Address string
	Region  string
	// LinkMbps is the bandwidth of its link in Mbit/s, 0 if unknown.
	LinkMbps int
}

// Demand describes what proxies are needed for.
type Demand struct {
	// Region is the region of the isolated VM, and IsolatedThere the number of isolated
	// VMs in it.
	Region        string
	IsolatedThere int
	// WorkerRegion is the region of the worker that the request goes to.
	WorkerRegion string
	// Allows reports whether the request may pass through a region.
	Allows func(region string) bool
}

// Proxies chooses the proxies of an isolated VM. It is safe for concurrent use.
type Proxies struct {
	self string
	now  func() time.Time

	mu       sync.Mutex
	inFlight map[string]int
	avoided  map[string]time.Time
}

// NewProxies returns the Proxies of a VM, without requests in flight. It reads the time from
// now.
func NewProxies(self string, now func() time.Time) *Proxies {
	return &Proxies{self: self, now: now, inFlight: make(map[string]int), avoided: make(map[string]time.Time)}
}

// Acquire chooses a proxy and counts a request at it, until Release is called. Proxies of
// the VM's own region come first, then those of the worker's region, then others. If the
// own region has fewer proxies than isolated VMs, a part of the requests goes to other
// regions. Within a region, the less loaded of two random ones of maxProxyChoices is
// chosen, which differ between VMs.
func (p *Proxies) Acquire(proxies []Proxy, d Demand) (Proxy, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var own, near, far []Proxy
	for _, candidate := range proxies {
		if !p.usable(candidate) || d.Allows != nil && !d.Allows(candidate.Region) {
			continue
		}
		switch candidate.Region {
		case d.Region:
			own = append(own, candidate)
		case d.WorkerRegion:
			near = append(near, candidate)
		default:
			far = append(far, candidate)
		}
	}
	groups := [][]Proxy{own, near, far}
	if len(own) < d.IsolatedThere && rand.IntN(d.IsolatedThere) >= len(own) {
		groups = [][]Proxy{near, far, own}
	}
	for _, group := range groups {
		if len(group) > 0 {
			chosen := p.lessLoaded(p.choices(group))
			p.inFlight[chosen.ID]++
			return chosen, true
		}
	}
	return Proxy{}, false
}

// choices returns the maxProxyChoices proxies of a group that rank first for this VM.
func (p *Proxies) choices(group []Proxy) []Proxy {
	if len(group) <= maxProxyChoices {
		return group
	}
	chosen, ranks := make([]Proxy, 0, maxProxyChoices+1), make([]uint64, 0, maxProxyChoices+1)
	for _, candidate := range group {
		rank := xxhash.Sum64String(p.self + "/" + candidate.ID)
		at, _ := slices.BinarySearch(ranks, rank)
		if at == maxProxyChoices {
			continue
		}
		chosen, ranks = slices.Insert(chosen, at, candidate), slices.Insert(ranks, at, rank)
		chosen, ranks = chosen[:min(len(chosen), maxProxyChoices)], ranks[:min(len(ranks), maxProxyChoices)]
	}
	return chosen
}

// usable reports whether a proxy may get another request. mu is held.
func (p *Proxies) usable(candidate Proxy) bool {
	return p.inFlight[candidate.ID] < maxForwardedPerProxy && !p.now().Before(p.avoided[candidate.ID])
}

// lessLoaded returns the less loaded of two different random proxies, by requests in flight and
// bandwidth. mu is held.
func (p *Proxies) lessLoaded(group []Proxy) Proxy {
	first := rand.IntN(len(group))
	if len(group) == 1 {
		return group[first]
	}
	second := (first + 1 + rand.IntN(len(group)-1)) % len(group)
	if p.load(group[second]) < p.load(group[first]) {
		return group[second]
	}
	return group[first]
}

func (p *Proxies) load(candidate Proxy) float64 {
	mbps := candidate.LinkMbps
	if mbps <= 0 {
		mbps = defaultLinkMbps
	}
	return float64(p.inFlight[candidate.ID]+1) / float64(mbps)
}

// Release ends the request that Acquire has counted.
func (p *Proxies) Release(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight[id]--; p.inFlight[id] <= 0 {
		delete(p.inFlight, id)
	}
}

// Avoid excludes a proxy for a time.
func (p *Proxies) Avoid(id string, duration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for other, until := range p.avoided {
		if !now.Before(until) {
			delete(p.avoided, other)
		}
	}
	p.avoided[id] = now.Add(duration)
}
