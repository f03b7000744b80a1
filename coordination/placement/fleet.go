// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"github.com/ryehill/ryehill/coordination/balance"
	"github.com/ryehill/ryehill/state/demand"
	"github.com/ryehill/ryehill/state/worker"
)

// Fleet returns what the keys of all regions' callers are to be balanced over.
// Workers that are cold, have failed lately or rest keep the keys they hold and are
// given no others.
func (p *Placer) Fleet(s *Snapshot) balance.Fleet {
	fleet := balance.Fleet{Workers: make(map[string][]balance.Worker)}
	holding, now := make(map[string][]*worker.Worker), p.cfg.Now()
	for _, w := range s.Workers.All() {
		if _, leaves := p.leaving(s, w); leaves || w.New || s.drained(w.Service, w.Hall) {
			continue
		}
		_, ready := p.cfg.Loads.Standing(w, now).(worker.Ready)
		fleet.Workers[w.Service] = append(fleet.Workers[w.Service], balance.Worker{Worker: *w, Full: !ready || p.Cold(s, w)})
		holding[w.Service] = append(holding[w.Service], w)
	}
	fleet.Hashed = func(key demand.Key) (string, bool) {
		return first(key, s, holding[key.Service])
	}
	return fleet
}

// first returns the worker that hashing gives a key of a region's callers.
func first(key demand.Key, s *Snapshot, workers []*worker.Worker) (id string, ok bool) {
	region := shareOut(key.Region, s, workers, Request{Service: key.Service, Key: key.Hash}).region
	best := uint64(0)
	for _, w := range workers {
		if w.Region != region {
			continue
		}
		if weight := mix(key.Hash ^ w.Hash()); !ok || weight > best {
			id, best, ok = w.ID, weight, true
		}
	}
	return id, ok
}
