// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/ryehill/ryehill/state/worker"
)

// Guards against a leaving signal that is kept for the wrong process of a restarted worker.
func TestTransferLeaving(t *testing.T) {
	cases := map[string]struct {
		// exited, started and signaled are when the first process exited, the second one
		// started, and the signal came; 0 means never.
		exited, started, signaled time.Duration
		want                      bool
	}{
		"signal of the second process":          {exited: 1 * time.Second, started: 2 * time.Second, signaled: 3 * time.Second, want: true},
		"signal of the first process":           {exited: 2 * time.Second, started: 3 * time.Second, signaled: 1 * time.Second},
		"an exit that was a lost response":      {exited: 1 * time.Second, started: 9 * time.Second, signaled: 3 * time.Second},
		"an exit that was not seen":             {started: 2 * time.Second, signaled: 3 * time.Second},
		"no signal":                             {exited: 1 * time.Second, started: 2 * time.Second},
		"a signal between the exit and the end": {exited: 3 * time.Second, started: 4 * time.Second, signaled: 2 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			begin := clock.Now()
			loads := worker.NewLoads(clock.Now)
			first := worker.Worker{ID: "w", Start: 1}
			second := worker.Worker{ID: "w", Start: uint64(begin.Add(c.started).UnixMilli())}
			load := loads.GetOrCreate(first.Incarnation())
			for range 10 {
				clock.Advance(time.Second)
				if clock.Since(begin) == c.exited {
					load.RecordAllConnectionsClosed()
				}
				if clock.Since(begin) == c.signaled {
					load.Observe(worker.Leaving{DrainWindow: worker.DrainWindow{ObservedAt: clock.Now(), Until: clock.Now()}})
				}
			}
			if got := loads.TransferSignals(&first, &second).Leaving; got != c.want {
				t.Errorf("transferred %t, want %t", got, c.want)
			}
			if _, leaves := loads.Leaving(&second); leaves != c.want {
				t.Errorf("the second process is leaving: %t, want %t", leaves, c.want)
			}
		})
	}
}

// Guards against sending requests to a process that asked for a rest, or named a limit, before
// its entry arrived.
func TestTransferOfRestsAndLimits(t *testing.T) {
	const wantedRate = 4.0
	cases := map[string]struct {
		// started and signaled are when the second process started, and the signal came.
		started, signaled time.Duration
		signal            func(now time.Time) worker.Signal
		want              worker.Transferred
	}{
		"rest of the second process": {
			started: 2 * time.Second, signaled: 3 * time.Second,
			signal: func(time.Time) worker.Signal { return worker.Rest{For: 5 * time.Second} },
			want:   worker.Transferred{Rest: true},
		},
		"rest of the first process": {
			started: 3 * time.Second, signaled: 2 * time.Second,
			signal: func(time.Time) worker.Signal { return worker.Rest{For: 5 * time.Second} },
		},
		"limit of the second process": {
			started: 2 * time.Second, signaled: 3 * time.Second,
			signal: func(now time.Time) worker.Signal {
				return worker.RateLimit{PerSecond: wantedRate, SentAt: now, ReceivedAt: now, From: worker.FromResponse}
			},
			want: worker.Transferred{RateLimit: true},
		},
		"limit of the first process": {
			started: 3 * time.Second, signaled: 2 * time.Second,
			signal: func(now time.Time) worker.Signal {
				return worker.RateLimit{PerSecond: wantedRate, SentAt: now, ReceivedAt: now, From: worker.FromResponse}
			},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			begin := clock.Now()
			loads := worker.NewLoads(clock.Now)
			first := worker.Worker{ID: "w", Start: 1}
			second := worker.Worker{ID: "w", Start: uint64(begin.Add(c.started).UnixMilli())}
			clock.Advance(c.signaled)
			loads.GetOrCreate(first.Incarnation()).Observe(c.signal(clock.Now()))
			clock.Advance(time.Second)
			if got := loads.TransferSignals(&first, &second); got != c.want {
				t.Errorf("transferred %+v, want %+v", got, c.want)
			}
			if _, rests := loads.Availability(&second, clock.Now()).(worker.Resting); rests != c.want.Rest {
				t.Errorf("the second process rests: %t, want %t", rests, c.want.Rest)
			}
			if rate, limited := loads.RateLimit(&second); limited != c.want.RateLimit || limited && rate != wantedRate {
				t.Errorf("the second process takes %v a second, limited: %t", rate, limited)
			}
		})
	}
}
