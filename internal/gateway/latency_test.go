// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/ryehill/ryehill/internal/gateway"
)

// oneWayLatency is the one-way latency between regions.
const oneWayLatency = 35 * time.Millisecond

// withInterRegionLatency delays a VM's traffic with its peers by oneWayLatency.
func withInterRegionLatency(cfg *gateway.Config, _ *storeClient) {
	cfg.Listen = func(address string) (net.Listener, error) {
		inner, err := net.Listen("tcp", address)
		return delayedListener{inner}, err
	}
	cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		time.Sleep(2 * oneWayLatency)
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return newDelayedConn(conn), nil
	}
}

type delayedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l delayedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newDelayedConn(conn), nil
}

// delayedConn delivers each write after oneWayLatency.
type delayedConn struct {
	net.Conn
	queue chan delayedWrite
	done  chan struct{}
}

type delayedWrite struct {
	due  time.Time
	data []byte
}

func newDelayedConn(conn net.Conn) delayedConn {
	const writes = 1024
	c := delayedConn{Conn: conn, queue: make(chan delayedWrite, writes), done: make(chan struct{})}
	go func() {
		for {
			select {
			case w := <-c.queue:
				time.Sleep(time.Until(w.due))
				if _, err := conn.Write(w.data); err != nil {
					return
				}
			case <-c.done:
				return
			}
		}
	}()
	return c
}

// Write implements net.Conn.
func (c delayedConn) Write(b []byte) (int, error) {
	select {
	case c.queue <- delayedWrite{time.Now().Add(oneWayLatency), append([]byte(nil), b...)}:
		return len(b), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// Close implements net.Conn.
func (c delayedConn) Close() error {
	select {
	case <-c.done:
	default:
		close(c.done)
	}
	return c.Conn.Close()
}

// Guards against several VMs issuing permits for one worker's limit when answers are slow.
func TestLimitWithInterRegionLatency(t *testing.T) {
	t.Parallel()
	const limit = 3.5
	f := newFleet(t)
	f.putRetryableConfig()
	var workers []*signalWorker
	for i := range 6 {
		workers = append(workers, f.startSignalWorker(fmt.Sprintf("w%d", i), "south-a"))
	}
	for i := range 10 {
		f.startVM(fmt.Sprintf("v%d", i), []string{"north-a", "south-a"}[i%2], withInterRegionLatency)
	}
	for _, v := range f.vms {
		f.waitFor(v.name+" knows all VMs", func() bool {
			return len(f.resolvedAddresses(v, "north")) == 5 && len(f.resolvedAddresses(v, "south")) == 5
		})
	}
	for _, w := range workers {
		w.setLimit(limit)
	}
	stop, ended := make(chan struct{}), make(chan *outcomes)
	go func() { ended <- f.generateLoad(5*time.Millisecond, stop) }()
	time.Sleep(limitWindow)
	settled := time.Now()
	time.Sleep(2 * limitWindow)
	span, used := time.Since(settled), 0
	for _, w := range workers {
		used += w.arrivalsAfter(settled)
		if got, allowed := w.overLimit(); got > allowed {
			t.Errorf("%s got %.0f requests in %s, %.1f allowed", w.id, got, limitWindow, allowed)
		}
	}
	close(stop)
	<-ended
	if capacity := limit * float64(len(workers)) * span.Seconds(); float64(used) < minLimitUtilization*capacity {
		t.Errorf("%d requests ran, the limits allow %.0f", used, capacity)
	}
}
