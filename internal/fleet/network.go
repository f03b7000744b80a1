// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package fleet runs a whole small fleet in one process: stand-ins, daemons and
// clients over loopback sockets, with the delays between places and with cuts.
//
// It serves the demo, measurements and tests of several daemons. It simulates
// nothing of ryehill: the daemons are the ones that ryehilld runs.
//
// # Usage
//
//	f, err := fleet.Start(fleet.Kelani(), fleet.Options{})
//	defer f.Close()
//	f.Network().Cut("colombo", "kandy")
package fleet

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// PlatformPlace is where the platform is, for cuts. It is near every hall.
const PlatformPlace = "platform"

// Network knows where every address is, how long the way is between places,
// and which places are cut off from each other. It is safe for concurrent use.
type Network struct {
	delay func(from, to string) time.Duration

	mu     sync.Mutex
	places map[string]string // place by IP number
	cuts   map[[2]string]bool
	bytes  map[[2]string]int64 // passed between two places, in both directions
	healed chan struct{}
}

func newNetwork(delay func(from, to string) time.Duration) *Network {
	return &Network{
		delay:  delay,
		places: make(map[string]string),
		cuts:   make(map[[2]string]bool),
		bytes:  make(map[[2]string]int64),
		healed: make(chan struct{}),
	}
}

func (n *Network) put(ip, place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[ip] = place
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// Cut lets nothing pass between two places until Heal. What is under way waits,
// as it does in TCP.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[pair(a, b)] = true
}

// Isolate cuts a place off from all others.
func (n *Network) Isolate(place string, others []string) {
	for _, other := range append(others, PlatformPlace) {
		if other != place {
			n.Cut(place, other)
		}
	}
}

// Bytes returns how many bytes have passed between two places.
func (n *Network) Bytes(a, b string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[pair(a, b)]
}

// Total returns how many bytes have passed between daemons, upstreams and the
// platform, within halls too.
func (n *Network) Total() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := int64(0)
	for _, b := range n.bytes {
		total += b
	}
	return total
}

func (n *Network) count(a, b string, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes[pair(a, b)] += int64(bytes)
}

// Heal takes all cuts back.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
	close(n.healed)
	n.healed = make(chan struct{})
}

// passable waits until two places can reach each other, or until done.
func (n *Network) passable(a, b string, done <-chan struct{}) bool {
	for {
		n.mu.Lock()
		cut, healed := n.cuts[pair(a, b)], n.healed
		n.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-healed:
		case <-done:
			return false
		}
	}
}

// Dialer returns a function that opens connections from a place.
func (n *Network) Dialer(from string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		to := n.places[host]
		n.mu.Unlock()
		if !n.passable(from, to, ctx.Done()) {
			return nil, errors.Wrapf(ctx.Err(), "dial %s", address)
		}
		delay := n.delay(from, to)
		if !pause(ctx, 2*delay) { // The handshake goes there and back.
			return nil, errors.Wrapf(ctx.Err(), "dial %s", address)
		}
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return newConn(conn, n, from, to, delay), nil
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
