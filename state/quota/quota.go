// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package quota counts moved requests against the cap of a move.
//
// An account gains the cap's fraction for every request that arrives and pays
// one whole request for every request that is moved. It starts empty and never
// holds more than Burst requests and a fraction. From this follow two facts that
// hold at each VM with no message to any other, and so for the sum of any set
// of VMs, whatever of them is paused, cut off or restarted:
//
//   - after n requests, at most floor(cap * n) were moved;
//   - among any n consecutive requests, at most cap * n + Burst were moved.
//
// # Usage
//
//	a := quota.New(10 * share.Percent)
//	a.Arrive()
//	if quota.Spend(a, total) { /* move the request */ }
package quota

import (
	"sync"

	"github.com/ryehill/ryehill/state/share"
)

// Burst is how many requests an account can move back to back after a quiet
// time, beyond its cap's fraction of those that arrive meanwhile.
const Burst = 3

const price = uint64(share.Whole)

// Account holds the credit of one cap at one VM.
// It is safe for concurrent use.
type Account struct {
	mu     sync.Mutex
	limit  share.PPM
	credit uint64
	total  uint64
	moved  uint64
}

// New returns an empty account for a cap.
func New(limit share.PPM) *Account { return &Account{limit: limit} }

// Arrive counts one request to which the cap applies, moved or not.
func (a *Account) Arrive() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.total++
	a.credit = min(a.credit+uint64(a.limit), price*Burst+uint64(a.limit))
}

// SetLimit changes the cap. Credit earned under a higher cap is given up, so
// that lowering a cap holds from the next request on.
func (a *Account) SetLimit(limit share.PPM) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if limit < a.limit {
		a.credit = 0
	}
	a.limit = limit
}

// Counts returns how many requests arrived and how many of them were moved.
func (a *Account) Counts() (total, moved uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.total, a.moved
}

// Limit returns the cap.
func (a *Account) Limit() share.PPM {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limit
}

func (a *Account) spend() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.credit < price {
		return false
	}
	a.credit -= price
	a.moved++
	return true
}

// spare reports whether the account is nearly full, so that credit would soon be
// wasted: it holds more than all but one of the requests that it can hold.
func (a *Account) spare() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.credit > price*(Burst-1)
}

func (a *Account) giveBack() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.credit = min(a.credit+price, price*Burst+uint64(a.limit))
	a.moved--
}

// Spend pays for one moved request from every account, or from none.
// It reports whether all could pay.
func Spend(accounts ...*Account) bool {
	for i, a := range accounts {
		if a.spend() {
			continue
		}
		for _, paid := range accounts[:i] {
			paid.giveBack()
		}
		return false
	}
	return true
}

// SpendSpare is like Spend, but pays only if the first account is nearly full. It is for requests that may fill up a share without
// taking credit from those that belong to it.
func SpendSpare(first *Account, others ...*Account) bool {
	return first.spare() && Spend(append([]*Account{first}, others...)...)
}

// Refund returns the price of a request that was paid for but, as is known for
// certain, was not moved.
func Refund(accounts ...*Account) {
	for _, a := range accounts {
		a.giveBack()
	}
}
