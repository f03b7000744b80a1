// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package retry decides, in one place, whether a request is tried once more.
//
// Retries, spills to another VM and returns home are all another try and all
// come here. Two rules bind: a request is tried again only if it is certain
// that no upstream has begun to run it, or if it may be repeated; and the tries
// after the first stay within a budget, a ratio of first tries, so that they
// cannot multiply an overload.
//
// # Usage
//
//	budget := retry.New(retry.Config{})
//	budget.First()
//	verdict := budget.Decide(retry.Try{Number: 1, Cause: retry.CauseShed, NotRun: true})
//	if verdict.Again() { /* try once more */ }
package retry

import (
	"cmp"
	"sync"

	"github.com/ryehill/ryehill/state/share"
)

// Cause says why a try ended without an answer.
type Cause string

// Causes of a failed try.
const (
	CauseShed        Cause = "shed"
	CauseLeaving     Cause = "leaving"
	CauseUnreachable Cause = "unreachable"
	CauseRefused     Cause = "refused"
	CauseBroken      Cause = "broken"
	// CauseFull means that this VM itself found no room in time.
	CauseFull Cause = "full"
)

// Verdict is the answer to a question for another try.
type Verdict string

// Verdicts. Only VerdictAgain allows another try.
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

// Again reports whether another try is allowed.
func (v Verdict) Again() bool { return v == VerdictAgain }

// Try describes a try that failed.
type Try struct {
	// Number counts tries of this request, from 1.
	Number int
	// MaxTries bounds the tries of this request; 0 is the budget's bound.
	MaxTries int
	Cause    Cause
	// Unsent is set if no byte of the request reached any upstream. Such a
	// try loads nothing, so the next one costs no budget.
	Unsent bool
	// NotRun is set if it is certain that no upstream began to run it.
	NotRun bool
	// Repeatable is set if running it twice does no harm.
	Repeatable bool
	// BodyGone is set if part of the body was sent and cannot be had again.
	BodyGone bool
	// Expired is set if the request's deadline has passed.
	Expired bool
	// Home is set if the next try is the one at the request's own hall after
	// another hall refused; it costs no budget as it sends nothing twice.
	Home bool
	// Suspect is set if the request may be why its upstream ended.
	Suspect bool
	// Final is set if the same try would only fail again: no room was found
	// in the time that a request may wait.
	Final bool
}

// maxUnsent bounds the tries of a request that reach no upstream.
const maxUnsent = 4

// Config sets up a Budget. The zero value is useful.
type Config struct {
	// Ratio is how many tries after the first are allowed for each first
	// try. Default 10%.
	Ratio share.PPM
	// Burst is how many may be spent after a quiet time. Default 10.
	Burst int
	// MaxTries bounds the tries of one request. Default 3.
	MaxTries int
	// Unlimited switches the budget off. It is the baseline of measurements.
	Unlimited bool
}

// Budget counts first tries and spends a ratio of them on later ones.
// It is safe for concurrent use.
type Budget struct {
	cfg    Config
	mu     sync.Mutex
	credit uint64
}

// New returns a budget that begins with its burst.
func New(cfg Config) *Budget {
	const defaultRatio, defaultBurst, defaultTries = 10 * share.Percent, 10, 3
	if cfg.Ratio == 0 {
		cfg.Ratio = defaultRatio
	}
	if cfg.Burst <= 0 {
		cfg.Burst = defaultBurst
	}
	if cfg.MaxTries <= 0 {
		cfg.MaxTries = defaultTries
	}
	return &Budget{cfg: cfg, credit: uint64(cfg.Burst) * uint64(share.Whole)}
}

// First counts a first try.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+uint64(b.cfg.Ratio), uint64(b.cfg.Burst)*uint64(share.Whole))
}

// Decide says whether a failed try may be followed by another.
func (b *Budget) Decide(t Try) Verdict {
	switch {
	case !t.NotRun && !t.Repeatable:
		return VerdictMayHaveRun
	case t.BodyGone:
		return VerdictBodyGone
	case t.Expired:
		return VerdictDeadline
	case t.Suspect:
		return VerdictSuspect
	case t.Final:
		return VerdictFinal
	case t.Home, t.Unsent && t.Number < maxUnsent:
		return VerdictAgain
	case t.Number >= cmp.Or(t.MaxTries, b.cfg.MaxTries):
		return VerdictTries
	case !b.spend():
		return VerdictBudget
	}
	return VerdictAgain
}

func (b *Budget) spend() bool {
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
