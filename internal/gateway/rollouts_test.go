// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/state/rollout"
	"github.com/ryehill/ryehill/state/worker"
)

const (
	// rolloutShare is the part of the requests that an unproven version may get, and
	// rolloutSlack the number of requests by which it may exceed that.
	rolloutShare = 0.1
	rolloutSlack = 50
	// rolloutWithin is the duration of the rollout orders.
	rolloutWithin = 8 * time.Second
	// rollbackWithin is how long after badAnswerThreshold bad answers a version may
	// still get requests.
	rollbackWithin     = 5 * time.Second
	badAnswerThreshold = 50
)

// versionedService runs the workers of several versions of service s.
type versionedService struct {
	f        *fleet
	mu       sync.Mutex
	servers  map[rollout.Version][]*httptest.Server
	arrivals map[rollout.Version][]time.Time
	failures []time.Time
	// failureRatio is the part of requests that versions above 1 fail.
	failureRatio float64
}

// start starts one worker of a version.
func (s *versionedService) start(id, hall string, version rollout.Version) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		const work = 20 * time.Millisecond
		time.Sleep(work)
		s.mu.Lock()
		s.arrivals[version] = append(s.arrivals[version], time.Now())
		failed := version > 1 && rand.Float64() < s.failureRatio
		if failed {
			s.failures = append(s.failures, time.Now())
		}
		s.mu.Unlock()
		if failed {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		fmt.Fprint(w, id)
	}))
	s.f.t.Cleanup(server.Close)
	s.mu.Lock()
	s.servers[version] = append(s.servers[version], server)
	s.mu.Unlock()
	s.f.store.put(kindWorkers, id, worker.Worker{
		Service: "s", Hall: hall, Slots: 8, Address: strings.TrimPrefix(server.URL, "http://"), Version: version,
	})
}

// startAll starts six workers of a version.
func (s *versionedService) startAll(version rollout.Version) {
	for i := range 6 {
		s.start(fmt.Sprintf("w%d-%d", version, i), []string{"north-a", "north-b", "south-a"}[i%3], version)
	}
}

// stopAll stops all workers of a version at once and removes their entries.
func (s *versionedService) stopAll(version rollout.Version) {
	s.mu.Lock()
	servers := s.servers[version]
	s.mu.Unlock()
	for i, server := range servers {
		server.CloseClientConnections()
		server.Close()
		s.f.store.remove(kindWorkers, fmt.Sprintf("w%d-%d", version, i))
	}
}

// requestsBetween returns how many requests a version got from from until before to.
func (s *versionedService) requestsBetween(version rollout.Version, from, to time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.arrivals[version] {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// startRolloutFleet starts five VMs and the version 1 workers of a service.
func startRolloutFleet(t *testing.T) (*fleet, *versionedService) {
	f := newFleet(t)
	s := &versionedService{f: f, servers: make(map[rollout.Version][]*httptest.Server), arrivals: make(map[rollout.Version][]time.Time)}
	s.startAll(1)
	for i := range 5 {
		f.startVM(fmt.Sprintf("v%d", i), []string{"north-a", "north-b", "south-a"}[i%3], func(c *gateway.Config, _ *storeClient) {
			c.Bounds.RolloutShare = rolloutShare
		})
	}
	for _, v := range f.vms {
		f.waitFor(v.name+" is ready", v.Ready)
		f.waitFor(v.name+" knows all VMs", func() bool { return v.LiveVMCount() == len(f.vms) })
	}
	return f, s
}

// putRolloutOrder orders version 2 and returns the time of the order.
func (f *fleet) putRolloutOrder() time.Time {
	f.store.put(kindRollouts, "s", rollout.Order{Service: "s", Version: 2, Name: "v2", Duration: rolloutWithin})
	return time.Now()
}

// storedOrder returns the rollout order in the store.
func (f *fleet) storedOrder() rollout.Order {
	o, _ := codec{}.Rollout(f.store.get(kindRollouts, "s"))
	return o
}

// waitForPhase waits until the stored order has a phase and returns the time.
func (f *fleet) waitForPhase(p rollout.Phase) time.Time {
	f.t.Helper()
	f.waitFor("the order is "+p.String(), func() bool { return f.storedOrder().Phase == p })
	return time.Now()
}

func TestGoodVersionIsCompleted(t *testing.T) {
	cases := map[string]func(f *fleet){
		"no disturbance": func(*fleet) {},
		"the controller stops": func(f *fleet) {
			time.Sleep(2 * time.Second)
			for i, v := range f.vms {
				if v.IsController() {
					v.stop()
					<-v.done
					f.vms = append(f.vms[:i:i], f.vms[i+1:]...)
					return
				}
			}
		},
		"store outage": func(f *fleet) {
			time.Sleep(time.Second)
			f.setStoreUnavailable(true)
			time.Sleep(3 * time.Second)
			f.setStoreUnavailable(false)
		},
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, s := startRolloutFleet(t)
			s.startAll(2)
			start := time.Now()
			f.generateLoadFor(4*time.Millisecond, time.Second)
			if n := s.requestsBetween(2, start, time.Now()); n > 0 {
				t.Errorf("%d requests reached a version without an order", n)
			}
			ordered := f.putRolloutOrder()
			stop, ended := make(chan struct{}), make(chan *outcomes)
			load := *f
			load.vms = append([]*vm(nil), f.vms...)
			if name == "the controller stops" { // Clients don't use the VM that stops.
				load.vms = nil
				for _, v := range f.vms {
					if !v.IsController() {
						load.vms = append(load.vms, v)
					}
				}
			}
			go func() { ended <- load.generateLoad(4*time.Millisecond, stop) }()
			disturb(f)
			done := f.waitForPhase(rollout.PhaseCompleted)
			s.stopAll(1)
			time.Sleep(time.Second)
			close(stop)
			served, lost := (<-ended).counts()
			if took := done.Sub(ordered); took > rolloutWithin {
				t.Errorf("completed after %s, want %s", took, rolloutWithin)
			}
			if lost > 0 {
				t.Errorf("%d of %d requests were lost", lost, served+lost)
			}
			if n := s.requestsBetween(2, done, time.Now()); n == 0 {
				t.Error("the new version gets no requests")
			}
		})
	}
}

func TestBadVersionIsRolledBack(t *testing.T) {
	cases := map[string]func(f *fleet, s *versionedService){
		"at once": func(_ *fleet, s *versionedService) { s.setFailureRatio(0.4) },
		"later": func(_ *fleet, s *versionedService) {
			time.Sleep(3 * time.Second)
			s.setFailureRatio(0.4)
		},
		"during a store outage": func(f *fleet, s *versionedService) {
			time.Sleep(1500 * time.Millisecond)
			f.setStoreUnavailable(true)
			s.setFailureRatio(0.6)
			time.AfterFunc(rolloutWithin, func() { f.setStoreUnavailable(false) })
		},
	}
	for name, causeFailures := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, s := startRolloutFleet(t)
			s.startAll(2)
			stop, ended := make(chan struct{}), make(chan *outcomes)
			go func() { ended <- f.generateLoad(4*time.Millisecond, stop) }()
			ordered := f.putRolloutOrder()
			causeFailures(f, s)
			f.waitForPhase(rollout.PhaseRolledBack)
			last := time.Now()
			time.Sleep(500 * time.Millisecond)
			close(stop)
			<-ended
			due := ordered.Add(rolloutWithin)
			all := s.requestsBetween(1, ordered, due) + s.requestsBetween(2, ordered, due)
			if n := s.requestsBetween(2, ordered, due); float64(n) > rolloutShare*float64(all)+rolloutSlack {
				t.Errorf("a failing version got %d of %d requests", n, all)
			}
			s.mu.Lock()
			bad := s.failures
			s.mu.Unlock()
			if len(bad) >= badAnswerThreshold {
				if n := s.requestsBetween(2, bad[badAnswerThreshold-1].Add(rollbackWithin), time.Now()); n > 0 {
					t.Errorf("%d requests over %s after the 50th bad answer", n, rollbackWithin)
				}
			}
			if n := s.requestsBetween(2, last.Add(100*time.Millisecond), time.Now()); n > 0 {
				t.Errorf("%d requests after the roll-back", n)
			}
		})
	}
}

// setFailureRatio makes a part of the requests to versions above 1 fail from now on.
func (s *versionedService) setFailureRatio(ratio float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failureRatio = ratio
}
