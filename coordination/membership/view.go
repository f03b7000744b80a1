// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// views are what is asked of a table again and again, and sorted. Each is made when it is
// asked for and kept until what it shows changes: to sort hundreds of VMs for each probe and
// each question for news would be most of what an idle VM does.
type views struct {
	// all are the members in order of their ids.
	all []Member
	// fingers are the ids of the members to be probed in turn.
	fingers []string
	// ids are those of the members that were heard of, in order. They stay as they are
	// while only states change, as they do at many VMs at once.
	ids []string
}

// sorted returns the members in order of their ids.
func (t *Table) sorted() []Member {
	if t.views.all == nil {
		t.views.all = make([]Member, 0, len(t.members))
		for _, r := range t.members {
			t.views.all = append(t.views.all, r.Member)
		}
		slices.SortFunc(t.views.all, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	}
	return t.views.all
}

// heardOf returns the ids of the members that were heard of, in order.
func (t *Table) heardOf() []string {
	if t.views.ids == nil {
		t.views.ids = make([]string, 0, len(t.members))
		for id, r := range t.members {
			if r.Start != 0 {
				t.views.ids = append(t.views.ids, id)
			}
		}
		slices.Sort(t.views.ids)
	}
	return t.views.ids
}

// fingers returns the ids of the members to be probed in turn.
func (t *Table) fingers() []string {
	if t.views.fingers == nil {
		t.views.fingers = t.fingersAmong(t.members)
	}
	return t.views.fingers
}

// fingersAmong returns the members at distances 1, 2, 4, ... on the ring. A leaving VM is
// no finger: it tells by itself when it has ended.
func (t *Table) fingersAmong(members map[string]*record) []string {
	type place struct {
		id string
		at uint64
	}
	own := xxhash.Sum64String(t.self.ID)
	ring := make([]place, 0, len(members))
	for id, r := range members {
		if t.probes(r.Member) && r.State <= StateSuspect {
			ring = append(ring, place{id: id, at: xxhash.Sum64String(id) - own})
		}
	}
	slices.SortFunc(ring, func(a, b place) int { return cmp.Compare(a.at, b.at) })
	fingers := []string{}
	for distance := 1; distance <= len(ring); distance *= 2 {
		fingers = append(fingers, ring[distance-1].id)
	}
	return fingers
}

// memberChanged forgets what shows states of members, and tells that these have changed.
func (t *Table) memberChanged() {
	t.views.all, t.views.fingers = nil, nil
	select {
	case t.changed <- struct{}{}:
	default:
	}
}
