// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/intent"
	"github.com/ryehill/ryehill/coordination/traffic"
	"github.com/ryehill/ryehill/state/load"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/spec"
)

const (
	// planTTL is how long an unconfirmed plan is kept.
	planTTL = time.Hour
	// writeAttempts is how often a write with an unknown outcome is checked and
	// retried before the caller gets an error.
	writeAttempts = 4
	// writeRetryInterval is the wait between two attempts.
	writeRetryInterval = 400 * time.Millisecond
)

// trafficStore stores the traffic object in the platform's store. It implements
// traffic.Store.
type trafficStore struct{ gateway *Gateway }

// Read implements traffic.Store. What this VM knows and the stored object lacks, since
// the store returned from a copy, is part of the returned object.
func (s trafficStore) Read(ctx context.Context) (spec.Traffic, traffic.Base, error) {
	state, err := s.read(ctx)
	if err != nil {
		return spec.Traffic{}, traffic.Base{}, err
	}
	if known, ok := s.gateway.knownTraffic(); ok {
		state = mergeTraffic(known, state)
	}
	return state.traffic, traffic.Base{Version: state.version, Edit: state.traffic.Edit, Edits: state.edits}, nil
}

// read returns the stored object, or the zero value if there is none.
func (s trafficStore) read(ctx context.Context) (trafficState, error) {
	cfg := s.gateway.cfg
	o, err := cfg.Store.Get(ctx, cfg.Codec.TrafficKind(), spec.SingletonName)
	if errors.Is(err, ErrNotFound) {
		return trafficState{}, nil
	}
	if err != nil {
		return trafficState{}, err
	}
	s.gateway.recordEra(o.Version)
	return decodeTraffic(o)
}

// Write implements traffic.Store. After a write without a response, it checks the
// stored operation and retries while the condition still holds. The condition lets at
// most one attempt take effect. The same check follows a write in another era, whose
// condition may have matched another object.
func (s trafficStore) Write(ctx context.Context, t spec.Traffic, base traffic.Base, operation string) (object.Version, error) {
	cfg := s.gateway.cfg
	state := trafficState{traffic: t, operation: operation, edits: base.Edits}
	if t.Edit != base.Edit {
		state.edits = appendEdits(base.Edits, operation)
	}
	body, err := encodeTraffic(state)
	if err != nil {
		return object.Version{}, err
	}
	for range writeAttempts {
		written, writeErr := cfg.Store.Replace(ctx, cfg.Codec.TrafficKind(), spec.SingletonName, base.Version, body)
		s.gateway.recordEra(written)
		if writeErr == nil && (base.Version.Revision == 0 || written.Era == base.Version.Era) {
			s.gateway.applyTraffic(body, written)
			return written, nil
		}
		current, err := s.read(ctx)
		switch {
		case err == nil && current.operation == operation && current.version.Revision > 0:
			s.gateway.applyTraffic(body, current.version)
			return current.version, nil
		case err == nil && current.version != base.Version, errors.Is(writeErr, ErrConflict):
			return object.Version{}, errors.Mark(errors.Newf("gateway: traffic object: version %v, now %v: %v", base.Version, current.version, writeErr), traffic.ErrConflict)
		}
		sleep(ctx, writeRetryInterval)
	}
	return object.Version{}, errors.Wrapf(traffic.ErrUnresolved, "operation %s", operation)
}

// applyTraffic applies a traffic object that this VM has written. It is the only object of
// its kind, so the replica of the kind is complete with it.
func (g *Gateway) applyTraffic(body []byte, version object.Version) {
	o := object.Object{Name: spec.SingletonName, Version: version, Spec: body}
	g.replica.Reset(g.cfg.Codec.TrafficKind(), []object.Object{o}, version)
}

// knownTraffic returns the traffic object as this VM knows it: the stored one with what an
// earlier era had in addition.
func (g *Gateway) knownTraffic() (trafficState, bool) {
	kind := g.cfg.Codec.TrafficKind()
	var state trafficState
	found := false
	for _, o := range g.replica.Stored(kind) {
		if o.Name == spec.SingletonName {
			state, found = g.decodeKnownTraffic(o)
		}
	}
	for _, c := range g.replica.Carried(kind) {
		if carried, ok := g.decodeKnownTraffic(c.Object); ok && c.Name == spec.SingletonName {
			state, found = mergeTraffic(carried, state), true
		}
	}
	return state, found
}

func (g *Gateway) decodeKnownTraffic(o object.Object) (trafficState, bool) {
	state, err := decodeTraffic(o)
	if err != nil {
		g.unused.add(g.cfg.Codec.TrafficKind(), o, err)
	}
	return state, err == nil
}

// Halls implements traffic.Store.
func (s trafficStore) Halls(ctx context.Context) (map[string]load.HallStatus, error) {
	return s.gateway.hallStatuses(ctx), nil
}

// SavePlan implements traffic.Store. It also removes expired plans, since objects in
// the store do not expire by themselves.
func (s trafficStore) SavePlan(ctx context.Context, p intent.Plan, _ string) error {
	body, err := json.Marshal(p)
	if err != nil {
		return err
	}
	cfg := s.gateway.cfg
	if err := cfg.Store.Put(ctx, cfg.Codec.PlanKind(), p.ID, body); err != nil {
		return err
	}
	s.sweepPlans(ctx, p.MadeAt)
	return nil
}

func (s trafficStore) sweepPlans(ctx context.Context, now time.Time) {
	cfg := s.gateway.cfg
	plans, _, err := cfg.Store.List(ctx, cfg.Codec.PlanKind(), true)
	if err != nil {
		return // The next plan retries.
	}
	for _, o := range plans {
		var p intent.Plan
		if json.Unmarshal(o.Spec, &p) != nil || now.Sub(p.MadeAt) > planTTL {
			_ = cfg.Store.Delete(ctx, cfg.Codec.PlanKind(), o.Name)
		}
	}
}

// Plan implements traffic.Store.
func (s trafficStore) Plan(ctx context.Context, id string) (intent.Plan, error) {
	var p intent.Plan
	cfg := s.gateway.cfg
	o, err := cfg.Store.Get(ctx, cfg.Codec.PlanKind(), id)
	if errors.Is(err, ErrNotFound) {
		return p, errors.Mark(err, traffic.ErrNoPlan)
	}
	if err != nil {
		return p, err
	}
	return p, json.Unmarshal(o.Spec, &p)
}
