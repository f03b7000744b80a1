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
	// firstRetry and longestRetry bound the wait after a failed call.
	firstRetry   = 100 * time.Millisecond
	longestRetry = 600 * time.Millisecond
	// longestPatience bounds it for VMs that tell nobody what the store says. Those
	// that do are told first when it answers again, and tell the others. With
	// longestRetry for all, 295 VMs made 4,350 calls in the 8 s of an outage.
	longestPatience = 2 * time.Second
	// listInterval is how often a watcher reads a kind that is not watched, as
	// a stale list.
	listInterval = 10 * time.Second
	// firstList is when it is read for the second time: by then the VMs that
	// started together are in the list of VMs.
	firstList = time.Second
	// gatherPart is the part of the time within which a change must be in force that a
	// watcher waits after news before it watches again. Changes which come close together
	// cost one call, and each VM of the region one message and one snapshot.
	gatherPart = 1.0 / 25
	// afterNews is the hold of a watch that follows one which brought news.
	// Such a one only shows that the replica was complete when it was asked
	// for, so the next must not be long in coming.
	afterNews = 300 * time.Millisecond
	// atOnce is the hold of a watch that only asks for what has changed.
	atOnce = time.Millisecond
)

// watchLoop keeps the replica of one kind up to date: by a watch that the store
// holds while other VMs ask this one, else by a call of its own whenever nobody
// has confirmed for too long that the replica is complete.
func (g *Gateway) watchLoop(ctx context.Context, kind string) {
	failures, forgotten, news := 0, false, false
	for ctx.Err() == nil {
		if _, due := g.dueCall(kind); !due {
			g.waitDue(ctx, kind)
			continue
		}
		g.gate.enter(ctx, g.longestWait())
		hold, due := g.dueCall(kind)
		if !due {
			continue // A peer has told it meanwhile.
		}
		if news {
			hold = min(hold, afterNews)
		}
		var err error
		news, err = g.follow(ctx, kind, hold, forgotten)
		forgotten = errors.Is(err, ErrForgotten)
		g.gate.ended(err)
		g.knowledge.noteStore(kind, err)
		switch {
		case err == nil && failures > 0:
			g.log.Info("store: answers again", "kind", kind, "failures", failures)
			failures = 0
		case err == nil || forgotten:
		default:
			if failures == 0 {
				g.log.Info("store: does not answer", "kind", kind, "error", err.Error())
			}
			failures++
		}
	}
}

// dueCall says whether the store is to be called for a kind now, and for how
// long it may hold the call.
func (g *Gateway) dueCall(kind string) (time.Duration, bool) {
	switch {
	case g.watches():
		return g.holdFor(kind), true
	case g.replica.Inconsistent(kind), clock.Since(g.replica.ConfirmedAt(kind)) >= g.cfg.StaleAfter:
		return atOnce, true
	}
	return 0, false
}

// holdFor returns for how long the store may hold a watch. While it does, nothing
// shows that the replica is complete; so what is old already is asked for at once.
// The way of the last answer, a part of askHold, makes nothing old.
func (g *Gateway) holdFor(kind string) time.Duration {
	age := clock.Since(g.replica.ConfirmedAt(kind))
	return min(max(g.cfg.WatchHold+askHold-age, atOnce), g.cfg.WatchHold)
}

// waitDue waits until the replica of a kind has become too old, or this VM is
// asked to watch.
func (g *Gateway) waitDue(ctx context.Context, kind string) {
	wait := g.cfg.StaleAfter - clock.Since(g.replica.ConfirmedAt(kind))
	timer := time.NewTimer(max(wait, time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-g.askedToWatch():
	}
}

// follow does one call: a watch of what is known, or a list. It reports whether
// a watch brought news.
func (g *Gateway) follow(ctx context.Context, kind string, hold time.Duration, list bool) (news bool, err error) {
	since, known := g.replica.CompleteUpTo(kind)
	asked := clock.Now()
	if !known || list || g.replica.Inconsistent(kind) {
		objects, at, err := g.cfg.Store.List(ctx, kind, false)
		if err == nil {
			g.noteAbsence(clock.Now())
			g.replica.Reset(kind, objects, at)
			g.replica.MarkConfirmed(kind, asked)
		}
		return false, err
	}
	events, at, err := g.cfg.Store.Watch(ctx, kind, since, hold)
	if err != nil {
		return false, err
	}
	g.noteAbsence(clock.Now())
	g.replica.Apply(kind, since, events, at)
	confirmed := asked
	if len(events) == 0 && hold > atOnce {
		// The store held the call for all of its time, and then said that
		// nothing had changed.
		confirmed = asked.Add(min(hold, clock.Since(asked)))
	}
	g.replica.MarkConfirmed(kind, confirmed)
	if len(events) > 0 {
		sleep(ctx, g.gather())
	}
	return len(events) > 0, nil
}

// gather is how long a watcher waits after news before it watches again.
func (g *Gateway) gather() time.Duration {
	return time.Duration(gatherPart * float64(g.cfg.Bounds.ApplyWithin))
}

// backoff grows with the failures in a row up to a longest wait, and is spread, so
// that VMs do not come back together.
func backoff(failures int, longest time.Duration) time.Duration {
	wait := min(firstRetry<<min(failures-1, 8), longest)
	return wait/2 + rand.N(wait/2)
}

// longestWait returns the longest wait of this VM between two calls that fail.
func (g *Gateway) longestWait() time.Duration {
	if _, known := g.replica.CompleteUpTo(g.cfg.Codec.WorkerKind()); !known || g.leads(clock.Now()) {
		return longestRetry
	}
	return longestPatience
}

// memberLoop writes this VM's own entry once, then reads those of all.
func (g *Gateway) memberLoop(ctx context.Context) {
	entry, err := g.cfg.Codec.EncodeMember(g.vm())
	if err != nil {
		g.log.Error(err, "members: own entry")
		return
	}
	if !g.cfg.FirstStart {
		g.neighbors.await(ctx) // They may show that the entry is there.
	}
	for failures := 1; ctx.Err() == nil && !g.listed(); failures++ {
		if err := g.cfg.Store.Put(ctx, g.cfg.Codec.MemberKind(), g.cfg.Codec.MemberName(g.vm()), entry); err == nil {
			break
		}
		sleep(ctx, backoff(failures, longestRetry))
	}
	g.listLoop(ctx, g.cfg.Codec.MemberKind())
}

// listLoop reads a kind now and then, while this VM watches for others or does
// not know it at all.
func (g *Gateway) listLoop(ctx context.Context, kind string) {
	g.waitForPeers(ctx, kind)
	wait := firstList
	for ctx.Err() == nil {
		if _, known := g.replica.CompleteUpTo(kind); known && !g.watches() {
			sleep(ctx, firstList)
			continue
		}
		g.gate.enter(ctx, g.longestWait())
		objects, at, err := g.cfg.Store.List(ctx, kind, wait == listInterval)
		g.gate.ended(err)
		if err == nil {
			g.replica.Reset(kind, objects, at)
			sleep(ctx, wait)
			wait = listInterval
			continue
		}
		sleep(ctx, longestRetry)
	}
}

// compileMembers takes in the list of VMs, if it has changed: to read it takes as long as
// all else that a change of one worker needs.
func (g *Gateway) compileMembers(c *compiler) {
	kind := g.cfg.Codec.MemberKind()
	at, known := g.replica.CompleteUpTo(kind)
	content := g.replica.LastChanged(kind)
	if !known || content == c.listed {
		return
	}
	c.listed = content
	g.members.SetList(spec.VMList{Version: at, VMs: g.cfg.Codec.Members(g.replica.Objects(kind))})
}
