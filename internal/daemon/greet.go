// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"slices"
	"sync"
	"time"
)

// greetPoll is how often a daemon that starts looks whether it knows its hall.
const greetPoll = 20 * time.Millisecond

// greetLoop tells the VMs of the hall that this one has started, as soon as it
// knows them. Until then it owns no upstreams: a VM that has not heard of the
// start still counts the slots of all that this VM would take over.
func (d *Daemon) greetLoop(ctx context.Context) {
	for d.store.VMs().Version == 0 && ctx.Err() == nil {
		sleep(ctx, greetPoll)
	}
	d.members.SetList(d.store.VMs())
	var wg sync.WaitGroup
	for _, m := range d.members.UsableInHall(d.cfg.Hall) {
		if m.ID != d.cfg.VM {
			wg.Go(func() { d.probe(ctx, m, probeTimeout) })
		}
	}
	wg.Wait()
	d.greeted.Store(true)
	d.signal(d.reassign)
}

// owningVMs returns the VMs of the hall that its upstreams are divided among.
func (d *Daemon) owningVMs() []string {
	vms := ids(d.members.UsableInHall(d.cfg.Hall))
	if !d.greeted.Load() {
		return slices.DeleteFunc(vms, func(id string) bool { return id == d.cfg.VM })
	}
	if len(vms) == 0 {
		// The last VM of a hall keeps its upstreams until it stops.
		return []string{d.cfg.VM}
	}
	return vms
}
