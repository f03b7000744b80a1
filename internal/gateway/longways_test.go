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

// oneWay is the time that a message takes to another region.
const oneWay = 35 * time.Millisecond

// longWays makes all that a VM tells its peers take as long as to another region.
func longWays(cfg *gateway.Config, _ *door) {
	cfg.Listen = func(address string) (net.Listener, error) {
		inner, err := net.Listen("tcp", address)
		return farListener{inner}, err
	}
	cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		time.Sleep(2 * oneWay)
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return newFarConn(conn), nil
	}
}

type farListener struct{ net.Listener }

// Accept implements net.Listener.
func (l farListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newFarConn(conn), nil
}

// farConn delivers what is written after oneWay.
type farConn struct {
	net.Conn
	queue chan farWrite
	done  chan struct{}
}

type farWrite struct {
	due  time.Time
	data []byte
}

func newFarConn(conn net.Conn) farConn {
	const writes = 1024
	c := farConn{Conn: conn, queue: make(chan farWrite, writes), done: make(chan struct{})}
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
func (c farConn) Write(b []byte) (int, error) {
	select {
	case c.queue <- farWrite{time.Now().Add(oneWay), append([]byte(nil), b...)}:
		return len(b), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// Close implements net.Conn.
func (c farConn) Close() error {
	select {
	case <-c.done:
	default:
		close(c.done)
	}
	return c.Conn.Close()
}

// VMs that do not get an answer in time must not all hand out the limit of one worker.
func TestLimitOverLongWays(t *testing.T) {
	t.Parallel()
	const limit = 3.5
	f := newFleet(t)
	f.repeatableConfig()
	var workers []*signalWorker
	for i := range 6 {
		workers = append(workers, f.signalWorker(fmt.Sprintf("w%d", i), "south-a"))
	}
	for i := range 10 {
		f.start(fmt.Sprintf("v%d", i), []string{"north-a", "south-a"}[i%2], longWays)
	}
	for _, v := range f.vms {
		f.until(v.name+" knows all", func() bool { return len(f.addresses(v, "north")) == 5 && len(f.addresses(v, "south")) == 5 })
	}
	for _, w := range workers {
		w.name(limit)
	}
	stop, ended := make(chan struct{}), make(chan *answers)
	go func() { ended <- f.load(5*time.Millisecond, stop) }()
	time.Sleep(limitWindow)
	settled := time.Now()
	time.Sleep(2 * limitWindow)
	span, used := time.Since(settled), 0
	for _, w := range workers {
		used += w.since(settled)
		if got, allowed := w.overLimit(); got > allowed {
			t.Errorf("%s got %.0f requests in %s, %.1f allowed", w.id, got, limitWindow, allowed)
		}
	}
	close(stop)
	<-ended
	if most := limit * float64(len(workers)) * span.Seconds(); float64(used) < limitUsed*most {
		t.Errorf("%d requests were run where %.0f would have been taken", used, most)
	}
}
