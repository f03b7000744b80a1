// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"time"

	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/demand"
	"github.com/ryehill/ryehill/state/holders"
)

// toBalance encodes a report, with the version of the sender's table.
func toBalance(table *holders.Table, r demand.Report) *peerpb.Balance {
	out := &peerpb.Balance{Epoch: table.Epoch(), Version: table.Version(), Region: r.Region}
	services := make(map[string]*peerpb.ServiceDemand)
	demandFor := func(service string) *peerpb.ServiceDemand {
		d, ok := services[service]
		if !ok {
			d = &peerpb.ServiceDemand{Service: service}
			services[service] = d
			out.Demands = append(out.Demands, d)
		}
		return d
	}
	for service, w := range r.Latencies {
		d := demandFor(service)
		d.Answers, d.AnswerMillis = w.Responses, uint32(w.Total.Milliseconds())
	}
	for key, n := range r.Keys {
		d := demandFor(key.Service)
		d.Keys = append(d.Keys, key.Hash)
		d.Requests = append(d.Requests, n)
	}
	return out
}

// fromBalance decodes a report.
func fromBalance(b *peerpb.Balance) demand.Report {
	r := demand.NewReport(b.GetRegion())
	for _, d := range b.GetDemands() {
		partial := demand.NewReport(b.GetRegion())
		partial.Latencies[d.GetService()] = demand.Latency{Responses: d.GetAnswers(), Total: time.Duration(d.GetAnswerMillis()) * time.Millisecond}
		for i, hash := range d.GetKeys()[:min(len(d.GetKeys()), len(d.GetRequests()))] {
			partial.Keys[demand.Key{Service: d.GetService(), Region: b.GetRegion(), Hash: hash}] = d.GetRequests()[i]
		}
		r.Merge(partial)
	}
	return r
}

// toBalanced encodes a delta of a table.
func toBalanced(d holders.Delta) *peerpb.Balanced {
	out := &peerpb.Balanced{Epoch: d.Epoch, Full: d.Full, Since: d.Since, At: d.Until, Workers: []string{""}}
	indexes := map[string]uint32{"": 0}
	for key, worker := range d.Holders {
		index, ok := indexes[worker]
		if !ok {
			index = uint32(len(out.Workers))
			indexes[worker] = index
			out.Workers = append(out.Workers, worker)
		}
		out.Keys = append(out.Keys, uint64(key))
		out.Holders = append(out.Holders, index)
	}
	return out
}

// fromBalanced decodes a delta of a table. It drops keys whose worker is not in the
// message.
func fromBalanced(b *peerpb.Balanced) holders.Delta {
	d := holders.Delta{
		Epoch: b.GetEpoch(), Full: b.GetFull(), Since: b.GetSince(), Until: b.GetAt(),
		Holders: make(holders.Changes, len(b.GetKeys())),
	}
	indexes, workers := b.GetHolders(), b.GetWorkers()
	for i, key := range b.GetKeys()[:min(len(b.GetKeys()), len(indexes))] {
		if int(indexes[i]) < len(workers) {
			d.Holders[holders.Key(key)] = workers[indexes[i]]
		}
	}
	return d
}
