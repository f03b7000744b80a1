// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package tree_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/ryehill/ryehill/coordination/tree"
)

// newRegion returns the VMs of a region; the first VMs of each hall have fast links.
func newRegion(halls, vms, fast int) []tree.VM {
	var all []tree.VM
	for h := range halls {
		for i := range vms {
			vm := tree.VM{ID: fmt.Sprintf("h%d-%d", h, i), Hall: fmt.Sprintf("h%d", h), LinkMbps: 20}
			if i < fast {
				vm.LinkMbps = 200
			}
			all = append(all, vm)
		}
	}
	return all
}

// Guards against cycles, deep trees and VMs with too many children.
func TestDepthAndFanOut(t *testing.T) {
	cases := map[string]struct{ halls, vms, fast, depth, maxChildren int }{
		"one VM":              {halls: 1, vms: 1, fast: 1, depth: 0, maxChildren: 0},
		"a small region":      {halls: 2, vms: 14, fast: 2, depth: 1, maxChildren: 27},
		"three halls of 33":   {halls: 3, vms: 33, fast: 3, depth: 2, maxChildren: 34},
		"three halls of 146":  {halls: 3, vms: 146, fast: 10, depth: 3, maxChildren: 50},
		"one hall of 99":      {halls: 1, vms: 99, fast: 9, depth: 2, maxChildren: 45},
		"unknown bandwidth":   {halls: 3, vms: 33, fast: 0, depth: 2, maxChildren: 34},
		"one VM in each hall": {halls: 40, vms: 1, fast: 1, depth: 1, maxChildren: 39},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			vms := newRegion(c.halls, c.vms, c.fast)
			places := make(map[string]tree.Place, len(vms))
			children := make(map[string]int)
			for _, vm := range vms {
				place := tree.PlaceOf(vm.ID, "north", vms)
				places[vm.ID] = place
				if place.Parent != vm.ID {
					children[place.Parent]++
				}
			}
			deepest, mostChildren := 0, 0
			for id, place := range places {
				deepest = max(deepest, place.Depth)
				mostChildren = max(mostChildren, children[id])
				if parent := places[place.Parent]; place.Depth > 0 && parent.Depth >= place.Depth {
					t.Errorf("%s at depth %d has parent %s at depth %d", id, place.Depth, place.Parent, parent.Depth)
				}
			}
			if deepest != c.depth || mostChildren > c.maxChildren {
				t.Errorf("depth %d, want %d; one VM has %d children, want at most %d", deepest, c.depth, mostChildren, c.maxChildren)
			}
		})
	}
}

// Guards against parents with slow links.
func TestParentsHaveFastLinks(t *testing.T) {
	vms := newRegion(3, 33, 3)
	for _, vm := range vms {
		parent := tree.PlaceOf(vm.ID, "north", vms).Parent
		index := slices.IndexFunc(vms, func(v tree.VM) bool { return v.ID == parent })
		if vms[index].LinkMbps != 200 {
			t.Errorf("%s has parent %s, whose link has %d Mbit/s", vm.ID, parent, vms[index].LinkMbps)
		}
	}
}

// Guards against many VMs changing their parent when one VM leaves.
func TestFewParentsChangeWhenAVMLeaves(t *testing.T) {
	vms := newRegion(3, 33, 3)
	removed := tree.PlaceOf(vms[len(vms)-1].ID, "north", vms).Parent
	remaining := slices.DeleteFunc(slices.Clone(vms), func(v tree.VM) bool { return v.ID == removed })
	moved := 0
	for _, vm := range remaining {
		if tree.PlaceOf(vm.ID, "north", vms).Parent != tree.PlaceOf(vm.ID, "north", remaining).Parent {
			moved++
		}
	}
	if moved > tree.FanOut+2 {
		t.Errorf("%d VMs change their parent, want those of one hall at most", moved)
	}
}

// BenchmarkPlaceOf measures the computation of one place in a region with relays.
func BenchmarkPlaceOf(b *testing.B) {
	vms := newRegion(3, 33, 3)
	for b.Loop() {
		tree.PlaceOf("h2-32", "north", vms)
	}
}
