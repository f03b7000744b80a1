// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/internal/clock"
)

const (
	// maxRefusing bounds the time for which a VM that starts refuses connections of clients
	// because it has no snapshot. Afterwards it takes them up and answers for itself.
	maxRefusing = 2 * time.Second
	// idlePeers is how many peers have to be found without state before a VM that starts
	// takes the whole fleet to be without. One may have just started like this VM.
	idlePeers = 2
)

// opening decides when a VM that starts takes up connections of clients. Until it has a
// snapshot it refuses them, since their clients are served by another VM at once. If the other
// VMs have no state either, clients would use up their retries in vain, so they may wait at
// this VM. It is safe for concurrent use.
type opening struct {
	// needed is how many peers have to be found without state.
	needed int
	// due is closed once clients may wait at this VM.
	due chan struct{}

	mu sync.Mutex
	// serving is set once a peer that serves is found. Idle are the addresses of those that
	// do not.
	serving bool
	idle    map[string]struct{}
}

// newOpening returns the state of a VM with the given peers to ask.
func newOpening(peers []string) *opening {
	distinct := make(map[string]struct{}, len(peers))
	for _, address := range peers {
		distinct[address] = struct{}{}
	}
	o := &opening{needed: min(len(distinct), idlePeers), due: make(chan struct{}), idle: make(map[string]struct{})}
	o.closeIfDue()
	return o
}

// recordReply records whether a peer serves clients.
func (o *opening) recordReply(address string, serving bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if serving {
		o.serving = true
		return
	}
	o.recordIdle(address)
}

// recordFailure records a failed call to a peer. Only a refused connection shows that the peer
// does not serve; one that is silent may serve clients elsewhere.
func (o *opening) recordFailure(address string, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.recordIdle(address)
}

// recordIdle records a peer without state. The caller holds mu.
func (o *opening) recordIdle(address string) {
	if o.serving || len(o.idle) >= o.needed {
		return
	}
	o.idle[address] = struct{}{}
	o.closeIfDue()
}

func (o *opening) closeIfDue() {
	if len(o.idle) >= o.needed {
		close(o.due)
	}
}

// openingLoop takes up connections of clients once they may wait for the first snapshot.
func (g *Gateway) openingLoop(ctx context.Context) {
	timer := time.NewTimer(maxRefusing)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-g.opening.due:
	case <-timer.C:
	}
	g.openToClients()
}

// openToClients takes up connections of clients, unless this VM does so or leaves.
func (g *Gateway) openToClients() {
	g.openOnce.Do(func() {
		if g.lifecycle.Current() != phaseStarting {
			return
		}
		l, err := net.Listen("tcp", g.cfg.Ingress)
		if err != nil {
			g.reportServeError(errors.Wrapf(err, "gateway: listener %s", g.cfg.Ingress))
			return
		}
		g.log.Info("gateway: takes up clients", "after_ms", clock.Since(g.started).Milliseconds(), "state", g.snapshot.Load() != nil)
		go func() {
			defer func() { _ = l.Close() }() // The server may have stopped before.
			g.reportServeError(g.clientServer.Serve(l))
		}()
	})
}

// otherSeeds returns the seeds other than this VM.
func (c *Config) otherSeeds() []string {
	return slices.DeleteFunc(slices.Clone(c.Seeds), func(seed string) bool { return seed == c.Peer })
}

// checkAddress reports an error if no listener can be opened at an address.
func checkAddress(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "gateway: listener %s", address)
	}
	return errors.Wrapf(l.Close(), "gateway: listener %s", address)
}
