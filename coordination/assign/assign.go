// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package assign distributes the upstreams of a hall among its VMs.
//
// Every VM computes the same assignment from the same lists, without coordination. It uses
// bounded-load rendezvous hashing: no VM owns more than the average, rounded up, and
// adding or removing one VM reassigns few other items.
//
// # Usage
//
//	owner := assign.Owners(workerIDs, liveVMs)
//	mine := owner["w1"] == self
package assign

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owners returns the owning VM of each item, or an empty map if there are no VMs. The
// order of the arguments does not matter.
func Owners(items, vms []string) map[string]string {
	owners := make(map[string]string, len(items))
	if len(vms) == 0 {
		return owners
	}
	maxItems := (len(items) + len(vms) - 1) / len(vms)
	counts := make(map[string]int, len(vms))
	sorted := slices.Clone(items)
	slices.Sort(sorted)
	for _, item := range sorted {
		for _, vm := range Rank(item, vms) {
			if counts[vm] < maxItems {
				owners[item] = vm
				counts[vm]++
				break
			}
		}
	}
	return owners
}

// weightedVM is a VM with its rendezvous weight for an item.
type weightedVM struct {
	vm     string
	weight uint64
}

// compare sorts by descending weight, then by id.
func (w weightedVM) compare(other weightedVM) int {
	return cmp.Or(cmp.Compare(other.weight, w.weight), cmp.Compare(w.vm, other.vm))
}

// Rank returns the VMs in order of preference for an item, best first.
func Rank(item string, vms []string) []string {
	list := weighVMs(item, vms)
	slices.SortFunc(list, weightedVM.compare)
	ranked := make([]string, len(list))
	for i, w := range list {
		ranked[i] = w.vm
	}
	return ranked
}

// Top returns the n best VMs for an item, or all if there are fewer.
func Top(item string, vms []string, n int) []string {
	if n == 1 && len(vms) > 0 {
		return []string{slices.MinFunc(weighVMs(item, vms), weightedVM.compare).vm}
	}
	ranked := Rank(item, vms)
	return ranked[:min(n, len(ranked))]
}

// weighVMs returns the VMs with their weights for an item.
func weighVMs(item string, vms []string) []weightedVM {
	hash := xxhash.Sum64String(item) * 0x9e3779b97f4a7c15
	list := make([]weightedVM, 0, len(vms))
	for _, vm := range vms {
		list = append(list, weightedVM{vm: vm, weight: mix(hash ^ xxhash.Sum64String(vm))})
	}
	return list
}

func mix(h uint64) uint64 {
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}
