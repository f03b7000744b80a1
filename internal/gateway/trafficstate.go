// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/spec"
)

// maxEdits bounds the operators' changes that a stored traffic object names.
const maxEdits = 32

// storedTraffic is the stored form of the traffic object. The ID of the operation that
// wrote it identifies a write whose response was lost. Edits are the operations of the
// latest changes by operators that the object includes, oldest first.
type storedTraffic struct {
	Operation string          `json:"operation"`
	Edits     []string        `json:"edits,omitempty"`
	Traffic   json.RawMessage `json:"traffic"`
}

// trafficState is a decoded traffic object. The zero value stands for none.
type trafficState struct {
	traffic   spec.Traffic
	operation string
	edits     []string
	version   object.Version
}

// decodeTraffic decodes and validates a stored traffic object.
func decodeTraffic(o object.Object) (trafficState, error) {
	var stored storedTraffic
	if err := json.Unmarshal(o.Spec, &stored); err != nil {
		return trafficState{}, errors.Wrap(err, "gateway: decode traffic object")
	}
	key := spec.Key{Kind: spec.KindTraffic, Name: spec.SingletonName}
	value, err := spec.Object{Key: key, Spec: stored.Traffic}.Value()
	if err != nil {
		return trafficState{}, err
	}
	t, _ := value.(*spec.Traffic)
	return trafficState{traffic: *t, operation: stored.Operation, edits: stored.Edits, version: o.Version}, nil
}

func encodeTraffic(state trafficState) ([]byte, error) {
	key := spec.Key{Kind: spec.KindTraffic, Name: spec.SingletonName}
	o := spec.Encode(key, &state.traffic)
	if _, err := o.Value(); err != nil {
		return nil, err
	}
	return json.Marshal(storedTraffic{Operation: state.operation, Edits: state.edits, Traffic: o.Spec})
}

// appendEdits returns the edits with more of them, without duplicates and bounded.
func appendEdits(edits []string, more ...string) []string {
	all := slices.Clone(edits)
	for _, edit := range more {
		if !slices.Contains(all, edit) {
			all = append(all, edit)
		}
	}
	return all[max(len(all)-maxEdits, 0):]
}

// includes reports whether the state contains all changes of another one. States that
// name no operations are compared by the number of edits.
func (s trafficState) includes(o trafficState) bool {
	if len(s.edits) == 0 || len(o.edits) == 0 {
		if s.traffic.Edit != o.traffic.Edit {
			return s.traffic.Edit > o.traffic.Edit
		}
		return s.includesSteps(o)
	}
	last := o.edits[len(o.edits)-1]
	if s.edits[len(s.edits)-1] == last {
		return s.includesSteps(o)
	}
	return slices.Contains(s.edits, last)
}

// includesSteps reports whether no move has advanced further in another state with the
// same edits. Within an era the conditional writes order the steps.
func (s trafficState) includesSteps(o trafficState) bool {
	if s.version.Era == o.version.Era {
		return true
	}
	for _, m := range o.traffic.Moves {
		i := slices.IndexFunc(s.traffic.Moves, func(own spec.Move) bool { return own.ID == m.ID })
		if i < 0 || s.traffic.Moves[i].ChangedAt < m.ChangedAt {
			return false
		}
	}
	return true
}

// lacksEditOf reports whether the second of two stored traffic objects lacks a change of
// the first.
func lacksEditOf(a, b object.Object) bool {
	first, err := decodeTraffic(a)
	if err != nil {
		return false
	}
	second, err := decodeTraffic(b)
	return err == nil && !second.includes(first)
}

// mergeTraffic returns the changes of both the known and the stored state, at the version
// of the stored one. If neither includes the other, operators have changed the store's
// older copy meanwhile; then everything remains that is in force in one of them.
func mergeTraffic(known, stored trafficState) trafficState {
	switch {
	case stored.includes(known):
		return stored
	case known.includes(stored):
		known.version, known.operation = stored.version, stored.operation
		return known
	}
	merged := stored
	merged.edits = appendEdits(stored.edits, known.edits...)
	merged.traffic = unionOf(known.traffic, stored.traffic)
	return merged
}

// unionOf returns the moves, caps and drained workers of both objects. Of one move the later state
// remains, of two caps on the same moves the lower one.
func unionOf(a, b spec.Traffic) spec.Traffic {
	union := spec.Traffic{Edit: max(a.Edit, b.Edit) + 1, Moves: slices.Clone(b.Moves), Caps: slices.Clone(b.Caps), Leaving: slices.Clone(b.Leaving)}
	for _, m := range a.Moves {
		i := slices.IndexFunc(union.Moves, func(o spec.Move) bool { return o.ID == m.ID })
		switch {
		case i < 0:
			union.Moves = append(union.Moves, m)
		case m.ChangedAt > union.Moves[i].ChangedAt:
			union.Moves[i] = m
		}
	}
	for _, c := range a.Caps {
		i := slices.IndexFunc(union.Caps, func(o spec.Cap) bool { return o.Service == c.Service && o.From == c.From })
		switch {
		case i < 0:
			union.Caps = append(union.Caps, c)
		case c.Limit < union.Caps[i].Limit:
			union.Caps[i] = c
		}
	}
	for _, id := range a.Leaving {
		if !slices.Contains(union.Leaving, id) {
			union.Leaving = append(union.Leaving, id)
		}
	}
	return union
}
