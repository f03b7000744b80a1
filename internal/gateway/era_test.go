// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"fmt"
	"maps"
	"net/http"
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
	// version is that of the newest configuration.
	version uint64
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

// putWorker writes the entry of a running worker again.
func (e *eraFleet) putWorker(id string, change func(*worker.Worker)) {
	w, _, _ := codec{}.Worker(e.store.get(kindWorkers, id))
	if change != nil {
		change(&w)
	}
	e.store.put(kindWorkers, id, w)
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
			written := time.Now()
			for _, v := range e.vms {
				e.waitFor(v.name+" has the new route", func() bool { _, id := v.sendRequest("/"); return id == "o1" })
				if took := time.Since(written); took > applyWithin+eraSlack {
					t.Errorf("the change applied on %s after %s", v.name, took)
				}
			}
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
