// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package tree decides which VM each VM of a region asks for news, so that one
// VM watches the store for all of them and no VM answers too many.
//
// A small region has one root, which all others ask. In a larger one the VMs of a
// hall ask the head of their hall, and only the heads ask the root, so that news
// crosses to another hall once and not once for each VM there. In a hall with
// more VMs than one can answer, relays stand between the head and the others.
//
// Roots, heads and relays are VMs with wide links: 98 VMs that ask one VM three
// times a second for what 350 workers told make 2.2 MB/s, worked out, and a link
// of 20 Mbit/s carries 2.5.
//
// Every VM works this out by itself from the VMs that it takes to be live. VMs
// that disagree for a moment ask different ones, which costs a few questions.
//
// # Usage
//
//	place := tree.Of("vm-7", "north", vms)
//	if place.Parent != "vm-7" { /* ask place.Parent for news */ }
package tree

import (
	"slices"

	"github.com/ryehill/ryehill/coordination/assign"
)

// FanOut is how many VMs one may answer. A region with no more has a root and
// nothing else. 32 VMs whose questions are held for 0.35 s make 90 answers a
// second, which take 4 % of a small VM's processor (0.16 of a core), worked out
// from 70 us an answer.
const FanOut = 32

// VM is a VM that may have a place in the tree.
type VM struct {
	ID   string
	Hall string
	// LinkMbps is the width of its link, in Mbit/s; 0 is unknown.
	LinkMbps int
}

// Place is the place of one VM in the tree of its region.
type Place struct {
	// Parent is the id of the VM to ask. The root's is its own.
	Parent string
	// Depth is how many questions lie between this VM and the store's watcher: 0
	// for the root, 1 for those that ask it.
	Depth int
}

// Of returns the place of a VM among the VMs of its region, which it is one of.
// The order of the VMs does not matter.
func Of(self, region string, vms []VM) Place {
	if len(vms) <= FanOut {
		return under(self, Ranked("watcher/"+region, vms)[0])
	}
	own := hallOf(self, vms)
	heads := make([]VM, 0, 1)
	var hall []string
	for name, list := range byHall(vms) {
		ranked := Ranked("watcher/"+region+"/"+name, list)
		heads = append(heads, list[slices.IndexFunc(list, func(vm VM) bool { return vm.ID == ranked[0] })])
		if name == own {
			hall = ranked
		}
	}
	root := Ranked("watcher/"+region, heads)[0]
	if self == hall[0] {
		return under(self, root)
	}
	return below(self, under(hall[0], root).Depth, hall)
}

// under returns the place of a VM that is the root or asks it.
func under(self, root string) Place {
	if self == root {
		return Place{Parent: self}
	}
	return Place{Parent: root, Depth: 1}
}

// below returns the place of a VM that is not the head of its hall, given the depth
// of the head and the VMs of the hall with the head first.
func below(self string, headDepth int, hall []string) Place {
	relays := hall[1 : 1+relayCount(len(hall))]
	if len(relays) == 0 || slices.Contains(relays, self) {
		return Place{Parent: hall[0], Depth: headDepth + 1}
	}
	return Place{Parent: assign.Top("relay/"+self, relays, 1)[0], Depth: headDepth + 2}
}

// relayCount returns how many VMs of a hall stand between its head and the others.
func relayCount(vms int) int {
	if vms-1 <= FanOut {
		return 0
	}
	return min((vms-1+FanOut-1)/FanOut, FanOut)
}

// Ranked returns the ids of VMs in order of preference for an item: first those
// whose links are at least half as wide as the widest, by rendezvous hashing, then
// the others.
func Ranked(item string, vms []VM) []string {
	widest := 0
	for _, vm := range vms {
		widest = max(widest, vm.LinkMbps)
	}
	var wide, narrow []string
	for _, vm := range vms {
		if 2*vm.LinkMbps >= widest {
			wide = append(wide, vm.ID)
		} else {
			narrow = append(narrow, vm.ID)
		}
	}
	return append(assign.Ranked(item, wide), assign.Ranked(item, narrow)...)
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
