// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"time"

	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/demand"
	"github.com/ryehill/ryehill/state/holders"
)

// toBalance returns a report as it is sent, with the version of the table that
// the sender has.
func toBalance(table *holders.Table, r demand.Report) *peerpb.Balance {
	out := &peerpb.Balance{Epoch: table.Epoch(), Version: table.Version(), Region: r.Region}
	services := make(map[string]*peerpb.ServiceDemand)
	of := func(service string) *peerpb.ServiceDemand {
		d, ok := services[service]
		if !ok {
			d = &peerpb.ServiceDemand{Service: service}
			services[service] = d
			out.Demands = append(out.Demands, d)
		}
		return d
	}
	for service, w := range r.Latencies {
		d := of(service)
		d.Answers, d.AnswerMillis = w.Responses, uint32(w.Total.Milliseconds())
	}
	for key, n := range r.Keys {
		d := of(key.Service)
		d.Keys = append(d.Keys, key.Hash)
		d.Requests = append(d.Requests, n)
	}
	return out
}

// fromBalance reads a report.
func fromBalance(b *peerpb.Balance) demand.Report {
	r := demand.NewReport(b.GetRegion())
	for _, d := range b.GetDemands() {
		one := demand.NewReport(b.GetRegion())
		one.Latencies[d.GetService()] = demand.Latency{Responses: d.GetAnswers(), Total: time.Duration(d.GetAnswerMillis()) * time.Millisecond}
		for i, hash := range d.GetKeys()[:min(len(d.GetKeys()), len(d.GetRequests()))] {
			one.Keys[demand.Key{Service: d.GetService(), Region: b.GetRegion(), Hash: hash}] = d.GetRequests()[i]
		}
		r.Merge(one)
	}
	return r
}

// toBalanced returns a delta of a table as it is sent.
func toBalanced(d holders.Delta) *peerpb.Balanced {
	out := &peerpb.Balanced{Epoch: d.Epoch, Full: d.Full, Since: d.Since, At: d.Until, Workers: []string{""}}
	places := map[string]uint32{"": 0}
	for key, worker := range d.Holders {
		place, ok := places[worker]
		if !ok {
			place = uint32(len(out.Workers))
			places[worker] = place
			out.Workers = append(out.Workers, worker)
		}
		out.Keys = append(out.Keys, uint64(key))
		out.Holders = append(out.Holders, place)
	}
	return out
}

// fromBalanced reads a delta of a table. Keys whose worker was not told are left
// out.
func fromBalanced(b *peerpb.Balanced) holders.Delta {
	d := holders.Delta{
		Epoch: b.GetEpoch(), Full: b.GetFull(), Since: b.GetSince(), Until: b.GetAt(),
		Holders: make(holders.Changes, len(b.GetKeys())),
	}
	places, workers := b.GetHolders(), b.GetWorkers()
	for i, key := range b.GetKeys()[:min(len(b.GetKeys()), len(places))] {
		if int(places[i]) < len(workers) {
			d.Holders[holders.Key(key)] = workers[places[i]]
		}
	}
	return d
}
