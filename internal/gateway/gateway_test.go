// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/internal/loopback"
	"github.com/ryehill/ryehill/internal/metrics"
	"github.com/ryehill/ryehill/state/route"
	"github.com/ryehill/ryehill/state/worker"
)

// patience bounds every wait for a condition.
const patience = 15 * time.Second

// staleAfter is the age at which the VMs of these tests call the store.
const staleAfter = 1200 * time.Millisecond

// applyWithin is within what time a change must be in force.
const applyWithin = 2 * time.Second

// vm is one gateway under test.
type vm struct {
	*gateway.Gateway
	name, front string
	door        *door
	stop        context.CancelFunc
	done        chan struct{}
}

// fleet is some VMs of two regions around one store.
type fleet struct {
	t     *testing.T
	store *memoryStore
	vms   []*vm
	seeds []string
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, store: newMemoryStore()}
	f.config(1, "s")
	return f
}

// config writes a configuration with one route to a service.
func (f *fleet) config(version uint64, service string) {
	f.store.put(kindConfig, "main", route.Config{
		Version: version, Services: []route.Service{{Name: "s"}, {Name: "other"}},
		Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: 5 * time.Second, Targets: []route.Target{{Service: service, Weight: 1}}}},
	})
}

// worker starts a worker that answers with its id.
func (f *fleet) worker(id, service, hall string) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if wait, err := time.ParseDuration(r.URL.Query().Get("work")); err == nil {
			time.Sleep(wait)
		}
		fmt.Fprint(w, id)
	}))
	f.t.Cleanup(s.Close)
	f.store.put(kindWorkers, id, worker.Worker{Service: service, Hall: hall, Slots: 4, Address: strings.TrimPrefix(s.URL, "http://")})
}

var started atomic.Int64

// newIP returns an IP number of this test's own, so that no fixed port of it can
// be taken, not even by an outgoing connection.
func newIP() string {
	n := started.Add(1)
	return fmt.Sprintf("%s%d.%d", loopback.Network(), n/250, 1+n%250)
}

var halls = map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"}

// start starts a VM; change may alter its settings.
func (f *fleet) start(name, hall string, change func(*gateway.Config, *door)) *vm {
	f.t.Helper()
	v := &vm{name: name, front: newIP() + ":8001", door: &door{store: f.store, calls: make(map[string]int)}, done: make(chan struct{})}
	ip, _, _ := net.SplitHostPort(v.front)
	entry := ip + ":8002"
	cfg := gateway.Config{
		Fleet: "test", VM: name, Hall: hall, Halls: halls,
		Ingress: v.front, Ready: entry, Directory: entry, Peer: ip + ":8003", MetricsAddress: ip + ":8004",
		Seeds: slices.Clone(f.seeds), Bounds: gateway.Bounds{Grace: 3 * time.Second, RetryRatio: 0.1, MaxTTL: 5 * time.Second, ApplyWithin: applyWithin},
		Store: v.door, Codec: codec{}, Dialect: dialect{}, Log: logr.Discard(), Metrics: metrics.New(),
		EntryHandler:  func(*gateway.Gateway) http.Handler { return http.NotFoundHandler() },
		ProbeInterval: 100 * time.Millisecond,
	}
	if change != nil {
		change(&cfg, v.door)
	}
	g, err := gateway.New(cfg)
	if err != nil {
		f.t.Fatal(err)
	}
	v.Gateway = g
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	go func() {
		defer close(v.done)
		_ = g.Run(ctx)
	}()
	f.t.Cleanup(func() {
		cancel()
		<-v.done
	})
	f.seeds = append(f.seeds, cfg.Peer)
	f.vms = append(f.vms, v)
	return v
}

func (f *fleet) until(what string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(patience); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("not within %s: %s", patience, what)
		}
	}
}

// within measures how long a condition takes to hold, and fails beyond the limit.
func (f *fleet) within(limit time.Duration, what string, condition func() bool) {
	f.t.Helper()
	begun := time.Now()
	f.until(what, condition)
	if took := time.Since(begun); took > limit {
		f.t.Errorf("%s took %s, want at most %s", what, took, limit)
	}
}

// ask sends a request to a VM and returns the status and the worker's id.
func (v *vm) ask(path string) (int, string) {
	req, _ := http.NewRequest(http.MethodPost, "http://"+v.front+path, nil)
	req.Host = "h"
	req.Header.Set("Id", strconv.FormatUint(rand.Uint64(), 36))
	transport := &http.Transport{DisableKeepAlives: true}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	var body strings.Builder
	if _, err := fmt.Fscan(res.Body, &body); err != nil {
		buffer := make([]byte, 64)
		n, _ := res.Body.Read(buffer)
		body.Write(buffer[:n])
	}
	return res.StatusCode, body.String()
}

func (v *vm) ready() bool { return v.Ready() }

func (f *fleet) addresses(v *vm, region string) []string {
	list, _ := v.Resolve("h", region, "")
	slices.Sort(list)
	return list
}

func fronts(vms ...*vm) []string {
	var list []string
	for _, v := range vms {
		list = append(list, v.front)
	}
	slices.Sort(list)
	return list
}

// threeVMs starts three VMs of one region and waits until each knows all.
func threeVMs(t *testing.T) (*fleet, []*vm) {
	f := newFleet(t)
	f.worker("w1", "s", "north-a")
	f.worker("o1", "other", "north-a")
	vms := []*vm{f.start("a", "north-a", nil), f.start("b", "north-a", nil), f.start("c", "north-b", nil)}
	for _, v := range vms {
		f.until(v.name+" knows all", func() bool { return slices.Equal(f.addresses(v, "north"), fronts(vms...)) })
	}
	return f, vms
}

// watcherOf returns the VM that watches, found by its calls.
func watcherOf(t *testing.T, vms []*vm) (watcher *vm, others []*vm) {
	t.Helper()
	return watcherIn(t, 2*time.Second, vms)
}

// watcherIn does the same by the calls of a span of time, in which the watcher
// calls twice.
func watcherIn(t *testing.T, span time.Duration, vms []*vm) (watcher *vm, others []*vm) {
	t.Helper()
	before := make(map[string]int)
	time.Sleep(2500 * time.Millisecond) // Any call of a start is over.
	for _, v := range vms {
		before[v.name] = v.door.count("watch " + kindConfig)
	}
	time.Sleep(span)
	for _, v := range vms {
		if v.door.count("watch "+kindConfig)-before[v.name] >= 2 {
			watcher = v
		} else {
			others = append(others, v)
		}
	}
	if watcher == nil || len(others) != len(vms)-1 {
		t.Fatal("not just one VM watches")
	}
	return watcher, others
}

// One VM watches the store for its region, and the others call it hardly ever.
func TestOneWatcherTellsTheOthers(t *testing.T) {
	f, vms := threeVMs(t)
	_, others := watcherOf(t, vms)
	for _, v := range others {
		before := v.door.count("watch " + kindWorkers)
		time.Sleep(time.Second)
		if calls := v.door.count("watch "+kindWorkers) - before; calls > 0 {
			t.Errorf("%s called the store %d times in a second", v.name, calls)
		}
	}
	f.config(2, "other")
	for _, v := range vms {
		f.within(400*time.Millisecond, v.name+" has the new route", func() bool {
			status, id := v.ask("/")
			return status == http.StatusOK && id == "o1"
		})
	}
}

// Whatever the watcher does, a change is in force at every VM that reaches the
// store once its knowledge is too old: the bound rests on no peer.
func TestChangesDoNotRestOnTheWatcher(t *testing.T) {
	cases := map[string]func(watcher *vm){
		"its store is silent": func(w *vm) { w.door.set(false, true) },
		"its store is down":   func(w *vm) { w.door.set(true, false) },
		"it ends":             func(w *vm) { w.stop() },
	}
	for name, breakWatcher := range cases {
		t.Run(name, func(t *testing.T) {
			f, vms := threeVMs(t)
			watcher, others := watcherOf(t, vms)
			breakWatcher(watcher)
			time.Sleep(100 * time.Millisecond)
			f.config(2, "other")
			begun := time.Now()
			for _, v := range others {
				f.until(v.name+" has the new route", func() bool { _, id := v.ask("/"); return id == "o1" })
				if took := time.Since(begun); took > staleAfter+500*time.Millisecond {
					t.Errorf("in force at %s after %s", v.name, took)
				}
			}
		})
	}
}

// A VM whose store is away hears from its peers.
func TestPeersTellWhenTheStoreIsAway(t *testing.T) {
	f, _ := threeVMs(t)
	late := f.start("d", "north-b", func(_ *gateway.Config, d *door) { d.set(true, false) })
	f.within(2*time.Second, "d serves", late.ready)
	if _, id := late.ask("/"); id != "w1" {
		t.Errorf("answered by %q", id)
	}
}

// A VM that knows nothing refuses with a time to come back, and is not ready.
func TestKnowsNothing(t *testing.T) {
	f := newFleet(t)
	v := f.start("a", "north-a", func(_ *gateway.Config, d *door) { d.set(true, false) })
	f.until("it listens", func() bool { status, _ := v.ask("/"); return status == http.StatusServiceUnavailable })
	if v.Ready() {
		t.Error("it is ready")
	}
	v.door.set(false, false)
	f.until("it serves", v.ready)
}

func TestWorkersAndHalls(t *testing.T) {
	f := newFleet(t)
	f.worker("w1", "s", "north-a")
	f.worker("w2", "s", "north-b")
	f.worker("w3", "s", "north-b")
	f.worker("o1", "other", "north-b")
	v := f.start("a", "north-a", nil)
	f.until("it serves", v.ready)
	only := func(id string) func() bool {
		return func() bool {
			for range 12 {
				if _, got := v.ask("/"); got != id {
					return false
				}
			}
			return true
		}
	}
	t.Run("a worker that is gone gets nothing", func(t *testing.T) {
		f.store.remove(kindWorkers, "w3")
		f.within(time.Second, "only w1 and w2 answer", func() bool {
			for range 20 {
				if _, got := v.ask("/"); got == "w3" {
					return false
				}
			}
			return true
		})
	})
	t.Run("a closed hall gets nothing", func(t *testing.T) {
		f.store.put(kindClosed, "north-a", struct{}{})
		f.within(time.Second, "only w2 answers", only("w2"))
	})
	t.Run("a hall that is open again gets some", func(t *testing.T) {
		f.store.remove(kindClosed, "north-a")
		f.until("w1 answers", func() bool { _, id := v.ask("/"); return id == "w1" })
	})
	t.Run("an older configuration changes nothing", func(t *testing.T) {
		f.config(5, "s")
		time.Sleep(200 * time.Millisecond)
		f.config(4, "other")
		time.Sleep(300 * time.Millisecond)
		if _, got := v.ask("/"); got == "o1" {
			t.Error("the older configuration is in force")
		}
	})
}

// A VM that has just started takes no part in what VMs divide among them.
func TestStartingVMOwnsNothing(t *testing.T) {
	f := newFleet(t)
	f.worker("w1", "s", "north-a")
	v := f.start("a", "north-a", nil)
	f.until("it serves", v.ready)
	if ids, listed := v.Live("north"); len(ids) > 0 || listed > 0 {
		t.Errorf("it names %v of %d", ids, listed)
	}
	f.until("it takes part", func() bool { ids, listed := v.Live("north"); return len(ids) == 1 && listed == 1 })
}

// The directory names the VMs of the client's region that live, and those of
// others only while it has none.
func TestDirectory(t *testing.T) {
	f, vms := threeVMs(t)
	south := f.start("s", "south-a", nil)
	f.until("the others know it", func() bool { return slices.Equal(f.addresses(vms[0], "south"), fronts(south)) })
	t.Run("a VM that ends is not named any more", func(t *testing.T) {
		vms[2].stop()
		f.within(2*time.Second, "c is not named", func() bool {
			return slices.Equal(f.addresses(vms[0], "north"), fronts(vms[0], vms[1]))
		})
	})
	t.Run("a region without VMs is served by others", func(t *testing.T) {
		south.stop()
		f.until("others are named", func() bool { return slices.Equal(f.addresses(vms[0], "south"), fronts(vms[0], vms[1])) })
	})
}

// A planned stop is not ready at once, ends what is under way, and then ends.
func TestPlannedStop(t *testing.T) {
	f := newFleet(t)
	f.worker("w1", "s", "north-a")
	v := f.start("a", "north-a", nil)
	f.until("it serves", v.ready)
	answered := make(chan int)
	go func() {
		status, _ := v.ask("/?work=1500ms")
		answered <- status
	}()
	time.Sleep(100 * time.Millisecond)
	v.stop()
	f.within(200*time.Millisecond, "it is not ready", func() bool { return !v.Ready() })
	if status, _ := v.ask("/"); status != http.StatusOK {
		t.Errorf("a client that still comes gets %d", status)
	}
	if status := <-answered; status != http.StatusOK {
		t.Errorf("the request under way got %d", status)
	}
	select {
	case <-v.done:
	case <-time.After(3 * time.Second):
		t.Error("it still runs after the grace")
	}
}

func TestSettingsAreChecked(t *testing.T) {
	_, err := gateway.New(gateway.Config{VM: "a b", Ingress: "x", Seeds: []string{"nowhere"}, Bounds: gateway.Bounds{RetryRatio: 2}})
	if !errors.Is(err, gateway.ErrConfig) {
		t.Fatal(err)
	}
	for _, field := range []string{"fleet", "vm", "hall", "halls", "ingress", "ready", "directory", "peer", "metrics", "seeds", "grace", "retry-ratio", "max-ttl", "apply-within"} {
		if !strings.Contains(err.Error(), field+": ") {
			t.Errorf("%s is not named in %q", field, err)
		}
	}
}
