// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"time"

	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/state/worker"
)

const (
	// maxLeavingTold bounds the workers that are taken from one message as leaving.
	maxLeavingTold = 256
	// peerThatAsks stands for a VM that asks for news, whose name is not in its question.
	peerThatAsks = "a VM that asked for news"
)

// leavingMillis returns the workers that have said that they leave, and of which the store
// does not say so yet, with the time for which each may get requests still. It goes with
// every question for news, every answer and every probe: to VMs of other regions and those
// that start, wake or return from a cut as well, and while the store is away. A word ends
// with the life that it is about.
func (g *Gateway) leavingMillis() map[string]uint32 {
	s := g.snapshot.Load()
	if s == nil {
		return nil
	}
	said := g.loads.LeavingByWord()
	if len(said) == 0 {
		return nil
	}
	now, told := clock.Now(), make(map[string]uint32, len(said))
	for life, leaving := range said {
		if w, ok := s.Workers.Life(life); ok && !w.Leaving {
			told[life] = uint32(max(leaving.Until.Sub(now), 0).Milliseconds())
		}
	}
	return told
}

// hearLeaving takes in what workers have told another VM.
func (g *Gateway) hearLeaving(from string, told map[string]uint32) {
	s := g.snapshot.Load()
	if s == nil || len(told) > maxLeavingTold {
		return
	}
	now := clock.Now()
	for life, millis := range told {
		w, ok := s.Workers.Life(life)
		if !ok {
			continue
		}
		left := min(time.Duration(millis)*time.Millisecond, g.leaveWithin())
		leaving := worker.Leaving{Ending: worker.Ending{Heard: now, Until: now.Add(left)}, From: from}
		if g.loads.Of(life).Hear(leaving) {
			g.log.Info("workers: another VM tells that one leaves", "worker", w.ID, "peer", from, "for_ms", left.Milliseconds())
		}
	}
}

// leaveWithin is for how long after its word a worker that leaves may get requests. The
// margin is that of the store's word: a worker that is to end soon after it has spoken
// would else end under the last of them.
func (g *Gateway) leaveWithin() time.Duration { return g.cfg.Bounds.ApplyWithin - applyMargin }
