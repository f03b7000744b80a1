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
		attempt retry.Attempt
		want    retry.Decision
	}{
		"shed":                    {retry.Attempt{Number: 1, NotRun: true}, retry.DecisionRetry},
		"broken, repeatable":      {retry.Attempt{Number: 1, Idempotent: true}, retry.DecisionRetry},
		"broken, not repeatable":  {retry.Attempt{Number: 1}, retry.DecisionMayHaveRun},
		"body sent":               {retry.Attempt{Number: 1, NotRun: true, BodyConsumed: true}, retry.DecisionBodyConsumed},
		"deadline passed":         {retry.Attempt{Number: 1, NotRun: true, DeadlinePassed: true}, retry.DecisionDeadlinePassed},
		"third attempt":           {retry.Attempt{Number: 3, NotRun: true}, retry.DecisionMaxAttempts},
		"home after a refusal":    {retry.Attempt{Number: 3, NotRun: true, HomeFallback: true}, retry.DecisionRetry},
		"home, may have run":      {retry.Attempt{Number: 1, HomeFallback: true}, retry.DecisionMayHaveRun},
		"nothing sent":            {retry.Attempt{Number: 3, NotRun: true, Unsent: true}, retry.DecisionRetry},
		"nothing sent four times": {retry.Attempt{Number: 4, NotRun: true, Unsent: true}, retry.DecisionMaxAttempts},
		"no free slot in time":    {retry.Attempt{Number: 1, NotRun: true, Final: true}, retry.DecisionFinal},
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
				b.RecordFirst()
				first++
			}
			if b.Decide(retry.Attempt{Number: 1, NotRun: true}).Allowed() {
				again++
			}
			if again > first/10+burst {
				t.Fatalf("%d retries for %d first attempts", again, first)
			}
		}
	})
}
