// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ryehill/ryehill/state/workspace"
)

// Config configures a LocalLimiter. All fields are required.
type Config struct {
	Bounds Bounds
	// VMs returns the number of listed VMs, live or not; 0 while that is unknown.
	VMs func() int
	Now func() time.Time
}

const (
	shardCount = 16
	// maxBuckets bounds the workspaces of one shard, to 4 MB in all shards. A shard that exceeds it is cleared,
	// and its buckets start empty again.
	maxBuckets = 4096
)

// LocalLimiter holds the token buckets of a VM's local shares, which it uses without
// asking any other VM. It is safe for concurrent use; workspaces are spread over shards
// with a lock each.
type LocalLimiter struct {
	cfg    Config
	shards [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	// createdAt is when the shard was created or last cleared. A new bucket is refilled
	// from then on.
	createdAt time.Time
}

// NewLocalLimiter returns a LocalLimiter whose buckets are empty.
func NewLocalLimiter(cfg Config) *LocalLimiter {
	l := &LocalLimiter{cfg: cfg}
	for i := range l.shards {
		l.shards[i] = shard{buckets: make(map[string]*bucket), createdAt: cfg.Now()}
	}
	return l
}

// TakeToken takes a token of a workspace from the VM's local share, and reports whether
// there was one.
func (l *LocalLimiter) TakeToken(name string, limit workspace.Limit) bool {
	s, params, now := l.shard(name), l.bucketParams(limit), l.cfg.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.bucket(name, now)
	b.refill(params, now)
	return b.takeTokens(1) == 1
}

// Refund returns the token of a request to its bucket.
func (l *LocalLimiter) Refund(name string) {
	s := l.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok := s.buckets[name]; ok {
		b.tokens++
	}
}

func (l *LocalLimiter) bucketParams(limit workspace.Limit) bucketParams {
	local, _ := l.cfg.Bounds.splitShare(limit, l.cfg.VMs())
	return local
}

func (l *LocalLimiter) shard(name string) *shard {
	return &l.shards[xxhash.Sum64String(name)%shardCount]
}

// bucket returns the bucket of a workspace. A new one is refilled from the shard's
// creation on.
func (s *shard) bucket(name string, now time.Time) *bucket {
	if b, ok := s.buckets[name]; ok {
		return b
	}
	if len(s.buckets) >= maxBuckets {
		clear(s.buckets)
		s.createdAt = now // Taken tokens are no longer known, so all buckets start empty.
	}
	b := &bucket{lastRefill: s.createdAt}
	s.buckets[name] = b
	return b
}
