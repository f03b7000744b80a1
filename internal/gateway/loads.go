// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"sync"
	"time"

	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/worker"
)

// maxLoads bounds the workers whose load is read from one message.
const maxLoads = 1024

// applyLoads applies load reports that other VMs of the region got from workers. One VM
// alone sends a worker too few requests to know its load.
func (g *Gateway) applyLoads(reported map[string]*peerpb.WorkerLoad) {
	g.applyLoadReports(reported, (*worker.Load).MergeReport)
}

// applyAndForwardLoads applies load reports from this VM's children and forwards them to
// its parent.
func (g *Gateway) applyAndForwardLoads(reported map[string]*peerpb.WorkerLoad) {
	g.applyLoadReports(reported, (*worker.Load).MergeAndForwardReport)
}

func (g *Gateway) applyLoadReports(reported map[string]*peerpb.WorkerLoad, apply func(*worker.Load, worker.LoadReport)) {
	s := g.snapshot.Load()
	if s == nil || len(reported) > maxLoads {
		return
	}
	for id, l := range reported {
		if s.Workers.HasIncarnation(id) {
			apply(g.loads.GetOrCreate(id), worker.LoadReport{Requests: int(l.GetRequests()), Age: time.Duration(l.GetAgeMillis()) * time.Millisecond})
		}
	}
}

// loadsMark is the position up to which the parent has sent its load reports. It is safe
// for concurrent use.
type loadsMark struct {
	mu   sync.Mutex
	vm   string
	mark *peerpb.LoadsMark
}

// forVM returns the mark for a request to a VM, nil if the last request went to another one.
func (m *loadsMark) forVM(vm string) *peerpb.LoadsMark {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.vm != vm {
		return nil
	}
	return m.mark
}

// set records the mark of a response.
func (m *loadsMark) set(vm string, mark *peerpb.LoadsMark) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vm, m.mark = vm, mark
}

// loadsAfter returns the load reports since a mark of this process, or all valid ones for
// any other mark, and the mark for the next request. Without it each report would be sent
// again in every response while it is valid.
func (g *Gateway) loadsAfter(mark *peerpb.LoadsMark) (map[string]*peerpb.WorkerLoad, *peerpb.LoadsMark) {
	after := uint64(0)
	if mark.GetStart() == g.self.Start {
		after = mark.GetNumber()
	}
	reports, number := g.loads.ReportsSince(after)
	return toLoads(reports), &peerpb.LoadsMark{Start: g.self.Start, Number: number}
}

func toLoads(reports map[string]worker.LoadReport) map[string]*peerpb.WorkerLoad {
	out := make(map[string]*peerpb.WorkerLoad, len(reports))
	for id, r := range reports {
		out[id] = &peerpb.WorkerLoad{Requests: uint32(r.Requests), AgeMillis: uint32(r.Age.Milliseconds())}
	}
	return out
}
