// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package retry_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/ryehill/ryehill/coordination/retry"
)

func TestDecisions(t *testing.T) {
	cases := map[string]struct {
		attempt retry.Try
		want    retry.Verdict
	}{
		"shed":                    {retry.Try{Number: 1, NotRun: true}, retry.VerdictAgain},
		"broken, repeatable":      {retry.Try{Number: 1, Repeatable: true}, retry.VerdictAgain},
		"broken, not repeatable":  {retry.Try{Number: 1}, retry.VerdictMayHaveRun},
		"body sent":               {retry.Try{Number: 1, NotRun: true, BodyGone: true}, retry.VerdictBodyGone},
		"deadline passed":         {retry.Try{Number: 1, NotRun: true, Expired: true}, retry.VerdictDeadline},
		"third attempt":           {retry.Try{Number: 3, NotRun: true}, retry.VerdictTries},
		"home after a refusal":    {retry.Try{Number: 3, NotRun: true, Home: true}, retry.VerdictAgain},
		"home, may have run":      {retry.Try{Number: 1, Home: true}, retry.VerdictMayHaveRun},
		"nothing sent":            {retry.Try{Number: 3, NotRun: true, Unsent: true}, retry.VerdictAgain},
		"nothing sent four times": {retry.Try{Number: 4, NotRun: true, Unsent: true}, retry.VerdictTries},
		"no free slot in time":    {retry.Try{Number: 1, NotRun: true, Final: true}, retry.VerdictFinal},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := retry.New(retry.Config{}).Decide(c.attempt); got != c.want {
				t.Fatalf("got %s, want %s", got, c.want)
			}
		})
	}
}

// Guards against retries beyond the budget.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const burst = 10
		b := retry.New(retry.Config{Burst: burst})
		first, again := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "events") {
			if rapid.Bool().Draw(t, "first") {
				b.First()
				first++
			}
			if b.Decide(retry.Try{Number: 1, NotRun: true}).Again() {
				again++
			}
			if again > first/10+burst {
				t.Fatalf("%d retries for %d first attempts", again, first)
			}
		}
	})
}
