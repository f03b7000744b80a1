// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/assign"
	"github.com/ryehill/ryehill/coordination/controller"
	"github.com/ryehill/ryehill/coordination/intent"
	"github.com/ryehill/ryehill/coordination/traffic"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/transport/platform"
)

const (
	kindLease spec.Kind = "lease"
	// planLife is how long a plan that nobody confirmed is kept.
	planLife = time.Hour
	// sweepInterval is how often the controller looks for old plans.
	sweepInterval = 10 * time.Minute
)

var leaseKey = spec.Key{Kind: kindLease, Name: "controller"}

// leaseState is what the holder of the lease knows of it.
type leaseState struct {
	version uint64
	renewal uint64
	// good is until when the holder may act, counted from before it asked.
	good   time.Time
	looked time.Time
	swept  time.Time
	number uint64
}

// controlLoop steps moves, while this VM holds the controller's lease.
func (d *Daemon) controlLoop(ctx context.Context) {
	every(ctx, d.cfg.ControlInterval, func() {
		// An idle fleet costs the platform nothing: without a move no VM asks
		// for the lease.
		if !traffic.HasActiveMoves(d.view.Load().Traffic()) || d.life.Current() != phaseServing || !d.candidate() {
			return
		}
		if !d.holdLease(ctx) {
			return
		}
		d.step(ctx)
		d.sweepPlans(ctx)
	})
}

// candidate reports whether this VM is among the few that ask for the lease.
func (d *Daemon) candidate() bool {
	all := []string{d.cfg.VM}
	for _, m := range d.members.Others() {
		if m.Usable() {
			all = append(all, m.ID)
		}
	}
	return contains(assign.Top("controller", all, controller.MaxCandidates), d.cfg.VM)
}

func (d *Daemon) operation(what string) string {
	d.lease.number++
	return d.cfg.VM + "-" + what + "-" + strconv.FormatUint(d.self.Start, 36) + "-" + strconv.FormatUint(d.lease.number, 36)
}

// holdLease reports whether this VM holds the lease, taking or renewing it if
// that is due.
func (d *Daemon) holdLease(ctx context.Context) bool {
	now := d.now()
	if now.Before(d.lease.good.Add(-controller.LeaseDuration + controller.LeaseRenewInterval)) {
		return true
	}
	if now.Before(d.lease.good) && d.writeLease(ctx, platform.IfVersion(d.lease.version), now) {
		return true
	}
	if now.Sub(d.lease.looked) < controller.LeaseRenewInterval {
		return false
	}
	d.lease.looked = now
	o, err := d.platform.Get(ctx, leaseKey)
	d.metrics.PlatformCall("lease", err)
	if errors.Is(err, platform.ErrNotFound) {
		return d.writeLease(ctx, platform.IfAbsent(), now)
	}
	var held controller.Lease
	if err != nil || json.Unmarshal(o.Spec, &held) != nil {
		return false
	}
	if !d.observer.Expired(held, now) {
		return false
	}
	d.lease.renewal = held.Renewal
	return d.writeLease(ctx, platform.IfVersion(o.Version), now)
}

// writeLease takes or renews the lease. The term runs from before the write.
func (d *Daemon) writeLease(ctx context.Context, cond platform.Condition, asked time.Time) bool {
	raw, err := json.Marshal(controller.Lease{Holder: d.cfg.VM, Start: d.self.Start, Renewal: d.lease.renewal + 1})
	if err != nil {
		return false
	}
	version, err := d.platform.Put(ctx, spec.Object{Key: leaseKey, Spec: raw}, cond, d.operation("lease"))
	d.metrics.PlatformCall("lease", err)
	if err != nil {
		d.lease.good = time.Time{}
		return false
	}
	if d.lease.good.IsZero() {
		d.log.Info("controller: lease taken", "vm", d.cfg.VM)
	}
	d.lease.version = version
	d.lease.renewal++
	d.lease.good = asked.Add(controller.LeaseDuration)
	return true
}

// step decides on the newest state of the platform and writes on the condition
// that it still is the newest. If the reads took so long that the lease may be
// another's, nothing is written.
func (d *Daemon) step(ctx context.Context) {
	written, actions, err := traffic.Step(ctx, traffic.StepConfig{
		Store: d.traffic, Fleet: d.view.Load().Fleet(), Now: d.now,
		Operation:    func() string { return d.operation("step") },
		IsController: func() bool { return d.now().Before(d.lease.good) },
	})
	if err != nil {
		d.log.Info("controller: no step", "error", err.Error())
		return
	}
	if len(actions) == 0 {
		return
	}
	d.changed(written)
	for _, a := range actions {
		d.metrics.Stepped(string(a.Rule))
		d.log.Info("controller: "+string(a.Rule), "move", a.Move, "reason", a.Reason)
	}
}

// sweepPlans deletes plans that nobody confirmed in time.
func (d *Daemon) sweepPlans(ctx context.Context) {
	now := d.now()
	if now.Sub(d.lease.swept) < sweepInterval {
		return
	}
	d.lease.swept = now
	plans, err := d.platform.List(ctx, kindPlan)
	if err != nil {
		return
	}
	for _, o := range plans {
		var p intent.Plan
		if json.Unmarshal(o.Spec, &p) != nil || now.Sub(p.MadeAt) > planLife {
			_ = d.platform.Delete(ctx, o.Key)
		}
	}
}
