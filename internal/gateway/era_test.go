// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/worker"
)

const (
	// lostChanges is the number of changes that the copy of a returning store lacks.
	lostChanges = 12
	// storeAbsence is how long the store is away before it returns from a copy.
	storeAbsence = 700 * time.Millisecond
	// eraSlack is added to bounds for a loaded machine.
	eraSlack = 400 * time.Millisecond
)

// storeCopy is a copy of the store's state.
type storeCopy struct {
	revision uint64
	kinds    map[string]map[string]object.Object
}

// copyState returns a copy of the current state.
func (s *memoryStore) copyState() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{revision: s.revision, kinds: make(map[string]map[string]object.Object)}
	for kind, objects := range s.kinds {
		c.kinds[kind] = maps.Clone(objects)
	}
	return c
}

// returnFrom replaces the state by an earlier copy: revisions go back, the history is
// gone, and a new era begins.
func (s *memoryStore) returnFrom(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.compactedAt = c.revision, c.revision
	clear(s.log)
	clear(s.kinds)
	for kind, objects := range c.kinds {
		s.kinds[kind] = maps.Clone(objects)
	}
	s.notifyWatches()
}

// eraFleet is a fleet of three VMs whose store returns from a copy of its state.
type eraFleet struct {
	*fleet
	// version is that of the newest configuration, writes the number of entries written.
	version, writes uint64
}

// startEraFleet starts three VMs with two workers of "s" and one of "other".
func startEraFleet(t *testing.T) *eraFleet {
	f, _ := startThreeVMs(t)
	f.startWorker("w2", "s", "north-b")
	e := &eraFleet{fleet: f, version: 1}
	e.awaitWorker("w2")
	return e
}

// configure writes the next version of the configuration, which routes to a service.
func (e *eraFleet) configure(service string) {
	e.version++
	e.putConfig(e.version, service)
}

// configureAgain writes the newest version again, as the operator does after a return.
func (e *eraFleet) configureAgain(service string) { e.putConfig(e.version, service) }

// workerEntry is the entry of a worker with the number of the call that wrote it.
type workerEntry struct {
	worker.Worker
	Seq uint64
}

// putWorker writes the entry of a running worker again.
func (e *eraFleet) putWorker(id string, change func(*worker.Worker)) {
	w, _, _ := codec{}.Worker(e.store.get(kindWorkers, id))
	if change != nil {
		change(&w)
	}
	e.writes++
	e.store.put(kindWorkers, id, workerEntry{Worker: w, Seq: e.writes})
}

// makeUnavailable cuts all VMs off from the store, or connects them again.
func (e *eraFleet) makeUnavailable(unavailable bool) {
	for _, v := range e.vms {
		v.storeClient.setFailure(unavailable, false)
	}
}

// returnFrom makes the store return from a copy after an absence. during runs before any
// VM reaches the store again.
func (e *eraFleet) returnFrom(c storeCopy, during func()) {
	e.makeUnavailable(true)
	time.Sleep(storeAbsence)
	e.store.returnFrom(c)
	if during != nil {
		during()
	}
	e.makeUnavailable(false)
}

func (e *eraFleet) awaitWorker(id string) {
	e.t.Helper()
	for _, v := range e.vms {
		e.waitFor(v.name+" knows "+id, func() bool { return v.KnowsWorker(id) })
	}
}

func (e *eraFleet) awaitVersion() {
	e.t.Helper()
	for _, v := range e.vms {
		e.waitFor(fmt.Sprintf("%s has version %d", v.name, e.version), func() bool { return v.Version() == e.version })
	}
}

// makeLostChanges makes changes that the copy of the store will lack.
func (e *eraFleet) makeLostChanges() {
	for range lostChanges {
		e.configure("s")
	}
	e.awaitVersion()
}

// checkNewRoute checks that the route to "other", which was just written, applies on all VMs
// in time.
func (e *eraFleet) checkNewRoute() {
	e.t.Helper()
	written := time.Now()
	for _, v := range e.vms {
		e.waitFor(v.name+" has the new route", func() bool { _, id := v.sendRequest("/"); return id == "o1" })
		if took := time.Since(written); took > applyWithin+eraSlack {
			e.t.Errorf("the change applied on %s after %s", v.name, took)
		}
	}
}

// returns are the ways in which the revisions of a returned store can relate to those
// that the VMs hold when a change is written.
var returns = map[string]func(e *eraFleet, c storeCopy, write func()){
	"the revision held is ahead": func(e *eraFleet, c storeCopy, write func()) {
		e.returnFrom(c, nil)
		write()
	},
	"the revision held is passed before a VM reads": func(e *eraFleet, c storeCopy, write func()) {
		e.returnFrom(c, func() {
			write()
			for range lostChanges + 2 {
				e.putWorker("o1", nil)
			}
		})
	},
}

// Guards against VMs that keep an old configuration since the store's revisions went back.
func TestConfigAfterStoreReturnsFromCopy(t *testing.T) {
	t.Parallel()
	for name, returnAndWrite := range returns {
		t.Run(name, func(t *testing.T) {
			e := startEraFleet(t)
			c := e.store.copyState()
			e.makeLostChanges()
			returnAndWrite(e, c, func() {
				e.configureAgain("s")
				e.configure("other")
			})
			e.checkNewRoute()
		})
	}
}

// Guards against requests to workers that left since the store's revisions went back.
func TestLeavingWorkerAfterStoreReturnsFromCopy(t *testing.T) {
	t.Parallel()
	for name, returnAndWrite := range returns {
		t.Run(name, func(t *testing.T) {
			e := startEraFleet(t)
			c := e.store.copyState()
			e.makeLostChanges()
			returnAndWrite(e, c, func() {
				e.configureAgain("s")
				for _, id := range []string{"w1", "w2"} {
					e.putWorker(id, func(w *worker.Worker) { w.Leaving = true })
				}
				e.startWorker("w3", "s", "north-a")
			})
			e.checkServedBy("w3", time.Now().Add(applyWithin+eraSlack))
		})
	}
}

// checkServedBy checks for two seconds from a time on that all requests are served by a
// worker.
func (e *eraFleet) checkServedBy(id string, from time.Time) {
	e.t.Helper()
	for n := 0; time.Until(from.Add(2*time.Second)) > 0; n++ {
		for _, v := range e.vms {
			sent := time.Now()
			status, got := v.sendRequest(fmt.Sprintf("/%d", n))
			if sent.After(from) && (status != http.StatusOK || got != id) {
				e.t.Fatalf("%s after the bound: status %d by %q at %s", sent.Sub(from), status, got, v.name)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// checkNotServedBy checks until a time that no VM sends requests to any of some workers.
func (e *eraFleet) checkNotServedBy(until time.Time, ids ...string) {
	e.t.Helper()
	for n := 0; time.Now().Before(until); n++ {
		for _, v := range e.vms {
			if status, got := v.sendRequest(fmt.Sprintf("/%d", n)); status == http.StatusOK && slices.Contains(ids, got) {
				e.t.Fatalf("%s before the end: served by %q at %s", time.Until(until), got, v.name)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against VMs that believe the store's older copy before anything is written again.
func TestNothingGoesBackWithTheStore(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		// change is what the copy lacks, after which the workers of avoided get nothing.
		change  func(e *eraFleet)
		avoided []string
		// again writes the change again. For a time from the return on the VMs must not
		// depend on it.
		again func(e *eraFleet)
	}{
		"an older configuration": {
			change:  func(e *eraFleet) { e.configure("other") },
			avoided: []string{"w1", "w2"},
			again:   func(e *eraFleet) { e.configureAgain("other") },
		},
		"a worker that said that it leaves": {
			change:  func(e *eraFleet) { e.putWorker("w2", func(w *worker.Worker) { w.Leaving = true }) },
			avoided: []string{"w2"},
			again:   func(e *eraFleet) { e.putWorker("w2", func(w *worker.Worker) { w.Leaving = true }) },
		},
		"a worker that is gone": {
			change:  func(e *eraFleet) { e.store.remove(kindWorkers, "w2") },
			avoided: []string{"w2"},
			again:   func(e *eraFleet) { e.store.remove(kindWorkers, "w2") },
		},
		"a closed hall": {
			change:  func(e *eraFleet) { e.store.put(kindClosed, "north-b", struct{}{}) },
			avoided: []string{"w2"},
			again:   func(e *eraFleet) { e.store.put(kindClosed, "north-b", struct{}{}) },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := startEraFleet(t)
			e.putWorker("w2", nil) // Both states of the entry have a number.
			copied := e.store.copyState()
			c.change(e)
			time.Sleep(applyWithin + eraSlack)
			e.returnFrom(copied, nil)
			e.checkNotServedBy(time.Now().Add(1800*time.Millisecond), c.avoided...)
			c.again(e)
			e.checkNotServedBy(time.Now().Add(closedGraceInTest), c.avoided...)
		})
	}
}

// closedGraceInTest is longer than any state of an earlier era lasts that is not written
// again.
const closedGraceInTest = 6 * time.Second

// Guards against a worker that stays in use for good since the copy lacks its entry.
func TestWorkerThatIsNotWrittenAgainIsDropped(t *testing.T) {
	t.Parallel()
	e := startEraFleet(t)
	copied := e.store.copyState()
	e.startWorker("w3", "s", "north-a")
	e.awaitWorker("w3")
	e.returnFrom(copied, nil)
	returned := time.Now()
	for _, v := range e.vms {
		e.waitFor(v.name+" knows the new era", func() bool { return v.Era(kindWorkers) == 1 })
		if !v.KnowsWorker("w3") {
			t.Errorf("%s dropped the worker %s after the return", v.name, time.Since(returned))
		}
	}
	for _, v := range e.vms {
		e.waitFor(v.name+" drops the worker", func() bool { return !v.KnowsWorker("w3") })
	}
	if took := time.Since(returned); took > 2*time.Second+staleAfter+eraSlack {
		t.Errorf("the worker was dropped after %s", took)
	}
}

// Guards against a starting VM that serves by the store's copy although its peers know more.
func TestVMThatStartsAfterStoreReturnsFromCopy(t *testing.T) {
	t.Parallel()
	e := startEraFleet(t)
	c := e.store.copyState()
	e.configure("other")
	e.awaitVersion()
	e.store.returnFrom(c)
	late := e.startVM("d", "north-b", nil)
	for start := time.Now(); time.Since(start) < 1500*time.Millisecond; time.Sleep(2 * time.Millisecond) {
		if status, id := late.sendRequest("/"); status == http.StatusOK && id != "o1" {
			t.Fatalf("%s after the start: served by %q, the configuration before", time.Since(start), id)
		}
	}
	if status, id := late.sendRequest("/"); status != http.StatusOK || id != "o1" {
		t.Errorf("status %d by %q", status, id)
	}
}

// Guards against a VM without the store that does not hear of a new era from its peers.
func TestVMWithoutStoreTakesNewEraFromPeers(t *testing.T) {
	t.Parallel()
	e := startEraFleet(t)
	c := e.store.copyState()
	e.makeLostChanges()
	e.vms[2].storeClient.setFailure(true, false)
	e.store.returnFrom(c)
	e.configureAgain("s")
	e.configure("other")
	e.checkNewRoute()
}

// Guards against replicas that miss a return which follows another within a second.
func TestStoreReturnsFromCopiesInSeries(t *testing.T) {
	t.Parallel()
	e := startEraFleet(t)
	c := e.store.copyState()
	e.makeLostChanges()
	for range 3 {
		e.returnFrom(c, func() { e.configureAgain("s") })
		time.Sleep(250 * time.Millisecond)
		e.store.dropHistory(func() { e.putWorker("w1", nil) })
	}
	e.configure("other")
	e.checkNewRoute()
}
