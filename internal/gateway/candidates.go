// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"time"

	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/coordination/tree"
)

// candidates are VMs that one may be chosen from, by their ids. This VM itself is
// always among them, so that a choice never fails.
type candidates map[string]membership.Member

// candidates returns this VM and the others that it takes to be live, as far as they
// are wanted.
func (g *Gateway) candidates(now time.Time, wanted func(membership.Member) bool) candidates {
	self := g.members.Self()
	c := candidates{self.ID: self}
	for _, m := range append(g.liveMembers(), g.assumedLive(now)...) {
		if m.ID != self.ID && wanted(m) {
			c[m.ID] = m
		}
	}
	return c
}

// inRegion reports whether a VM is of this VM's region.
func (g *Gateway) inRegion(m membership.Member) bool { return g.cfg.Halls[m.Hall] == g.region() }

// vms returns the candidates as the tree ranks them.
func (c candidates) vms() []tree.VM {
	vms := make([]tree.VM, 0, len(c))
	for id, m := range c {
		vms = append(vms, tree.VM{ID: id, Hall: m.Hall, LinkMbps: m.LinkMbps})
	}
	return vms
}

// first returns the candidate that all VMs which see the same ones choose for an item.
func (c candidates) first(item string) membership.Member {
	return c[tree.Rank(item, c.vms())[0]]
}
