// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package quota_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/ryehill/ryehill/state/quota"
	"github.com/ryehill/ryehill/state/share"
)

// vm is one of several VMs that share a cap without communicating.
type vm struct {
	bucket       *quota.Bucket
	total, moved uint64
	history      []bool // whether each request was moved
}

// Guards against the sum of all VMs passing a cap while VMs restart or change their cap.
func TestCapHoldsForAnySetOfVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := share.PPM(rapid.Uint32Range(0, uint32(share.Whole)).Draw(t, "cap"))
		vms := make([]*vm, rapid.IntRange(1, 12).Draw(t, "vms"))
		for i := range vms {
			vms[i] = &vm{bucket: quota.New(limit)}
		}
		var total, moved uint64
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			v := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "vm")]
			switch rapid.IntRange(0, 30).Draw(t, "event") {
			case 0: // The VM restarts with an empty bucket.
				v.bucket = quota.New(limit)
			case 1: // The VM runs with a lower cap for a while.
				v.bucket.SetLimit(limit / 2)
				v.bucket.SetLimit(limit)
			}
			v.bucket.AddRequest()
			took := rapid.Bool().Draw(t, "wanted") && quota.TakeAll(v.bucket)
			total++
			if took && rapid.IntRange(0, 9).Draw(t, "returned") == 0 {
				quota.Refund(v.bucket)
				took = false
			}
			if took {
				moved++
				v.moved++
			}
			v.total++
			v.history = append(v.history, took)
			if moved > limit.Scale(total) {
				t.Fatalf("moved %d of %d with a cap of %s", moved, total, limit)
			}
		}
		for _, v := range vms {
			checkWindows(t, v.history, limit)
		}
	})
}

func checkWindows(t *rapid.T, history []bool, limit share.PPM) {
	for from := range history {
		moved := uint64(0)
		for to := from; to < len(history); to++ {
			if history[to] {
				moved++
			}
			if n := uint64(to - from + 1); moved > limit.Scale(n)+quota.Burst+1 {
				t.Fatalf("moved %d of %d consecutive requests with a cap of %s", moved, n, limit)
			}
		}
	}
}

// Guards against two moves out of one hall passing their common cap together.
func TestCommonCapHoldsForTwoMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		common := share.PPM(rapid.Uint32Range(0, 500_000).Draw(t, "common"))
		first, second, both := quota.New(share.Whole), quota.New(300_000), quota.New(common)
		total, moved := uint64(0), uint64(0)
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			for _, b := range []*quota.Bucket{first, second, both} {
				b.AddRequest()
			}
			total++
			own := first
			if rapid.Bool().Draw(t, "second") {
				own = second
			}
			if quota.TakeAll(own, both) {
				moved++
			}
			if moved > common.Scale(total) {
				t.Fatalf("moved %d of %d with a common cap of %s", moved, total, common)
			}
		}
	})
}

func TestThreeRequestsMoveNothingUnderTenPercent(t *testing.T) {
	b := quota.New(10 * share.Percent)
	for range 3 {
		b.AddRequest()
		if quota.TakeAll(b) {
			t.Fatal("a request was moved")
		}
	}
}
