// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// views are what is asked of a table again and again, and sorted. They are made when they
// are asked for and kept until members change: each probe and each question for news asks
// for one, and to sort hundreds of VMs for each would be most of what an idle VM does.
type views struct {
	// all are the members in order of their ids.
	all []Member
	// ids are those of the members that were heard of, in order.
	ids []string
	// fingers are the members to be probed in turn.
	fingers []string
	known   bool
}

// view returns the views of the members as they are.
func (t *Table) view() *views {
	if t.views.known {
		return &t.views
	}
	v := views{all: make([]Member, 0, len(t.members)), known: true}
	for _, r := range t.members {
		v.all = append(v.all, r.Member)
	}
	slices.SortFunc(v.all, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	for _, m := range v.all {
		if m.Start != 0 {
			v.ids = append(v.ids, m.ID)
		}
	}
	v.fingers = t.fingersAmong(v.all)
	t.views = v
	return &t.views
}

// fingersAmong returns the members at distances 1, 2, 4, ... on the ring. A leaving VM is
// no finger: it tells by itself when it has ended.
func (t *Table) fingersAmong(all []Member) []string {
	type place struct {
		id string
		at uint64
	}
	own := xxhash.Sum64String(t.self.ID)
	ring := make([]place, 0, len(all))
	for _, m := range all {
		if t.probes(m) && m.State <= StateSuspect {
			ring = append(ring, place{id: m.ID, at: xxhash.Sum64String(m.ID) - own})
		}
	}
	slices.SortFunc(ring, func(a, b place) int { return cmp.Compare(a.at, b.at) })
	var fingers []string
	for distance := 1; distance <= len(ring); distance *= 2 {
		fingers = append(fingers, ring[distance-1].id)
	}
	return fingers
}

// memberChanged forgets the views and tells that members have changed.
func (t *Table) memberChanged() {
	t.views = views{}
	select {
	case t.changed <- struct{}{}:
	default:
	}
}
