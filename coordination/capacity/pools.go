// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package capacity

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const poolShards = 16

// Pools holds a pool for each service. It is safe for concurrent use.
type Pools struct {
	cfg    Config
	shards [poolShards]poolShard
}

type poolShard struct {
	mu    sync.RWMutex
	pools map[string]*Pool
}

// NewPools returns a set of pools that are created on demand with the same Config.
func NewPools(cfg Config) *Pools {
	p := &Pools{cfg: cfg}
	for i := range p.shards {
		p.shards[i].pools = make(map[string]*Pool)
	}
	return p
}

// Get returns the pool of a service and creates it if needed. The name must be that of a
// known service, as pools are never removed.
func (p *Pools) Get(service string) *Pool {
	s := &p.shards[xxhash.Sum64String(service)%poolShards]
	s.mu.RLock()
	pool, ok := s.pools[service]
	s.mu.RUnlock()
	if ok {
		return pool
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if pool, ok = s.pools[service]; !ok {
		pool = New(p.cfg)
		s.pools[service] = pool
	}
	return pool
}
