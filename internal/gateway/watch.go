// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/state/spec"
)

const (
	// minBackoff and maxBackoff bound the wait after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
	// maxFollowerBackoff is the upper bound for VMs that are not the root of their
	// region. The roots retry sooner and pass the store's state on, which keeps the
	// number of calls low during an outage: with maxBackoff for all, 295 VMs made 4,350
	// calls in 8 s.
	maxFollowerBackoff = 2 * time.Second
	// listInterval is how often a VM that watches the store lists a kind that is not
	// watched, as a stale list.
	listInterval = 10 * time.Second
	// initialListInterval is the delay before the second list. By then the VMs that
	// started together are in the list of VMs.
	initialListInterval = time.Second
	// coalesceFraction is the fraction of Bounds.ApplyWithin that a VM waits after
	// events before it watches again. Changes that come close together cost one call
	// to the store, and one message and one snapshot for each VM of the region.
	coalesceFraction = 1.0 / 25
	// holdAfterEvents bounds the hold of a watch that follows one with events. A watch
	// with events only shows that the replica was complete when the call began, so the
	// next confirmation must follow soon.
	holdAfterEvents = 300 * time.Millisecond
	// minHold is the hold of a watch that returns without waiting for changes.
	minHold = time.Millisecond
)

// watchLoop keeps the replica of one kind up to date. While this VM watches the store, it
// uses watches that the store holds; otherwise it calls the store only if no peer has
// confirmed the replica for StaleAfter.
func (g *Gateway) watchLoop(ctx context.Context, kind string) {
	failures, historyExpired, changed := 0, false, false
	for ctx.Err() == nil {
		if _, due := g.storeCallDue(kind); !due {
			g.waitForStoreCall(ctx, kind)
			continue
		}
		g.storeBackoff.wait(ctx, g.maxStoreBackoff())
		hold, due := g.storeCallDue(kind)
		if !due {
			continue // A peer has confirmed the replica meanwhile.
		}
		if changed {
			hold = min(hold, holdAfterEvents)
		}
		var err error
		changed, err = g.refresh(ctx, kind, hold, historyExpired)
		historyExpired = errors.Is(err, ErrHistoryExpired)
		g.storeBackoff.recordResult(err)
		g.knowledge.recordStoreCall(kind, err)
		switch {
		case err == nil && failures > 0:
			g.log.Info("store: answers again", "kind", kind, "failures", failures)
			failures = 0
		case err == nil || historyExpired:
		default:
			if failures == 0 {
				g.log.Info("store: does not answer", "kind", kind, "error", err.Error())
			}
			failures++
		}
	}
}

// storeCallDue reports whether to call the store for a kind now, and for how long the
// store may hold the call.
func (g *Gateway) storeCallDue(kind string) (time.Duration, bool) {
	switch {
	case g.watchesStore():
		return g.watchHoldFor(kind), true
	case g.replica.Inconsistent(kind), clock.Since(g.replica.ConfirmedAt(kind)) >= g.cfg.StaleAfter:
		return minHold, true
	}
	return 0, false
}

// watchHoldFor returns how long the store may hold a watch. During the hold nothing
// confirms the replica, so the hold is shorter the older the replica is. Ages up to
// maxSyncHold, which include the latency of the last response, do not shorten it.
func (g *Gateway) watchHoldFor(kind string) time.Duration {
	age := clock.Since(g.replica.ConfirmedAt(kind))
	return min(max(g.cfg.WatchHold+maxSyncHold-age, minHold), g.cfg.WatchHold)
}

// waitForStoreCall waits until the replica of a kind is too old, or this VM has to check
// whether to watch the store.
func (g *Gateway) waitForStoreCall(ctx context.Context, kind string) {
	wait := g.cfg.StaleAfter - clock.Since(g.replica.ConfirmedAt(kind))
	timer := time.NewTimer(max(wait, time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-g.watchRequested():
	}
}

// refresh makes one call: a watch from the known revision, or a list. It reports
// whether a watch returned events.
func (g *Gateway) refresh(ctx context.Context, kind string, hold time.Duration, list bool) (changed bool, err error) {
	since, known := g.replica.CompleteUpTo(kind)
	started := clock.Now()
	if !known || list || g.replica.Inconsistent(kind) || g.behindEra(kind) {
		return false, g.list(ctx, kind, started)
	}
	events, at, err := g.cfg.Store.Watch(ctx, kind, since, hold)
	g.recordEra(at)
	if err != nil {
		return false, err
	}
	if at.Era != since.Era {
		return false, errors.Wrapf(ErrHistoryExpired, "era %d after %d", at.Era, since.Era)
	}
	g.recordOutage(clock.Now())
	g.replica.Apply(kind, since, events, at)
	confirmed := started
	if len(events) == 0 && hold > minHold {
		// The store held the call for the whole time and then reported no changes.
		confirmed = started.Add(min(hold, clock.Since(started)))
	}
	g.replica.MarkConfirmed(kind, at, confirmed)
	if len(events) > 0 {
		sleep(ctx, g.coalesceDelay())
	}
	return len(events) > 0, nil
}

// errEarlierEra reports a list of an earlier era than another response of the store.
var errEarlierEra = errors.New("gateway: the list is of an earlier era of the store")

// list replaces the state of a kind by a list that was requested at a time.
func (g *Gateway) list(ctx context.Context, kind string, started time.Time) error {
	objects, at, err := g.cfg.Store.List(ctx, kind, false)
	if err != nil {
		return err
	}
	g.recordOutage(clock.Now())
	g.recordEra(at)
	g.replica.Reset(kind, objects, at)
	if era := g.knowledge.storeEra(); at.Era < era {
		return errors.Wrapf(errEarlierEra, "%d, not %d", at.Era, era)
	}
	g.replica.MarkConfirmed(kind, at, started)
	return nil
}

// coalesceDelay returns how long to wait after events before the next watch.
func (g *Gateway) coalesceDelay() time.Duration {
	return time.Duration(coalesceFraction * float64(g.cfg.Bounds.ApplyWithin))
}

// backoff returns a wait that doubles with each consecutive failure up to longest,
// with jitter so that VMs do not retry in step.
func backoff(failures int, longest time.Duration) time.Duration {
	wait := min(minBackoff<<min(failures-1, 8), longest)
	return wait/2 + rand.N(wait/2)
}

// maxStoreBackoff returns this VM's upper bound for the wait between two failing calls.
func (g *Gateway) maxStoreBackoff() time.Duration {
	if _, known := g.replica.CompleteUpTo(g.cfg.Codec.WorkerKind()); !known || g.isRegionRoot(clock.Now()) {
		return maxBackoff
	}
	return maxFollowerBackoff
}

// memberLoop writes this VM's own entry once, then lists the entries of all VMs.
func (g *Gateway) memberLoop(ctx context.Context) {
	entry, err := g.cfg.Codec.EncodeMember(g.vm())
	if err != nil {
		g.log.Error(err, "members: cannot encode own entry")
		return
	}
	if !g.cfg.FirstStart {
		g.neighbors.wait(ctx) // They may include this VM's entry.
	}
	for failures := 1; ctx.Err() == nil && !g.ownEntryStored(); failures++ {
		if err := g.cfg.Store.Put(ctx, g.cfg.Codec.MemberKind(), g.cfg.Codec.MemberName(g.vm()), entry); err == nil {
			break
		}
		sleep(ctx, backoff(failures, maxBackoff))
	}
	g.listLoop(ctx, g.cfg.Codec.MemberKind())
}

// listLoop lists a kind periodically while this VM watches the store or has no state
// of that kind.
func (g *Gateway) listLoop(ctx context.Context, kind string) {
	g.waitForPeers(ctx, kind)
	wait := initialListInterval
	for ctx.Err() == nil {
		if _, known := g.replica.CompleteUpTo(kind); known && !g.watchesStore() {
			sleep(ctx, initialListInterval)
			continue
		}
		g.storeBackoff.wait(ctx, g.maxStoreBackoff())
		newEra := g.knowledge.eraChanged()
		stale := wait == listInterval && g.staleListsUsable(kind)
		objects, at, err := g.cfg.Store.List(ctx, kind, stale)
		g.storeBackoff.recordResult(err)
		if err != nil {
			sleep(ctx, maxBackoff)
			continue
		}
		g.recordEra(at)
		if stale && g.behindEra(kind) {
			continue // Only a current list begins an era.
		}
		g.replica.Reset(kind, objects, at)
		g.sleepInEra(ctx, wait, newEra)
		wait = listInterval
	}
}

// sleepInEra waits for a time, or until the store begins a new era.
func (g *Gateway) sleepInEra(ctx context.Context, d time.Duration, newEra <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-newEra:
	}
}

// compileMembers applies the list of VMs if it has changed. Decoding it costs as much
// as everything else that a change of one worker requires.
func (g *Gateway) compileMembers(c *compiler) {
	kind := g.cfg.Codec.MemberKind()
	_, known := g.replica.CompleteUpTo(kind)
	content := g.replica.Generation(kind)
	if !known || content == c.memberList {
		return
	}
	c.memberList = content
	g.members.SetList(spec.VMList{Version: content, VMs: g.cfg.Codec.Members(g.replica.Objects(kind))})
}
