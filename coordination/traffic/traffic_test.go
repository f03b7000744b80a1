// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package traffic_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/intent"
	"github.com/ryehill/ryehill/coordination/traffic"
	"github.com/ryehill/ryehill/state/load"
	"github.com/ryehill/ryehill/state/share"
	"github.com/ryehill/ryehill/state/spec"
)

// memory is a store in memory. The functions run once, before a write, as
// others that are faster.
type memory struct {
	held    spec.Traffic
	version uint64
	writes  int
	before  []func(*memory)
	fail    error
	halls   map[string]load.HallStatus
}

func (m *memory) Read(context.Context) (spec.Traffic, uint64, error) { return m.held, m.version, nil }

func (m *memory) Write(_ context.Context, t spec.Traffic, version uint64, _ string) (uint64, error) {
	m.writes++
	if len(m.before) > 0 {
		first := m.before[0]
		m.before = m.before[1:]
		first(m)
	}
	if m.fail != nil {
		return 0, m.fail
	}
	if version != m.version {
		return 0, traffic.ErrConflict
	}
	m.held = t
	m.version++
	return m.version, nil
}

func (m *memory) Halls(context.Context) (map[string]load.HallStatus, error) { return m.halls, nil }

func (m *memory) SavePlan(context.Context, intent.Plan, string) error { return nil }

func (m *memory) Plan(context.Context, string) (intent.Plan, error) {
	return intent.Plan{}, traffic.ErrNoPlan
}

func operation() string { return "op" }

// edit is an operator's change, which a plan of edit 0 allows only once.
func edit(t spec.Traffic) (spec.Traffic, error) {
	return intent.Apply(intent.Plan{ID: "p", Edit: 0, Cap: &spec.Cap{ID: "p", Limit: share.Percent}}, t, time.Now())
}

func TestChange(t *testing.T) {
	step := func(m *memory) { m.version++ }
	operator := func(m *memory) { m.version++; m.held.Edit++ }
	cases := map[string]struct {
		before []func(*memory)
		fail   error
		want   error
		writes int
	}{
		"nobody else":                     {writes: 1},
		"the controller is faster once":   {before: []func(*memory){step}, writes: 2},
		"another operator is faster":      {before: []func(*memory){operator}, want: intent.ErrPlanAgain, writes: 1},
		"the controller is always faster": {before: []func(*memory){step, step, step, step}, want: traffic.ErrConflict, writes: 4},
		"the outcome is unknown":          {fail: traffic.ErrUnresolved, want: traffic.ErrUnresolved, writes: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := &memory{before: c.before, fail: c.fail}
			written, err := traffic.Change(context.Background(), m, operation, edit)
			if !errors.Is(err, c.want) {
				t.Fatalf("error %v, want %v", err, c.want)
			}
			if m.writes != c.writes {
				t.Errorf("%d writes, want %d", m.writes, c.writes)
			}
			if err == nil && (written.Version != m.version || !traffic.Holds(m.held, "p")) {
				t.Errorf("written at %d, store at %d, held %v", written.Version, m.version, m.held)
			}
		})
	}
}

func TestStep(t *testing.T) {
	now := time.Now()
	status := func(hall string) load.HallStatus {
		return load.HallStatus{
			Hall: hall, At: now.UnixMilli(), VMs: 1, Generation: 9,
			Services: map[string]load.ServiceStatus{"s": {Slots: 100, Usable: 100, Free: 100}},
		}
	}
	move := spec.Move{
		ID: "m", Service: "s", From: "a", Targets: []spec.Target{{Hall: "b", Weight: 1}},
		Goal: share.Whole, Cap: share.Whole, Step: 10 * share.Percent, State: spec.MoveConfirmed,
	}
	cases := map[string]struct {
		holds  bool
		before []func(*memory)
		want   share.PPM
		fails  bool
	}{
		"a step that is due":             {holds: true, want: 10 * share.Percent},
		"no longer the controller":       {holds: false},
		"somebody was faster: no second": {holds: true, before: []func(*memory){func(m *memory) { m.version++ }}, fails: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := &memory{held: spec.Traffic{Moves: []spec.Move{move}}, version: 1, before: c.before}
			m.halls = map[string]load.HallStatus{"a": status("a"), "b": status("b")}
			_, actions, err := traffic.Step(context.Background(), traffic.StepConfig{
				Store: m, Fleet: &spec.Fleet{}, Now: func() time.Time { return now }, Operation: operation,
				Holds: func() bool { return c.holds },
			})
			if (err != nil) != c.fails {
				t.Fatal(err)
			}
			if m.held.Moves[0].Share != c.want || (len(actions) > 0) != (c.want > 0) {
				t.Errorf("share %s after %v, want %s", m.held.Moves[0].Share, actions, c.want)
			}
		})
	}
}
