// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ryehill/ryehill/state/worker"
)

const (
	// poison is the path of a request that ends the process of each worker that begins
	// to run it.
	poison = "/poison"
	// crashAfter is how long it runs until then, and downFor for how long the worker
	// is down.
	crashAfter = 20 * time.Millisecond
	downFor    = 400 * time.Millisecond
	// knownWithin is within what time after its third worker has ended all VMs know
	// such a request: half of the time that VMs have to get in touch again (4 s).
	knownWithin = 2 * time.Second
	// mostAfter is how often it may reach a worker later than that, at all VMs
	// together.
	mostAfter = 3
)

// crashWorkers are workers that a request can end. They start again at their address.
type crashWorkers struct {
	mu sync.Mutex
	// ends are the moments at which one ended.
	ends []time.Time
	// runs are the moments at which the poison request reached one.
	runs []time.Time
	// servers are the processes that run now, and served when each served a request.
	servers map[string]*http.Server
	served  map[string][]time.Time
	// closed is set once the test is over.
	closed bool
	open   sync.WaitGroup
	// down is for how long a worker that has ended is down, 0 for downFor.
	down time.Duration
}

// endOne ends a worker as the poison request does, and returns when it is back.
func (m *crashWorkers) endOne(id string) time.Time {
	m.mu.Lock()
	s := m.servers[id]
	m.mu.Unlock()
	_ = s.Close()
	time.Sleep(m.isDown())
	return time.Now()
}

// servedBy returns when a worker served requests between two moments.
func (m *crashWorkers) servedBy(id string, from, to time.Time) []time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	var served []time.Time
	for _, at := range m.served[id] {
		if at.After(from) && at.Before(to) {
			served = append(served, at)
		}
	}
	return served
}

func (m *crashWorkers) isDown() time.Duration {
	if m.down > 0 {
		return m.down
	}
	return downFor
}

// start starts a worker of service s in a hall, and starts it again each time that it
// ends.
func (m *crashWorkers) start(f *fleet, id, hall string) {
	l, err := net.Listen("tcp", newIP()+":8000")
	if err != nil {
		f.t.Fatal(err)
	}
	address := l.Addr().String()
	f.store.put(kindWorkers, id, worker.Worker{Service: "s", Hall: hall, Slots: 4, Address: address})
	m.open.Go(func() {
		for l != nil {
			m.live(l, id)
			time.Sleep(m.isDown())
			l = m.again(address)
		}
	})
}

// again opens a worker's port again, nil once the test is over.
func (m *crashWorkers) again(address string) net.Listener {
	for {
		m.mu.Lock()
		closed := m.closed
		m.mu.Unlock()
		if closed {
			return nil
		}
		if l, err := net.Listen("tcp", address); err == nil {
			return l
		}
		time.Sleep(downFor / 10)
	}
}

// live serves until the poison request has run for a moment.
func (m *crashWorkers) live(l net.Listener, id string) {
	var s *http.Server
	var once sync.Once
	s = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != poison {
			m.mu.Lock()
			m.served[id] = append(m.served[id], time.Now())
			m.mu.Unlock()
			time.Sleep(5 * time.Millisecond)
			fmt.Fprint(w, id)
			return
		}
		m.mu.Lock()
		m.runs = append(m.runs, time.Now())
		m.mu.Unlock()
		time.Sleep(crashAfter)
		once.Do(func() {
			m.mu.Lock()
			m.ends = append(m.ends, time.Now())
			m.mu.Unlock()
			_ = s.Close()
		})
	})}
	m.mu.Lock()
	if m.servers == nil {
		m.servers, m.served = make(map[string]*http.Server), make(map[string][]time.Time)
	}
	m.servers[id] = s
	m.mu.Unlock()
	go func() {
		for {
			m.mu.Lock()
			closed := m.closed
			m.mu.Unlock()
			if closed {
				_ = s.Close()
				return
			}
			time.Sleep(downFor / 10)
		}
	}()
	_ = s.Serve(l)
}

func (m *crashWorkers) close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.open.Wait()
}

// third returns when the third worker ended.
func (m *crashWorkers) third() (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.ends) < mostAfter {
		return time.Time{}, false
	}
	return m.ends[mostAfter-1], true
}

// after returns how often the poison request reached a worker after a moment.
func (m *crashWorkers) after(at time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, run := range m.runs {
		if run.After(at) {
			n++
		}
	}
	return n
}
