// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"time"

	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/worker"
)

// maxOutcomes bounds the workers in one message.
const maxOutcomes = 512

// takeOutcomes judges by what this VM has seen since the last call, and returns
// it, with what VMs that ask this one have seen, for the region's watcher, which adds
// up what all VMs of the region saw.
func (g *Gateway) takeOutcomes() map[string]worker.Outcomes {
	outcomes := g.loads.DrainOutcomes(maxOutcomes)
	g.outlierDetector.AddOutcomes(outcomes)
	spared := g.outlierDetector.Ejected()
	g.tellSpared(spared)
	g.spare(spared)
	g.relayed.takeOutcomes(outcomes)
	return outcomes
}

// spare sends nothing to workers for a while, whether this VM has dealt with them or
// not: at 295 VMs most have not, and each would find out by a request of its own.
func (g *Gateway) spare(workers map[string]time.Duration) {
	s := g.snapshot.Load()
	if s == nil {
		return
	}
	for id, left := range workers {
		if !s.Workers.HasIncarnation(id) {
			continue
		}
		g.loads.GetOrCreate(id).Eject(left)
	}
}

// tellSpared logs the workers that this VM itself finds to fail. Those of which others
// tell it are logged there: 295 VMs would write 76,000 lines a minute in place of some
// hundred.
func (g *Gateway) tellSpared(workers map[string]time.Duration) {
	for id, left := range workers {
		if !g.loads.GetOrCreate(id).Ejected() {
			g.log.Info("workers: one fails too much and is spared", "worker", id, "for_ms", left.Milliseconds())
		}
	}
}

// hearOutcomes takes in what another VM has seen.
func (g *Gateway) hearOutcomes(told map[string]*peerpb.Outcomes) {
	if len(told) == 0 || len(told) > maxOutcomes {
		return
	}
	outcomes := make(map[string]worker.Outcomes, len(told))
	for id, o := range told {
		outcomes[id] = worker.Outcomes{Succeeded: o.GetAnswered(), Failed: o.GetFailed()}
	}
	g.outlierDetector.AddOutcomes(outcomes)
	g.relayed.addOutcomes(outcomes)
}

func toOutcomes(outcomes map[string]worker.Outcomes) map[string]*peerpb.Outcomes {
	out := make(map[string]*peerpb.Outcomes, len(outcomes))
	for id, o := range outcomes {
		out[id] = &peerpb.Outcomes{Answered: o.Succeeded, Failed: o.Failed}
	}
	return out
}

// sparedMillis returns the workers that this VM, or the one that it asks, finds to
// fail too much.
func (g *Gateway) sparedMillis() map[string]uint32 {
	spared := g.outlierDetector.Ejected()
	g.relayed.addSpared(spared, clock.Now())
	out := make(map[string]uint32, len(spared))
	for id, left := range spared {
		out[id] = uint32(left.Milliseconds())
	}
	return out
}

// hearSpared takes in which workers the region's watcher finds to fail too much.
func (g *Gateway) hearSpared(told map[string]uint32) {
	spared := make(map[string]time.Duration, len(told))
	for id, millis := range told {
		spared[id] = time.Duration(millis) * time.Millisecond
	}
	g.spare(spared)
	g.relayed.spare(spared, clock.Now())
}
