// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package ratelimit limits the requests of each workspace, and the requests to each worker
// that states a limit, across all VMs and in every time window, also during network
// partitions.
//
// The allowance of a workspace for a window is divided among all listed VMs, so that a VM
// that is cut off cannot exceed its share. The larger portion of each share is local: the
// VM uses it without asking any other VM. The rest is lent to one VM of the region, its
// Pool, which grants it request by request to VMs whose local portion is used up. Shares
// that are too small to split are lent whole. A pool hands out no more than was lent to
// it, so two VMs that both act as the pool divide the loans between them: no agreement and
// no stored state is needed. Every share is a token bucket that starts empty, so a VM that
// restarts adds nothing to what it granted before.
//
// An Issuer limits in the same way what all VMs together send to a worker that states a
// limit of its own. That limit is too small to divide, so one VM of the worker's region
// grants all of it, request by request.
//
// The package does no I/O.
//
// # Usage
//
//	local := ratelimit.NewLocalLimiter(ratelimit.Config{Bounds: bounds, VMs: listed, Now: time.Now})
//	if !local.TakeToken("schools", limit) { /* query the pool with Borrower.TakeToken */ }
package ratelimit

import (
	"time"

	"github.com/ryehill/ryehill/state/workspace"
)

// Bounds are the operators' bounds on quotas. The requests that run in any window are at
// most (rate x window + burst) x (1 + overage) + slack.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

const (
	// toleranceFraction is the fraction of overage and slack that is handed out, as a
	// workspace is entitled to requests within them. The rest covers VMs that are not
	// listed yet, clock drift, and requests that reach their worker some time after they
	// were admitted.
	toleranceFraction = 0.85
	// refillFraction is the fraction of an allowance that is refilled continuously; the
	// rest is the burst. It is set so that a workspace which stays within the tolerance
	// above its rate for a long time is served.
	refillFraction = 0.85
	// localFraction is the local portion of a VM's share, where the share is large enough
	// to split. The lent portion evens out clients that are spread unevenly over VMs.
	localFraction = 0.6
	// minSplitShare is the smallest share, in requests a window, that is split. The local
	// portion of a smaller one would admit a request only now and then and mostly go
	// unused: with 74 VMs and shares of 6, a workspace got 53 of its 66 requests a second
	// when they were split from 4 on.
	minSplitShare = 8
	// GrantDuration is how long a grant of the pool may be used. The pool counts a request
	// when it is granted, so this extends the window.
	GrantDuration = 200 * time.Millisecond
)

// bucketParams are the refill rate of a token bucket, in tokens a second, and its
// capacity.
type bucketParams struct{ rate, capacity float64 }

// windowAllowance returns how many requests all VMs together may run in a window.
func (b Bounds) windowAllowance(l workspace.Limit) float64 {
	nominal := l.Rate*b.Window.Seconds() + l.Burst
	return nominal + toleranceFraction*(nominal*b.Overage+b.Slack)
}

// paramsFor returns the parameters of a bucket whose initial content and refill during a
// period add up to an amount. The capacity is at least one whole request if the amount
// exceeds one.
func paramsFor(amount float64, period time.Duration) bucketParams {
	capacity := (1 - refillFraction) * amount
	if amount > 1 {
		capacity = max(capacity, 1)
	}
	return bucketParams{rate: (amount - capacity) / period.Seconds(), capacity: capacity}
}

// splitShare returns the parameters of a VM's local bucket and the amount a window that it
// lends, where the allowance of a workspace is divided among a number of VMs.
func (b Bounds) splitShare(l workspace.Limit, vms int) (local bucketParams, lent float64) {
	if vms < 1 || l.Unlimited() {
		return bucketParams{}, 0
	}
	share := b.windowAllowance(l) / float64(vms)
	if share < minSplitShare {
		return bucketParams{}, share
	}
	return paramsFor(localFraction*share, b.Window), (1 - localFraction) * share
}

// bucket is a token bucket. The zero value is empty and was never refilled.
type bucket struct {
	tokens     float64
	lastRefill time.Time
}

// refill adds the tokens since the last refill. A bucket that was never refilled stays
// empty.
func (b *bucket) refill(params bucketParams, now time.Time) {
	if !b.lastRefill.IsZero() && now.After(b.lastRefill) {
		b.tokens += params.rate * now.Sub(b.lastRefill).Seconds()
	}
	b.tokens = min(b.tokens, params.capacity)
	b.lastRefill = now
}

// takeTokens takes as many whole tokens as there are, up to maxTokens.
func (b *bucket) takeTokens(maxTokens int) int {
	n := min(int(b.tokens), maxTokens)
	b.tokens -= float64(n)
	return n
}
