// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package tree_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/ryehill/ryehill/coordination/tree"
)

// region returns VMs in halls of one region; the first ones of each hall have wide
// links.
func region(halls, vms, wide int) []tree.VM {
	var all []tree.VM
	for h := range halls {
		for i := range vms {
			vm := tree.VM{ID: fmt.Sprintf("h%d-%d", h, i), Hall: fmt.Sprintf("h%d", h), LinkMbps: 20}
			if i < wide {
				vm.LinkMbps = 200
			}
			all = append(all, vm)
		}
	}
	return all
}

// Every VM reaches the one root by its parents, and no VM answers many more than
// FanOut.
func TestTree(t *testing.T) {
	cases := map[string]struct{ halls, vms, wide, depth, answers int }{
		"one VM":                {halls: 1, vms: 1, wide: 1, depth: 0, answers: 0},
		"a small region":        {halls: 2, vms: 14, wide: 2, depth: 1, answers: 27},
		"three halls of 33":     {halls: 3, vms: 33, wide: 3, depth: 2, answers: 34},
		"three halls of 146":    {halls: 3, vms: 146, wide: 10, depth: 3, answers: 50},
		"one hall of 99":        {halls: 1, vms: 99, wide: 9, depth: 2, answers: 45},
		"links are not known":   {halls: 3, vms: 33, wide: 0, depth: 2, answers: 34},
		"a hall with no others": {halls: 40, vms: 1, wide: 1, depth: 1, answers: 39},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			vms := region(c.halls, c.vms, c.wide)
			places := make(map[string]tree.Place, len(vms))
			answers := make(map[string]int)
			for _, vm := range vms {
				place := tree.Of(vm.ID, "north", vms)
				places[vm.ID] = place
				if place.Parent != vm.ID {
					answers[place.Parent]++
				}
			}
			deepest, most := 0, 0
			for id, place := range places {
				deepest = max(deepest, place.Depth)
				most = max(most, answers[id])
				if parent := places[place.Parent]; place.Depth > 0 && parent.Depth >= place.Depth {
					t.Errorf("%s at depth %d asks %s at %d", id, place.Depth, place.Parent, parent.Depth)
				}
			}
			if deepest != c.depth || most > c.answers {
				t.Errorf("depth %d, want %d; one answers %d, want at most %d", deepest, c.depth, most, c.answers)
			}
		})
	}
}

// VMs with wide links answer the others.
func TestWideLinksAnswer(t *testing.T) {
	vms := region(3, 33, 3)
	for _, vm := range vms {
		parent := tree.Of(vm.ID, "north", vms).Parent
		at := slices.IndexFunc(vms, func(v tree.VM) bool { return v.ID == parent })
		if vms[at].LinkMbps != 200 {
			t.Errorf("%s asks %s, whose link has %d Mbit/s", vm.ID, parent, vms[at].LinkMbps)
		}
	}
}

// A VM that goes moves only those that asked it, and those that its successor
// asked.
func TestFewMoveWhenOneGoes(t *testing.T) {
	vms := region(3, 33, 3)
	gone := tree.Of(vms[len(vms)-1].ID, "north", vms).Parent
	left := slices.DeleteFunc(slices.Clone(vms), func(v tree.VM) bool { return v.ID == gone })
	moved := 0
	for _, vm := range left {
		if tree.Of(vm.ID, "north", vms).Parent != tree.Of(vm.ID, "north", left).Parent {
			moved++
		}
	}
	if moved > tree.FanOut+2 {
		t.Errorf("%d VMs ask another one, want those of one hall at most", moved)
	}
}

// BenchmarkOf finds the place of a VM among the 99 of a region.
func BenchmarkOf(b *testing.B) {
	vms := region(3, 33, 3)
	for b.Loop() {
		tree.Of("h2-32", "north", vms)
	}
}
