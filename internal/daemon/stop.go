// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"time"
)

// stopPoll is how often a stopping daemon looks whether anything is in flight.
const stopPoll = 20 * time.Millisecond

// stop is the planned stop. It cuts nothing: the VM leaves the look-ups and its
// upstreams to others, serves until the look-ups that callers hold have lapsed,
// then refuses new requests as not run and waits for those in flight, however
// long they take.
func (d *Daemon) stop(ctx context.Context) {
	d.enter("leave")
	d.members.Leave()
	for _, m := range d.members.Others() {
		if m.Hall == d.cfg.Hall && m.Usable() {
			go d.probe(ctx, m, probeTimeout)
		}
	}
	for _, hall := range d.view.Load().Fleet().Halls {
		if hall.Name == d.cfg.Hall {
			continue
		}
		for _, id := range d.watchersOf(hall.Name) {
			if m, ok := d.members.Member(id); ok {
				go d.probe(ctx, m, acrossTimeout)
			}
		}
	}
	sleep(ctx, d.view.Load().Fleet().TTL())
	d.enter("drain")
	d.engine.RefuseNew()
	for d.inFlight() > 0 {
		sleep(ctx, stopPoll)
	}
	// Connections that are idle now are closed; one in mid-request waits.
	_ = d.entryServer.Shutdown(ctx)
	d.peers.Shutdown(ctx)
	d.enter("stop")
}

// inFlight counts callers' requests here and other VMs' requests at upstreams
// that this VM owns.
func (d *Daemon) inFlight() int {
	total := d.engine.InFlight()
	for _, service := range d.view.Load().Services() {
		total += d.pools.Get(service).Status().InUse
	}
	return total
}
