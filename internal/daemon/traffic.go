// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/intent"
	"github.com/ryehill/ryehill/coordination/spread"
	"github.com/ryehill/ryehill/coordination/traffic"
	"github.com/ryehill/ryehill/internal/metrics"
	"github.com/ryehill/ryehill/state/load"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/transport/platform"
)

// Kinds that are not part of the configuration.
const (
	kindPlan   spec.Kind = "plan"
	kindStatus spec.Kind = "status"
)

var trafficKey = spec.Key{Kind: spec.KindTraffic, Name: spec.SingletonName}

// trafficStore keeps the traffic object on the platform. It implements
// traffic.Store.
type trafficStore struct {
	platform *platform.Client
	metrics  *metrics.Set
}

// Read implements traffic.Store.
func (s trafficStore) Read(ctx context.Context) (spec.Traffic, traffic.Base, error) {
	o, err := s.platform.Get(ctx, trafficKey)
	s.metrics.PlatformCall("traffic", err)
	if errors.Is(err, platform.ErrNotFound) {
		return spec.Traffic{}, traffic.Base{}, nil
	}
	if err != nil {
		return spec.Traffic{}, traffic.Base{}, err
	}
	value, err := o.Value()
	if err != nil {
		return spec.Traffic{}, traffic.Base{}, err
	}
	t, _ := value.(*spec.Traffic)
	return *t, traffic.Base{Version: object.Version{Revision: o.Version}, Edit: t.Edit}, nil
}

// Write implements traffic.Store.
func (s trafficStore) Write(ctx context.Context, t spec.Traffic, base traffic.Base, operation string) (object.Version, error) {
	condition := platform.IfVersion(base.Version.Revision)
	if base.Version.Revision == 0 {
		condition = platform.IfAbsent()
	}
	o := spec.Encode(trafficKey, &t)
	if _, err := o.Value(); err != nil {
		return object.Version{}, err
	}
	written, err := s.platform.Put(ctx, o, condition, operation)
	s.metrics.PlatformCall("write-traffic", err)
	switch {
	case errors.Is(err, platform.ErrConflict):
		err = errors.Mark(err, traffic.ErrConflict)
	case errors.Is(err, platform.ErrUnresolved):
		err = errors.Mark(err, traffic.ErrUnresolved)
	}
	return object.Version{Revision: written}, err
}

// Halls implements traffic.Store.
func (s trafficStore) Halls(ctx context.Context) (map[string]load.HallStatus, error) {
	objects, err := s.platform.List(ctx, kindStatus)
	s.metrics.PlatformCall("statuses", err)
	if err != nil {
		return nil, err
	}
	halls := make(map[string]load.HallStatus, len(objects))
	for _, o := range objects {
		var h load.HallStatus
		if err := json.Unmarshal(o.Spec, &h); err == nil && h.Hall == o.Name {
			halls[h.Hall] = h
		}
	}
	return halls, nil
}

// SavePlan implements traffic.Store.
func (s trafficStore) SavePlan(ctx context.Context, p intent.Plan, operation string) error {
	raw, err := json.Marshal(p)
	if err != nil {
		return err
	}
	o := spec.Object{Key: spec.Key{Kind: kindPlan, Name: p.ID}, Spec: raw}
	_, err = s.platform.Put(ctx, o, platform.IfAbsent(), operation)
	return err
}

// Plan implements traffic.Store.
func (s trafficStore) Plan(ctx context.Context, id string) (intent.Plan, error) {
	var p intent.Plan
	o, err := s.platform.Get(ctx, spec.Key{Kind: kindPlan, Name: id})
	if errors.Is(err, platform.ErrNotFound) {
		return p, errors.Mark(err, traffic.ErrNoPlan)
	}
	if err != nil {
		return p, err
	}
	return p, json.Unmarshal(o.Spec, &p)
}

// changed takes in a traffic object that is known to be in force.
func (d *Daemon) changed(w traffic.Result) {
	o := spec.Encode(trafficKey, &w.Traffic)
	o.Version = w.Version.Revision
	d.store.Apply(spread.Changes{Since: o.Version, Objects: []spec.Object{o}})
}
