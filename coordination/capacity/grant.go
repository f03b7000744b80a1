// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package capacity

import (
	"time"
)

const (
	// DefaultTerm is the default and longest term of a grant.
	DefaultTerm = 2 * time.Second
	// termSlack is added to the term at the lender. It covers clocks that run at different
	// rates and the transit time of the last request.
	termSlack = 500 * time.Millisecond
)

// Grant allows another VM to have up to Slots requests in flight at this pool's workers
// for a term.
type Grant struct {
	ID    uint64
	Slots int
	Term  time.Duration
}

type grant struct {
	holder    string
	slots     int
	inUse     int
	expiresAt time.Time
}

// Lend grants up to want slots to a holder and replaces the holder's previous grant. A
// term that is not positive or exceeds DefaultTerm becomes DefaultTerm. The grant may be
// for fewer slots, or for none, in which case its ID is zero.
func (p *Pool) Lend(holder string, want int, term time.Duration) Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	if term <= 0 || term > DefaultTerm {
		term = DefaultTerm
	}
	p.expireGrants()
	g := p.grantHeldBy(holder)
	slots := min(want, p.lendable()+unusedSlots(g))
	if slots <= 0 || (g == nil && len(p.grants) >= maxGrants) {
		return Grant{}
	}
	// Renewal keeps the id, so that requests in transit under the previous grant are still
	// accepted; the holder counts its slots in use against the new total.
	if g == nil {
		p.nextGrant++
		g = &grant{holder: holder}
		p.grants[p.nextGrant] = g
	}
	g.slots = max(slots, g.inUse)
	g.expiresAt = p.cfg.Now().Add(term + termSlack)
	return Grant{ID: p.grantID(g), Slots: g.slots, Term: term}
}

// Redeem reserves a slot under a grant, which is validated again whatever the holder
// believes. It returns ErrUnknownGrant, ErrGrantExhausted, ErrNoWorkers, or ErrFull if the
// pool's own callers use or wait for the slots, or fewer are usable than when the grant
// was given.
func (p *Pool) Redeem(id uint64) (*Slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireGrants()
	g, ok := p.grants[id]
	if !ok {
		return nil, ErrUnknownGrant
	}
	if g.inUse >= g.slots {
		return nil, ErrGrantExhausted
	}
	if p.waiters.Len() > 0 {
		return nil, ErrFull // the pool's own callers have precedence
	}
	slot, err := p.reserve(g)
	if err != nil {
		return nil, err
	}
	g.inUse++
	return slot, nil
}

// lendable returns how many slots may still be lent: the free ones less those that callers
// wait for and less the headroom, which is at least one slot.
func (p *Pool) lendable() int {
	usable := p.usable()
	headroom := max(1, int(p.cfg.MinHeadroom.Scale(uint64(usable))))
	return usable - headroom - p.inUse - p.lentUnused() - p.waiters.Len()
}

// lentUnused returns the number of slots that are lent and not in use.
func (p *Pool) lentUnused() int {
	now := p.cfg.Now()
	total := 0
	for _, g := range p.grants {
		if now.Before(g.expiresAt) {
			total += unusedSlots(g)
		}
	}
	return total
}

// expireGrants removes expired grants. Their requests in flight stay counted by the pool.
func (p *Pool) expireGrants() {
	now := p.cfg.Now()
	for id, g := range p.grants {
		if !now.Before(g.expiresAt) {
			delete(p.grants, id)
		}
	}
}

func (p *Pool) grantHeldBy(holder string) *grant {
	for _, g := range p.grants {
		if g.holder == holder {
			return g
		}
	}
	return nil
}

func (p *Pool) grantID(target *grant) uint64 {
	for id, g := range p.grants {
		if g == target {
			return id
		}
	}
	return 0
}

func unusedSlots(g *grant) int {
	if g == nil {
		return 0
	}
	return max(0, g.slots-g.inUse)
}
