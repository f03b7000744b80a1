// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package rollout_test

import (
	"testing"
	"time"

	rolling "github.com/ryehill/ryehill/coordination/rollout"
	"github.com/ryehill/ryehill/coordination/rollout/rolloutmodel"
	"github.com/ryehill/ryehill/state/rollout"
	"github.com/ryehill/ryehill/state/worker"
)

// Guards against completing a version that few responses tell of, after VMs have lost what
// they had counted.
func TestVersionIsNotProvedWithoutResponses(t *testing.T) {
	const duration, late = 10 * time.Second, 20 * time.Second
	cases := map[string]struct {
		old, judged uint32
		want        rollout.Phase
	}{
		"few of the new version":  {200, 5, rollout.PhaseShift},
		"none of the new version": {200, 0, rollout.PhaseShift},
		"enough":                  {200, 20, rollout.PhaseProved},
		"a service at rest":       {0, 0, rollout.PhaseProved},
		"hardly any requests":     {8, 2, rollout.PhaseProved},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := rolling.NewDecider(rolling.DeciderConfig{Order: rollout.Order{Service: "s", Version: 2, Duration: duration}})
			r := rollout.NewReport()
			r.VMs[rollout.PhaseShift] = 1
			r.Old["r"] = rollout.Tally{Ended: c.old}
			r.New[rollout.TallyKey{Route: "r"}] = rollout.Tally{Ended: c.judged}
			var got rollout.Phase
			for at := time.Duration(0); at < late; at += 100 * time.Millisecond {
				got = d.Decide(rolling.Inputs{Now: time.Unix(1000, 0).Add(at), TimeLeft: duration - at, Report: r, VMs: 1, Slots: 90}).Phase
			}
			if got != c.want {
				t.Errorf("%s after %s, want %s", got, late, c.want)
			}
		})
	}
}

// Guards against proving a version that nobody has judged, since most VMs reached no worker
// until its time was up.
func TestVersionIsNotProvedWhileVMsReachNoWorker(t *testing.T) {
	const duration, step = 10 * time.Second, 100 * time.Millisecond
	cases := map[string]struct {
		isolated int
		until    time.Duration
		at       time.Duration
		want     rollout.Phase
	}{
		"all, as the time is up":       {9, 20 * time.Second, 11 * time.Second, rollout.PhaseTrial},
		"most, as the time is up":      {5, 20 * time.Second, 11 * time.Second, rollout.PhaseTrial},
		"a few":                        {4, 20 * time.Second, 11 * time.Second, rollout.PhaseProved},
		"all, just after they recover": {9, 11 * time.Second, 12 * time.Second, rollout.PhaseTrial},
		"all, a while after":           {9, 11 * time.Second, 20 * time.Second, rollout.PhaseProved},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := rolling.NewDecider(rolling.DeciderConfig{Order: rollout.Order{Service: "s", Version: 2, Duration: duration}})
			r := rollout.NewReport()
			r.VMs[rollout.PhaseTrial] = 9
			var got rollout.Phase
			for at := time.Duration(0); at < c.at; at += step {
				in := rolling.Inputs{Now: time.Unix(1000, 0).Add(at), TimeLeft: duration - at, Report: r, VMs: 9, Slots: 90}
				if at < c.until {
					in.Isolated = c.isolated
				}
				got = d.Decide(in).Phase
			}
			if got != c.want {
				t.Errorf("%s after %s, want %s", got, c.at, c.want)
			}
		})
	}
}

// Guards against completing a bad version because its few responses raise no alarm by the
// order's deadline.
func TestBadVersionWithFewRequestsIsNotCompleted(t *testing.T) {
	cases := map[string]rolloutmodel.Fault{
		"half slow":   {Fraction: 0.5, Slowdown: 12},
		"half failed": {Fraction: 0.5},
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			completed := 0
			for seed := range uint64(*seeds) {
				m := rolloutmodel.New(seed, 5)
				m.Rate, m.Keys, m.Slots, m.Fault = 14, 30, 36, &f
				m.Run()
				if m.Phase == rollout.PhaseCompleted {
					completed++
					t.Logf("seed %d: completed after %s with %d of %d: %s", seed, m.Ended, m.SentToNew, m.Requests, m.Reason)
				}
				if m.Excess() > 0 {
					t.Errorf("seed %d: the new version got %.0f requests more than its share", seed, m.Excess())
				}
			}
			if completed > 0 {
				t.Errorf("%d of %d bad versions were completed", completed, *seeds)
			}
		})
	}
}

// Guards against failures that count for nothing, since their requests were counted as slow
// while they were in flight.
func TestSlowRequestThatFailsCountsAsFailed(t *testing.T) {
	now := time.Unix(1000, 0)
	s := rolling.NewSplitter(rolling.SplitterConfig{Service: "s", Version: 2, MaxFraction: 0.1, Now: func() time.Time { return now }})
	s.Apply(rolling.Step{Phase: rollout.PhaseTrial, SlowAfter: map[string]time.Duration{"r": 100 * time.Millisecond}})
	key := rollout.TallyKey{Route: "r", Worker: "w"}
	cases := []struct {
		name      string
		step      func(try *rolling.Attempt)
		want      rollout.Tally
		undecided int
	}{
		{"in flight", func(*rolling.Attempt) {}, rollout.Tally{}, 0},
		{"slow", func(*rolling.Attempt) { now = now.Add(150 * time.Millisecond) }, rollout.Tally{Ended: 1, Slow: 1}, 1},
		{"still slow", func(*rolling.Attempt) {}, rollout.Tally{}, 1},
		{"very slow", func(*rolling.Attempt) { now = now.Add(time.Second) }, rollout.Tally{VerySlow: 1}, 0},
		{"failed", func(try *rolling.Attempt) { try.RecordEnd(true, true) }, rollout.Tally{Ended: 1, Failed: 1}, 0},
	}
	try, before := s.RecordSent(worker.TrackCanary, "r", "w", 1), rollout.Tally{}
	for _, c := range cases {
		c.step(try)
		r := s.Report()
		if got := r.New[key].Delta(before); got != c.want || r.Undecided != c.undecided {
			t.Errorf("%s: counted as %+v, %d undecided, want %+v, %d", c.name, got, r.Undecided, c.want, c.undecided)
		}
		before = r.New[key]
	}
}

// Guards against a good version that looks slow, since requests count with it that do not with
// the old one: slow ones whose clients left, and those at workers that have just started.
func TestRequestsCountAlikeWithBothVersions(t *testing.T) {
	const slowAfter = 100 * time.Millisecond
	leave := func(try *rolling.Attempt) { try.RecordLeft() }
	cases := map[string]struct {
		took time.Duration
		sent func(try *rolling.Attempt)
		end  func(try *rolling.Attempt)
		want rollout.Tally
	}{
		"a client leaves a fast request":        {took: slowAfter / 2, end: leave},
		"a client leaves a slow request":        {took: slowAfter + 1, end: leave, want: rollout.Tally{Ended: 1, Slow: 1}},
		"a client leaves a very slow request":   {took: 3 * slowAfter, end: leave, want: rollout.Tally{Ended: 1, Slow: 1, VerySlow: 1}},
		"a slow request at a worker that began": {took: 3 * slowAfter, sent: (*rolling.Attempt).IgnoreLatency, end: leave},
		"in flight at a worker that began":      {took: 3 * slowAfter, sent: (*rolling.Attempt).IgnoreLatency},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for _, track := range []worker.Track{worker.TrackStable, worker.TrackCanary} {
				now := time.Unix(1000, 0)
				s := rolling.NewSplitter(rolling.SplitterConfig{Service: "s", Version: 2, MaxFraction: 0.1, Now: func() time.Time { return now }})
				s.Apply(rolling.Step{Phase: rollout.PhaseTrial, SlowAfter: map[string]time.Duration{"r": slowAfter}})
				try := s.RecordSent(track, "r", "w", 1)
				if c.sent != nil {
					c.sent(try)
				}
				now = now.Add(c.took)
				s.Report()
				if c.end != nil {
					c.end(try)
				}
				r := s.Report()
				got := r.Old["r"]
				if track == worker.TrackCanary {
					got = r.New[rollout.TallyKey{Route: "r", Worker: "w"}]
				}
				if got = got.Delta(rollout.Tally{}); got != c.want {
					t.Errorf("%s: counted as %+v, want %+v", track, got, c.want)
				}
			}
		})
	}
}

// Guards against taking a service for one at rest, since its VMs have lost their counts or their
// responses tell nothing.
func TestServiceWhoseCountsAreLostIsNotAtRest(t *testing.T) {
	const duration, late, step = 10 * time.Second, 20 * time.Second, 100 * time.Millisecond
	cases := map[string]struct {
		// requests returns what the VMs report after a time.
		requests func(at time.Duration) int
		want     rollout.Phase
	}{
		"a service at rest": {func(time.Duration) int { return 5 }, rollout.PhaseProved},
		"VMs start again": {func(at time.Duration) int {
			if at > 6*time.Second {
				return 5
			}
			return int(14 * at.Seconds())
		}, rollout.PhaseTrial},
		"responses tell nothing": {func(at time.Duration) int { return int(14 * at.Seconds()) }, rollout.PhaseTrial},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := rolling.NewDecider(rolling.DeciderConfig{Order: rollout.Order{Service: "s", Version: 2, Duration: duration}})
			var got rollout.Phase
			for at := time.Duration(0); at < late; at += step {
				r := rollout.NewReport()
				r.VMs[got], r.Requests = 1, c.requests(at)
				got = d.Decide(rolling.Inputs{Now: time.Unix(1000, 0).Add(at), TimeLeft: duration - at, Report: r, VMs: 1, Slots: 90}).Phase
				if got >= rollout.PhaseProved {
					break
				}
			}
			if got != c.want {
				t.Errorf("%s after %s, want %s", got, late, c.want)
			}
		})
	}
}
