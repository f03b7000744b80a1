// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/ryehill/ryehill/state/worker"
)

// Connections lost while the store is silent must not make live workers count as cold.
func TestOutlivedExitIsRetracted(t *testing.T) {
	const coldStart, storeSilence = 5 * time.Second, 10 * time.Second
	cases := map[string]struct {
		// Times relative to the exit: when the connection was opened and when the response
		// arrived.
		opened, responded time.Duration
		cold              bool
	}{
		"older connection":               {-time.Second, 400 * time.Millisecond, false},
		"opened after the exit":          {100 * time.Millisecond, 400 * time.Millisecond, true},
		"response in flight at the exit": {-time.Second, 50 * time.Millisecond, true},
		"opened just before the exit":    {-50 * time.Millisecond, 400 * time.Millisecond, true},
		"much older connection":          {-20 * time.Second, 2 * time.Second, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			clock.Advance(storeSilence)
			exitedAt, loads, peers := clock.Now(), worker.NewLoads(clock.Now), worker.NewLoads(clock.Now)
			l, peer := loads.GetOrCreate("w"), peers.GetOrCreate("w")
			l.RecordAllConnectionsClosed()
			peer.Observe(worker.SuspectedExit{At: exitedAt})
			clock.Advance(c.responded)
			l.ConfirmAlive(exitedAt.Add(c.opened))
			l.Observe(worker.SuspectedExit{At: exitedAt.Add(5 * time.Millisecond)}) // A late notice from another VM.
			if got := l.MayBeCold(exitedAt.Add(-storeSilence), coldStart); got != c.cold {
				t.Errorf("MayBeCold is %t", got)
			}
			peer.Observe(loads.SharedSignals()["w"].Exit)
			if got := peer.MayBeCold(exitedAt.Add(-storeSilence), coldStart); got != c.cold {
				t.Errorf("MayBeCold is %t at a VM that got the signal", got)
			}
			clock.Advance(time.Second)
			l.RecordAllConnectionsClosed()
			if !l.MayBeCold(exitedAt.Add(-storeSilence), coldStart) {
				t.Error("a later exit is ignored")
			}
		})
	}
}

// A late notice of an earlier exit must not make its cold successor count as warm.
func TestLateExitNotice(t *testing.T) {
	const coldStart = 5 * time.Second
	clock := clockwork.NewFakeClock()
	clock.Advance(time.Minute)
	loads, peers, confirmed := worker.NewLoads(clock.Now), worker.NewLoads(clock.Now), clock.Now().Add(-10*time.Second)
	l, peer := loads.GetOrCreate("w"), peers.GetOrCreate("w")
	l.RecordAllConnectionsClosed()
	peer.Observe(worker.SuspectedExit{At: clock.Now()})
	clock.Advance(500 * time.Millisecond)
	opened := clock.Now()
	l.RecordResponse()
	l.ConfirmAlive(opened)
	clock.Advance(time.Second)
	l.RecordAllConnectionsClosed() // Connections to the previous process.
	clock.Advance(time.Second)
	l.ConfirmAlive(opened)
	peer.Observe(loads.SharedSignals()["w"].Exit)
	if !l.MayBeCold(confirmed, coldStart) || !peer.MayBeCold(confirmed, coldStart) {
		t.Error("warm 2 s after its start")
	}
	clock.Advance(coldStart)
	if l.MayBeCold(confirmed, coldStart) {
		t.Error("cold 7 s after its start")
	}
}

// An uncertain exit must become certain once another VM has certain evidence of it.
func TestPeerConfirmsUncertainExit(t *testing.T) {
	const coldStart = 5 * time.Second
	cases := map[string]struct {
		// reported is the time of the reported exit relative to the uncertain one.
		reported time.Duration
		// respondedAfter is when a response over an older connection refuted the uncertain
		// exit, 0 for never.
		respondedAfter time.Duration
		cold           bool
	}{
		"the same exit":           {100 * time.Millisecond, 0, true},
		"just before":             {-100 * time.Millisecond, 0, true},
		"a much earlier exit":     {-3 * time.Second, 0, false},
		"an exit already refuted": {100 * time.Millisecond, 400 * time.Millisecond, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			clock.Advance(time.Minute)
			l, exitedAt := worker.NewLoads(clock.Now).GetOrCreate("w"), clock.Now()
			l.RecordConnectionClosed()
			clock.Advance(600 * time.Millisecond)
			if c.respondedAfter > 0 {
				l.ConfirmAlive(exitedAt.Add(-time.Second))
			}
			l.Observe(worker.SuspectedExit{At: exitedAt.Add(c.reported)})
			if got := l.MayBeCold(clock.Now(), coldStart); got != c.cold {
				t.Errorf("MayBeCold is %t", got)
			}
		})
	}
}

// A lost response must not make a worker that has just exited count as warm.
func TestLostResponseAfterExit(t *testing.T) {
	const coldStart = 5 * time.Second
	clock := clockwork.NewFakeClock()
	l := worker.NewLoads(clock.Now).GetOrCreate("w")
	confirmed := clock.Now()
	l.RecordAllConnectionsClosed()
	clock.Advance(1100 * time.Millisecond)
	l.RecordConnectionClosed()
	if !l.MayBeCold(confirmed, coldStart) {
		t.Error("warm 1.1 s after its exit")
	}
}

// Guards against taking a worker that exited twice within a second for warm too early.
func TestSecondExitWithinASecond(t *testing.T) {
	const coldStart = 3 * time.Second
	clock := clockwork.NewFakeClock()
	clock.Advance(time.Minute)
	l, confirmed := worker.NewLoads(clock.Now).GetOrCreate("w"), clock.Now().Add(-time.Second)
	l.RecordConnectionRefused()
	clock.Advance(400 * time.Millisecond)
	l.RecordResponse() // From the second process.
	clock.Advance(500 * time.Millisecond)
	l.Observe(worker.SuspectedExit{At: clock.Now()})
	clock.Advance(400 * time.Millisecond)
	l.RecordResponse() // From the third process.
	clock.Advance(coldStart - 500*time.Millisecond)
	if !l.MayBeCold(confirmed, coldStart) {
		t.Error("warm 2.5 s after the start of the third process")
	}
}
