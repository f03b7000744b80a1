// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/load"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/state/view"
	"github.com/ryehill/ryehill/state/worker"
	"github.com/ryehill/ryehill/transport/peer"
)

// maxConcurrentReports bounds the concurrent requests for reports.
const maxConcurrentReports = 32

// trafficVersion returns the version of the operators' traffic object that is
// replicated here, in the era of the replica.
func (g *Gateway) trafficVersion() object.Version {
	kind := g.cfg.Codec.TrafficKind()
	at, _ := g.replica.CompleteUpTo(kind)
	for _, o := range g.replica.Stored(kind) {
		if o.Name == spec.SingletonName {
			return object.Version{Era: at.Era, Revision: o.Version.Revision}
		}
	}
	return object.Version{}
}

// hallStatuses requests the traffic to each hall from every live VM and sums the reports. A
// VM that does not reply counts as missing in every hall, since its traffic is
// unknown.
func (g *Gateway) hallStatuses(ctx context.Context) map[string]load.HallStatus {
	started := clock.Now() // The sums are as old as the oldest report.
	reports, missing := g.collectReports(ctx)
	halls := make(map[string]load.HallStatus, len(g.cfg.Halls))
	for hall := range g.cfg.Halls {
		sum := load.HallStatus{Hall: hall, Missing: missing}
		for _, report := range reports {
			sum.Merge(report.HallStatus(hall, started))
		}
		halls[hall] = sum
	}
	if s := g.snapshot.Load(); s != nil {
		g.addSlots(s, halls)
	}
	return halls
}

// collectReports requests a report from every live VM and counts those that do not reply.
func (g *Gateway) collectReports(ctx context.Context) (reports []load.Report, missing int) {
	reports = []load.Report{g.meters.Report(g.trafficVersion())}
	var mu sync.Mutex
	var requests sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentReports)
	for _, m := range g.liveMembers() {
		if m.ID == g.cfg.VM {
			continue
		}
		semaphore <- struct{}{}
		requests.Go(func() {
			defer func() { <-semaphore }()
			report, err := g.fetchReport(ctx, m)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing++
				return
			}
			reports = append(reports, report)
		})
	}
	requests.Wait()
	return reports, missing
}

func (g *Gateway) fetchReport(ctx context.Context, m membership.Member) (load.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := g.peers.Call(ctx, peer.Target{VM: m.ID, Address: m.Peer}, &peerpb.Envelope{Kind: &peerpb.Envelope_Report{Report: &peerpb.Report{}}})
	g.cfg.Metrics.PeerCall("report", err)
	if err != nil {
		return load.Report{}, err
	}
	var report load.Report
	return report, json.Unmarshal(reply.GetReported().GetStatus(), &report)
}

// reportReply returns the reply to a request for this VM's report.
func (g *Gateway) reportReply() *peerpb.Reported {
	status, err := json.Marshal(g.meters.Report(g.trafficVersion()))
	if err != nil {
		g.log.Error(err, "halls: cannot encode report")
	}
	return &peerpb.Reported{Status: status}
}

// acceptsRequests reports whether a worker with the given availability is sent
// requests.
func acceptsRequests(availability worker.Availability) bool {
	switch availability.(type) {
	case worker.Ready, worker.Ejected:
		return true
	default:
		return false
	}
}

// addSlots adds the slots of workers to the halls. Slots are not usable if the worker
// is cold, leaving, resting, recently failed or in a closed hall.
func (g *Gateway) addSlots(s *placement.Snapshot, halls map[string]load.HallStatus) {
	now := clock.Now()
	for _, w := range s.Workers.All() {
		h, ok := halls[w.Hall]
		if !ok {
			continue
		}
		sum := h.Services[w.Service]
		sum.Slots += w.Slots
		_, leaves := g.loads.Leaving(w)
		cold := now.Before(w.ColdUntil) || now.Before(s.HallColdUntil[w.Hall])
		if !leaves && !cold && !s.Closed[w.Hall] && acceptsRequests(g.loads.Availability(w, now)) {
			sum.Usable += w.Slots
		}
		if h.Services == nil {
			h.Services = make(map[string]load.ServiceStatus)
			halls[w.Hall] = h
		}
		h.Services[w.Service] = sum
	}
	for _, h := range halls {
		for name, sum := range h.Services {
			sum.Free = max(0, sum.Usable-sum.InUse)
			h.Services[name] = sum
		}
	}
}

// planView returns the fleet and its services combined with a traffic object, for
// planning.
func (g *Gateway) planView(t *spec.Traffic) *view.View {
	fleet := spec.Fleet{LookupTTL: spec.Duration(min(directoryTTL, g.cfg.Bounds.MaxTTL))}
	for hall, region := range g.cfg.Halls {
		fleet.Halls = append(fleet.Halls, spec.Hall{Name: hall, Region: region})
	}
	objects := []spec.Object{spec.Encode(spec.Key{Kind: spec.KindFleet, Name: spec.SingletonName}, &fleet)}
	if s := g.snapshot.Load(); s != nil {
		objects = append(objects, serviceObjects(s)...)
	}
	v, err := view.Compile(t.Edit, objects, nil)
	if err != nil {
		g.log.Info("halls: cannot compile all services for planning", "error", err.Error())
	}
	return v.WithTraffic(t)
}

// serviceObjects returns the services and their workers as configuration objects.
func serviceObjects(s *placement.Snapshot) []spec.Object {
	services := make(map[string]*spec.Service)
	for _, w := range s.Workers.All() {
		if services[w.Service] == nil {
			services[w.Service] = &spec.Service{Name: w.Service}
		}
		services[w.Service].Workers = append(services[w.Service].Workers, spec.Worker{ID: w.ID, Hall: w.Hall, Address: w.Address, Slots: w.Slots})
	}
	objects := make([]spec.Object, 0, len(services))
	for name, service := range services {
		objects = append(objects, spec.Encode(spec.Key{Kind: spec.KindService, Name: name}, service))
	}
	return objects
}
