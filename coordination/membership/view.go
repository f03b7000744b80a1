// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// sortedViews caches sorted views of a table. Each is built on demand and kept
// until its content changes, as sorting for every probe would dominate the CPU use
// of an idle VM.
type sortedViews struct {
	// all holds the members ordered by id.
	all []Member
	// probeTargets holds the ids of the members to probe in turn.
	probeTargets []string
	// startedIDs holds the ids of the members with a start number, in ascending
	// order. A change of state leaves it valid.
	startedIDs []string
}

// sortedMembers returns the members ordered by id.
func (t *Table) sortedMembers() []Member {
	if t.views.all == nil {
		t.views.all = make([]Member, 0, len(t.members))
		for _, r := range t.members {
			t.views.all = append(t.views.all, r.Member)
		}
		slices.SortFunc(t.views.all, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	}
	return t.views.all
}

// startedIDs returns the ids of the members with a start number, in ascending
// order.
func (t *Table) startedIDs() []string {
	if t.views.startedIDs == nil {
		t.views.startedIDs = make([]string, 0, len(t.members))
		for id, r := range t.members {
			if r.Start != 0 {
				t.views.startedIDs = append(t.views.startedIDs, id)
			}
		}
		slices.Sort(t.views.startedIDs)
	}
	return t.views.startedIDs
}

// probeTargets returns the ids of the members to probe in turn.
func (t *Table) probeTargets() []string {
	if t.views.probeTargets == nil {
		t.views.probeTargets = t.computeProbeTargets(t.members)
	}
	return t.views.probeTargets
}

// computeProbeTargets returns the ids at distances 1, 2, 4, ... on the ring. A
// leaving VM is not probed, as it announces its own end.
func (t *Table) computeProbeTargets(members map[string]*record) []string {
	type ringPosition struct {
		id     string
		offset uint64
	}
	own := xxhash.Sum64String(t.self.ID)
	ring := make([]ringPosition, 0, len(members))
	for id, r := range members {
		if t.onRing(r.Member) && r.State <= StateSuspect {
			ring = append(ring, ringPosition{id: id, offset: xxhash.Sum64String(id) - own})
		}
	}
	slices.SortFunc(ring, func(a, b ringPosition) int { return cmp.Compare(a.offset, b.offset) })
	targets := []string{}
	for distance := 1; distance <= len(ring); distance *= 2 {
		targets = append(targets, ring[distance-1].id)
	}
	return targets
}

// notifyChanged drops the views that contain states and signals the change.
func (t *Table) notifyChanged() {
	t.views.all, t.views.probeTargets = nil, nil
	select {
	case t.changed <- struct{}{}:
	default:
	}
}
