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
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/share"
	"github.com/ryehill/ryehill/state/spec"
)

// memoryStore is a Store in memory. Each function in beforeWrite runs once, before a
// write, and simulates a concurrent writer.
type memoryStore struct {
	traffic     spec.Traffic
	version     uint64
	writes      int
	beforeWrite []func(*memoryStore)
	writeErr    error
	halls       map[string]load.HallStatus
}

func (m *memoryStore) Read(context.Context) (spec.Traffic, traffic.Base, error) {
	return m.traffic, traffic.Base{Version: object.Version{Revision: m.version}}, nil
}

func (m *memoryStore) Write(_ context.Context, t spec.Traffic, base traffic.Base, _ string) (object.Version, error) {
	m.writes++
	if len(m.beforeWrite) > 0 {
		first := m.beforeWrite[0]
		m.beforeWrite = m.beforeWrite[1:]
		first(m)
	}
	if m.writeErr != nil {
		return object.Version{}, m.writeErr
	}
	if base.Version.Revision != m.version {
		return object.Version{}, traffic.ErrConflict
	}
	m.traffic = t
	m.version++
	return object.Version{Revision: m.version}, nil
}

func (m *memoryStore) Halls(context.Context) (map[string]load.HallStatus, error) { return m.halls, nil }

func (m *memoryStore) SavePlan(context.Context, intent.Plan, string) error { return nil }

func (m *memoryStore) Plan(context.Context, string) (intent.Plan, error) {
	return intent.Plan{}, traffic.ErrNoPlan
}

func newOperation() string { return "op" }

// addCap applies an operator's plan, which fails once the edit counter is above 0.
func addCap(t spec.Traffic) (spec.Traffic, error) {
	return intent.Apply(intent.Plan{ID: "p", Edit: 0, Cap: &spec.Cap{ID: "p", Limit: share.Percent}}, t, time.Now())
}

func TestUpdate(t *testing.T) {
	step := func(m *memoryStore) { m.version++ }
	operator := func(m *memoryStore) { m.version++; m.traffic.Edit++ }
	cases := map[string]struct {
		before   []func(*memoryStore)
		writeErr error
		wantErr  error
		writes   int
	}{
		"no concurrent write":                  {writes: 1},
		"one concurrent controller step":       {before: []func(*memoryStore){step}, writes: 2},
		"concurrent operator change":           {before: []func(*memoryStore){operator}, wantErr: intent.ErrStalePlan, writes: 1},
		"a controller step before every write": {before: []func(*memoryStore){step, step, step, step}, wantErr: traffic.ErrConflict, writes: 4},
		"the outcome is unknown":               {writeErr: traffic.ErrUnresolved, wantErr: traffic.ErrUnresolved, writes: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := &memoryStore{beforeWrite: c.before, writeErr: c.writeErr}
			written, err := traffic.Update(context.Background(), m, newOperation, addCap)
			if !errors.Is(err, c.wantErr) {
				t.Fatalf("error %v, want %v", err, c.wantErr)
			}
			if m.writes != c.writes {
				t.Errorf("%d writes, want %d", m.writes, c.writes)
			}
			if err == nil && (written.Version.Revision != m.version || !traffic.HasIntent(m.traffic, "p")) {
				t.Errorf("written version %d, store version %d, traffic %v", written.Version, m.version, m.traffic)
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
		isController bool
		before       []func(*memoryStore)
		want         share.PPM
		wantErr      bool
	}{
		"due step":                   {isController: true, want: 10 * share.Percent},
		"no longer the controller":   {isController: false},
		"concurrent write, no retry": {isController: true, before: []func(*memoryStore){func(m *memoryStore) { m.version++ }}, wantErr: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := &memoryStore{traffic: spec.Traffic{Moves: []spec.Move{move}}, version: 1, beforeWrite: c.before}
			m.halls = map[string]load.HallStatus{"a": status("a"), "b": status("b")}
			_, actions, err := traffic.Step(context.Background(), traffic.StepConfig{
				Store: m, Fleet: &spec.Fleet{}, Now: func() time.Time { return now }, Operation: newOperation,
				IsController: func() bool { return c.isController },
			})
			if (err != nil) != c.wantErr {
				t.Fatal(err)
			}
			if m.traffic.Moves[0].Share != c.want || (len(actions) > 0) != (c.want > 0) {
				t.Errorf("share %s after actions %v, want %s", m.traffic.Moves[0].Share, actions, c.want)
			}
		})
	}
}
