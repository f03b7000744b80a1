// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/state/spec"
)

const (
	// firstRetry and longestRetry bound the wait after a failed call.
	firstRetry   = 100 * time.Millisecond
	longestRetry = time.Second
	// memberInterval is how often the list of VMs is read, as a stale one.
	memberInterval = 10 * time.Second
	// firstMembers is when it is read for the second time: by then the VMs
	// that started together are in it.
	firstMembers = time.Second
)

// watchLoop keeps the replica of one kind up to date.
func (g *Gateway) watchLoop(ctx context.Context, kind string) {
	failures := 0
	listed := false
	for ctx.Err() == nil {
		err := g.follow(ctx, kind, listed)
		switch {
		case err == nil:
			if failures > 0 || !listed {
				g.log.Info("store: answers", "kind", kind, "failures", failures)
			}
			failures, listed = 0, true
		case errors.Is(err, ErrForgotten):
			listed = false
		default:
			if failures == 0 {
				g.log.Info("store: does not answer", "kind", kind, "error", err.Error())
			}
			failures++
			sleep(ctx, backoff(failures))
		}
	}
}

// follow does one call: a list, or a watch of what has been listed.
func (g *Gateway) follow(ctx context.Context, kind string, listed bool) error {
	asked := time.Now()
	if !listed {
		objects, at, err := g.cfg.Store.List(ctx, kind, false)
		if err == nil {
			g.replica.Reset(kind, objects, at)
			g.replica.Confirm(kind, asked)
		}
		return err
	}
	since, _ := g.replica.At(kind)
	events, at, err := g.cfg.Store.Watch(ctx, kind, since, g.cfg.WatchHold)
	if err != nil {
		return err
	}
	g.replica.Apply(kind, since, events, at)
	g.replica.Confirm(kind, asked)
	return nil
}

// backoff grows with the failures in a row and is spread, so that VMs do not
// come back together.
func backoff(failures int) time.Duration {
	longest := min(firstRetry<<min(failures-1, 8), longestRetry)
	return longest/2 + rand.N(longest/2)
}

// memberLoop writes this VM's own entry once and reads those of the others.
func (g *Gateway) memberLoop(ctx context.Context) {
	kind := g.cfg.Codec.MemberKind()
	entry, err := g.cfg.Codec.EncodeMember(g.vm())
	if err != nil {
		g.log.Error(err, "members: own entry")
		return
	}
	for failures := 1; ctx.Err() == nil; failures++ {
		if err := g.cfg.Store.Put(ctx, kind, g.cfg.VM, entry); err == nil {
			break
		}
		sleep(ctx, backoff(failures))
	}
	wait, failures := firstMembers, 0
	for ctx.Err() == nil {
		objects, at, err := g.cfg.Store.List(ctx, kind, wait == memberInterval)
		if err != nil {
			failures++
			sleep(ctx, backoff(failures))
			continue
		}
		failures = 0
		g.members.SetList(spec.VMList{Version: at, VMs: g.cfg.Codec.Members(objects)})
		sleep(ctx, wait)
		wait = memberInterval
	}
}
