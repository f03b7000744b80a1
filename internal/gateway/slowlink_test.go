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

// smallLink is 10 Mbit/s, in bytes a second.
const smallLink = 1_250_000

// link is a VM's way out: whatever is sent waits for all that was sent before.
type link struct {
	mu   sync.Mutex
	free time.Time
	sent int
}

// reserve queues some bytes and returns how long they take to leave.
func (l *link) reserve(bytes int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(bytes) * time.Second / smallLink)
	l.sent += bytes
	return l.free.Sub(now)
}

func (l *link) bytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

// slowListener accepts connections that send over a link.
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

// overSmallLink gives a VM a small link, for its answers to peers and for its
// calls to the store.
func overSmallLink(l *link) func(*gateway.Config, *door) {
	return func(cfg *gateway.Config, d *door) {
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

// When the store drops its history, the VMs of a region must not fill their
// links by telling each other what they know already: the next change would
// wait behind it.
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
		f.start(fmt.Sprintf("v%d", i), "north-a", overSmallLink(links[i]))
	}
	inForce := func(version uint64) func() bool {
		return func() bool {
			for _, v := range f.vms {
				if v.Version() != version {
					return false
				}
			}
			return true
		}
	}
	f.until("all VMs serve", inForce(1))
	time.Sleep(4 * time.Second) // The start is over, for the links as well.
	before := make([]int, vmCount)
	for i, l := range links {
		before[i] = l.bytes()
	}

	// The second time comes while whatever the first one caused is under way.
	f.store.dropHistory(func() { f.config(2, "s") })
	time.Sleep(time.Second)
	f.store.dropHistory(func() { f.config(3, "s") })
	f.within(applyWithin, "a change made while history was dropped", inForce(3))

	time.Sleep(time.Second)
	for i, l := range links {
		if sent := l.bytes() - before[i]; sent > workerCount*entryBytes {
			t.Errorf("%s sent %d bytes, more than one copy of all workers", f.vms[i].name, sent)
		}
	}
}
