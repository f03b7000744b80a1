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
	// poisonPath is the path of a request that crashes every worker that runs it.
	poisonPath = "/poison"
	// crashAfter is the time from the start of a poison request to the crash, and
	// defaultDowntime the time until the worker listens again.
	crashAfter      = 20 * time.Millisecond
	defaultDowntime = 400 * time.Millisecond
	// quarantineWithin is the time after the third crash within which all VMs must
	// quarantine the request.
	quarantineWithin = 2 * time.Second
	// maxPoisonRuns is how often the request may reach workers of all VMs after that. It
	// is also the number of crashes that lead to the quarantine.
	maxPoisonRuns = 3
)

// crashWorkers is a set of workers that a poison request crashes and that restart at the
// same address.
type crashWorkers struct {
	mu sync.Mutex
	// crashes holds the times at which workers crashed.
	crashes []time.Time
	// poisonRuns holds the times at which poison requests reached workers.
	poisonRuns []time.Time
	// servers holds the running server of each worker, and served the times of the other
	// requests that it served, both by worker id.
	servers map[string]*http.Server
	served  map[string][]time.Time
	// stopped is set at the end of the test and stops the restarts.
	stopped bool
	running sync.WaitGroup
	// downtime overrides defaultDowntime if it is above 0.
	downtime time.Duration
}

// crash stops a worker as a poison request does, waits for its downtime, and returns the
// time.
func (m *crashWorkers) crash(id string) time.Time {
	m.mu.Lock()
	s := m.servers[id]
	m.mu.Unlock()
	_ = s.Close()
	time.Sleep(m.downDuration())
	return time.Now()
}

// servedBy returns the times between from and to at which a worker served requests.
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

func (m *crashWorkers) downDuration() time.Duration {
	if m.downtime > 0 {
		return m.downtime
	}
	return defaultDowntime
}

// start starts a worker of service s in a hall and restarts it after each crash.
func (m *crashWorkers) start(f *fleet, id, hall string) {
	l, err := net.Listen("tcp", newIP()+":8000")
	if err != nil {
		f.t.Fatal(err)
	}
	address := l.Addr().String()
	f.store.put(kindWorkers, id, worker.Worker{Service: "s", Hall: hall, Slots: 4, Address: address})
	m.running.Go(func() {
		for l != nil {
			m.serveUntilCrash(l, id)
			time.Sleep(m.downDuration())
			l = m.relisten(address)
		}
	})
}

// relisten listens on a worker's address again, or returns nil at the end of the test.
func (m *crashWorkers) relisten(address string) net.Listener {
	for {
		m.mu.Lock()
		stopped := m.stopped
		m.mu.Unlock()
		if stopped {
			return nil
		}
		if l, err := net.Listen("tcp", address); err == nil {
			return l
		}
		time.Sleep(defaultDowntime / 10)
	}
}

// serveUntilCrash serves requests until a poison request or the end of the test closes
// the server.
func (m *crashWorkers) serveUntilCrash(l net.Listener, id string) {
	var s *http.Server
	var once sync.Once
	s = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != poisonPath {
			m.mu.Lock()
			m.served[id] = append(m.served[id], time.Now())
			m.mu.Unlock()
			time.Sleep(5 * time.Millisecond)
			fmt.Fprint(w, id)
			return
		}
		m.mu.Lock()
		m.poisonRuns = append(m.poisonRuns, time.Now())
		m.mu.Unlock()
		time.Sleep(crashAfter)
		once.Do(func() {
			m.mu.Lock()
			m.crashes = append(m.crashes, time.Now())
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
			stopped := m.stopped
			m.mu.Unlock()
			if stopped {
				_ = s.Close()
				return
			}
			time.Sleep(defaultDowntime / 10)
		}
	}()
	_ = s.Serve(l)
}

func (m *crashWorkers) close() {
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	m.running.Wait()
}

// thirdCrash returns the time of the third crash, and false if there were fewer.
func (m *crashWorkers) thirdCrash() (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.crashes) < maxPoisonRuns {
		return time.Time{}, false
	}
	return m.crashes[maxPoisonRuns-1], true
}

// poisonRunsAfter returns how many poison requests reached workers after the given time.
func (m *crashWorkers) poisonRunsAfter(at time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, run := range m.poisonRuns {
		if run.After(at) {
			n++
		}
	}
	return n
}
