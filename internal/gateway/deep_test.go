// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/state/worker"
)

const (
	wideLinkMbps, narrowLinkMbps = 200, 20 // Mbit/s.
	// wideVMs is how many VMs of each hall have wide links.
	wideVMs = 2
	// vmsPerHall makes two halls exceed the number of VMs that one VM answers.
	vmsPerHall = 18
)

// deepFleet is a fleet of two halls in one region with more VMs than one VM answers, so
// that updates are relayed over two levels.
type deepFleet struct {
	*fleet
	vms []*vm
}

// startDeepFleet starts a fleet with vmsPerHall VMs in each of two halls.
func startDeepFleet(t *testing.T, change func(*gateway.Config, *storeClient)) deepFleet {
	f := deepFleet{fleet: newFleet(t)}
	f.startWorker("w1", "s", "north-a")
	for i := range 2 * vmsPerHall {
		hall, number := []string{"north-a", "north-b"}[i%2], i/2
		f.vms = append(f.vms, f.startVM(fmt.Sprintf("%s-%d", hall, number), hall, func(cfg *gateway.Config, d *storeClient) {
			cfg.StaleAfter, cfg.LinkMbps = longStaleAfter, narrowLinkMbps
			if number < wideVMs {
				cfg.LinkMbps = wideLinkMbps
			}
			if change != nil {
				change(cfg, d)
			}
		}))
	}
	t.Cleanup(func() { // Stop all at once; each is waited for later.
		for _, v := range f.vms {
			v.stop()
		}
	})
	return f
}

// waitSettled waits until all VMs are ready and have read the whole list of VMs.
func (f deepFleet) waitSettled() {
	for _, v := range f.vms {
		f.waitFor(v.name+" is ready", v.ready)
	}
	time.Sleep(3 * time.Second)
}

// storeCalls returns the number of calls that all VMs have made to the store.
func (f deepFleet) storeCalls() int {
	sum := 0
	for _, v := range f.vms {
		sum += v.storeClient.totalCalls()
	}
	return sum
}

// Guards against several store watchers, a watcher with a narrow link, or stale VMs in a large region.
func TestDeepTree(t *testing.T) {
	f := startDeepFleet(t, nil)
	f.waitSettled()
	time.Sleep(3 * time.Second) // VMs that watched before go on for 2 s.
	watchesBefore := make(map[string]int)
	for _, v := range f.vms {
		watchesBefore[v.name] = v.storeClient.callCount("watch " + kindConfig)
	}
	if age := maxStateAge(3*time.Second, f.vms...); age >= longStaleAfter {
		t.Errorf("state is %s old", age)
	}
	var watchers []string
	for _, v := range f.vms {
		if v.storeClient.callCount("watch "+kindConfig) > watchesBefore[v.name] {
			watchers = append(watchers, v.name)
		}
	}
	if len(watchers) != 1 || !strings.HasSuffix(watchers[0], "-0") && !strings.HasSuffix(watchers[0], "-1") {
		t.Errorf("%v watch the store, want one VM with a wide link", watchers)
	}
	f.putConfig(2, "s")
	f.waitWithin(1500*time.Millisecond, "the change applies on all VMs", func() bool {
		for _, v := range f.vms {
			if v.Version() != 2 {
				return false
			}
		}
		return true
	})
}

// stall delays all traffic between VMs while it is active.
type stall struct {
	mu    sync.Mutex
	ended chan struct{} // nil while not active
}

func (s *stall) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = make(chan struct{})
}

func (s *stall) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.ended)
	s.ended = nil
}

// stalledConn is a connection that delivers nothing while the stall is active.
type stalledConn struct {
	net.Conn
	stall *stall
}

// Read implements net.Conn.
func (c stalledConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.stall.mu.Lock()
	ended := c.stall.ended
	c.stall.mu.Unlock()
	if ended != nil {
		<-ended
	}
	return n, err
}

// Guards against VMs of an overloaded region still calling the store after the overload.
func TestDeepTreeRecoversFromOverload(t *testing.T) {
	const recoversWithin = 15 * time.Second
	s := &stall{}
	f := startDeepFleet(t, func(cfg *gateway.Config, _ *storeClient) {
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			return stalledConn{conn, s}, err
		}
	})
	f.waitSettled()
	s.begin()
	time.Sleep(longStaleAfter)
	if n := f.countWatching(longStaleAfter); n < len(f.vms)/2 {
		t.Errorf("only %d VMs called the store during the overload", n)
	}
	s.end()
	ended := time.Now()
	for watching := len(f.vms); watching != 1; {
		if time.Since(ended) > recoversWithin {
			t.Fatalf("%d VMs call the store %s after the overload", watching, time.Since(ended))
		}
		watching = f.countWatching(longStaleAfter)
	}
	t.Logf("one VM watches the store %s after the overload", time.Since(ended))
	if age := maxStateAge(time.Second, f.vms...); age >= longStaleAfter {
		t.Errorf("state is %s old", age)
	}
}

// countWatching returns how many VMs call the store's watch within a span.
func (f deepFleet) countWatching(span time.Duration) int {
	before := make(map[string]int)
	for _, v := range f.vms {
		before[v.name] = v.storeClient.callCount("watch " + kindConfig)
	}
	time.Sleep(span)
	n := 0
	for _, v := range f.vms {
		if v.storeClient.callCount("watch "+kindConfig) > before[v.name] {
			n++
		}
	}
	return n
}

// Guards against a worker's reported load not reaching VMs of the other hall.
func TestLoadsCrossDeepTree(t *testing.T) {
	f := startDeepFleet(t, nil)
	f.waitSettled()
	const load = 9
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Running", fmt.Sprint(load))
	}))
	t.Cleanup(server.Close)
	f.store.put(kindWorkers, "w2", worker.Worker{Service: "s", Hall: "north-a", Slots: 4, Address: strings.TrimPrefix(server.URL, "http://")})
	f.store.remove(kindWorkers, "w1")
	nearVM, farVM := f.vms[len(f.vms)-2], f.vms[len(f.vms)-1]
	f.waitFor("all VMs know the worker", func() bool { return nearVM.KnowsWorker("w2") && farVM.KnowsWorker("w2") })
	f.waitWithin(3*time.Second, "the load is known in the other hall", func() bool {
		nearVM.sendRequest("/")
		return farVM.Busy("w2") > load/2
	})
}

// Guards against slow updates, or many VMs calling the store, after the VM that watches it stops.
func TestDeepTreeRecovers(t *testing.T) {
	f := startDeepFleet(t, nil)
	f.waitSettled()
	time.Sleep(time.Second)
	for version := uint64(2); version < 4; version++ {
		root := f.root()
		before := f.storeCalls()
		root.stop()
		<-root.done
		f.removeVM(root)
		f.putConfig(version, "s")
		f.waitWithin(2500*time.Millisecond, "a change after the root stopped", func() bool {
			for _, v := range f.vms {
				if v.Version() != version {
					return false
				}
			}
			return true
		})
		if calls := f.storeCalls() - before; calls > 60 {
			t.Errorf("%d calls to the store, want those of few VMs", calls)
		}
	}
}

// root returns the VM that watches the store.
func (f *deepFleet) root() *vm {
	before := make(map[string]int)
	for _, v := range f.vms {
		before[v.name] = v.storeClient.callCount("watch " + kindConfig)
	}
	time.Sleep(longStaleAfter)
	for _, v := range f.vms {
		if v.storeClient.callCount("watch "+kindConfig) > before[v.name] {
			return v
		}
	}
	f.t.Fatal("no VM watches the store")
	return nil
}

func (f *deepFleet) removeVM(removed *vm) {
	var remaining []*vm
	for _, v := range f.vms {
		if v != removed {
			remaining = append(remaining, v)
		}
	}
	f.vms = remaining
}
