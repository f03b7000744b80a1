// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/internal/clock"
)

const (
	// directoryTTL is the maximum TTL of the directory's answers.
	directoryTTL = 2 * time.Second
	// maxAddresses bounds the VMs in one answer.
	maxAddresses = 64
)

// Resolve returns the entry addresses of live VMs for clients in a region, and their
// TTL. It returns VMs of other regions only if that region has none, and VMs that reach no
// worker, or know none yet, only if most of the region's VMs are such.
func (g *Gateway) Resolve(_, region, _ string) ([]string, time.Duration) {
	ttl := min(directoryTTL, g.cfg.Bounds.MaxTTL)
	var inRegion, elsewhere []membership.Member
	for _, m := range g.liveMembers() {
		if g.cfg.Halls[m.Hall] == region {
			inRegion = append(inRegion, m)
		} else {
			elsewhere = append(elsewhere, m)
		}
	}
	if len(inRegion) == 0 {
		inRegion = elsewhere
	}
	var near []string
	for _, m := range reachingWorkers(inRegion) {
		near = append(near, m.Entry)
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	return near[:min(len(near), maxAddresses)], ttl
}

// liveMembers returns the VMs that respond, including this one while it serves.
func (g *Gateway) liveMembers() []membership.Member {
	var live []membership.Member
	if g.Ready() {
		live = append(live, g.members.Self())
	}
	for _, m := range g.members.Others() {
		if m.State == membership.StateLive && m.Start != 0 {
			live = append(live, m)
		}
	}
	return live
}

// settleTime is how long after its start a VM takes no part in work that VMs divide
// among themselves. Before it knows the others, it would consider itself the
// only one, and so would all VMs that start with it.
const settleTime = 2 * time.Second

// settled reports whether this VM has had time to discover the others.
func (g *Gateway) settled() bool {
	_, known := g.replica.CompleteUpTo(g.cfg.Codec.MemberKind())
	return known && clock.Since(g.bootstrapStart()) >= settleTime
}

// Live implements placement.Peers. It returns no VMs if this one has just started or
// has no list of VMs yet.
func (g *Gateway) Live(region string) (ids []string, listed int) {
	if !g.settled() {
		return nil, 0
	}
	for _, m := range g.liveMembers() {
		if g.cfg.Halls[m.Hall] == region {
			ids = append(ids, m.ID)
		}
	}
	for _, m := range g.members.ListedMembers() {
		if g.cfg.Halls[m.Hall] == region {
			listed++
		}
	}
	return ids, listed
}
