// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package steer decides, for each request, whether a move sends it to another hall.
//
// The decision is made in the client's home hall, where total and moved requests are
// counted, so that each VM enforces the cap of a move without coordination. A request is
// moved if the client is within the share of a move, a slot at the target is available,
// and every cap allows it. Otherwise it runs at home, and the rule that kept it there is
// reported.
//
// # Usage
//
//	s := steer.New(steer.Config{Hall: "colombo-1"})
//	candidate := s.Evaluate(view, "lookup", client)
//	if candidate.Move() != nil && haveSlot && candidate.Spend() { /* move it */ }
package steer

import (
	"net/netip"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/ryehill/ryehill/state/quota"
	"github.com/ryehill/ryehill/state/share"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/state/view"
)

// Rule is the rule that decided where a request runs.
type Rule string

// Rules.
const (
	// RuleHome runs a request at home because no move applies to its client.
	RuleHome Rule = "home"
	// RuleMove runs it at the target of a move.
	RuleMove Rule = "move"
	// RuleCap keeps it at home because a cap is used up.
	RuleCap Rule = "cap"
	// RuleNoGrant keeps it at home because no slot at the target has been granted.
	RuleNoGrant Rule = "no-grant"
	// RuleLink keeps it at home because the link to the target is saturated.
	RuleLink Rule = "link"
	// RuleReturned runs it at home after the target has refused it.
	RuleReturned Rule = "returned"
	// RuleForeign runs it here although its home is another hall, because the client
	// connected here: the home hall is unknown, lost or drained.
	RuleForeign Rule = "foreign"
)

const (
	shardCount = 16
	// spareShareFactor is the multiple of the share up to which further clients may use
	// credit that the clients within the share leave unused. Arrivals are random and a
	// bucket holds little credit, so that much of it would expire otherwise.
	spareShareFactor = 2
)

// Config configures a Steerer. Hall is required.
type Config struct {
	// Hall is the hall of this VM.
	Hall string
}

// Steerer holds the buckets of moves and caps at one VM. It is safe for concurrent use.
type Steerer struct {
	cfg    Config
	shards [shardCount]shard
}

type shard struct {
	mu      sync.RWMutex
	buckets map[string]*quota.Bucket
}

// New returns a steerer without buckets.
func New(cfg Config) *Steerer {
	s := &Steerer{cfg: cfg}
	for i := range s.shards {
		s.shards[i].buckets = make(map[string]*quota.Bucket)
	}
	return s
}

// Candidate is the move that may apply to a request, if any.
type Candidate struct {
	rule   Rule
	move   *spec.Move
	target string
	bucket *quota.Bucket // of the move
	caps   []*quota.Bucket
	// spareOnly is set for a subject beyond the share, which is moved only on credit that
	// would otherwise expire.
	spareOnly bool
}

// Rule returns RuleMove if the request may be moved, or else the rule that keeps it here.
func (c Candidate) Rule() Rule { return c.rule }

// CapLimit returns the lowest limit of the caps that apply, or share.Whole without caps.
func (c Candidate) CapLimit() share.PPM {
	least := share.Whole
	for _, b := range c.caps {
		least = min(least, b.Limit())
	}
	return least
}

// Move returns the move that applies to the client, or nil.
func (c Candidate) Move() *spec.Move { return c.move }

// Target returns the target hall, or "" without a move.
func (c Candidate) Target() string { return c.target }

// Spend takes credit from the bucket of the move and from every cap, or from none of
// them.
func (c Candidate) Spend() bool {
	if c.spareOnly {
		return quota.TakeSurplus(c.bucket, c.caps...)
	}
	return quota.TakeAll(append([]*quota.Bucket{c.bucket}, c.caps...)...)
}

// Refund returns the spent credit after the target has definitely refused the request.
func (c Candidate) Refund() { quota.Refund(append([]*quota.Bucket{c.bucket}, c.caps...)...) }

// SpendCaps takes credit from every cap, or from none, for a request that leaves its hall
// through the balancing between regions.
func (c Candidate) SpendCaps() bool { return quota.TakeAll(c.caps...) }

// Evaluate counts a request against every matching move and cap and returns the move that
// may apply to it.
func (s *Steerer) Evaluate(v *view.View, service string, client netip.Addr) Candidate {
	home, ok := v.Home(client)
	if !ok || home != s.cfg.Hall {
		return Candidate{rule: RuleForeign}
	}
	return s.EvaluateAt(v, service, home, share.ClientKey(client))
}

// EvaluateAt is like Evaluate for a subject that belongs to a given hall, whichever hall
// this VM is in.
func (s *Steerer) EvaluateAt(v *view.View, service, hall string, subject share.HashKey) Candidate {
	chosen := Candidate{rule: RuleHome, caps: s.countForCaps(v, service, hall)}
	for _, m := range v.Moves(service, hall) {
		position, effective := share.Position(m.ID, subject), m.EffectiveShare()
		b := s.bucket("move/"+m.ID, effective)
		b.AddRequest()
		if chosen.move != nil || position >= min(spareShareFactor*effective, share.Whole) {
			continue
		}
		chosen.rule, chosen.move, chosen.target = RuleMove, m, chooseTarget(m, subject)
		chosen.bucket, chosen.spareOnly = b, position >= effective
	}
	return chosen
}

func (s *Steerer) countForCaps(v *view.View, service, hall string) []*quota.Bucket {
	var buckets []*quota.Bucket
	for i := range v.Traffic().Caps {
		c := &v.Traffic().Caps[i]
		if !c.Covers(service, hall) {
			continue
		}
		b := s.bucket(capBucketKey(c.ID, service, hall), c.Limit)
		b.AddRequest()
		buckets = append(buckets, b)
	}
	return buckets
}

// capBucketKey returns the bucket key of a cap, which is counted per service and hall.
func capBucketKey(id, service, hall string) string { return "cap/" + id + "/" + service + "/" + hall }

func chooseTarget(m *spec.Move, subject share.HashKey) string {
	if len(m.Targets) == 1 {
		return m.Targets[0].Hall
	}
	weights := make([]uint32, len(m.Targets))
	for i, t := range m.Targets {
		weights[i] = t.Weight
	}
	return m.Targets[max(0, share.PickWeighted(m.ID, subject, weights))].Hall
}

func (s *Steerer) bucket(key string, limit share.PPM) *quota.Bucket {
	sh := &s.shards[xxhash.Sum64String(key)%shardCount]
	sh.mu.RLock()
	b, ok := sh.buckets[key]
	sh.mu.RUnlock()
	if !ok {
		sh.mu.Lock()
		defer sh.mu.Unlock()
		if b, ok = sh.buckets[key]; !ok {
			b = quota.New(limit)
			sh.buckets[key] = b
		}
	}
	if b.Limit() != limit {
		b.SetLimit(limit)
	}
	return b
}

// Counts returns the total and the moved requests that this VM has counted for a move.
func (s *Steerer) Counts(moveID string) (total, moved uint64) {
	key := "move/" + moveID
	sh := &s.shards[xxhash.Sum64String(key)%shardCount]
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	b, ok := sh.buckets[key]
	if !ok {
		return 0, 0
	}
	return b.Counts()
}

// Forget deletes the buckets of moves and caps that are no longer in a view.
func (s *Steerer) Forget(v *view.View) {
	keep := make(map[string]bool)
	for _, m := range v.Traffic().Moves {
		keep["move/"+m.ID] = true
	}
	for _, c := range v.Traffic().Caps {
		for _, service := range v.Services() {
			for _, hall := range v.Fleet().Halls {
				keep[capBucketKey(c.ID, service, hall.Name)] = true
			}
		}
	}
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for key := range sh.buckets {
			if !keep[key] {
				delete(sh.buckets, key)
			}
		}
		sh.mu.Unlock()
	}
}
