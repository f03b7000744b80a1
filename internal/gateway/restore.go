// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/traffic"
	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/quarantine"
	"github.com/ryehill/ryehill/state/spec"
)

// restoreInterval is the time between two checks for objects of the fleet's own that the
// store lost when it returned from a copy.
const restoreInterval = 500 * time.Millisecond

// maxRestoreDelay bounds the random delay before a VM writes its own entry again, so that
// not all VMs write at once.
const maxRestoreDelay = time.Second

// releaseCheckDelay and maxReleaseCheckJitter are how long a VM leaves it to the controller to
// save the entries that it carries, before it asks the store whether they were released.
const releaseCheckDelay, maxReleaseCheckJitter = 3 * time.Second, 3 * time.Second

// restored tracks what this VM writes again. Only restoreLoop uses it.
type restored struct {
	// memberEra is the newest era in which this VM's entry was seen or written, memberDue
	// when to write it.
	memberEra uint64
	memberDue time.Time
	// trafficWrites numbers the writes of the traffic object.
	trafficWrites int
	// releasesDue is when to check for releases of carried entries, zero while nothing is
	// carried.
	releasesDue time.Time
}

// releaseCheckDue reports whether to check for releases now, and sets when to do so next. The
// first check is due some time after the first call.
func (r *restored) releaseCheckDue(now time.Time) bool {
	due := r.releasesDue
	if now.Before(due) {
		return false
	}
	r.releasesDue = now.Add(releaseCheckDelay + rand.N(maxReleaseCheckJitter))
	return !due.IsZero()
}

// restoreLoop writes the fleet's own objects again that the store has lost. Each VM
// writes its own entry; the controller writes what belongs to all. A second VM that takes
// itself for the controller writes the same or fails on a condition.
func (g *Gateway) restoreLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, restoreInterval)
		if !g.Ready() {
			continue
		}
		g.restoreMember(ctx)
		if !g.hasCarried() {
			g.restored.releasesDue = time.Time{}
			continue
		}
		if !g.isController() {
			g.endReleased(ctx)
			continue
		}
		g.restoreTraffic(ctx)
		g.restoreQuarantine(ctx)
		g.restoreRollouts(ctx)
	}
}

// hasCarried reports whether states of earlier eras of the fleet's own kinds are in use.
func (g *Gateway) hasCarried() bool {
	for _, kind := range g.listedKinds() {
		if kind != g.cfg.Codec.MemberKind() && len(g.replica.Carried(kind)) > 0 {
			return true
		}
	}
	return false
}

// restoreMember writes this VM's entry again if a new era lacks it. Whether the store has
// it is visible only with the next list, so it is written once per era.
func (g *Gateway) restoreMember(ctx context.Context) {
	kind, r := g.cfg.Codec.MemberKind(), &g.restored
	at, known := g.replica.CompleteUpTo(kind)
	if !known || !g.replica.PassedEra(kind) || at.Era <= r.memberEra {
		return
	}
	name := g.cfg.Codec.MemberName(g.vm())
	for _, o := range g.replica.Stored(kind) {
		if o.Name == name {
			r.memberEra, r.memberDue = at.Era, time.Time{}
			return
		}
	}
	now := clock.Now()
	if r.memberDue.IsZero() {
		r.memberDue = now.Add(rand.N(maxRestoreDelay))
	}
	if now.Before(r.memberDue) {
		return
	}
	entry, err := g.cfg.Codec.EncodeMember(g.vm())
	if err == nil {
		err = g.cfg.Store.Put(ctx, kind, name, entry)
	}
	if g.logRestored(kind, name, err) {
		r.memberEra, r.memberDue = at.Era, time.Time{}
	}
}

// logRestored reports the result of writing an object again, and whether it is written.
func (g *Gateway) logRestored(kind, name string, err error) bool {
	if err != nil {
		g.log.Info("store: not written again", "kind", kind, "name", name, "error", err.Error())
		return false
	}
	g.cfg.Metrics.Restored(kind)
	g.log.Info("store: written again, since the store had lost it", "kind", kind, "name", name)
	return true
}

// restoreTraffic writes the operators' confirmed moves and caps again.
func (g *Gateway) restoreTraffic(ctx context.Context) {
	kind := g.cfg.Codec.TrafficKind()
	if len(g.replica.Carried(kind)) == 0 {
		return
	}
	g.restored.trafficWrites++
	operation := "restore-" + g.cfg.VM + "-" + strconv.FormatUint(g.self.Start, 36) + "-" + strconv.Itoa(g.restored.trafficWrites)
	_, err := traffic.Update(ctx, trafficStore{g}, func() string { return operation }, func(t spec.Traffic) (spec.Traffic, error) { return t, nil })
	g.logRestored(kind, spec.SingletonName, err)
}

// restoreEntry saves a quarantined request of an earlier era, unless it was saved and released
// in this one before this VM heard of either.
func (g *Gateway) restoreEntry(ctx context.Context, c object.Carried) error {
	e, err := quarantine.Decode(c.Spec)
	if err != nil {
		return errors.Wrap(err, "quarantine: decode entry")
	}
	return g.saveEntry(ctx, e, c.Version, true)
}

// restoreQuarantine saves quarantined requests again that the store lost, and deletes
// again those that were released.
func (g *Gateway) restoreQuarantine(ctx context.Context) {
	kind := g.cfg.Codec.QuarantineKind()
	carried := g.replica.Carried(kind)
	if len(carried) == 0 {
		return
	}
	for _, c := range carried {
		var err error
		if c.Deleted {
			err = g.cfg.Store.Delete(ctx, kind, c.Name)
		} else {
			err = g.restoreEntry(ctx, c)
		}
		if !g.logRestored(kind, c.Name, err) {
			return
		}
	}
	if err := g.listQuarantine(ctx, false); err != nil {
		g.log.V(1).Info("quarantine: store unavailable", "error", err.Error())
	}
}

// endReleased ends the carried entries of requests that were saved in the current era and
// released before this VM heard of either. The controller saves the others, so that this VM
// does not carry them any longer.
func (g *Gateway) endReleased(ctx context.Context) {
	kind := g.cfg.Codec.QuarantineKind()
	carried := g.replica.Carried(kind)
	if !g.restored.releaseCheckDue(clock.Now()) || len(carried) == 0 {
		return
	}
	changes, err := g.quarantineChanges(ctx, g.knowledge.lowestOfEra())
	if err != nil {
		g.log.V(1).Info("quarantine: store unavailable", "error", err.Error())
		return
	}
	for _, c := range carried {
		e, err := quarantine.Decode(c.Spec)
		if c.Deleted || err != nil || !wasReleased(changesOf(changes, e.Fingerprint), e, true) {
			continue // An entry that cannot be decoded is not in use.
		}
		g.replica.EndCarried(kind, c.Name)
		g.log.Info("quarantine: released before this VM heard of its entry", "fingerprint", c.Name)
	}
	g.compileQuarantine()
}

// restoreRollouts writes the statuses of rollouts again that the store holds in an older
// state. Orders are the operators': a missing one is written again by them.
func (g *Gateway) restoreRollouts(ctx context.Context) {
	if !g.rollouts.enabled() {
		return
	}
	kind := g.cfg.Codec.RolloutKind()
	stored := make(map[string]object.Object)
	for _, o := range g.replica.Stored(kind) {
		stored[o.Name] = o
	}
	for _, c := range g.replica.Carried(kind) {
		current, ok := stored[c.Name]
		if !ok {
			continue
		}
		order, err := g.cfg.Codec.Rollout(c.Object)
		if err != nil {
			continue // Such an order is not in use.
		}
		status, err := g.cfg.Codec.EncodeRollout(order)
		if err == nil {
			_, err = g.cfg.Store.ReplaceStatus(ctx, kind, c.Name, current.Version, status)
		}
		g.logRestored(kind, c.Name, err)
	}
}
