// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package capacity

import (
	"sync"
	"time"
)

const (
	// maxWanted bounds what a VM asks for, for each service and hall.
	maxWanted = 256
	// idlePeriods is after how many renewals without demand a holder stops
	// asking.
	idlePeriods = 5
)

// Source names where slots are borrowed: a service in a hall.
type Source struct {
	Service string
	Hall    string
}

// Held is a grant in the hands of its holder.
type Held struct {
	Lender string
	ID     uint64
	Slots  int
	// Ends is the end of the term by the holder's clock, counted from the
	// moment it asked, so always before the lender's own end.
	Ends time.Time
}

// Holder keeps the grants that one VM holds, and how many slots it wants.
// It is safe for concurrent use.
type Holder struct {
	now      func() time.Time
	mu       sync.Mutex
	holdings map[Source]*holding
}

type holding struct {
	grants  []*held
	inUse   int
	demand  int // the most wanted at once since the last renewal
	refused int // tries that found no grant since the last renewal
	idle    int
}

type held struct {
	Held
	inUse int
}

// Use is one request that goes out under a grant.
type Use struct {
	holder  *Holder
	holding *holding
	held    *held
	grant   Held
	once    sync.Once
}

// NewHolder returns a Holder without grants. The clock must not run backwards.
func NewHolder(now func() time.Time) *Holder {
	return &Holder{now: now, holdings: make(map[Source]*holding)}
}

// Take uses one slot of a grant that is still good. It returns nil if there is
// none, and remembers that one was wanted.
func (h *Holder) Take(s Source) *Use {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.holding(s)
	now := h.now()
	var best *held
	for _, g := range p.grants {
		if g.inUse < g.Slots && now.Before(g.Ends) && (best == nil || g.Slots-g.inUse > best.Slots-best.inUse) {
			best = g
		}
	}
	if best == nil {
		p.refused++
		p.demand = max(p.demand, p.inUse+p.refused)
		return nil
	}
	best.inUse++
	p.inUse++
	p.demand = max(p.demand, p.inUse)
	return &Use{holder: h, holding: p, held: best, grant: best.Held}
}

// Put adds a grant, or replaces the earlier one of the same lender and id.
func (h *Holder) Put(s Source, grant Held) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.holding(s)
	for _, g := range p.grants {
		if g.Lender == grant.Lender && g.ID == grant.ID {
			g.Held = grant
			return
		}
	}
	p.grants = append(p.grants, &held{Held: grant})
}

// Drop forgets the grants of a lender that refused one of them.
func (h *Holder) Drop(s Source, lender string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.holding(s)
	for _, g := range p.grants {
		if g.Lender == lender {
			g.Ends = time.Time{}
		}
	}
}

// Want returns how many slots to ask for at a renewal and begins a new period.
// It returns 0 if there was no demand for some periods.
func (h *Holder) Want(s Source) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.holding(s)
	now := h.now()
	kept := p.grants[:0]
	for _, g := range p.grants {
		if g.inUse > 0 || now.Before(g.Ends) {
			kept = append(kept, g)
		}
	}
	p.grants = kept
	want := p.demand
	if want == 0 {
		p.idle++
	} else {
		p.idle = 0
	}
	p.demand = p.inUse
	p.refused = 0
	if p.idle > idlePeriods {
		return 0
	}
	return min(want+1, maxWanted)
}

// Sources returns where slots are borrowed or were wanted of late.
func (h *Holder) Sources() []Source {
	h.mu.Lock()
	defer h.mu.Unlock()
	sources := make([]Source, 0, len(h.holdings))
	for s := range h.holdings {
		sources = append(sources, s)
	}
	return sources
}

// Good returns how many slots of a source could be used now.
func (h *Holder) Good(s Source) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	total := 0
	for _, g := range h.holding(s).grants {
		if now.Before(g.Ends) {
			total += max(0, g.Slots-g.inUse)
		}
	}
	return total
}

// Forget drops sources that have seen no demand for some periods, but for those
// that keep holds.
func (h *Holder) Forget(keep map[Source]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s, p := range h.holdings {
		if !keep[s] && p.inUse == 0 && p.idle > idlePeriods {
			delete(h.holdings, s)
		}
	}
}

func (h *Holder) holding(s Source) *holding {
	p, ok := h.holdings[s]
	if !ok {
		p = &holding{}
		h.holdings[s] = p
	}
	return p
}

// Grant returns the grant that the use is under.
func (u *Use) Grant() Held { return u.grant }

// Done ends the use. Only the first call counts.
func (u *Use) Done() {
	u.once.Do(func() {
		u.holder.mu.Lock()
		defer u.holder.mu.Unlock()
		u.held.inUse--
		u.holding.inUse--
	})
}
