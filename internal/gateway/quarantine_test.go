// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/quarantine"
	"github.com/ryehill/ryehill/state/route"
)

// putRetryableConfig writes a configuration whose requests may be retried once.
func (f *fleet) putRetryableConfig() {
	f.store.put(kindConfig, "main", route.Config{
		Version: 2, Services: []route.Service{{Name: "s"}},
		Routes: []route.Route{{
			Name: "r", Host: "h", Prefix: "/", Timeout: 3 * time.Second, Repeatable: true, MaxAttempts: 2,
			Targets: []route.Target{{Service: "s", Weight: 1}},
		}},
	})
}

// sendUntilStopped sends requests to random VMs until stop is closed.
func (f *fleet) sendUntilStopped(path string, every time.Duration, stop <-chan struct{}) {
	var served, failed atomic.Int64
	f.sendCounted(path, every, stop, func() bool { return true }, &served, &failed)
}

// sendCounted sends requests to random VMs until stop is closed, and counts the outcomes of
// those for which shouldCount returned true when they were sent.
func (f *fleet) sendCounted(path string, every time.Duration, stop <-chan struct{}, shouldCount func() bool, served, failed *atomic.Int64) {
	var pending sync.WaitGroup
	defer pending.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(every):
		}
		v := f.vms[rand.IntN(len(f.vms))]
		counted := shouldCount()
		pending.Go(func() {
			status, _ := v.sendRequest(path)
			switch {
			case !counted:
			case status == http.StatusOK:
				served.Add(1)
			default:
				failed.Add(1)
			}
		})
	}
}

// startCrashFleet starts six VMs and nine crashWorkers in three halls of two regions, and waits until
// all VMs resolve each other.
func startCrashFleet(t *testing.T) (*fleet, *crashWorkers) {
	hallCycle := []string{"north-a", "north-b", "south-a"}
	f, m := newFleet(t), &crashWorkers{}
	t.Cleanup(m.close)
	f.putRetryableConfig()
	for i := range 9 {
		m.start(f, fmt.Sprintf("w%d", i), hallCycle[i%3])
	}
	for i := range 6 {
		f.startVM(fmt.Sprintf("v%d", i), hallCycle[i%3], nil)
	}
	for _, v := range f.vms {
		f.waitFor(v.name+" knows all VMs", func() bool {
			return len(f.resolvedAddresses(v, "north")) == 4 && len(f.resolvedAddresses(v, "south")) == 2
		})
	}
	return f, m
}

// Guards against a repeated request crashing one worker after another.
func TestRequestThatEndsWorkers(t *testing.T) {
	cases := map[string]struct {
		// afterCrashes runs once three workers have crashed.
		afterCrashes func(f *fleet)
		// before runs before the first request.
		before func(f *fleet)
		// checkOthers requires that other requests keep being served.
		checkOthers bool
	}{
		"plain": {checkOthers: true},
		"the store is away": {before: func(f *fleet) {
			for _, v := range f.vms {
				v.storeClient.setFailure(true, false)
			}
		}},
		"all VMs restart": {afterCrashes: func(f *fleet) {
			time.Sleep(quarantineWithin / 2)
			f.restartAll()
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, m := startCrashFleet(t)
			if c.before != nil {
				c.before(f)
			}
			m.checkQuarantine(t, f, c.afterCrashes, c.checkOthers)
		})
	}
}

// checkQuarantine sends poison and other requests and checks that the VMs quarantine the
// former.
func (m *crashWorkers) checkQuarantine(t *testing.T, f *fleet, afterCrashes func(*fleet), checkOthers bool) {
	var served, failed, poisonServed, poisonFailed atomic.Int64
	known := func() bool {
		third, ok := m.thirdCrash()
		return ok && time.Since(third) > quarantineWithin
	}
	stop, stopPoison := make(chan struct{}), make(chan struct{})
	var senders sync.WaitGroup
	senders.Go(func() {
		f.sendCounted(poisonPath, 50*time.Millisecond, stopPoison, known, &poisonServed, &poisonFailed)
	})
	senders.Go(func() { f.sendCounted("/popular", 20*time.Millisecond, stop, known, &served, &failed) })
	f.waitFor("three workers have crashed", func() bool { _, ok := m.thirdCrash(); return ok })
	if afterCrashes != nil {
		close(stop)
		close(stopPoison)
		senders.Wait()
		afterCrashes(f)
		stop, stopPoison = make(chan struct{}), make(chan struct{})
		senders.Go(func() {
			f.sendCounted(poisonPath, 50*time.Millisecond, stopPoison, known, &poisonServed, &poisonFailed)
		})
		senders.Go(func() { f.sendCounted("/popular", 20*time.Millisecond, stop, known, &served, &failed) })
	}
	third, _ := m.thirdCrash()
	time.Sleep(time.Until(third.Add(quarantineWithin)) + 3*time.Second)
	close(stop)
	close(stopPoison)
	senders.Wait()
	if n := m.poisonRunsAfter(third.Add(quarantineWithin)); n > maxPoisonRuns {
		t.Errorf("a request that crashed three workers reached workers %d more times, want at most %d", n, maxPoisonRuns)
	}
	if checkOthers && failed.Load()*100 > served.Load()+failed.Load() {
		t.Errorf("%d of %d other requests failed", failed.Load(), served.Load()+failed.Load())
	}
}

// restartAll stops all VMs and restarts them with the same names and addresses.
func (f *fleet) restartAll() {
	old := f.vms
	for _, v := range old {
		v.stop()
	}
	for _, v := range old {
		<-v.done
	}
	f.vms, f.seeds = nil, nil
	for i, v := range old {
		f.startVM(v.name, []string{"north-a", "north-b", "south-a"}[i%3], func(cfg *gateway.Config, _ *storeClient) {
			ip, _, _ := strings.Cut(v.ingressAddr, ":")
			cfg.Ingress, cfg.Ready, cfg.Directory = v.ingressAddr, ip+":8002", ip+":8002"
			cfg.Peer, cfg.MetricsAddress = ip+":8003", ip+":8004"
		})
		f.vms[i].ingressAddr = v.ingressAddr
	}
	for _, v := range f.vms {
		f.waitFor(v.name+" is ready again", v.ready)
	}
}

// Guards against a quarantine not reaching VMs that never saw the request, without the store.
func TestQuarantinesReachAllVMs(t *testing.T) {
	f, m := startCrashFleet(t)
	for _, v := range f.vms {
		v.storeClient.setFailure(true, false)
	}
	f.waitFor("three workers have crashed", func() bool {
		f.vms[0].sendRequest(poisonPath)
		_, ok := m.thirdCrash()
		return ok
	})
	f.waitWithin(time.Second, "all VMs know the quarantine", func() bool {
		for _, v := range f.vms {
			if v.QuarantineCount() != 1 {
				return false
			}
		}
		return true
	})
}

// Guards against a VM that starts without the store running a request that its peers have
// quarantined.
func TestVMThatStartsWithoutStoreKnowsQuarantine(t *testing.T) {
	t.Parallel()
	f, m := startCrashFleet(t)
	f.setStoreUnavailable(true)
	f.waitFor("three workers have crashed", func() bool {
		f.vms[0].sendRequest(poisonPath)
		_, ok := m.thirdCrash()
		return ok
	})
	f.waitFor("all VMs know the quarantine", func() bool {
		return !slices.ContainsFunc(f.vms, func(v *vm) bool { return v.QuarantineCount() != 1 })
	})
	late := f.startVM("late", "north-a", func(_ *gateway.Config, s *storeClient) { s.setFailure(true, false) })
	f.waitFor("the VM serves", late.Ready)
	if n := late.QuarantineCount(); n != 1 {
		t.Errorf("a VM begins to serve with %d quarantined requests, want 1", n)
	}
}

// Guards against saved entries that undo a release, and against releases of earlier entries
// that let through a request which ends workers again.
func TestOnlyReleaseOfSameEntryCounts(t *testing.T) {
	now := time.Now().Truncate(time.Millisecond)
	entryOf := func(since time.Time) quarantine.Entry {
		return quarantine.Entry{Subject: "GET h/", Since: since, Until: since.Add(time.Minute), Times: 1}
	}
	saved := func(since time.Time) object.Event {
		raw, err := entryOf(since).Encode()
		if err != nil {
			t.Fatal(err)
		}
		return object.Event{Object: object.Object{Spec: raw}}
	}
	own, other, earlier, removal := saved(now), saved(now.Add(-50*time.Millisecond)), saved(now.Add(-time.Minute)), object.Event{Deleted: true}
	cases := map[string]struct {
		changes  []object.Event
		carried  bool
		released bool
	}{
		"saved alone":                           {[]object.Event{own}, false, false},
		"other saved, removed, saved":           {[]object.Event{other, removal, own}, false, true},
		"earlier entry removed, saved":          {[]object.Event{removal, own}, false, false},
		"earlier entry saved, removed, saved":   {[]object.Event{earlier, removal, own}, false, false},
		"carried, removed in this era":          {[]object.Event{removal, own}, true, true},
		"carried, nothing removed":              {[]object.Event{own}, true, false},
		"carried, removed, saved for later run": {[]object.Event{removal, saved(now.Add(time.Minute))}, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := gateway.WasReleased(c.changes, entryOf(now), c.carried); got != c.released {
				t.Errorf("released: %t, want %t", got, c.released)
			}
		})
	}
}
