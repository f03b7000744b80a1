// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// neighborMaxAge is how long a VM's report of free slots is used.
const neighborMaxAge = 5 * time.Second

const neighborShards = 16

// Neighbors holds the free slots that the other VMs of the hall last reported,
// less the requests sent to them since. It is safe for concurrent use.
type Neighbors struct {
	shards [neighborShards]neighborShard
}

type neighborShard struct {
	mu   sync.Mutex
	free map[string]map[string]*neighborSlots // by service, by VM
}

type neighborSlots struct {
	free       int
	reportedAt time.Time
}

// NewNeighbors returns an empty table.
func NewNeighbors() *Neighbors {
	n := &Neighbors{}
	for i := range n.shards {
		n.shards[i].free = make(map[string]map[string]*neighborSlots)
	}
	return n
}

func (n *Neighbors) shard(service string) *neighborShard {
	return &n.shards[xxhash.Sum64String(service)%neighborShards]
}

// Update stores a VM's report of its free slots for a service.
func (n *Neighbors) Update(vm, service string, free int, now time.Time) {
	s := n.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	byVM, ok := s.free[service]
	if !ok {
		byVM = make(map[string]*neighborSlots)
		s.free[service] = byVM
	}
	byVM[vm] = &neighborSlots{free: free, reportedAt: now}
	for id, t := range byVM {
		if now.Sub(t.reportedAt) > neighborMaxAge {
			delete(byVM, id)
		}
	}
}

// Reserve returns the VM with the most free slots of a service and reserves one,
// or returns "" if no VM has any. VMs in skip are not used.
func (n *Neighbors) Reserve(service string, now time.Time, skip map[string]bool) string {
	s := n.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	bestVM, mostFree := "", 0
	for vm, t := range s.free[service] {
		if t.free > mostFree && !skip[vm] && now.Sub(t.reportedAt) <= neighborMaxAge {
			bestVM, mostFree = vm, t.free
		}
	}
	if bestVM != "" {
		s.free[service][bestVM].free--
	}
	return bestVM
}

// MarkFull records that a VM refused a request for lack of capacity.
func (n *Neighbors) MarkFull(service, vm string) {
	s := n.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.free[service][vm]; ok {
		t.free = 0
	}
}

// Release returns the slot of a request that has ended.
func (n *Neighbors) Release(service, vm string) {
	s := n.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.free[service][vm]; ok {
		t.free++
	}
}
