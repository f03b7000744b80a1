// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"time"

	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/coordination/tree"
)

// candidates are the VMs to choose from, by ID. This VM is always among them, so that a
// choice never fails.
type candidates map[string]membership.Member

// candidates returns this VM and the live VMs for which include is true.
func (g *Gateway) candidates(now time.Time, include func(membership.Member) bool) candidates {
	self := g.members.Self()
	c := candidates{self.ID: self}
	for _, m := range append(g.liveMembers(), g.assumedLive(now)...) {
		if m.ID != self.ID && include(m) {
			c[m.ID] = m
		}
	}
	return c
}

// inRegion reports whether a VM is in this VM's region.
func (g *Gateway) inRegion(m membership.Member) bool { return g.cfg.Halls[m.Hall] == g.region() }

// vms returns the candidates as input for tree.Rank.
func (c candidates) vms() []tree.VM {
	vms := make([]tree.VM, 0, len(c))
	for id, m := range c {
		vms = append(vms, tree.VM{ID: id, Hall: m.Hall, LinkMbps: m.LinkMbps})
	}
	return vms
}

// first returns the highest-ranked candidate for an item, the same at all VMs with the
// same candidates.
func (c candidates) first(item string) membership.Member {
	return c[tree.Rank(item, c.vms())[0]]
}
