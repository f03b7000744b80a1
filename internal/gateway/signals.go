// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"time"

	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/worker"
)

const (
	// maxSignals bounds the workers of which signals are taken from one message.
	maxSignals = 256
	// peerThatAsks stands for a VM that asks for news, whose name is not in its question.
	peerThatAsks = "a VM that asked for news"
	// silentFor is the age of what is known of workers from which on VMs tell each other
	// which ones seem to have ended: before that the store tells of the next process soon.
	silentFor = 2 * time.Second
)

// toldSignals returns what is known of workers from themselves, and which the store does not
// tell. It goes with every question for news, every answer and every probe: to VMs of other
// regions and those that start, wake or return from a cut as well, and while the store is
// away. A signal ends with the life that it is about.
func (g *Gateway) toldSignals() map[string]*peerpb.WorkerSignals {
	s, known := g.snapshot.Load(), g.loads.Told()
	if s == nil || len(known) == 0 {
		return nil
	}
	now := clock.Now()
	silent := now.Sub(g.replica.Confirmed(g.cfg.Codec.WorkerKind())) >= silentFor
	told := make(map[string]*peerpb.WorkerSignals, len(known))
	for life, signals := range known {
		w, ok := s.Workers.Life(life)
		if !ok {
			continue
		}
		var message peerpb.WorkerSignals
		if leaving := signals.Leaving; !leaving.Until.IsZero() && !w.Leaving {
			message.LeavingMillis = millis(max(leaving.Until.Sub(now), 0))
		}
		if ended := signals.Ended; silent && !ended.At.IsZero() {
			message.EndedMillis = millis(now.Sub(ended.At))
			if !ended.Returned.IsZero() {
				message.ReturnedMillis = millis(now.Sub(ended.Returned))
			}
		}
		if message.LeavingMillis != nil || message.EndedMillis != nil {
			told[life] = &message
		}
	}
	return told
}

func millis(d time.Duration) *uint32 {
	ms := uint32(d.Milliseconds())
	return &ms
}

// before returns the moment so many milliseconds before another.
func before(now time.Time, millis uint32) time.Time {
	return now.Add(-time.Duration(millis) * time.Millisecond)
}

// hearSignals takes in what workers have told or shown another VM.
func (g *Gateway) hearSignals(from string, told map[string]*peerpb.WorkerSignals) {
	s := g.snapshot.Load()
	if s == nil || len(told) > maxSignals {
		return
	}
	now := clock.Now()
	for life, message := range told {
		w, ok := s.Workers.Life(life)
		if !ok {
			continue
		}
		if message.LeavingMillis != nil {
			left := min(time.Duration(message.GetLeavingMillis())*time.Millisecond, g.leaveWithin())
			leaving := worker.Leaving{Ending: worker.Ending{Heard: now, Until: now.Add(left)}, From: from}
			if g.loads.Of(life).Hear(leaving) {
				g.log.Info("workers: another VM tells that one leaves", "worker", w.ID, "peer", from, "for_ms", left.Milliseconds())
			}
		}
		if message.EndedMillis != nil {
			ended := worker.Ended{At: before(now, message.GetEndedMillis())}
			if message.ReturnedMillis != nil {
				ended.Returned = before(now, message.GetReturnedMillis())
			}
			g.loads.Of(life).Hear(ended)
		}
	}
}

// leaveWithin is for how long after its word a worker that leaves may get requests. The
// margin is that of the store's word: a worker that is to end soon after it has spoken
// would else end under the last of them.
func (g *Gateway) leaveWithin() time.Duration { return g.cfg.Bounds.ApplyWithin - applyMargin }
