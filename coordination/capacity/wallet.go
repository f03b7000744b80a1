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

// Wallet keeps the grants that a VM holds and how much it wants.
// It is safe for concurrent use.
type Wallet struct {
	now     func() time.Time
	mu      sync.Mutex
	pouches map[Source]*pouch
}

type pouch struct {
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
	wallet *Wallet
	pouch  *pouch
	held   *held
	grant  Held
	once   sync.Once
}

// NewWallet returns an empty wallet. The clock must not run backwards.
func NewWallet(now func() time.Time) *Wallet {
	return &Wallet{now: now, pouches: make(map[Source]*pouch)}
}

// Take uses one slot of a grant that is still good. It returns nil if there is
// none, and remembers that one was wanted.
func (w *Wallet) Take(s Source) *Use {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.pouch(s)
	now := w.now()
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
	return &Use{wallet: w, pouch: p, held: best, grant: best.Held}
}

// Put adds a grant, or replaces the earlier one of the same lender and id.
func (w *Wallet) Put(s Source, h Held) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.pouch(s)
	for _, g := range p.grants {
		if g.Lender == h.Lender && g.ID == h.ID {
			g.Held = h
			return
		}
	}
	p.grants = append(p.grants, &held{Held: h})
}

// Drop forgets the grants of a lender that refused one of them.
func (w *Wallet) Drop(s Source, lender string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.pouch(s)
	for _, g := range p.grants {
		if g.Lender == lender {
			g.Ends = time.Time{}
		}
	}
}

// Want returns how many slots to ask for at a renewal and begins a new period.
// It returns 0 if there was no demand for some periods.
func (w *Wallet) Want(s Source) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.pouch(s)
	now := w.now()
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
func (w *Wallet) Sources() []Source {
	w.mu.Lock()
	defer w.mu.Unlock()
	sources := make([]Source, 0, len(w.pouches))
	for s := range w.pouches {
		sources = append(sources, s)
	}
	return sources
}

// Good returns how many slots of a source could be used now.
func (w *Wallet) Good(s Source) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	total := 0
	for _, g := range w.pouch(s).grants {
		if now.Before(g.Ends) {
			total += max(0, g.Slots-g.inUse)
		}
	}
	return total
}

// Forget drops sources that have seen no demand for some periods, but for those
// that keep holds.
func (w *Wallet) Forget(keep map[Source]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for s, p := range w.pouches {
		if !keep[s] && p.inUse == 0 && p.idle > idlePeriods {
			delete(w.pouches, s)
		}
	}
}

func (w *Wallet) pouch(s Source) *pouch {
	p, ok := w.pouches[s]
	if !ok {
		p = &pouch{}
		w.pouches[s] = p
	}
	return p
}

// Grant returns the grant that the use is under.
func (u *Use) Grant() Held { return u.grant }

// Done ends the use. Only the first call counts.
func (u *Use) Done() {
	u.once.Do(func() {
		u.wallet.mu.Lock()
		defer u.wallet.mu.Unlock()
		u.held.inUse--
		u.pouch.inUse--
	})
}
