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

// storedTraffic is the stored form of the traffic object. The ID of the operation that
// wrote it identifies a write whose response was lost.
type storedTraffic struct {
	Operation string          `json:"operation"`
	Traffic   json.RawMessage `json:"traffic"`
}

// decodeTraffic decodes and validates a stored traffic object.
func decodeTraffic(o object.Object) (spec.Traffic, string, error) {
	var stored storedTraffic
	if err := json.Unmarshal(o.Spec, &stored); err != nil {
		return spec.Traffic{}, "", errors.Wrap(err, "gateway: decode traffic object")
	}
	key := spec.Key{Kind: spec.KindTraffic, Name: spec.SingletonName}
	value, err := spec.Object{Key: key, Spec: stored.Traffic}.Value()
	if err != nil {
		return spec.Traffic{}, "", err
	}
	t, _ := value.(*spec.Traffic)
	return *t, stored.Operation, nil
}

func encodeTraffic(t *spec.Traffic, operation string) ([]byte, error) {
	key := spec.Key{Kind: spec.KindTraffic, Name: spec.SingletonName}
	o := spec.Encode(key, t)
	if _, err := o.Value(); err != nil {
		return nil, err
	}
	return json.Marshal(storedTraffic{Operation: operation, Traffic: o.Spec})
}

// trafficStore stores the traffic object in the platform's store. It implements
// traffic.Store.
type trafficStore struct{ gateway *Gateway }

// Read implements traffic.Store.
func (s trafficStore) Read(ctx context.Context) (spec.Traffic, uint64, error) {
	t, version, _, err := s.readWithOperation(ctx)
	return t, version, err
}

func (s trafficStore) readWithOperation(ctx context.Context) (t spec.Traffic, version uint64, operation string, err error) {
	cfg := s.gateway.cfg
	o, err := cfg.Store.Get(ctx, cfg.Codec.TrafficKind(), spec.SingletonName)
	if errors.Is(err, ErrNotFound) {
		return spec.Traffic{}, 0, "", nil
	}
	if err != nil {
		return spec.Traffic{}, 0, "", err
	}
	t, operation, err = decodeTraffic(o)
	return t, o.Version.Revision, operation, err
}

// Write implements traffic.Store. After a write without a response, it checks the
// stored operation and retries while the condition still holds. The condition lets at
// most one attempt take effect.
func (s trafficStore) Write(ctx context.Context, t spec.Traffic, version uint64, operation string) (uint64, error) {
	cfg := s.gateway.cfg
	body, err := encodeTraffic(&t, operation)
	if err != nil {
		return 0, err
	}
	for range writeAttempts {
		written, writeErr := cfg.Store.Replace(ctx, cfg.Codec.TrafficKind(), spec.SingletonName, object.Version{Revision: version}, body)
		if writeErr == nil {
			return written.Revision, nil
		}
		_, current, lastOperation, err := s.readWithOperation(ctx)
		switch {
		case err == nil && lastOperation == operation && current > 0:
			return current, nil
		case err == nil && current != version, errors.Is(writeErr, ErrConflict):
			return 0, errors.Mark(errors.Wrapf(writeErr, "version %d, now %d", version, current), traffic.ErrConflict)
		}
		sleep(ctx, writeRetryInterval)
	}
	return 0, errors.Wrapf(traffic.ErrUnresolved, "operation %s", operation)
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

// trafficChanged applies a traffic object that is known to be current. It is the only
// object of its kind, so the replica of the kind is complete with it.
func (g *Gateway) trafficChanged(w traffic.Result) {
	body, err := encodeTraffic(&w.Traffic, "")
	if err != nil {
		return // An object that cannot be encoded was not written.
	}
	o := object.Object{Name: spec.SingletonName, Version: object.Version{Revision: w.Version}, Spec: body}
	g.replica.Reset(g.cfg.Codec.TrafficKind(), []object.Object{o}, o.Version)
}
