// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package ratelimit bounds what each workspace has run, and what each worker that names a
// limit gets, at all VMs together, in every window of time, whichever VMs can talk to each
// other.
//
// A VM that is cut off must not pass its part, so a workspace's allowance of a
// window is divided among the VMs that are listed. The larger part of each piece is
// the VM's own, and needs nobody's word. The rest is lent to one VM of the region,
// its Pool, which grants it, request by request, to VMs whose own part is used up;
// pieces too small for one request are lent whole. A pool has no more than was lent
// to it, and two VMs that both take themselves for the pool divide it: nothing has
// to be agreed on, and nothing is kept. Every part is a token bucket that starts
// empty, so a VM that starts again adds nothing to what its earlier life let run.
//
// An Issuer bounds in the same way what all VMs together send to a worker that names a
// limit of its own. That is too small to be divided, so one VM of the worker's region hands
// out all of it, request by request.
//
// The package does no I/O.
//
// # Usage
//
//	own := ratelimit.NewOwn(ratelimit.Config{Bounds: bounds, VMs: listed, Now: time.Now})
//	if !own.Take("schools", limit) { /* ask the pool: Borrower.Take */ }
package ratelimit

import (
	"time"

	"github.com/ryehill/ryehill/state/workspace"
)

// Bounds are what the fleet's operators hold quotas to: in no window may more run
// than (rate x window + burst) x (1 + overage) + slack.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

const (
	// usedTolerance is the part of overage and slack that is handed out: what a
	// workspace asks within them is owed to it as well. The rest is kept for VMs that
	// are not listed yet (one more of 74 is 1.4 %), for clocks, and for requests that
	// reach their worker some time after they were let pass.
	usedTolerance = 0.85
	// mostFlowing is the part of an allowance that comes little by little; the rest may
	// run at once. A workspace that asks for a little more than its rate for a long
	// time, but for no more than the tolerance, gets it: of 84 requests a second at a
	// limit of 66, 53 passed while the flow was the rate.
	mostFlowing = 0.85
	// ownPart is the part of a VM's piece that is its own, where the piece is large
	// enough: callers spread over VMs by chance, and the pool evens that out.
	ownPart = 0.6
	// leastPiece is the least piece, in requests a window, of which a part is the VM's
	// own. The own part of a smaller one lets one request run in a while, of which half
	// goes unused: with 74 VMs, a workspace that asks for 84 a second at a limit of 66
	// (a piece of 6) got 53 while pieces from 4 on were divided, and some with limits of
	// 20 to 28 lost up to a tenth of what they may while those from 1.8 on were.
	leastPiece = 8
	// GrantFor is for how long a grant of the pool may be used. What is granted
	// counts at the pool when it is granted, so this lengthens the window.
	GrantFor = 200 * time.Millisecond
)

// flow is what a token bucket gets a second, and the most it holds.
type flow struct{ rate, capacity float64 }

// perWindow returns how many requests all VMs may let run in a window.
func (b Bounds) perWindow(l workspace.Limit) float64 {
	nominal := l.Rate*b.Window.Seconds() + l.Burst
	return nominal + usedTolerance*(nominal*b.Overage+b.Slack)
}

// flowOf makes a bucket of an amount a window, which lasts for a time: whatever it
// held at the start of the time and gets until its end is the amount. It holds a whole
// request, if the amount is one.
func flowOf(amount float64, lasts time.Duration) flow {
	capacity := (1 - mostFlowing) * amount
	if amount > 1 {
		capacity = max(capacity, 1)
	}
	return flow{rate: (amount - capacity) / lasts.Seconds(), capacity: capacity}
}

// divide returns a VM's own bucket, and the amount a window that it lends, of a
// workspace's allowance that is divided among a number of VMs.
func (b Bounds) divide(l workspace.Limit, vms int) (own flow, lent float64) {
	if vms < 1 || l.None() {
		return flow{}, 0
	}
	piece := b.perWindow(l) / float64(vms)
	if piece < leastPiece {
		return flow{}, piece
	}
	return flowOf(ownPart*piece, b.Window), (1 - ownPart) * piece
}

// bucket is a token bucket. The zero value is empty and was never filled.
type bucket struct {
	level  float64
	filled time.Time
}

// fill adds what came since the last call. A bucket that was never filled stays
// empty.
func (b *bucket) fill(f flow, now time.Time) {
	if !b.filled.IsZero() && now.After(b.filled) {
		b.level += f.rate * now.Sub(b.filled).Seconds()
	}
	b.level = min(b.level, f.capacity)
	b.filled = now
}

// take takes tokens, as many whole ones as there are, up to a number.
func (b *bucket) take(most int) int {
	n := min(int(b.level), most)
	b.level -= float64(n)
	return n
}
