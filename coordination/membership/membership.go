// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package membership keeps track of which VMs are live, leaving and gone,
// without any consensus.
//
// Every VM probes a few others of its hall: those at distances 1, 2, 4, ... on a
// ring of hashed ids, so that the number of probes grows with the logarithm of
// the hall. A VM that does not answer is suspected, and gone after a time unless
// it refutes the suspicion. News travels on the probes themselves, each item a
// bounded number of times. Records are ordered by the VM's start number, then by
// its incarnation, then by state, so that all VMs that have seen the same news
// hold the same record, in whatever order it came.
//
// The package does no I/O: the daemon sends the probes that Probes names and
// reports how they went.
//
// # Usage
//
//	table := membership.New(membership.Config{Self: self, Now: time.Now})
//	for _, peer := range table.Probes() { /* send table.News(peer) */ }
//	table.Heard(peer, news)
package membership

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/ryehill/ryehill/state/spec"
)

// State is what is known of a VM. A later state of one start and incarnation
// takes the place of an earlier one.
type State int

// States of a VM, in order of precedence.
const (
	StateLive State = iota
	StateSuspect
	StateLeaving
	StateGone
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"live", "suspect", "leaving", "gone"}[s]
}

// Times of detection.
const (
	// ProbeInterval is the time between two probes by one VM.
	ProbeInterval = time.Second
	// SuspectFor is how long a suspected VM has to refute.
	SuspectFor = 3 * time.Second
	// RetryGone is how often a VM that is gone but still listed is probed.
	RetryGone = 5 * time.Second
	// PauseLimit is the gap between two ticks after which a VM must assume
	// that it was frozen and that others have taken over from it.
	PauseLimit = SuspectFor / 2
	// newsRepeats is how often an item is passed on, times log2 of the hall.
	newsRepeats = 3
	// maxNews bounds the items on one probe.
	maxNews = 8
	// maxOldNews is how many items that everyone should have heard are told
	// again, in turn, for VMs that came later.
	maxOldNews = 2
)

// Member is what is known of one VM.
type Member struct {
	spec.VM
	// Start numbers the process; 0 is a VM known from the list alone.
	Start       uint64
	Incarnation uint32
	State       State
}

// Usable reports whether the VM may be given work.
func (m Member) Usable() bool {
	return m.State <= StateSuspect && m.VM.State != spec.VMLeaving
}

// Config sets up a Table. Self and Now are required.
type Config struct {
	Self Member
	// AcrossHalls puts the VMs of all halls on one ring, so that every VM may
	// be probed by any other. It is for fleets whose halls hold few VMs each.
	AcrossHalls bool
	// Now is the clock, which must not run backwards.
	Now func() time.Time
}

// Table holds the members. It is safe for concurrent use.
type Table struct {
	cfg Config

	mu       sync.Mutex
	self     Member
	members  map[string]*record
	listed   map[string]bool
	list     uint64
	next     int
	oldNews  string // the last id that was told again
	lastTick time.Time
	changed  chan struct{}
	views    views
}

type record struct {
	Member
	since  time.Time // when the state began
	probed time.Time
	sent   int // how often the record was passed on since it changed
}

// New returns a table that knows only its own VM.
func New(cfg Config) *Table {
	return &Table{
		cfg:      cfg,
		self:     cfg.Self,
		members:  make(map[string]*record),
		listed:   make(map[string]bool),
		lastTick: cfg.Now(),
		changed:  make(chan struct{}, 1),
	}
}

// Changed returns a channel that receives after members have changed.
func (t *Table) Changed() <-chan struct{} { return t.changed }

// Self returns the record of the table's own VM.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Leave marks the own VM as leaving, for good.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = StateLeaving
	t.self.Incarnation++
	t.memberChanged()
}

// SetList takes in a version of the platform's list; an older one is ignored.
// VMs that the list no longer holds are dropped once they are gone.
func (t *Table) SetList(l spec.VMList) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.Version == 0 || l.Version < t.list {
		return // None was heard yet, or an older one.
	}
	t.list = l.Version
	clear(t.listed)
	for _, vm := range l.VMs {
		t.listed[vm.ID] = true
		if vm.ID == t.self.ID {
			continue
		}
		r, ok := t.members[vm.ID]
		if !ok {
			r = &record{since: t.cfg.Now()}
			t.members[vm.ID] = r
		}
		if r.Start == 0 || r.Peer == vm.Peer {
			r.VM = vm
			continue
		}
		// The list names another address than the VM itself gave: the
		// process that was heard is newer than the list, or gone.
		r.VM.State = vm.State
	}
	t.dropUnlisted()
	t.memberChanged()
}

func (t *Table) dropUnlisted() {
	if t.list == 0 {
		return // Without a list, the peers of the settings are all there is.
	}
	for id, r := range t.members {
		if !t.listed[id] && (r.State == StateGone || r.Start == 0) {
			delete(t.members, id)
			t.views.ids = nil
			t.memberChanged()
		}
	}
}

// Heard takes in news that came from a peer, its own record first. News of
// this VM that calls it suspect or gone is refuted by a higher incarnation.
func (t *Table) Heard(news []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, m := range news {
		if m.ID == t.self.ID {
			t.refute(m)
			continue
		}
		changed = t.merge(m) || changed
	}
	if changed {
		t.memberChanged()
	}
}

func (t *Table) refute(m Member) {
	if m.Start == t.self.Start && m.Incarnation >= t.self.Incarnation && m.State > t.self.State {
		t.self.Incarnation = m.Incarnation + 1
	}
}

func (t *Table) merge(m Member) bool {
	r, ok := t.members[m.ID]
	if !ok {
		if len(t.members) >= spec.MaxVMs || m.State == StateGone {
			return false
		}
		t.members[m.ID] = &record{Member: m, since: t.cfg.Now()}
		t.views.ids = nil
		return true
	}
	order := cmp.Or(
		cmp.Compare(m.Start, r.Start),
		cmp.Compare(m.Incarnation, r.Incarnation),
		cmp.Compare(m.State, r.State),
	)
	if order <= 0 {
		return false
	}
	if r.State == StateLeaving && m.Start == r.Start && m.State < StateLeaving {
		m.State = StateLeaving // Leaving is for the whole life of a start.
	}
	if r.Start == 0 {
		t.views.ids = nil
	}
	listState := r.VM.State
	r.Member = m
	r.VM.State = listState
	r.since = t.cfg.Now()
	r.sent = 0
	return true
}

// Failed notes that a VM did not answer a probe.
func (t *Table) Failed(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.members[id]
	if !ok || r.State != StateLive {
		return
	}
	r.State = StateSuspect
	r.since = t.cfg.Now()
	r.sent = 0
	t.memberChanged()
}

// Tick moves suspects on. It reports true if the process must have been frozen
// since the last tick, so that whatever it held by a term has to be given up.
func (t *Table) Tick() (frozen bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	frozen = now.Sub(t.lastTick) > PauseLimit
	t.lastTick = now
	for _, r := range t.members {
		if r.State != StateSuspect && r.State != StateLeaving {
			continue
		}
		if r.State == StateSuspect && now.Sub(r.since) >= SuspectFor && !frozen {
			r.State = StateGone
			r.since = now
			r.sent = 0
			t.memberChanged()
		}
	}
	if frozen {
		t.self.Incarnation++
	}
	t.dropUnlisted()
	return frozen
}

// Probes returns the VM to probe now, if any, and at times one that is gone.
func (t *Table) Probes() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	var probes []Member
	if fingers := t.fingers(); len(fingers) > 0 {
		t.next++
		probes = append(probes, t.members[fingers[t.next%len(fingers)]].Member)
	}
	for id, r := range t.members {
		if t.probes(r.Member) && r.State == StateGone && t.listed[id] && now.Sub(r.probed) >= RetryGone {
			r.probed = now
			probes = append(probes, r.Member)
			break
		}
	}
	return probes
}

// probes reports whether this VM's ring holds a member.
func (t *Table) probes(m Member) bool { return t.cfg.AcrossHalls || m.Hall == t.self.Hall }

// Listed returns the VMs that the platform's list names, in no order.
func (t *Table) Listed() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make([]Member, 0, len(t.listed))
	for id := range t.listed {
		if id == t.self.ID {
			listed = append(listed, t.self)
		} else if r, ok := t.members[id]; ok {
			listed = append(listed, r.Member)
		}
	}
	return listed
}

// News returns what to tell a peer: the own record, then what changed last and
// was not passed on often enough, then what this VM holds against the peer.
func (t *Table) News(peer string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	news := []Member{t.self}
	if r, ok := t.members[peer]; ok && r.State != StateLive {
		news = append(news, r.Member)
	}
	limit := newsRepeats
	for n := len(t.members); n > 1; n /= 2 {
		limit += newsRepeats
	}
	for id, r := range t.members {
		if len(news) >= maxNews {
			break
		}
		if id != peer && r.Start != 0 && r.sent < limit {
			r.sent++
			news = append(news, r.Member)
		}
	}
	return t.addOldNews(news, peer)
}

// addOldNews appends the next members in the order of their ids.
func (t *Table) addOldNews(news []Member, peer string) []Member {
	ids := t.heardOf()
	for range min(maxOldNews, len(ids)) {
		i, found := slices.BinarySearch(ids, t.oldNews)
		if found {
			i++
		}
		t.oldNews = ids[i%len(ids)]
		if t.oldNews != peer {
			news = append(news, t.members[t.oldNews].Member)
		}
	}
	return news
}

// Member returns what is known of a VM.
func (t *Table) Member(id string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id == t.self.ID {
		return t.self, true
	}
	r, ok := t.members[id]
	if !ok {
		return Member{}, false
	}
	return r.Member, true
}

// Hall returns the usable VMs of a hall in order of their ids. The own VM is
// among those of its hall while it is not leaving.
func (t *Table) Hall(hall string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var members []Member
	if t.self.Hall == hall && t.self.State < StateLeaving {
		members = append(members, t.self)
	}
	for _, r := range t.members {
		if r.Hall == hall && r.Usable() {
			members = append(members, r.Member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// All returns every known VM but the own one, in order of their ids. The slice must not be
// changed.
func (t *Table) All() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clip(t.sorted())
}

// Len returns how many VMs are known beside the own one.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.members)
}

// ListedLen returns how many VMs the platform's list names.
func (t *Table) ListedLen() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.listed)
}
