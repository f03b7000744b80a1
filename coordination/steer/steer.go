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
	rule    Rule
	move    *spec.Move
	target  string
	account *quota.Account // of the move
	caps    []*quota.Account
	// margin is set for a subject beyond the share, who is moved only on
	// credit that would be wasted.
	margin bool
}

// Rule returns RuleMove if the request may move, else what keeps it here.
func (c Candidate) Rule() Rule { return c.rule }

// Limit returns the least of the caps that bind, or share.Whole without one.
func (c Candidate) Limit() share.PPM {
	least := share.Whole
	for _, a := range c.caps {
		least = min(least, a.Limit())
	}
	return least
}

// Move returns the move whose share holds the client, or nil.
func (c Candidate) Move() *spec.Move { return c.move }

// Target returns the receiving hall, or "" without a move.
func (c Candidate) Target() string { return c.target }

// Spend pays for the move from its own share and every cap, or from none.
func (c Candidate) Spend() bool {
	if c.margin {
		return quota.SpendSpare(c.account, c.caps...)
	}
	return quota.Spend(append([]*quota.Account{c.account}, c.caps...)...)
}

// Refund takes a payment back after the target refused for certain.
func (c Candidate) Refund() { quota.Refund(append([]*quota.Account{c.account}, c.caps...)...) }

// SpendCaps pays from every cap, or from none, for a request that leaves its
// hall by no move, but by the balance between regions.
func (c Candidate) SpendCaps() bool { return quota.Spend(c.caps...) }

// Arrive counts a request against every move and cap that covers it and returns
// the move that it may take, if any.
func (s *Steerer) Arrive(v *view.View, service string, client netip.Addr) Candidate {
	home, ok := v.Home(client)
	if !ok || home != s.cfg.Hall {
		return Candidate{rule: RuleForeign}
	}
	return s.ArriveAt(v, service, home, share.Client(client))
}

// ArriveAt is like Arrive for a subject that belongs to a hall, whatever hall
// this VM is in.
func (s *Steerer) ArriveAt(v *view.View, service, hall string, subject share.Subject) Candidate {
	chosen := Candidate{rule: RuleHome, caps: s.arriveCaps(v, service, hall)}
	for _, m := range v.Moves(service, hall) {
		position, effective := share.Position(m.ID, subject), m.Effective()
		a := s.account("move/"+m.ID, effective)
		a.Arrive()
		if chosen.move != nil || position >= min(marginFactor*effective, share.Whole) {
			continue
		}
		chosen.rule, chosen.move, chosen.target = RuleMove, m, target(m, subject)
		chosen.account, chosen.margin = a, position >= effective
	}
	return chosen
}

func (s *Steerer) arriveCaps(v *view.View, service, hall string) []*quota.Account {
	var accounts []*quota.Account
	for i := range v.Traffic().Caps {
		c := &v.Traffic().Caps[i]
		if !c.Covers(service, hall) {
			continue
		}
		a := s.account(capKey(c.ID, service, hall), c.Limit)
		a.Arrive()
		accounts = append(accounts, a)
	}
	return accounts
}

// capKey names the account of a cap: each service and hall is counted alone.
func capKey(id, service, hall string) string { return "cap/" + id + "/" + service + "/" + hall }

func target(m *spec.Move, subject share.Subject) string {
	if len(m.Targets) == 1 {
		return m.Targets[0].Hall
	}
	weights := make([]uint32, len(m.Targets))
	for i, t := range m.Targets {
		weights[i] = t.Weight
	}
	return m.Targets[max(0, share.Weighted(m.ID, subject, weights))].Hall
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
			for _, hall := range v.Fleet().Halls {
				keep[capKey(c.ID, service, hall.Name)] = true
			}
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
