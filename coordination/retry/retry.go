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
	// CauseFull means that this VM had no free slot in time.
	CauseFull Cause = "full"
)

// Verdict tells whether another attempt is allowed, and why not if it is refused.
type Verdict string

// Decisions. Only DecisionRetry allows another attempt.
const (
	VerdictAgain      Verdict = "again"
	VerdictMayHaveRun Verdict = "may-have-run"
	VerdictBodyGone   Verdict = "body-gone"
	VerdictTries      Verdict = "tries"
	VerdictBudget     Verdict = "budget"
	VerdictDeadline   Verdict = "deadline"
	VerdictFinal      Verdict = "final"
	VerdictSuspect    Verdict = "suspect"
)

// Again reports whether another attempt is allowed.
func (d Verdict) Again() bool { return d == VerdictAgain }

// Try describes a failed attempt.
type Try struct {
	// Number is the number of the attempt of this request, from 1.
	Number int
	// MaxTries bounds the attempts of this request; 0 means the bound of the budget.
	MaxTries int
	Cause    Cause
	// Unsent is set if no byte of the request reached an upstream. Such an attempt causes
	// no load, so the next one costs no budget.
	Unsent bool
	// NotRun is set if it is certain that no upstream started to run the request.
	NotRun bool
	// Repeatable is set if running the request twice does no harm.
	Repeatable bool
	// BodyGone is set if part of the body was sent and cannot be read again.
	BodyGone bool
	// Expired is set if the request's deadline has passed.
	Expired bool
	// Home is set if the next attempt is at the request's own hall after another
	// hall refused it. It costs no budget, as it sends nothing twice.
	Home bool
	// Suspect is set if the request may have crashed its upstream.
	Suspect bool
	// Final is set if another attempt would fail for the same reason: no free slot was
	// found in the time that the request may wait.
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
	// MaxTries bounds the attempts of one request. Default 3.
	MaxTries int
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
	if cfg.MaxTries <= 0 {
		cfg.MaxTries = defaultAttempts
	}
	return &Budget{cfg: cfg, credit: uint64(cfg.Burst) * uint64(share.Whole)}
}

// First records the first attempt of a request, which adds Ratio to the budget.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+uint64(b.cfg.Ratio), uint64(b.cfg.Burst)*uint64(share.Whole))
}

// Decide decides whether a failed attempt may be followed by another, and charges the
// budget if it is allowed and not free.
func (b *Budget) Decide(a Try) Verdict {
	switch {
	case !a.NotRun && !a.Repeatable:
		return VerdictMayHaveRun
	case a.BodyGone:
		return VerdictBodyGone
	case a.Expired:
		return VerdictDeadline
	case a.Suspect:
		return VerdictSuspect
	case a.Final:
		return VerdictFinal
	case a.Home, a.Unsent && a.Number < maxUnsent:
		return VerdictAgain
	case a.Number >= cmp.Or(a.MaxTries, b.cfg.MaxTries):
		return VerdictTries
	case !b.spendCredit():
		return VerdictBudget
	}
	return VerdictAgain
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
