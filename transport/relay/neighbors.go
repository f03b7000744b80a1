// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// neighborFresh is how long the free slots that a VM told are believed.
const neighborFresh = 5 * time.Second

const neighborShards = 16

// Neighbors holds how many free slots the other VMs of the hall last told, and
// takes off what was sent there since. It is safe for concurrent use.
type Neighbors struct {
	shards [neighborShards]neighborShard
}

type neighborShard struct {
	mu   sync.Mutex
	free map[string]map[string]*told // by service, by VM
}

type told struct {
	free int
	at   time.Time
}

// NewNeighbors returns an empty table.
func NewNeighbors() *Neighbors {
	n := &Neighbors{}
	for i := range n.shards {
		n.shards[i].free = make(map[string]map[string]*told)
	}
	return n
}

func (n *Neighbors) shard(service string) *neighborShard {
	return &n.shards[xxhash.Sum64String(service)%neighborShards]
}

// Told takes in what a VM says of one service.
func (n *Neighbors) Told(vm, service string, free int, now time.Time) {
	s := n.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	byVM, ok := s.free[service]
	if !ok {
		byVM = make(map[string]*told)
		s.free[service] = byVM
	}
	byVM[vm] = &told{free: free, at: now}
	for id, t := range byVM {
		if now.Sub(t.at) > neighborFresh {
			delete(byVM, id)
		}
	}
}

// Take returns the VM with the most free slots of a service, with one slot
// taken off, or "" if none is known to have any.
func (n *Neighbors) Take(service string, now time.Time, skip map[string]bool) string {
	s := n.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	best, most := "", 0
	for vm, t := range s.free[service] {
		if t.free > most && !skip[vm] && now.Sub(t.at) <= neighborFresh {
			best, most = vm, t.free
		}
	}
	if best != "" {
		s.free[service][best].free--
	}
	return best
}

// Full notes that a VM refused for lack of room.
func (n *Neighbors) Full(service, vm string) {
	s := n.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.free[service][vm]; ok {
		t.free = 0
	}
}

// Back notes that a request sent to a VM has ended.
func (n *Neighbors) Back(service, vm string) {
	s := n.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.free[service][vm]; ok {
		t.free++
	}
}
