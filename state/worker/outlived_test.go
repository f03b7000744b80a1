// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/ryehill/ryehill/state/worker"
)

// What users would have seen: a twentieth more of the requests refused for seconds after some
// VMs had lost their connections while the store was silent. Each took the workers at the
// other ends as ended, and told all others, so that every worker got what a cold one bears.
// But a connection that was opened before an end and answers after it shows that there was
// none.
func TestEndThatAWorkerOutlives(t *testing.T) {
	const coldStart, silent = 5 * time.Second, 10 * time.Second
	cases := map[string]struct {
		// opened and answered are when the connection of an answer was opened and when it
		// came, after the end.
		opened, answered time.Duration
		cold             bool
	}{
		"an answer over an older connection":    {-time.Second, 400 * time.Millisecond, false},
		"over one that was opened since":        {100 * time.Millisecond, 400 * time.Millisecond, true},
		"one that was under way as it ended":    {-time.Second, 50 * time.Millisecond, true},
		"one that was opened just as it ended":  {-50 * time.Millisecond, 400 * time.Millisecond, true},
		"an older connection, some seconds ago": {-20 * time.Second, 2 * time.Second, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			clock.Advance(silent)
			end, loads, peers := clock.Now(), worker.NewLoads(clock.Now), worker.NewLoads(clock.Now)
			l, peer := loads.Of("w"), peers.Of("w")
			l.Ended()
			peer.Hear(worker.Ended{At: end})
			clock.Advance(c.answered)
			l.Proved(end.Add(c.opened))
			l.Hear(worker.Ended{At: end.Add(5 * time.Millisecond)}) // From another VM, which is behind.
			if got := l.MayBeCold(end.Add(-silent), coldStart); got != c.cold {
				t.Errorf("taken as cold: %t", got)
			}
			peer.Hear(loads.Told()["w"].Ended)
			if got := peer.MayBeCold(end.Add(-silent), coldStart); got != c.cold {
				t.Errorf("taken as cold by another VM that is told: %t", got)
			}
			clock.Advance(time.Second)
			l.Ended()
			if !l.MayBeCold(end.Add(-silent), coldStart) {
				t.Error("a later end is not believed")
			}
		})
	}
}

// A VM that finds late that its connections to the process before are closed takes that for an
// end of the one that has begun since. That one lives; the end before it was one all the same,
// and the worker is cold.
func TestLateNoticeOfAnEnd(t *testing.T) {
	const coldStart = 5 * time.Second
	clock := clockwork.NewFakeClock()
	clock.Advance(time.Minute)
	loads, peers, confirmed := worker.NewLoads(clock.Now), worker.NewLoads(clock.Now), clock.Now().Add(-10*time.Second)
	l, peer := loads.Of("w"), peers.Of("w")
	l.Ended()
	peer.Hear(worker.Ended{At: clock.Now()})
	clock.Advance(500 * time.Millisecond)
	opened := clock.Now()
	l.Answered()
	l.Proved(opened)
	clock.Advance(time.Second)
	l.Ended() // Of connections to the process before.
	clock.Advance(time.Second)
	l.Proved(opened)
	peer.Hear(loads.Told()["w"].Ended)
	if !l.MayBeCold(confirmed, coldStart) || !peer.MayBeCold(confirmed, coldStart) {
		t.Error("taken as warm 2 s after its start")
	}
	clock.Advance(coldStart)
	if l.MayBeCold(confirmed, coldStart) {
		t.Error("taken as cold 7 s after its start")
	}
}
