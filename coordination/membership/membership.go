// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package membership tracks which VMs are live, leaving and gone with a gossip
// protocol in the manner of SWIM.
//
// Every VM probes the VMs of its hall at distances 1, 2, 4, ... on a ring of hashed
// ids, one per interval, so the number of probes does not grow with the hall. A VM
// that does not answer becomes suspect, and gone after a timeout unless it refutes
// the suspicion. Membership updates are piggybacked on probes, each a bounded
// number of times. Records are ordered by start number, then incarnation, then
// state, so the records of all VMs converge whatever the order of updates.
//
// The package does no I/O: the caller sends the probes that NextProbes returns and
// reports their results.
//
// # Usage
//
//	table := membership.New(membership.Config{Self: self, Now: time.Now})
//	for _, peer := range table.NextProbes() { /* send table.Updates(peer.ID) */ }
//	table.ApplyUpdates(received)
package membership

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/ryehill/ryehill/state/spec"
)

// State is the membership state of a VM. Within one start and incarnation, a later
// state overrides an earlier one.
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

// Timing and limits of failure detection and gossip.
const (
	// ProbeInterval is the time between two probes by a VM.
	ProbeInterval = time.Second
	// SuspectTimeout is how long a suspect VM has to refute the suspicion.
	SuspectTimeout = 3 * time.Second
	// GoneProbeInterval is how often a VM that is gone but still listed is probed.
	GoneProbeInterval = 5 * time.Second
	// MaxTickGap is the time between two ticks beyond which a VM must assume that
	// it was frozen and that others have taken over its work.
	MaxTickGap = SuspectTimeout / 2
	// retransmitFactor scales how often an update is sent, with the base-2
	// logarithm of the number of members.
	retransmitFactor = 3
	// maxUpdates limits the updates on a probe before repeated ones are added.
	maxUpdates = 8
	// maxRepeatedUpdates is how many records a probe repeats in turn, for VMs that
	// joined after their updates were distributed.
	maxRepeatedUpdates = 2
)

// Member is the membership record of a VM.
type Member struct {
	spec.VM
	Path Path
	// Start is the start number of the process. It is 0 for a VM that is known only
	// from the platform's list or the settings.
	Start       uint64
	Incarnation uint32
	State       State
}

// Usable reports whether the VM may receive work.
func (m Member) Usable() bool {
	return m.State <= StateSuspect && m.VM.State != spec.VMLeaving
}

// Config configures a Table. Self and Now are required.
type Config struct {
	Self Member
	// AcrossHalls puts the VMs of all halls on one ring, for fleets with few VMs
	// per hall.
	AcrossHalls bool
	// Now is the clock. It must not run backwards.
	Now func() time.Time
}

// Table holds the membership records. It is safe for concurrent use.
type Table struct {
	cfg Config

	mu           sync.Mutex
	self         Member
	members      map[string]*record
	listed       map[string]bool
	listVersion  uint64
	probeIndex   int
	lastRepeated string // id of the latest repeated record
	lastTick     time.Time
	changed      chan struct{}
	views        sortedViews
}

type record struct {
	Member
	stateSince    time.Time // start of the current state
	lastProbe     time.Time
	transmissions int // sends since the last change
}

// New returns a table that contains only the local VM.
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

// Changed returns a channel that receives a value after members change.
func (t *Table) Changed() <-chan struct{} { return t.changed }

// Self returns the local VM's record.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Leave marks the local VM as leaving. This cannot be undone.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = StateLeaving
	t.self.Incarnation++
	t.notifyChanged()
}

// SetList applies a version of the platform's list. An older version is ignored. A
// VM that is no longer listed is removed if it is gone or was known only from the
// list.
func (t *Table) SetList(l spec.VMList) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.Version == 0 || l.Version < t.listVersion {
		return // No list yet, or an older version.
	}
	t.listVersion = l.Version
	clear(t.listed)
	for _, vm := range l.VMs {
		t.listed[vm.ID] = true
		if vm.ID == t.self.ID {
			continue
		}
		r, ok := t.members[vm.ID]
		if !ok {
			r = &record{stateSince: t.cfg.Now()}
			t.members[vm.ID] = r
		}
		if r.Start == 0 || r.Peer == vm.Peer {
			r.VM = vm
			continue
		}
		// The VM announced a different address than the list has, so the list is
		// outdated or the announcing process has ended. Keep its address.
		r.VM.State = vm.State
	}
	t.dropUnlisted()
	t.notifyChanged()
}

func (t *Table) dropUnlisted() {
	if t.listVersion == 0 {
		return // Keep the peers of the settings until there is a list.
	}
	for id, r := range t.members {
		if !t.listed[id] && (r.State == StateGone || r.Start == 0) {
			delete(t.members, id)
			t.views.startedIDs = nil
			t.notifyChanged()
		}
	}
}

// ApplyUpdates applies updates received from a peer. An update that gives the local VM a
// later state than its own is refuted with a higher incarnation.
func (t *Table) ApplyUpdates(updates []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, m := range updates {
		if m.ID == t.self.ID {
			t.refute(m)
			continue
		}
		changed = t.mergeMember(m) || changed
	}
	if changed {
		t.notifyChanged()
	}
}

func (t *Table) refute(m Member) {
	if m.Start == t.self.Start && m.Incarnation >= t.self.Incarnation && m.State > t.self.State {
		t.self.Incarnation = m.Incarnation + 1
	}
}

func (t *Table) mergeMember(m Member) bool {
	r, ok := t.members[m.ID]
	if !ok {
		if len(t.members) >= spec.MaxVMs || m.State == StateGone {
			return false
		}
		t.members[m.ID] = &record{Member: m, stateSince: t.cfg.Now()}
		t.views.startedIDs = nil
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
		m.State = StateLeaving // A start that is leaving does not become live again.
	}
	if r.Start == 0 {
		t.views.startedIDs = nil
	}
	listState := r.VM.State
	r.Member = m
	r.VM.State = listState
	r.stateSince = t.cfg.Now()
	r.transmissions = 0
	return true
}

// ProbeFailed records that a VM did not answer a probe.
func (t *Table) ProbeFailed(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.members[id]
	if !ok || r.State != StateLive {
		return
	}
	r.State = StateSuspect
	r.stateSince = t.cfg.Now()
	r.transmissions = 0
	t.notifyChanged()
}

// Tick declares suspects gone after the timeout. It reports whether the process
// must have been frozen since the last tick, so that the caller has to give up its
// leases.
func (t *Table) Tick() (frozen bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	frozen = now.Sub(t.lastTick) > MaxTickGap
	t.lastTick = now
	for _, r := range t.members {
		if r.State != StateSuspect && r.State != StateLeaving {
			continue
		}
		if r.State == StateSuspect && now.Sub(r.stateSince) >= SuspectTimeout && !frozen {
			r.State = StateGone
			r.stateSince = now
			r.transmissions = 0
			t.notifyChanged()
		}
	}
	if frozen {
		t.self.Incarnation++
	}
	t.dropUnlisted()
	return frozen
}

// NextProbes returns the members to probe now: the next one on the ring, and from time
// to time one that is gone.
func (t *Table) NextProbes() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	var probes []Member
	if targets := t.probeTargets(); len(targets) > 0 {
		t.probeIndex++
		probes = append(probes, t.members[targets[t.probeIndex%len(targets)]].Member)
	}
	for id, r := range t.members {
		if t.onRing(r.Member) && r.State == StateGone && t.listed[id] && now.Sub(r.lastProbe) >= GoneProbeInterval {
			r.lastProbe = now
			probes = append(probes, r.Member)
			break
		}
	}
	return probes
}

// onRing reports whether a member is on the local VM's ring.
func (t *Table) onRing(m Member) bool { return t.cfg.AcrossHalls || m.Hall == t.self.Hall }

// ListedMembers returns the VMs in the platform's list, in no particular order.
func (t *Table) ListedMembers() []Member {
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

// Updates returns the updates to send to a peer: the local record, the peer's own
// record if it is not live, recent changes with sends left, and repeated records.
func (t *Table) Updates(peer string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	updates := []Member{t.self}
	if r, ok := t.members[peer]; ok && r.State != StateLive {
		updates = append(updates, r.Member)
	}
	limit := retransmitFactor
	for n := len(t.members); n > 1; n /= 2 {
		limit += retransmitFactor
	}
	for id, r := range t.members {
		if len(updates) >= maxUpdates {
			break
		}
		if id != peer && r.Start != 0 && r.transmissions < limit {
			r.transmissions++
			updates = append(updates, r.Member)
		}
	}
	return t.appendRepeatedUpdates(updates, peer)
}

// appendRepeatedUpdates appends the next records in the order of their ids.
func (t *Table) appendRepeatedUpdates(updates []Member, peer string) []Member {
	ids := t.startedIDs()
	for range min(maxRepeatedUpdates, len(ids)) {
		i, found := slices.BinarySearch(ids, t.lastRepeated)
		if found {
			i++
		}
		t.lastRepeated = ids[i%len(ids)]
		if t.lastRepeated != peer {
			updates = append(updates, t.members[t.lastRepeated].Member)
		}
	}
	return updates
}

// Member returns the record of a VM.
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

// UsableInHall returns the usable VMs of a hall, ordered by id. The local VM is included in
// its own hall unless it is leaving.
func (t *Table) UsableInHall(hall string) []Member {
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

// Others returns every known VM except the local one, ordered by id. The caller must
// not modify the slice.
func (t *Table) Others() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clip(t.sortedMembers())
}

// Len returns the number of known VMs, not counting the local one.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.members)
}

// ListedCount returns the number of VMs in the platform's list.
func (t *Table) ListedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.listed)
}
