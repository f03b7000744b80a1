// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/state/worker"
)

// Guards against all VMs listing the store, or becoming ready slowly, when a fleet restarts.
func TestAllVMsReturnAtOnce(t *testing.T) {
	const workers = 800
	configs := make(map[string]gateway.Config)
	f := startDeepFleet(t, func(cfg *gateway.Config, _ *storeClient) { configs[cfg.VM] = *cfg })
	for i := range workers {
		f.store.put(kindWorkers, fmt.Sprintf("i-%05d", i*7919%workers), worker.Worker{
			Service: "s", Hall: "north-b", Slots: 9, Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
		})
	}
	f.waitSettled()
	for _, v := range f.vms {
		v.stop()
	}
	for _, v := range f.vms {
		<-v.done
	}

	start := time.Now()
	var restarted []*vm
	for i, v := range f.vms {
		hall := []string{"north-a", "north-b"}[i%2]
		restarted = append(restarted, f.startVM(v.name, hall, func(cfg *gateway.Config, d *storeClient) {
			old := configs[v.name]
			cfg.Ingress, cfg.Ready, cfg.Directory = old.Ingress, old.Ready, old.Directory
			cfg.Peer, cfg.MetricsAddress, cfg.Seeds = old.Peer, old.MetricsAddress, old.Seeds
			cfg.StaleAfter, cfg.LinkMbps = old.StaleAfter, old.LinkMbps
			if i/2 >= wideVMs {
				withSlowLink(&link{})(cfg, d)
			}
		}))
	}
	// Decoding the workers on every VM takes most of the time.
	allStarted := time.Now()
	for _, v := range restarted {
		f.waitFor(v.name+" is ready again", v.ready)
	}
	t.Logf("started in %s, all ready %s later", allStarted.Sub(start), time.Since(allStarted))
	if took := time.Since(allStarted); took > 2*time.Second {
		t.Errorf("all ready %s after the last start, want within 2 s", took)
	}
	// One VM of each hall lists at once, and one more for each 0.25 s until the others
	// have its state.
	lists, writes := 0, 0
	for _, v := range restarted {
		lists += v.storeClient.callCount("list " + kindWorkers)
		writes += v.storeClient.callCount("put " + kindMembers)
	}
	if maxLists := len(restarted) / 3; lists > maxLists || writes > 0 {
		t.Errorf("%d lists of the workers and %d entries written by %d VMs, want %d at most, and none", lists, writes, len(restarted), maxLists)
	}
	for _, v := range restarted {
		v.stop() // Stop all at once; each is waited for later.
	}
}
