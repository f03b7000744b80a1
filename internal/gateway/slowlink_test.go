// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/state/worker"
)

// slowLinkRate is 10 Mbit/s in bytes per second.
const slowLinkRate = 1_250_000

// link simulates a VM's uplink: each send waits for all earlier ones.
type link struct {
	mu     sync.Mutex
	freeAt time.Time
	sent   int
}

// reserve queues bytes and returns the time until they are sent.
func (l *link) reserve(bytes int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(bytes) * time.Second / slowLinkRate)
	l.sent += bytes
	return l.freeAt.Sub(now)
}

func (l *link) sentBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

// slowListener accepts connections that send over a simulated link.
type slowListener struct {
	net.Listener
	link *link
}

func (s slowListener) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowConn{Conn: conn, link: s.link}, nil
}

type slowConn struct {
	net.Conn
	link *link
}

func (c slowConn) Write(b []byte) (int, error) {
	time.Sleep(c.link.reserve(len(b)))
	return c.Conn.Write(b)
}

// withSlowLink makes a VM's peer connections and store calls send over a simulated link.
func withSlowLink(l *link) func(*gateway.Config, *storeClient) {
	return func(cfg *gateway.Config, d *storeClient) {
		d.link = l
		cfg.Listen = func(address string) (net.Listener, error) {
			inner, err := net.Listen("tcp", address)
			return slowListener{Listener: inner, link: l}, err
		}
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return slowConn{Conn: conn, link: l}, nil
		}
	}
}

// Guards against VMs saturating their links with known state after the store drops its history.
func TestRegionKeepsUpWhenHistoryIsDropped(t *testing.T) {
	const vmCount, workerCount, entryBytes = 12, 600, 600
	f := newFleet(t)
	for i := range workerCount {
		f.store.put(kindWorkers, fmt.Sprintf("w%d", i), worker.Worker{
			Service: "s", Hall: "north-a", Slots: 4, Address: strings.Repeat("1", entryBytes),
		})
	}
	links := make([]*link, vmCount)
	for i := range links {
		links[i] = &link{}
		f.startVM(fmt.Sprintf("v%d", i), "north-a", withSlowLink(links[i]))
	}
	hasVersion := func(version uint64) func() bool {
		return func() bool {
			for _, v := range f.vms {
				if v.Version() != version {
					return false
				}
			}
			return true
		}
	}
	f.waitFor("all VMs have the configuration", hasVersion(1))
	time.Sleep(4 * time.Second) // Wait until startup traffic is over.
	before := make([]int, vmCount)
	for i, l := range links {
		before[i] = l.sentBytes()
	}

	// The second drop comes while the traffic caused by the first is in flight.
	f.store.dropHistory(func() { f.putConfig(2, "s") })
	time.Sleep(time.Second)
	f.store.dropHistory(func() { f.putConfig(3, "s") })
	f.waitWithin(applyWithin, "applying a change made while the history was dropped", hasVersion(3))

	time.Sleep(time.Second)
	for i, l := range links {
		if sent := l.sentBytes() - before[i]; sent > workerCount*entryBytes {
			t.Errorf("%s sent %d bytes, more than one copy of all workers", f.vms[i].name, sent)
		}
	}
}
