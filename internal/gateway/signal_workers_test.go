// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ryehill/ryehill/state/worker"
)

// signalArrival is a request at a signalWorker.
type signalArrival struct {
	vm string
	// sent is when the client sent it, at when it arrived, answered when its answer was
	// given.
	sent, at, answered time.Time
	// leaving is whether the answer said that the worker leaves, rest the rest that it
	// asked for, 0 for none.
	leaving bool
	rest    time.Duration
	// limit is the rate that the answer named, below 0 if it named none.
	limit float64
}

// signalWorker is a worker that says of itself in its answers that it leaves, or that it
// wants rest, and serves on.
type signalWorker struct {
	id      string
	address string

	mu       sync.Mutex
	leaving  bool
	rests    []time.Duration // asked for by chance while there are any
	away     float64         // the part of the requests that it turns away meanwhile
	limit    float64         // the rate that it names, below 0 for none
	arrivals []signalArrival
}

// signalWorker starts a worker of service s.
func (f *fleet) signalWorker(id, hall string) *signalWorker {
	m := &signalWorker{id: id, limit: -1}
	s := httptest.NewServer(m)
	f.t.Cleanup(s.Close)
	m.address = strings.TrimPrefix(s.URL, "http://")
	f.store.put(kindWorkers, id, m.entry(hall, 0))
	return m
}

func (m *signalWorker) entry(hall string, start uint64) worker.Worker {
	return worker.Worker{Service: "s", Hall: hall, Slots: 4, Address: m.address, Start: start}
}

// ServeHTTP implements http.Handler. The query says which VM has sent the request, and
// when its client did.
func (m *signalWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	const work = 5 * time.Millisecond
	sent, _ := strconv.ParseInt(r.URL.Query().Get("sent"), 10, 64)
	a := signalArrival{vm: r.URL.Query().Get("vm"), sent: time.Unix(0, sent), at: time.Now()}
	m.mu.Lock()
	a.leaving, a.limit = m.leaving, m.limit
	if len(m.rests) > 0 && rand.Float64() < m.away {
		a.rest = m.rests[rand.IntN(len(m.rests))]
	}
	m.mu.Unlock()
	if a.leaving {
		w.Header().Set("Leaving", "1")
	}
	if a.limit >= 0 {
		w.Header().Set("Limit", strconv.FormatFloat(a.limit, 'g', -1, 64))
	}
	if a.rest > 0 {
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Rest", a.rest.String())
		w.WriteHeader(http.StatusServiceUnavailable)
	} else {
		time.Sleep(work)
		fmt.Fprint(w, m.id)
	}
	a.answered = time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.arrivals = append(m.arrivals, a)
}

// leave makes the worker say in all answers from now on that it leaves, or that it does not.
func (m *signalWorker) leave(leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = leaving
}

// tire makes the worker turn away a part of its requests with rests.
func (m *signalWorker) tire(away float64, rests ...time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.away, m.rests = away, rests
}

// afterLeaving returns how many requests clients sent to a VM later than a bound after the
// VM had the worker's word that it leaves, and that reached the worker all the same.
func (m *signalWorker) afterLeaving(bound time.Duration) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	told, n := make(map[string]time.Time), 0
	for _, a := range m.arrivals {
		if at, ok := told[a.vm]; a.leaving && (!ok || a.answered.Before(at)) {
			told[a.vm] = a.answered
		}
	}
	for _, a := range m.arrivals {
		if at, ok := told[a.vm]; ok && a.sent.After(at.Add(bound)) {
			n++
		}
	}
	return n
}

// since returns how many requests have arrived after a moment.
func (m *signalWorker) since(at time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, a := range m.arrivals {
		if a.at.After(at) {
			n++
		}
	}
	return n
}

const (
	// restUnderWay is for how long after it has asked for rest a worker may get requests
	// that were under way; restMost is how many it may get after that until the end.
	restUnderWay = 500 * time.Millisecond
	restMost     = 2
)

// brokenRests returns how many rests the worker has asked for, and how many of them a VM
// did not grant.
func (m *signalWorker) brokenRests() (asked, broken int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.arrivals {
		if a.rest == 0 {
			continue
		}
		asked++
		n := 0
		for _, b := range m.arrivals {
			if b.vm == a.vm && b.at.After(a.answered.Add(restUnderWay)) && b.at.Before(a.answered.Add(a.rest)) {
				n++
			}
		}
		if n > restMost {
			broken++
		}
	}
	return asked, broken
}

// signalFleet starts VMs and workers of one region and waits until the VMs know each other.
func signalFleet(t *testing.T, vms, workers int) (*fleet, []*signalWorker) {
	f := newFleet(t)
	f.repeatableConfig()
	var list []*signalWorker
	for i := range workers {
		list = append(list, f.signalWorker(fmt.Sprintf("w%d", i), []string{"north-a", "north-b"}[i%2]))
	}
	for i := range vms {
		f.start(fmt.Sprintf("v%d", i), []string{"north-a", "north-b"}[i%2], nil)
	}
	for _, v := range f.vms {
		f.until(v.name+" knows all", func() bool { return len(f.addresses(v, "north")) == vms })
	}
	return f, list
}

// answers counts how requests ended.
type answers struct {
	mu     sync.Mutex
	served int
	lost   int
}

// count notes one end.
func (a *answers) count(status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if status == http.StatusOK {
		a.served++
		return
	}
	a.lost++
}

// counts returns how many requests were served, and how many were not.
func (a *answers) counts() (served, lost int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.served, a.lost
}

// load sends requests to VMs by chance until stop is closed, and returns once all have ended.
func (f *fleet) load(every time.Duration, stop <-chan struct{}) *answers {
	var a answers
	var open sync.WaitGroup
	defer open.Wait()
	for {
		select {
		case <-stop:
			return &a
		case <-time.After(every):
		}
		v := f.vms[rand.IntN(len(f.vms))]
		open.Go(func() {
			status, _ := v.ask(fmt.Sprintf("/?vm=%s&sent=%d", v.name, time.Now().UnixNano()))
			a.count(status)
		})
	}
}

// loadFor does the same for a time.
func (f *fleet) loadFor(every, span time.Duration) {
	stop := make(chan struct{})
	time.AfterFunc(span, func() { close(stop) })
	f.load(every, stop)
}
