// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package capacity

import (
	"time"
)

const (
	// DefaultTerm is how long a grant lasts.
	DefaultTerm = 2 * time.Second
	// termSlack is added to the term at the granter. It covers clocks that
	// run at different speeds and the way of the last request.
	termSlack = 500 * time.Millisecond
)

// Grant is the right of another VM to have up to Slots requests in flight at
// this pool's workers for a term.
type Grant struct {
	ID    uint64
	Slots int
	Term  time.Duration
}

type grant struct {
	holder string
	slots  int
	inUse  int
	lapses time.Time
}

// Lend grants up to want slots to a holder, and takes the place of the holder's
// earlier grant. The grant may be for fewer slots, also for none, in which case
// its ID is zero.
func (p *Pool) Lend(holder string, want int, term time.Duration) Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	if term <= 0 || term > DefaultTerm {
		term = DefaultTerm
	}
	p.lapse()
	earlier := p.grantOf(holder)
	slots := min(want, p.lendable()+outstanding(earlier))
	if slots <= 0 || (earlier == nil && len(p.grants) >= maxGrants) {
		return Grant{}
	}
	// Renewal keeps the id, so that requests under way with the earlier grant
	// are still honoured; the holder counts those in use against the new sum.
	if earlier == nil {
		p.nextGrant++
		earlier = &grant{holder: holder}
		p.grants[p.nextGrant] = earlier
	}
	earlier.slots = max(slots, earlier.inUse)
	earlier.lapses = p.cfg.Now().Add(term + termSlack)
	return Grant{ID: p.idOf(earlier), Slots: earlier.slots, Term: term}
}

// Redeem takes a slot under a grant. The grant is looked at anew, whatever the
// holder believes. It returns ErrGrant, ErrSpent, or ErrFull if own callers use
// the slots, or fewer are usable, since the grant was given.
func (p *Pool) Redeem(id uint64) (*Slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lapse()
	g, ok := p.grants[id]
	if !ok {
		return nil, ErrGrant
	}
	if g.inUse >= g.slots {
		return nil, ErrSpent
	}
	if p.waiting.Len() > 0 {
		return nil, ErrFull // Own callers come first.
	}
	slot, err := p.reserve(g)
	if err != nil {
		return nil, err
	}
	g.inUse++
	return slot, nil
}

// lendable is what may still be lent: free slots less those that others wait
// for and less the headroom that must stay, which is one slot at least.
func (p *Pool) lendable() int {
	usable := p.usable()
	headroom := max(1, int(p.cfg.LeastHeadroom.Of(uint64(usable))))
	return usable - headroom - p.inUse - p.lent() - p.waiting.Len()
}

// lent counts slots that are lent and not in use.
func (p *Pool) lent() int {
	now := p.cfg.Now()
	total := 0
	for _, g := range p.grants {
		if now.Before(g.lapses) {
			total += outstanding(g)
		}
	}
	return total
}

// lapse forgets grants whose term has ended for certain. Their requests in
// flight stay counted as such.
func (p *Pool) lapse() {
	now := p.cfg.Now()
	for id, g := range p.grants {
		if !now.Before(g.lapses) {
			delete(p.grants, id)
		}
	}
}

func (p *Pool) grantOf(holder string) *grant {
	for _, g := range p.grants {
		if g.holder == holder {
			return g
		}
	}
	return nil
}

func (p *Pool) idOf(wanted *grant) uint64 {
	for id, g := range p.grants {
		if g == wanted {
			return id
		}
	}
	return 0
}

func outstanding(g *grant) int {
	if g == nil {
		return 0
	}
	return max(0, g.slots-g.inUse)
}
