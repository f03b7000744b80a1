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

// HeldGrant is a grant as its holder knows it.
type HeldGrant struct {
	Lender string
	ID     uint64
	Slots  int
	// ExpiresAt is the end of the term by the holder's clock, counted from the time of the
	// request, so it is always before the lender's own expiry.
	ExpiresAt time.Time
}

// GrantHolder tracks the grants that one VM holds, and how many slots it needs. It is safe
// for concurrent use.
type GrantHolder struct {
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
	HeldGrant
	inUse int
}

// GrantUse is one request that is sent under a grant.
type GrantUse struct {
	holder *GrantHolder
	source *sourceGrants
	held   *trackedGrant
	grant  HeldGrant
	once   sync.Once
}

// NewGrantHolder returns a GrantHolder without grants. The clock must not run backwards.
func NewGrantHolder(now func() time.Time) *GrantHolder {
	return &GrantHolder{now: now, sources: make(map[Source]*sourceGrants)}
}

// AcquireSlot reserves one slot of an unexpired grant. It returns nil if there is none, and
// counts that one was needed.
func (h *GrantHolder) AcquireSlot(s Source) *GrantUse {
	h.mu.Lock()
	defer h.mu.Unlock()
	sg := h.sourceGrants(s)
	now := h.now()
	var best *trackedGrant
	for _, g := range sg.grants {
		if g.inUse < g.Slots && now.Before(g.ExpiresAt) && (best == nil || g.Slots-g.inUse > best.Slots-best.inUse) {
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
	return &GrantUse{holder: h, source: sg, held: best, grant: best.HeldGrant}
}

// AddGrant adds a grant, or replaces the previous one with the same lender and id.
func (h *GrantHolder) AddGrant(s Source, grant HeldGrant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sg := h.sourceGrants(s)
	for _, g := range sg.grants {
		if g.Lender == grant.Lender && g.ID == grant.ID {
			g.HeldGrant = grant
			return
		}
	}
	sg.grants = append(sg.grants, &trackedGrant{HeldGrant: grant})
}

// ExpireGrants expires the grants of a lender that refused one of them.
func (h *GrantHolder) ExpireGrants(s Source, lender string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sg := h.sourceGrants(s)
	for _, g := range sg.grants {
		if g.Lender == lender {
			g.ExpiresAt = time.Time{}
		}
	}
}

// SlotsToRequest returns how many slots to request at a renewal and starts a new period.
// It returns 0 after several periods without demand.
func (h *GrantHolder) SlotsToRequest(s Source) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	sg := h.sourceGrants(s)
	now := h.now()
	kept := sg.grants[:0]
	for _, g := range sg.grants {
		if g.inUse > 0 || now.Before(g.ExpiresAt) {
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
func (h *GrantHolder) Sources() []Source {
	h.mu.Lock()
	defer h.mu.Unlock()
	sources := make([]Source, 0, len(h.sources))
	for s := range h.sources {
		sources = append(sources, s)
	}
	return sources
}

// AvailableSlots returns how many slots of a source can be used now.
func (h *GrantHolder) AvailableSlots(s Source) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	total := 0
	for _, g := range h.sourceGrants(s).grants {
		if now.Before(g.ExpiresAt) {
			total += max(0, g.Slots-g.inUse)
		}
	}
	return total
}

// RemoveIdle removes the sources that had no demand for several periods, except those in
// keep.
func (h *GrantHolder) RemoveIdle(keep map[Source]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s, sg := range h.sources {
		if !keep[s] && sg.inUse == 0 && sg.idlePeriods > maxIdlePeriods {
			delete(h.sources, s)
		}
	}
}

func (h *GrantHolder) sourceGrants(s Source) *sourceGrants {
	sg, ok := h.sources[s]
	if !ok {
		sg = &sourceGrants{}
		h.sources[s] = sg
	}
	return sg
}

// Grant returns the grant under which the request is sent.
func (u *GrantUse) Grant() HeldGrant { return u.grant }

// Done releases the slot. Only the first call has an effect.
func (u *GrantUse) Done() {
	u.once.Do(func() {
		u.holder.mu.Lock()
		defer u.holder.mu.Unlock()
		u.held.inUse--
		u.source.inUse--
	})
}
