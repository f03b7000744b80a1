// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"github.com/ryehill/ryehill/coordination/balance"
	"github.com/ryehill/ryehill/state/demand"
	"github.com/ryehill/ryehill/state/worker"
)

// Fleet returns the workers over which the keys of all regions' callers are balanced.
// Workers that are cold, resting or have failed recently are marked full: they keep their
// keys and get no new ones.
func (p *Placer) Fleet(s *Snapshot) balance.Fleet {
	fleet := balance.Fleet{Workers: make(map[string][]balance.Worker)}
	candidates, now := make(map[string][]*worker.Worker), p.cfg.Now()
	for _, w := range s.Workers.All() {
		if _, leaves := p.leaving(s, w); leaves || w.New || s.drained(w.Service, w.Hall) {
			continue
		}
		_, ready := p.cfg.Loads.Availability(w, now).(worker.Ready)
		fleet.Workers[w.Service] = append(fleet.Workers[w.Service], balance.Worker{Worker: *w, Full: !ready || p.IsCold(s, w)})
		candidates[w.Service] = append(candidates[w.Service], w)
	}
	fleet.HashOwner = func(key demand.Key) (string, bool) {
		return hashedHolder(key, s, candidates[key.Service])
	}
	return fleet
}

// hashedHolder returns the worker to which hashing assigns a key of a region's callers.
func hashedHolder(key demand.Key, s *Snapshot, workers []*worker.Worker) (id string, ok bool) {
	region := assignRegion(key.Region, s, workers, Request{Service: key.Service, Key: key.Hash}).region
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
