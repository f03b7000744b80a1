// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package capacity

import (
	"sync"
	"time"
)

const (
	// maxRequestedSlots bounds the slots that a VM requests for each service and hall.
	maxRequestedSlots = 256
	// maxIdlePeriods is the number of renewals without demand after which a holder stops
	// requesting slots.
	maxIdlePeriods = 5
)

// Source identifies where slots are borrowed: a service in a hall.
type Source struct {
	Service string
	Hall    string
}

// Held is a grant as its holder knows it.
type Held struct {
	Lender string
	ID     uint64
	Slots  int
	// Ends is the end of the term by the holder's clock, counted from the time of the
	// request, so it is always before the lender's own expiry.
	Ends time.Time
}

// Holder tracks the grants that one VM holds, and how many slots it needs. It is safe
// for concurrent use.
type Holder struct {
	now     func() time.Time
	mu      sync.Mutex
	sources map[Source]*sourceGrants
}

type sourceGrants struct {
	grants      []*trackedGrant
	inUse       int
	demand      int // peak demand since the last renewal
	misses      int // attempts that found no usable grant since the last renewal
	idlePeriods int
}

type trackedGrant struct {
	Held
	inUse int
}

// Use is one request that is sent under a grant.
type Use struct {
	holder *Holder
	source *sourceGrants
	held   *trackedGrant
	grant  Held
	once   sync.Once
}

// NewHolder returns a GrantHolder without grants. The clock must not run backwards.
func NewHolder(now func() time.Time) *Holder {
	return &Holder{now: now, sources: make(map[Source]*sourceGrants)}
}

// Take reserves one slot of an unexpired grant. It returns nil if there is none, and
// counts that one was needed.
func (h *Holder) Take(s Source) *Use {
	h.mu.Lock()
	defer h.mu.Unlock()
	sg := h.sourceGrants(s)
	now := h.now()
	var best *trackedGrant
	for _, g := range sg.grants {
		if g.inUse < g.Slots && now.Before(g.Ends) && (best == nil || g.Slots-g.inUse > best.Slots-best.inUse) {
			best = g
		}
	}
	if best == nil {
		sg.misses++
		sg.demand = max(sg.demand, sg.inUse+sg.misses)
		return nil
	}
	best.inUse++
	sg.inUse++
	sg.demand = max(sg.demand, sg.inUse)
	return &Use{holder: h, source: sg, held: best, grant: best.Held}
}

// Put adds a grant, or replaces the previous one with the same lender and id.
func (h *Holder) Put(s Source, grant Held) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sg := h.sourceGrants(s)
	for _, g := range sg.grants {
		if g.Lender == grant.Lender && g.ID == grant.ID {
			g.Held = grant
			return
		}
	}
	sg.grants = append(sg.grants, &trackedGrant{Held: grant})
}

// Drop expires the grants of a lender that refused one of them.
func (h *Holder) Drop(s Source, lender string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sg := h.sourceGrants(s)
	for _, g := range sg.grants {
		if g.Lender == lender {
			g.Ends = time.Time{}
		}
	}
}

// Want returns how many slots to request at a renewal and starts a new period.
// It returns 0 after several periods without demand.
func (h *Holder) Want(s Source) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	sg := h.sourceGrants(s)
	now := h.now()
	kept := sg.grants[:0]
	for _, g := range sg.grants {
		if g.inUse > 0 || now.Before(g.Ends) {
			kept = append(kept, g)
		}
	}
	sg.grants = kept
	want := sg.demand
	if want == 0 {
		sg.idlePeriods++
	} else {
		sg.idlePeriods = 0
	}
	sg.demand = sg.inUse
	sg.misses = 0
	if sg.idlePeriods > maxIdlePeriods {
		return 0
	}
	return min(want+1, maxRequestedSlots)
}

// Sources returns the sources from which slots are borrowed or were recently needed.
func (h *Holder) Sources() []Source {
	h.mu.Lock()
	defer h.mu.Unlock()
	sources := make([]Source, 0, len(h.sources))
	for s := range h.sources {
		sources = append(sources, s)
	}
	return sources
}

// Good returns how many slots of a source can be used now.
func (h *Holder) Good(s Source) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	total := 0
	for _, g := range h.sourceGrants(s).grants {
		if now.Before(g.Ends) {
			total += max(0, g.Slots-g.inUse)
		}
	}
	return total
}

// Forget removes the sources that had no demand for several periods, except those in
// keep.
func (h *Holder) Forget(keep map[Source]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s, sg := range h.sources {
		if !keep[s] && sg.inUse == 0 && sg.idlePeriods > maxIdlePeriods {
			delete(h.sources, s)
		}
	}
}

func (h *Holder) sourceGrants(s Source) *sourceGrants {
	sg, ok := h.sources[s]
	if !ok {
		sg = &sourceGrants{}
		h.sources[s] = sg
	}
	return sg
}

// Grant returns the grant under which the request is sent.
func (u *Use) Grant() Held { return u.grant }

// Done releases the slot. Only the first call has an effect.
func (u *Use) Done() {
	u.once.Do(func() {
		u.holder.mu.Lock()
		defer u.holder.mu.Unlock()
		u.held.inUse--
		u.source.inUse--
	})
}
