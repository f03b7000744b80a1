// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package retry decides whether a failed request is attempted again.
//
// Retries, spills to another VM and fallbacks to the request's own hall are all further
// attempts and are all decided here. Two rules apply: a request is attempted again only if
// it is certain that no upstream has started to run it, or if it is idempotent; and the
// attempts after the first stay within a budget, a ratio of first attempts, so that
// retries cannot multiply an overload.
//
// # Usage
//
//	budget := retry.New(retry.Config{})
//	budget.RecordFirst()
//	decision := budget.Decide(retry.Attempt{Number: 1, Cause: retry.CauseShed, NotRun: true})
//	if decision.Allowed() { /* attempt it again */ }
package retry

import (
	"cmp"
	"sync"

	"github.com/ryehill/ryehill/state/share"
)

// Cause is the reason why an attempt ended without an answer.
type Cause string

// Causes of a failed attempt.
const (
	CauseShed        Cause = "shed"
	CauseLeaving     Cause = "leaving"
	CauseUnreachable Cause = "unreachable"
	CauseRefused     Cause = "refused"
	CauseBroken      Cause = "broken"
	// CauseIsolated means that this VM reaches no worker and that no other VM forwarded the
	// request.
	CauseIsolated Cause = "isolated"
	// CauseFull means that this VM had no free slot in time.
	CauseFull Cause = "full"
)

// Decision tells whether another attempt is allowed, and why not if it is refused.
type Decision string

// Decisions. Only DecisionRetry allows another attempt.
const (
	DecisionRetry          Decision = "again"
	DecisionMayHaveRun     Decision = "may-have-run"
	DecisionBodyConsumed   Decision = "body-gone"
	DecisionMaxAttempts    Decision = "tries"
	DecisionBudgetSpent    Decision = "budget"
	DecisionDeadlinePassed Decision = "deadline"
	DecisionFinal          Decision = "final"
	DecisionSuspectedCrash Decision = "suspect"
)

// Allowed reports whether another attempt is allowed.
func (d Decision) Allowed() bool { return d == DecisionRetry }

// Attempt describes a failed attempt.
type Attempt struct {
	// Number is the number of the attempt of this request, from 1.
	Number int
	// MaxAttempts bounds the attempts of this request; 0 means the bound of the budget.
	MaxAttempts int
	Cause       Cause
	// Unsent is set if no byte of the request reached an upstream. Such an attempt causes
	// no load, so the next one costs no budget.
	Unsent bool
	// NotRun is set if it is certain that no upstream started to run the request.
	NotRun bool
	// Idempotent is set if running the request twice does no harm.
	Idempotent bool
	// BodyConsumed is set if part of the body was sent and cannot be read again.
	BodyConsumed bool
	// DeadlinePassed is set if the request's deadline has passed.
	DeadlinePassed bool
	// HomeFallback is set if the next attempt is at the request's own hall after another
	// hall refused it. It costs no budget, as it sends nothing twice.
	HomeFallback bool
	// SuspectedCrash is set if the request may have crashed its upstream.
	SuspectedCrash bool
	// Final is set if another attempt would fail for the same reason: no free slot was
	// found in the time that the request may wait, or no way to any upstream.
	Final bool
}

// maxUnsent bounds the attempts of a request that reach no upstream.
const maxUnsent = 4

// Config configures a Budget. The zero value is valid.
type Config struct {
	// Ratio is the number of further attempts allowed per first attempt. Default 10%.
	Ratio share.PPM
	// Burst is the number of further attempts that may be saved up. Default 10.
	Burst int
	// MaxAttempts bounds the attempts of one request. Default 3.
	MaxAttempts int
	// Unlimited disables the budget. It is a baseline for measurements.
	Unlimited bool
}

// Budget limits further attempts to a ratio of first attempts. It is safe for concurrent
// use.
type Budget struct {
	cfg    Config
	mu     sync.Mutex
	credit uint64
}

// New returns a Budget with a full burst.
func New(cfg Config) *Budget {
	const defaultRatio, defaultBurst, defaultAttempts = 10 * share.Percent, 10, 3
	if cfg.Ratio == 0 {
		cfg.Ratio = defaultRatio
	}
	if cfg.Burst <= 0 {
		cfg.Burst = defaultBurst
	}
	if cfg.MaxAttempts <= 0 {
		cfg.MaxAttempts = defaultAttempts
	}
	return &Budget{cfg: cfg, credit: uint64(cfg.Burst) * uint64(share.Whole)}
}

// RecordFirst records the first attempt of a request, which adds Ratio to the budget.
func (b *Budget) RecordFirst() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+uint64(b.cfg.Ratio), uint64(b.cfg.Burst)*uint64(share.Whole))
}

// Decide decides whether a failed attempt may be followed by another, and charges the
// budget if it is allowed and not free.
func (b *Budget) Decide(a Attempt) Decision {
	switch {
	case !a.NotRun && !a.Idempotent:
		return DecisionMayHaveRun
	case a.BodyConsumed:
		return DecisionBodyConsumed
	case a.DeadlinePassed:
		return DecisionDeadlinePassed
	case a.SuspectedCrash:
		return DecisionSuspectedCrash
	case a.Final:
		return DecisionFinal
	case a.HomeFallback, a.Unsent && a.Number < maxUnsent:
		return DecisionRetry
	case a.Number >= cmp.Or(a.MaxAttempts, b.cfg.MaxAttempts):
		return DecisionMaxAttempts
	case !b.spendCredit():
		return DecisionBudgetSpent
	}
	return DecisionRetry
}

func (b *Budget) spendCredit() bool {
	if b.cfg.Unlimited {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < uint64(share.Whole) {
		return false
	}
	b.credit -= uint64(share.Whole)
	return true
}
