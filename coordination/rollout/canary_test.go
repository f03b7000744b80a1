// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package rollout_test

import (
	"math"
	"testing"
	"time"

	rolling "github.com/ryehill/ryehill/coordination/rollout"
	"github.com/ryehill/ryehill/state/rollout"
	"github.com/ryehill/ryehill/state/worker"
)

// Guards against slowness being ignored throughout the trial on a route whose canary keys
// have little traffic even though no more keys can be added.
func TestSlownessIsFoundOnceCanaryKeysStopGrowing(t *testing.T) {
	const (
		interval, duration = 100 * time.Millisecond, 20 * time.Second
		typicalMillis      = 10
		oldPerRound        = 200
		othersPerRound     = 100 // good responses on the other route, which hide the slow ones in the total
	)
	d := rolling.NewDecider(rolling.DeciderConfig{Order: rollout.Order{Service: "s", Version: 2, Duration: 2 * duration}})
	r := rollout.NewReport()
	r.VMs[rollout.PhaseTrial] = 1
	tallies := func(n uint32) rollout.Tally {
		return rollout.Tally{Ended: n, LogMillis: float64(n) * math.Log(typicalMillis)}
	}
	begun := time.Unix(1000, 0)
	for at := time.Duration(0); at < duration; at += interval {
		rare, others := rollout.TallyKey{Route: "rare", Worker: "w"}, rollout.TallyKey{Route: "others", Worker: "w"}
		old, oldOthers, tried, triedOthers := r.Old["rare"], r.Old["others"], r.New[rare], r.New[others]
		old.Add(tallies(oldPerRound))
		oldOthers.Add(tallies(oldPerRound))
		tried.Add(rollout.Tally{Ended: 1, Slow: 1})
		triedOthers.Add(tallies(othersPerRound))
		r.Old["rare"], r.Old["others"], r.New[rare], r.New[others] = old, oldOthers, tried, triedOthers
		step := d.Decide(rolling.Inputs{Now: begun.Add(at), TimeLeft: 2*duration - at, Report: r, VMs: 1, Slots: 90})
		if step.Phase == rollout.PhaseRolledBack {
			t.Logf("rolled back after %s: %s", at, step.Reason)
			return
		}
	}
	t.Errorf("a version of which all %d responses on a route are slow is still in the trial", duration/interval)
}

// Guards against late completions where a few requests take much longer than most: in flight at
// old workers they are the larger part, and the order waits for them.
func TestOldWorkersGetTheTimeOfTheirSlowRequests(t *testing.T) {
	const (
		duration, step = 10 * time.Second, 100 * time.Millisecond
		// Each eighth request takes slow, the others fast.
		requests, slowEach = 80, 8
		fast, slow         = 20 * time.Millisecond, 1300 * time.Millisecond
		// The last rounds learn of the proof, close old workers and confirm it.
		round, lastRounds = step, 4
	)
	now := time.Unix(1000, 0)
	s := rolling.NewSplitter(rolling.SplitterConfig{Service: "s", Version: 2, MaxFraction: 0.1, Now: func() time.Time { return now }})
	s.Apply(rolling.Step{Phase: rollout.PhaseTrial})
	for i := range requests {
		try := s.RecordSent(worker.TrackStable, "r", "w", uint64(i))
		if i%slowEach == 0 {
			now = now.Add(slow)
		} else {
			now = now.Add(fast)
		}
		try.RecordEnd(true, false)
	}
	r := s.Report()
	r.New[rollout.TallyKey{Route: "r", Worker: "c"}] = rollout.Tally{Ended: requests}
	d := rolling.NewDecider(rolling.DeciderConfig{Order: rollout.Order{Service: "s", Version: 2, Duration: duration}})
	for at := time.Duration(0); at < duration; at += step {
		in := rolling.Inputs{Now: now.Add(at), TimeLeft: duration - at, Report: r, VMs: 1, Slots: 90, OldSlots: 90, RoundTime: round}
		if phase := d.Decide(in).Phase; phase >= rollout.PhaseProved {
			if left := duration - at; left < slow+lastRounds*round {
				t.Errorf("old workers get requests until %s before the end, of which some take %s, and %d rounds of %s follow", left, slow, lastRounds, round)
			}
			return
		}
	}
	t.Error("the version is not proved")
}

// Guards against late completions where rounds take long, since the VMs or the network are slow:
// the last rounds then take longer than usual.
func TestShiftBeginsEarlierWhereRoundsTakeLong(t *testing.T) {
	const duration, step = 10 * time.Second, 100 * time.Millisecond
	shiftAt := func(roundTime time.Duration) time.Duration {
		d := rolling.NewDecider(rolling.DeciderConfig{Order: rollout.Order{Service: "s", Version: 2, Duration: duration}})
		r := rollout.NewReport()
		r.VMs[rollout.PhaseTrial] = 1
		for at := time.Duration(0); at < duration; at += step {
			in := rolling.Inputs{Now: time.Unix(1000, 0).Add(at), TimeLeft: duration - at, Report: r, VMs: 1, Slots: 90, RoundTime: roundTime}
			if d.Decide(in).Phase >= rollout.PhaseShift {
				return at
			}
		}
		return duration
	}
	if usual, slow := shiftAt(0), shiftAt(200*time.Millisecond); usual-slow < 800*time.Millisecond {
		t.Errorf("the shift begins after %s, and after %s where a round takes 200 ms", usual, slow)
	}
}
