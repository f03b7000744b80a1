// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package assign divides the upstreams of a hall among its VMs.
//
// Every VM computes the same division from the same list, with no message. It
// uses rendezvous hashing with a bound: no VM owns more than the average
// rounded up, and a change of one VM moves little else.
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

// Owners returns the owning VM of each item. It returns an empty map if there
// are no VMs. The order of the arguments does not matter.
func Owners(items, vms []string) map[string]string {
	owners := make(map[string]string, len(items))
	if len(vms) == 0 {
		return owners
	}
	most := (len(items) + len(vms) - 1) / len(vms)
	held := make(map[string]int, len(vms))
	sorted := slices.Clone(items)
	slices.Sort(sorted)
	for _, item := range sorted {
		for _, vm := range Ranked(item, vms) {
			if held[vm] < most {
				owners[item] = vm
				held[vm]++
				break
			}
		}
	}
	return owners
}

// weighed is a VM with its weight for an item.
type weighed struct {
	vm     string
	weight uint64
}

// compare orders the VM that an item prefers first.
func (w weighed) compare(other weighed) int {
	return cmp.Or(cmp.Compare(other.weight, w.weight), cmp.Compare(w.vm, other.vm))
}

// Ranked returns the VMs in order of preference for an item, best first.
func Ranked(item string, vms []string) []string {
	list := weigh(item, vms)
	slices.SortFunc(list, weighed.compare)
	ranked := make([]string, len(list))
	for i, w := range list {
		ranked[i] = w.vm
	}
	return ranked
}

// Top returns the n best VMs for an item, or all if there are fewer.
func Top(item string, vms []string, n int) []string {
	if n == 1 && len(vms) > 0 {
		return []string{slices.MinFunc(weigh(item, vms), weighed.compare).vm}
	}
	ranked := Ranked(item, vms)
	return ranked[:min(n, len(ranked))]
}

// weigh returns the VMs with their weights for an item.
func weigh(item string, vms []string) []weighed {
	hash := xxhash.Sum64String(item) * 0x9e3779b97f4a7c15
	list := make([]weighed, 0, len(vms))
	for _, vm := range vms {
		list = append(list, weighed{vm: vm, weight: mix(hash ^ xxhash.Sum64String(vm))})
	}
	return list
}

func mix(h uint64) uint64 {
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}
