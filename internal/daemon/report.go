// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"

	"github.com/ryehill/ryehill/coordination/assign"
	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/load"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/transport/peer"
	"github.com/ryehill/ryehill/transport/platform"
)

// sums returns what this VM reports of itself.
func (d *Daemon) sums() load.VMStatus {
	v := d.view.Load()
	status := load.VMStatus{
		VM: d.cfg.VM, Generation: v.Generation(),
		Services: make(map[string]load.ServiceStatus), Links: d.links.Rates(),
	}
	for _, name := range v.Services() {
		p := d.pools.Get(name).Status()
		s := load.ServiceStatus{
			Slots: p.Slots, Usable: p.Usable, Free: p.Free, InUse: p.InUse,
			Lent: p.Lent, Waiting: p.Waiting, OldestReport: p.OldestReport,
		}
		d.meter.FillRates(name, &s)
		status.Services[name] = s
	}
	return status
}

// reportLoop writes the hall's status to the platform, if this VM is the one of
// its hall to do so.
func (d *Daemon) reportLoop(ctx context.Context) {
	number := 0
	every(ctx, d.cfg.ReportInterval, func() {
		if !d.greeted.Load() {
			return // It may take itself for the only VM of the hall.
		}
		members := d.members.UsableInHall(d.cfg.Hall)
		if !contains(assign.Top("reporter/"+d.cfg.Hall, ids(members), 1), d.cfg.VM) {
			return
		}
		number++
		status := d.collect(ctx, members)
		raw, err := json.Marshal(status)
		if err != nil {
			return
		}
		o := spec.Object{Key: spec.Key{Kind: kindStatus, Name: d.cfg.Hall}, Spec: raw}
		_, err = d.platform.Put(ctx, o, platform.Always(), d.cfg.VM+"-"+strconv.FormatUint(d.self.Start, 36)+"-"+strconv.Itoa(number))
		d.metrics.PlatformCall("report", err)
	})
}

// collect asks every VM of the hall for its sums.
func (d *Daemon) collect(ctx context.Context, members []membership.Member) load.HallStatus {
	at := d.now() // The status is as old as its oldest part.
	var mu sync.Mutex
	var wg sync.WaitGroup
	reports := []load.VMStatus{d.sums()}
	missing := 0
	for _, m := range members {
		if m.ID == d.cfg.VM {
			continue
		}
		wg.Go(func() {
			report, err := d.askReport(ctx, m)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing++
				return
			}
			reports = append(reports, report)
		})
	}
	wg.Wait()
	return load.Sum(d.cfg.Hall, at, reports, missing)
}

func (d *Daemon) askReport(ctx context.Context, m membership.Member) (load.VMStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := d.peers.Call(ctx, peer.Target{VM: m.ID, Address: m.Peer}, &peerpb.Envelope{Kind: &peerpb.Envelope_Report{Report: &peerpb.Report{}}})
	d.metrics.PeerCall("report", err)
	if err != nil {
		return load.VMStatus{}, err
	}
	var status load.VMStatus
	return status, json.Unmarshal(reply.GetReported().GetStatus(), &status)
}
