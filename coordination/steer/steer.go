// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package steer decides, for each request, which hall should run it.
//
// The decision is made at the client's home hall, where both the total and the
// moved requests are counted, so that the cap of a move holds at each VM with
// no message to another. A request is moved if the client lies within the share
// of a move, a slot at the target is in hand, and every cap allows it. If one of
// these is missing it runs at home, and the rule that kept it is named.
//
// # Usage
//
//	s := steer.New(steer.Config{Hall: "colombo-1"})
//	candidate := s.Arrive(view, "lookup", client)
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

// Rule names what decided where a request runs.
type Rule string

// Rules.
const (
	// RuleHome runs a request at home since no move holds its client.
	RuleHome Rule = "home"
	// RuleMove runs it at the target of a move.
	RuleMove Rule = "move"
	// RuleCap keeps it at home since a cap has no room.
	RuleCap Rule = "cap"
	// RuleNoGrant keeps it at home since no slot at the target is in hand.
	RuleNoGrant Rule = "no-grant"
	// RuleLink keeps it at home since the link to the target is full.
	RuleLink Rule = "link"
	// RuleReturned runs it at home after the target refused it.
	RuleReturned Rule = "returned"
	// RuleForeign runs it here although its home is another hall, since the
	// caller came here: the home hall is unknown, lost or drained.
	RuleForeign Rule = "foreign"
)

const (
	shardCount = 16
	// marginFactor is how far beyond the share clients may fill up what its
	// own clients leave of the cap. Arrivals are random and an account holds
	// little, so that without a margin about half of the credit is wasted.
	marginFactor = 2
)

// Config sets up a Steerer. Hall is required.
type Config struct {
	// Hall is the hall of this VM.
	Hall string
}

// Steerer holds the accounts of moves and caps at one VM.
// It is safe for concurrent use.
type Steerer struct {
	cfg    Config
	shards [shardCount]shard
}

type shard struct {
	mu       sync.RWMutex
	accounts map[string]*quota.Account
}

// New returns a steerer without accounts.
func New(cfg Config) *Steerer {
	s := &Steerer{cfg: cfg}
	for i := range s.shards {
		s.shards[i].accounts = make(map[string]*quota.Account)
	}
	return s
}

// Candidate is the move that a request may take.
type Candidate struct {
	rule     Rule
	move     *spec.Move
	target   string
	accounts []*quota.Account
	// margin is set for a client beyond the share, who is moved only on
	// credit that would be wasted.
	margin bool
}

// Rule returns RuleMove if the request may move, else what keeps it here.
func (c Candidate) Rule() Rule { return c.rule }

// Move returns the move whose share holds the client, or nil.
func (c Candidate) Move() *spec.Move { return c.move }

// Target returns the receiving hall, or "" without a move.
func (c Candidate) Target() string { return c.target }

// Spend pays for the move from every cap, or from none.
func (c Candidate) Spend() bool {
	if c.margin {
		return quota.SpendSpare(c.accounts[0], c.accounts[1:]...)
	}
	return quota.Spend(c.accounts...)
}

// Refund takes a payment back after the target refused for certain.
func (c Candidate) Refund() { quota.Refund(c.accounts...) }

// Arrive counts a request against every move and cap that covers it and returns
// the move that it may take, if any.
func (s *Steerer) Arrive(v *view.View, service string, client netip.Addr) Candidate {
	home, ok := v.Home(client)
	if !ok || home != s.cfg.Hall {
		return Candidate{rule: RuleForeign}
	}
	moves := v.Moves(service, home)
	if len(moves) == 0 {
		return Candidate{rule: RuleHome}
	}
	caps := s.arriveCaps(v, service, home)
	chosen := Candidate{rule: RuleHome}
	for _, m := range moves {
		a := s.account("move/"+m.ID, m.Cap)
		a.Arrive()
		position, effective := share.Position(m.ID, client), m.Effective()
		if chosen.move != nil || position >= min(marginFactor*effective, share.Whole) {
			continue
		}
		chosen = Candidate{
			rule:     RuleMove,
			move:     m,
			target:   target(m, client),
			accounts: append([]*quota.Account{a}, caps...),
			margin:   position >= effective,
		}
	}
	return chosen
}

func (s *Steerer) arriveCaps(v *view.View, service, home string) []*quota.Account {
	var accounts []*quota.Account
	for i := range v.Traffic().Caps {
		c := &v.Traffic().Caps[i]
		if !c.Covers(service, home) {
			continue
		}
		a := s.account("cap/"+c.ID+"/"+service, c.Limit)
		a.Arrive()
		accounts = append(accounts, a)
	}
	return accounts
}

func target(m *spec.Move, client netip.Addr) string {
	if len(m.Targets) == 1 {
		return m.Targets[0].Hall
	}
	weights := make([]uint32, len(m.Targets))
	for i, t := range m.Targets {
		weights[i] = t.Weight
	}
	return m.Targets[max(0, share.Weighted(m.ID, client, weights))].Hall
}

func (s *Steerer) account(key string, limit share.PPM) *quota.Account {
	h := &s.shards[xxhash.Sum64String(key)%shardCount]
	h.mu.RLock()
	a, ok := h.accounts[key]
	h.mu.RUnlock()
	if !ok {
		h.mu.Lock()
		defer h.mu.Unlock()
		if a, ok = h.accounts[key]; !ok {
			a = quota.New(limit)
			h.accounts[key] = a
		}
	}
	if a.Limit() != limit {
		a.SetLimit(limit)
	}
	return a
}

// Counts returns the requests counted and moved for a move at this VM.
func (s *Steerer) Counts(moveID string) (total, moved uint64) {
	key := "move/" + moveID
	h := &s.shards[xxhash.Sum64String(key)%shardCount]
	h.mu.RLock()
	defer h.mu.RUnlock()
	a, ok := h.accounts[key]
	if !ok {
		return 0, 0
	}
	return a.Counts()
}

// Forget drops the accounts of moves and caps that a view no longer holds.
func (s *Steerer) Forget(v *view.View) {
	keep := make(map[string]bool)
	for _, m := range v.Traffic().Moves {
		keep["move/"+m.ID] = true
	}
	for _, c := range v.Traffic().Caps {
		for _, service := range v.Services() {
			keep["cap/"+c.ID+"/"+service] = true
		}
	}
	for i := range s.shards {
		h := &s.shards[i]
		h.mu.Lock()
		for key := range h.accounts {
			if !keep[key] {
				delete(h.accounts, key)
			}
		}
		h.mu.Unlock()
	}
}
