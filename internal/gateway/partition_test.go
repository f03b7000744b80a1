// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/ryehill/ryehill/internal/gateway"
)

var errPartitioned = errors.New("connection blocked by the test's partition")

// partition simulates network partitions between VMs.
type partition struct {
	mu sync.Mutex
	// groups holds the partition group of each VM by IP address.
	groups map[string]int
	ips    []string
	conns  map[*peerConn]bool
}

func newPartition() *partition {
	return &partition{groups: make(map[string]int), conns: make(map[*peerConn]bool)}
}

// peerConn is a tracked connection between two VMs.
type peerConn struct {
	net.Conn
	p        *partition
	from, to string
}

// Close implements net.Conn.
func (c *peerConn) Close() error {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	delete(c.p.conns, c)
	return c.Conn.Close()
}

// interceptDial makes a VM's connections to its peers subject to the partition.
func (p *partition) interceptDial(cfg *gateway.Config, _ *storeClient) {
	own, _, _ := net.SplitHostPort(cfg.Peer)
	p.ips = append(p.ips, own)
	cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		to, _, _ := net.SplitHostPort(address)
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.groups[own] != p.groups[to] {
			_ = conn.Close()
			return nil, errPartitioned
		}
		c := &peerConn{Conn: conn, p: p, from: own, to: to}
		p.conns[c] = true
		return c, nil
	}
}

// split assigns VMs to groups by index and closes connections between different groups.
func (p *partition) split(group func(vm int) int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, ip := range p.ips {
		p.groups[ip] = group(i)
	}
	for c := range p.conns {
		if p.groups[c.from] != p.groups[c.to] {
			_ = c.Conn.Close()
			delete(p.conns, c)
		}
	}
}

// Guards against exceeding a worker's limit while VMs are partitioned or stop.
func TestLimitsDuringPartitions(t *testing.T) {
	t.Parallel()
	const vms, limit, turn = 6, 3.0, 1500 * time.Millisecond
	cases := map[string]func(f *fleet, p *partition){
		"halves":  func(_ *fleet, p *partition) { p.split(func(vm int) int { return vm % 2 }); time.Sleep(4 * turn) },
		"thirds":  func(_ *fleet, p *partition) { p.split(func(vm int) int { return vm % 3 }); time.Sleep(4 * turn) },
		"singles": func(_ *fleet, p *partition) { p.split(func(vm int) int { return vm }); time.Sleep(4 * turn) },
		"each VM isolated in turn": func(_ *fleet, p *partition) {
			for isolated := range vms {
				p.split(func(vm int) int { return max(0, 1-(vm-isolated)*(vm-isolated)) })
				time.Sleep(turn)
			}
		},
		"some stop": func(f *fleet, _ *partition) {
			for _, v := range f.vms[:vms/2] {
				v.stop()
				time.Sleep(turn)
			}
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, p := newFleet(t), newPartition()
			f.putRetryableConfig()
			var workers []*signalWorker
			for i := range 4 {
				workers = append(workers, f.startSignalWorker(fmt.Sprintf("w%d", i), []string{"north-a", "north-b"}[i%2]))
			}
			for i := range vms {
				f.startVM(fmt.Sprintf("v%d", i), []string{"north-a", "north-b"}[i%2], p.interceptDial)
			}
			for _, v := range f.vms {
				f.waitFor(v.name+" knows all VMs", func() bool { return len(f.resolvedAddresses(v, "north")) == vms })
			}
			time.Sleep(2 * time.Second) // VMs that have just started issue no permits.
			for _, w := range workers {
				w.setLimit(limit)
			}
			stop, ended := make(chan struct{}), make(chan *outcomes)
			go func() { ended <- f.generateLoad(5*time.Millisecond, stop) }()
			time.Sleep(turn)
			fault(f, p)
			p.split(func(int) int { return 0 })
			time.Sleep(2 * turn)
			close(stop)
			<-ended
			for _, w := range workers {
				if got, allowed := w.overLimit(); got > allowed {
					t.Errorf("%s got %.0f requests in %s, %.1f allowed", w.id, got, limitWindow, allowed)
				}
			}
		})
	}
}
