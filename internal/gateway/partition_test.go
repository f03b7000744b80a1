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

var errCut = errors.New("the test has cut this way")

// partition cuts VMs off from each other.
type partition struct {
	mu sync.Mutex
	// groups says by IP number in which part of the fleet a VM is.
	groups map[string]int
	ips    []string
	open   map[*cutConn]bool
}

func newPartition() *partition {
	return &partition{groups: make(map[string]int), open: make(map[*cutConn]bool)}
}

// cutConn is a connection from one VM to another.
type cutConn struct {
	net.Conn
	p        *partition
	from, to string
}

// Close implements net.Conn.
func (c *cutConn) Close() error {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	delete(c.p.open, c)
	return c.Conn.Close()
}

// cuttable makes the connections of a VM to its peers end with a cut.
func (p *partition) cuttable(cfg *gateway.Config, _ *door) {
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
			return nil, errCut
		}
		c := &cutConn{Conn: conn, p: p, from: own, to: to}
		p.open[c] = true
		return c, nil
	}
}

// divide puts each VM into a group, given by its place, and ends the connections between
// groups.
func (p *partition) divide(group func(vm int) int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, ip := range p.ips {
		p.groups[ip] = group(i)
	}
	for c := range p.open {
		if p.groups[c.from] != p.groups[c.to] {
			_ = c.Conn.Close()
			delete(p.open, c)
		}
	}
}

// Parts of a fleet that do not see each other must keep a worker's limit together.
func TestLimitsThroughFaults(t *testing.T) {
	t.Parallel()
	const vms, limit, turn = 6, 3.0, 1500 * time.Millisecond
	cases := map[string]func(f *fleet, p *partition){
		"halves":  func(_ *fleet, p *partition) { p.divide(func(vm int) int { return vm % 2 }); time.Sleep(4 * turn) },
		"thirds":  func(_ *fleet, p *partition) { p.divide(func(vm int) int { return vm % 3 }); time.Sleep(4 * turn) },
		"singles": func(_ *fleet, p *partition) { p.divide(func(vm int) int { return vm }); time.Sleep(4 * turn) },
		"one after the other is cut off": func(_ *fleet, p *partition) {
			for cut := range vms {
				p.divide(func(vm int) int { return max(0, 1-(vm-cut)*(vm-cut)) })
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
			f.repeatableConfig()
			var workers []*signalWorker
			for i := range 4 {
				workers = append(workers, f.signalWorker(fmt.Sprintf("w%d", i), []string{"north-a", "north-b"}[i%2]))
			}
			for i := range vms {
				f.start(fmt.Sprintf("v%d", i), []string{"north-a", "north-b"}[i%2], p.cuttable)
			}
			for _, v := range f.vms {
				f.until(v.name+" knows all", func() bool { return len(f.addresses(v, "north")) == vms })
			}
			time.Sleep(2 * time.Second) // Until then VMs that have started hand out nothing.
			for _, w := range workers {
				w.name(limit)
			}
			stop, ended := make(chan struct{}), make(chan *answers)
			go func() { ended <- f.load(5*time.Millisecond, stop) }()
			time.Sleep(turn)
			fault(f, p)
			p.divide(func(int) int { return 0 })
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
