// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"time"

	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/worker"
)

// maxOutcomes bounds the workers in one message.
const maxOutcomes = 512

// drainOutcomes updates outlier detection with the outcomes that this VM has seen since
// the last call. It returns them, merged with those of this VM's children, for its
// parent, so that the root sums up the outcomes of all VMs of the region. Its own are held
// back while they may be the fault of its own path to the workers.
func (g *Gateway) drainOutcomes() map[string]worker.Outcomes {
	outcomes := make(map[string]worker.Outcomes)
	if g.isolation.monitor.Verified() {
		outcomes = g.loads.DrainOutcomes(maxOutcomes)
	}
	g.outlierDetector.AddOutcomes(outcomes)
	ejected := g.outlierDetector.Ejected()
	g.logEjected(ejected)
	g.ejectWorkers(ejected)
	g.relayed.takeOutcomes(outcomes)
	return outcomes
}

// ejectWorkers ejects workers for a while, including those this VM has not sent requests
// to: otherwise each VM would have to fail a request first.
func (g *Gateway) ejectWorkers(workers map[string]time.Duration) {
	g.withSnapshot(func(s *placement.Snapshot) {
		for id, remaining := range workers {
			if s.Workers.HasIncarnation(id) {
				g.loads.GetOrCreate(id).Eject(remaining)
			}
		}
	})
}

// logEjected logs the workers that this VM itself ejects. Ejections reported by other VMs
// are only logged there, which bounds the number of log lines.
func (g *Gateway) logEjected(workers map[string]time.Duration) {
	for id, remaining := range workers {
		if !g.loads.GetOrCreate(id).Ejected() {
			g.log.Info("workers: failing worker ejected", "worker", id, "for_ms", remaining.Milliseconds())
		}
	}
}

// applyOutcomes adds the outcomes reported by another VM.
func (g *Gateway) applyOutcomes(reported map[string]*peerpb.Outcomes) {
	if len(reported) == 0 || len(reported) > maxOutcomes {
		return
	}
	outcomes := make(map[string]worker.Outcomes, len(reported))
	for id, o := range reported {
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

// ejectedMillis returns the workers ejected by this VM or by VMs nearer to the root, with
// the remaining time in milliseconds.
func (g *Gateway) ejectedMillis() map[string]uint32 {
	ejected := g.outlierDetector.Ejected()
	g.relayed.mergeEjected(ejected, clock.Now())
	out := make(map[string]uint32, len(ejected))
	for id, remaining := range ejected {
		out[id] = uint32(remaining.Milliseconds())
	}
	return out
}

// applyEjections applies the ejections in a reply of another VM.
func (g *Gateway) applyEjections(reported map[string]uint32) {
	ejected := make(map[string]time.Duration, len(reported))
	for id, millis := range reported {
		ejected[id] = time.Duration(millis) * time.Millisecond
	}
	g.ejectWorkers(ejected)
	g.relayed.setEjected(ejected, clock.Now())
}
