// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package quota_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/ryehill/ryehill/state/quota"
	"github.com/ryehill/ryehill/state/share"
)

// vm is one of several VMs that share a cap and exchange no message.
type vm struct {
	account      *quota.Account
	total, moved uint64
	history      []bool // whether each request was moved
}

// The cap holds for the sum of any VMs, at every moment and over every stretch
// of requests, while VMs restart, pause, and run with different caps in force.
func TestCapHoldsForAnySetOfVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := share.PPM(rapid.Uint32Range(0, uint32(share.Whole)).Draw(t, "cap"))
		vms := make([]*vm, rapid.IntRange(1, 12).Draw(t, "vms"))
		for i := range vms {
			vms[i] = &vm{account: quota.New(limit)}
		}
		var total, moved uint64
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			v := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "vm")]
			switch rapid.IntRange(0, 30).Draw(t, "event") {
			case 0: // Killed and started anew: the account is lost.
				v.account = quota.New(limit)
			case 1: // On an older generation with a lower cap for a while.
				v.account.SetLimit(limit / 2)
				v.account.SetLimit(limit)
			}
			v.account.Arrive()
			took := rapid.Bool().Draw(t, "wanted") && quota.Spend(v.account)
			total++
			if took && rapid.IntRange(0, 9).Draw(t, "returned") == 0 {
				quota.Refund(v.account)
				took = false
			}
			if took {
				moved++
				v.moved++
			}
			v.total++
			v.history = append(v.history, took)
			if moved > limit.Of(total) {
				t.Fatalf("moved %d of %d with a cap of %s", moved, total, limit)
			}
		}
		for _, v := range vms {
			checkStretches(t, v.history, limit)
		}
	})
}

func checkStretches(t *rapid.T, history []bool, limit share.PPM) {
	for from := range history {
		moved := uint64(0)
		for to := from; to < len(history); to++ {
			if history[to] {
				moved++
			}
			if n := uint64(to - from + 1); moved > limit.Of(n)+quota.Burst+1 {
				t.Fatalf("moved %d of %d consecutive requests with a cap of %s", moved, n, limit)
			}
		}
	}
}

// Two moves from one hall under a common cap never pass it together.
func TestCommonCapHoldsForTwoMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		common := share.PPM(rapid.Uint32Range(0, 500_000).Draw(t, "common"))
		first, second, both := quota.New(share.Whole), quota.New(300_000), quota.New(common)
		total, moved := uint64(0), uint64(0)
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			for _, a := range []*quota.Account{first, second, both} {
				a.Arrive()
			}
			total++
			own := first
			if rapid.Bool().Draw(t, "second") {
				own = second
			}
			if quota.Spend(own, both) {
				moved++
			}
			if moved > common.Of(total) {
				t.Fatalf("moved %d of %d with a common cap of %s", moved, total, common)
			}
		}
	})
}

func TestThreeRequestsMoveNothingUnderTenPercent(t *testing.T) {
	a := quota.New(10 * share.Percent)
	for range 3 {
		a.Arrive()
		if quota.Spend(a) {
			t.Fatal("a request was moved")
		}
	}
}
