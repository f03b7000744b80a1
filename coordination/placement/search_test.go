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

// permits grants some workers any number of requests, and the others none.
type permits struct {
	granted []string
	asked   int
}

const deniedFor = 300 * time.Millisecond

// Take implements placement.Permits.
func (p *permits) Take(w *worker.Worker, _ float64, _ int) (time.Duration, bool) {
	p.asked++
	return deniedFor, slices.Contains(p.granted, w.ID)
}

// limitedFixture is a fixture whose workers of some regions name a limit.
func limitedFixture(counts map[string]int, p *permits, regions ...string) *fixture {
	f := newFixture(counts, nil)
	f.permitBy(p)
	f.hear(worker.RateLimit{PerS: 2, Sent: f.clock.Now(), Heard: f.clock.Now().Add(1), From: worker.FromAnswer}, regions...)
	return f
}

// A worker without a permit left must get nothing, and its requests go where they may or are refused.
func TestLimitsBind(t *testing.T) {
	all := []string{"north", "south", "east"}
	counts := map[string]int{"north": 4, "south": 4, "east": 4}
	cases := map[string]struct {
		limited []string
		granted []string
		home    string
		refusal placement.Refusal
		gets    []string
	}{
		"a region":                       {[]string{"north"}, nil, "", placement.RefusalNone, []string{"south", "east"}},
		"a region, and one has permits":  {[]string{"north"}, []string{"north-1"}, "", placement.RefusalNone, []string{"north"}},
		"the only home":                  {[]string{"north"}, nil, "north", placement.RefusalLimited, nil},
		"all":                            {all, nil, "", placement.RefusalLimited, nil},
		"all, permits in another region": {all, []string{"south-0", "south-1", "south-2", "south-3"}, "", placement.RefusalNone, []string{"south"}},
		"another than the home":          {[]string{"south"}, nil, "north", placement.RefusalNone, []string{"north"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := &permits{granted: c.granted}
			f := limitedFixture(counts, p, c.limited...)
			for key := range uint64(60) {
				r := request(key)
				if c.home != "" {
					r.Allows = func(region string) bool { return region == c.home }
				}
				before := p.asked
				choice, refusal := f.placer.Place(f.snapshot, r)
				if asked := p.asked - before; asked > 6 {
					t.Fatalf("%d permits were asked for, for one request", asked)
				}
				if refusal == placement.RefusalNone {
					choice.Load().End()
				}
				switch {
				case c.refusal != placement.RefusalNone:
					if refusal != c.refusal || choice.Wait() != deniedFor {
						t.Fatalf("%q, wait %s, want %q and %s", refusal, choice.Wait(), c.refusal, deniedFor)
					}
				case refusal != placement.RefusalNone || !slices.Contains(c.gets, choice.Worker().Region):
					t.Fatalf("key %d goes to %q, %q", key, choice.Worker().ID, refusal)
				}
			}
		})
	}
}

// Keys of a worker whose limit is used up go to their next holders, and no other key moves.
func TestLimitMovesOnlyItsOwnKeys(t *testing.T) {
	const keys = 400
	p := &permits{}
	f := newFixture(map[string]int{"north": 4}, nil)
	f.permitBy(p)
	holders := func() (of [keys]placement.Choice) {
		for key := range uint64(keys) {
			choice, refusal := f.placer.Place(f.snapshot, request(key))
			if refusal != placement.RefusalNone {
				t.Fatalf("key %d is refused: %s", key, refusal)
			}
			of[key] = choice
			choice.Load().End()
		}
		return of
	}
	before := holders()
	limited := before[0].Worker().ID
	f.loads.Of(limited).Hear(worker.RateLimit{PerS: 2, Sent: f.clock.Now(), Heard: f.clock.Now().Add(1), From: worker.FromAnswer})
	for key, c := range holders() {
		was := before[key].Worker().ID
		switch {
		case was != limited && c.Worker().ID != was:
			t.Errorf("key %d moves from %s", key, was)
		case was == limited && c.Worker().ID == limited:
			t.Errorf("key %d goes to a worker without a permit", key)
		case was == limited && !strings.Contains(c.Considered()[0].String(), "takes 2.0 a second from all VMs, used up"):
			t.Errorf("key %d does not say why it moves: %s", key, c.Considered()[0])
		}
	}
	p.granted = []string{limited}
	for key, c := range holders() {
		if c.Worker().ID != before[key].Worker().ID {
			t.Errorf("key %d does not return", key)
		}
	}
}
