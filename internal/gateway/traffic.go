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
	// planLife is how long a plan that nobody confirmed is kept.
	planLife = time.Hour
	// writeRounds is how often a write whose outcome is not known is looked
	// for and sent again before its writer is told so.
	writeRounds = 4
	// writePause is the wait between two rounds.
	writePause = 400 * time.Millisecond
)

// trafficObject is how the traffic object is kept: with the id of the write that
// made it, by which a write whose answer was lost is known again.
type trafficObject struct {
	Operation string          `json:"operation"`
	Traffic   json.RawMessage `json:"traffic"`
}

// decodeTraffic reads a kept traffic object and checks it.
func decodeTraffic(o object.Object) (spec.Traffic, string, error) {
	var kept trafficObject
	if err := json.Unmarshal(o.Spec, &kept); err != nil {
		return spec.Traffic{}, "", errors.Wrap(err, "gateway: traffic object")
	}
	key := spec.Key{Kind: spec.KindTraffic, Name: spec.SingletonName}
	value, err := spec.Object{Key: key, Spec: kept.Traffic}.Value()
	if err != nil {
		return spec.Traffic{}, "", err
	}
	t, _ := value.(*spec.Traffic)
	return *t, kept.Operation, nil
}

func encodeTraffic(t *spec.Traffic, operation string) ([]byte, error) {
	key := spec.Key{Kind: spec.KindTraffic, Name: spec.SingletonName}
	o := spec.Encode(key, t)
	if _, err := o.Value(); err != nil {
		return nil, err
	}
	return json.Marshal(trafficObject{Operation: operation, Traffic: o.Spec})
}

// trafficStore keeps the traffic object in the platform's store. It implements
// traffic.Store.
type trafficStore struct{ gateway *Gateway }

// Read implements traffic.Store.
func (s trafficStore) Read(ctx context.Context) (spec.Traffic, uint64, error) {
	t, version, _, err := s.read(ctx)
	return t, version, err
}

func (s trafficStore) read(ctx context.Context) (t spec.Traffic, version uint64, operation string, err error) {
	cfg := s.gateway.cfg
	o, err := cfg.Store.Get(ctx, cfg.Codec.TrafficKind(), spec.SingletonName)
	if errors.Is(err, ErrMissing) {
		return spec.Traffic{}, 0, "", nil
	}
	if err != nil {
		return spec.Traffic{}, 0, "", err
	}
	t, operation, err = decodeTraffic(o)
	return t, o.Revision, operation, err
}

// Write implements traffic.Store. A write without an answer is looked for by its
// operation and, while its condition still holds, sent again: the condition lets
// only one of them through.
func (s trafficStore) Write(ctx context.Context, t spec.Traffic, version uint64, operation string) (uint64, error) {
	cfg := s.gateway.cfg
	body, err := encodeTraffic(&t, operation)
	if err != nil {
		return 0, err
	}
	for range writeRounds {
		written, failed := cfg.Store.Replace(ctx, cfg.Codec.TrafficKind(), spec.SingletonName, version, body)
		if failed == nil {
			return written, nil
		}
		_, at, by, err := s.read(ctx)
		switch {
		case err == nil && by == operation && at > 0:
			return at, nil
		case err == nil && at != version, errors.Is(failed, ErrConflict):
			return 0, errors.Mark(errors.Wrapf(failed, "version %d, now %d", version, at), traffic.ErrConflict)
		}
		sleep(ctx, writePause)
	}
	return 0, errors.Wrapf(traffic.ErrUnresolved, "operation %s", operation)
}

// Halls implements traffic.Store.
func (s trafficStore) Halls(ctx context.Context) (map[string]load.HallStatus, error) {
	return s.gateway.hallStatuses(ctx), nil
}

// SavePlan implements traffic.Store. Plans that nobody confirmed are swept here,
// since nothing in the store runs out by itself.
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
		return // The next plan tries again.
	}
	for _, o := range plans {
		var p intent.Plan
		if json.Unmarshal(o.Spec, &p) != nil || now.Sub(p.MadeAt) > planLife {
			_ = cfg.Store.Delete(ctx, cfg.Codec.PlanKind(), o.Name)
		}
	}
}

// Plan implements traffic.Store.
func (s trafficStore) Plan(ctx context.Context, id string) (intent.Plan, error) {
	var p intent.Plan
	cfg := s.gateway.cfg
	o, err := cfg.Store.Get(ctx, cfg.Codec.PlanKind(), id)
	if errors.Is(err, ErrMissing) {
		return p, errors.Mark(err, traffic.ErrNoPlan)
	}
	if err != nil {
		return p, err
	}
	return p, json.Unmarshal(o.Spec, &p)
}

// trafficChanged takes in a traffic object that is known to be in force. It is
// the only object of its kind, so the replica is complete with it.
func (g *Gateway) trafficChanged(w traffic.Result) {
	body, err := encodeTraffic(&w.Traffic, "")
	if err != nil {
		return // It could not have been written.
	}
	o := object.Object{Name: spec.SingletonName, Revision: w.Version, Spec: body}
	g.replica.Reset(g.cfg.Codec.TrafficKind(), []object.Object{o}, w.Version)
}
