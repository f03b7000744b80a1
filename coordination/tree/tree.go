// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package tree computes the distribution tree of a region: from which VM each VM fetches
// updates, so that only one VM watches the store and no VM serves too many others.
//
// A small region has one root, from which all others fetch. In a larger one the VMs of a
// hall fetch from the head of their hall, and only the heads fetch from the root, so that
// an update crosses to another hall once instead of once per VM. In a hall with more VMs
// than one can serve, relays are placed between the head and the others.
//
// VMs with fast links are preferred as roots, heads and relays, since serving many VMs can
// saturate a slow link: 98 children and 350 workers make 2.2 MB/s, a link of 20 Mbit/s
// carries 2.5.
//
// Every VM computes its place from the VMs that it considers live. If VMs disagree
// temporarily, they fetch from different parents, which costs a few extra requests.
//
// # Usage
//
//	place := tree.PlaceOf("vm-7", "north", vms)
//	if place.Parent != "vm-7" { /* fetch updates from place.Parent */ }
package tree

import (
	"slices"

	"github.com/ryehill/ryehill/coordination/assign"
)

// FanOut is the number of children that one VM should serve at most. A region of up to
// this size has only a root. The bound limits the CPU time that a small VM spends on long
// polls of its children: 32 children make 90 replies a second, about 4 % of 0.16 cores.
const FanOut = 32

// VM is a VM of the region.
type VM struct {
	ID   string
	Hall string
	// LinkMbps is the bandwidth of its link, in Mbit/s. 0 means unknown.
	LinkMbps int
}

// Place is the position of a VM in the tree of its region.
type Place struct {
	// Parent is the id of the VM to fetch from. The root is its own parent.
	Parent string
	// Depth is the number of hops to the root, which watches the store.
	Depth int
}

// PlaceOf returns the place of a VM, which must be one of vms, the VMs of its region. Their
// order does not matter.
func PlaceOf(self, region string, vms []VM) Place {
	if len(vms) <= FanOut {
		return placeUnderRoot(self, Rank("watcher/"+region, vms)[0])
	}
	ownHall := hallOf(self, vms)
	heads := make([]VM, 0, 1)
	var ownRanked []string
	for name, list := range byHall(vms) {
		ranked := Rank("watcher/"+region+"/"+name, list)
		heads = append(heads, list[slices.IndexFunc(list, func(vm VM) bool { return vm.ID == ranked[0] })])
		if name == ownHall {
			ownRanked = ranked
		}
	}
	root := Rank("watcher/"+region, heads)[0]
	if self == ownRanked[0] {
		return placeUnderRoot(self, root)
	}
	return placeBelowHead(self, placeUnderRoot(ownRanked[0], root).Depth, ownRanked)
}

// placeUnderRoot returns the place of the root or of a child of the root.
func placeUnderRoot(self, root string) Place {
	if self == root {
		return Place{Parent: self}
	}
	return Place{Parent: root, Depth: 1}
}

// placeBelowHead returns the place of a VM that is not the head of its hall, given the
// depth of the head and the ranked VMs of the hall, head first.
func placeBelowHead(self string, headDepth int, hall []string) Place {
	relays := hall[1 : 1+relayCount(len(hall))]
	if len(relays) == 0 || slices.Contains(relays, self) {
		return Place{Parent: hall[0], Depth: headDepth + 1}
	}
	return Place{Parent: assign.Top("relay/"+self, relays, 1)[0], Depth: headDepth + 2}
}

// relayCount returns the number of relays in a hall with this many VMs.
func relayCount(vms int) int {
	if vms-1 <= FanOut {
		return 0
	}
	return min((vms-1+FanOut-1)/FanOut, FanOut)
}

// Rank returns the ids of VMs in order of preference for an item: first those with at
// least half the bandwidth of the fastest link, then the others, both by rendezvous
// hashing.
func Rank(item string, vms []VM) []string {
	maxMbps := 0
	for _, vm := range vms {
		maxMbps = max(maxMbps, vm.LinkMbps)
	}
	var fast, slow []string
	for _, vm := range vms {
		if 2*vm.LinkMbps >= maxMbps {
			fast = append(fast, vm.ID)
		} else {
			slow = append(slow, vm.ID)
		}
	}
	return append(assign.Rank(item, fast), assign.Rank(item, slow)...)
}

func hallOf(id string, vms []VM) string {
	for _, vm := range vms {
		if vm.ID == id {
			return vm.Hall
		}
	}
	return ""
}

func byHall(vms []VM) map[string][]VM {
	halls := make(map[string][]VM)
	for _, vm := range vms {
		halls[vm.Hall] = append(halls[vm.Hall], vm)
	}
	return halls
}
