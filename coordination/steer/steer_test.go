// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package steer_test

import (
	"encoding/json"
	"net/netip"
	"testing"

	"github.com/ryehill/ryehill/coordination/steer"
	"github.com/ryehill/ryehill/state/share"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/state/view"
)

func newView(t testing.TB, traffic spec.Traffic) *view.View {
	t.Helper()
	v, err := view.Compile(1, []spec.Object{
		spec.Encode(spec.Key{Kind: spec.KindFleet, Name: "main"}, &spec.Fleet{Halls: []spec.Hall{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}}}),
		{Key: spec.Key{Kind: spec.KindBlocks, Name: "all"}, Spec: json.RawMessage(`{"halls":{"a":["10.1.0.0/16"],"b":["10.2.0.0/16"]}}`)},
		spec.Encode(spec.Key{Kind: spec.KindService, Name: "lookup"}, &spec.Service{}),
		spec.Encode(spec.Key{Kind: spec.KindTraffic, Name: "main"}, &traffic),
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func newMove(id string, moveShare, limit share.PPM) spec.Move {
	return spec.Move{
		ID: id, Service: "lookup", From: "a", Targets: []spec.Target{{Hall: "b", Weight: 1}},
		Goal: moveShare, Share: moveShare, Cap: limit, State: spec.MoveMoving,
	}
}

// countMoved evaluates requests of many clients and returns the moved ones by move.
func countMoved(v *view.View, n int) map[string]int {
	s := steer.New(steer.Config{Hall: "a"})
	moved := make(map[string]int)
	for i := range n {
		c := s.Evaluate(v, "lookup", netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}))
		if c.Rule() == steer.RuleMove && c.Spend() {
			moved[c.Move().ID]++
		}
	}
	return moved
}

func TestShareIsReachedWithinItsCap(t *testing.T) {
	const n = 10_000
	moved := countMoved(newView(t, spec.Traffic{Moves: []spec.Move{newMove("m", 200_000, 100_000)}}), n)["m"]
	if moved > n/10 || moved < n/10-n/50 {
		t.Fatalf("moved %d of %d with a share of 20%% and a cap of 10%%", moved, n)
	}
}

// Guards against moving more than the share when the cap is higher.
func TestShareIsNotPassedBelowItsCap(t *testing.T) {
	const n = 10_000
	moved := countMoved(newView(t, spec.Traffic{Moves: []spec.Move{newMove("m", 50_000, 400_000)}}), n)["m"]
	if moved > n/20 || moved < n/20-n/50 {
		t.Fatalf("moved %d of %d with a share of 5%% and a cap of 40%%", moved, n)
	}
}

func TestCommonCapBindsTwoMoves(t *testing.T) {
	const n = 10_000
	moved := countMoved(newView(t, spec.Traffic{
		Moves: []spec.Move{newMove("m1", 300_000, share.Whole), newMove("m2", 300_000, share.Whole)},
		Caps:  []spec.Cap{{ID: "c", From: "a", Limit: 150_000}},
	}), n)
	if total := moved["m1"] + moved["m2"]; total > n*15/100 || moved["m1"] == 0 || moved["m2"] == 0 {
		t.Fatalf("moved %v of %d with a common cap of 15%%", moved, n)
	}
}

func TestForeignClientsAndStoppedMoves(t *testing.T) {
	stopped := newMove("m", share.Whole, share.Whole)
	stopped.State = spec.MoveStopped
	v := newView(t, spec.Traffic{Moves: []spec.Move{stopped}})
	s := steer.New(steer.Config{Hall: "a"})
	if rule := s.Evaluate(v, "lookup", netip.MustParseAddr("10.1.0.1")).Rule(); rule != steer.RuleHome {
		t.Errorf("got rule %s for a stopped move", rule)
	}
	if rule := s.Evaluate(v, "lookup", netip.MustParseAddr("10.2.0.1")).Rule(); rule != steer.RuleForeign {
		t.Errorf("got rule %s for a client of another hall", rule)
	}
}

func BenchmarkEvaluate(b *testing.B) {
	v := newView(b, spec.Traffic{Moves: []spec.Move{newMove("m", 200_000, 100_000)}})
	s := steer.New(steer.Config{Hall: "a"})
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		s.Evaluate(v, "lookup", netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}))
	}
}
