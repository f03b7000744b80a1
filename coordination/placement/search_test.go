// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package placement_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/state/worker"
)

// fakePermits grants unlimited permits for some workers and none for the others.
type fakePermits struct {
	granted []string
	calls   int
}

const permitRetryAfter = 300 * time.Millisecond

// Acquire implements placement.Permits.
func (p *fakePermits) Acquire(w *worker.Worker, _ float64, _ int) (time.Duration, bool) {
	p.calls++
	return permitRetryAfter, slices.Contains(p.granted, w.ID)
}

// newLimitedFixture returns a fixture with rate-limited workers in some regions.
func newLimitedFixture(counts map[string]int, p *fakePermits, regions ...string) *fixture {
	f := newFixture(counts, nil)
	f.usePermits(p)
	f.receiveSignal(worker.RateLimit{PerSecond: 2, SentAt: f.clock.Now(), ReceivedAt: f.clock.Now().Add(1), From: worker.FromResponse}, regions...)
	return f
}

// Guards against requests to workers without permits and refusals while others may serve them.
func TestRateLimitsAreEnforced(t *testing.T) {
	all := []string{"north", "south", "east"}
	counts := map[string]int{"north": 4, "south": 4, "east": 4}
	cases := map[string]struct {
		limited     []string
		granted     []string
		home        string
		refusal     placement.Refusal
		wantRegions []string
	}{
		"one region":                           {[]string{"north"}, nil, "", placement.RefusalNone, []string{"south", "east"}},
		"a region with permits for one worker": {[]string{"north"}, []string{"north-1"}, "", placement.RefusalNone, []string{"north"}},
		"the only allowed region":              {[]string{"north"}, nil, "north", placement.RefusalLimited, nil},
		"all":                                  {all, nil, "", placement.RefusalLimited, nil},
		"all regions, permits in another one":  {all, []string{"south-0", "south-1", "south-2", "south-3"}, "", placement.RefusalNone, []string{"south"}},
		"a region that is not allowed":         {[]string{"south"}, nil, "north", placement.RefusalNone, []string{"north"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := &fakePermits{granted: c.granted}
			f := newLimitedFixture(counts, p, c.limited...)
			for key := range uint64(60) {
				r := request(key)
				if c.home != "" {
					r.Allows = func(region string) bool { return region == c.home }
				}
				before := p.calls
				choice, refusal := f.placer.Place(f.snapshot, r)
				if calls := p.calls - before; calls > 6 {
					t.Fatalf("one request asked for %d permits", calls)
				}
				if refusal == placement.RefusalNone {
					choice.Load().End()
				}
				switch {
				case c.refusal != placement.RefusalNone:
					if refusal != c.refusal || choice.RetryAfter() != permitRetryAfter {
						t.Fatalf("refusal %q, retry after %s, want %q and %s", refusal, choice.RetryAfter(), c.refusal, permitRetryAfter)
					}
				case refusal != placement.RefusalNone || !slices.Contains(c.wantRegions, choice.Worker().Region):
					t.Fatalf("key %d goes to worker %q, refusal %q", key, choice.Worker().ID, refusal)
				}
			}
		})
	}
}

// Guards against moving keys of other workers when one worker has no permits left.
func TestRateLimitMovesOnlyItsOwnKeys(t *testing.T) {
	const keys = 400
	p := &fakePermits{}
	f := newFixture(map[string]int{"north": 4}, nil)
	f.usePermits(p)
	holders := func() (choices [keys]placement.Choice) {
		for key := range uint64(keys) {
			choice, refusal := f.placer.Place(f.snapshot, request(key))
			if refusal != placement.RefusalNone {
				t.Fatalf("key %d is refused: %s", key, refusal)
			}
			choices[key] = choice
			choice.Load().End()
		}
		return choices
	}
	before := holders()
	limited := before[0].Worker().ID
	f.loads.GetOrCreate(limited).Observe(worker.RateLimit{PerSecond: 2, SentAt: f.clock.Now(), ReceivedAt: f.clock.Now().Add(1), From: worker.FromResponse})
	for key, c := range holders() {
		was := before[key].Worker().ID
		switch {
		case was != limited && c.Worker().ID != was:
			t.Errorf("key %d moves away from %s, which is not limited", key, was)
		case was == limited && c.Worker().ID == limited:
			t.Errorf("key %d goes to a worker without a permit", key)
		case was == limited && !strings.Contains(c.Considered()[0].String(), "takes 2.0 a second from all VMs, used up"):
			t.Errorf("key %d: the reason of the move is missing: %s", key, c.Considered()[0])
		}
	}
	p.granted = []string{limited}
	for key, c := range holders() {
		if c.Worker().ID != before[key].Worker().ID {
			t.Errorf("key %d does not return after permits are granted", key)
		}
	}
}
