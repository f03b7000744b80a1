// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"time"

	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/worker"
)

// maxLoads bounds the workers whose load is taken from one message.
const maxLoads = 1024

// hearLoads takes in what workers told other VMs of the region. One VM sends a
// worker too few requests to know how busy it is.
func (g *Gateway) hearLoads(told map[string]*peerpb.WorkerLoad) {
	s := g.snapshot.Load()
	if s == nil || len(told) > maxLoads {
		return
	}
	for id, l := range told {
		if _, ok := s.Workers.Get(id); !ok {
			continue
		}
		word := worker.Word{Requests: int(l.GetRequests()), Age: time.Duration(l.GetAgeMillis()) * time.Millisecond}
		g.loads.Of(id).Heard(word)
	}
}

func toLoads(words map[string]worker.Word) map[string]*peerpb.WorkerLoad {
	out := make(map[string]*peerpb.WorkerLoad, len(words))
	for id, w := range words {
		out[id] = &peerpb.WorkerLoad{Requests: uint32(w.Requests), AgeMillis: uint32(w.Age.Milliseconds())}
	}
	return out
}
