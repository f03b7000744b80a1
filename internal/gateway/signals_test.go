// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/state/worker"
)

// Guards against requests to a worker whose responses announce that it is leaving.
func TestWorkerThatAnnouncesLeaving(t *testing.T) {
	cases := map[string]func(f *fleet){
		"the store is away":   func(f *fleet) { f.setStoreUnavailable(true) },
		"the store has ready": func(*fleet) {},
	}
	for name, before := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, workers := startSignalFleet(t, 4, 6)
			before(f)
			stop := make(chan struct{})
			ended := make(chan *outcomes)
			go func() { ended <- f.generateLoad(4*time.Millisecond, stop) }()
			time.Sleep(500 * time.Millisecond)
			for _, w := range workers[:2] {
				w.setLeaving(true)
			}
			time.Sleep(applyWithin + 2*time.Second)
			close(stop)
			served, lost := (<-ended).counts()
			for _, w := range workers[:2] {
				if n := w.requestsAfterLeaving(applyWithin); n > 0 {
					t.Errorf("%s got %d requests sent over %s after it announced that it is leaving", w.id, n, applyWithin)
				}
			}
			if lost*100 > served+lost {
				t.Errorf("%d of %d requests were lost although other workers had capacity", lost, served+lost)
			}
		})
	}
}

// setStoreUnavailable makes the store unavailable to all VMs, or available again.
func (f *fleet) setStoreUnavailable(unavailable bool) {
	for _, v := range f.vms {
		v.storeClient.setFailure(unavailable, false)
	}
}

// Guards against a leaving announcement applying to the worker's next incarnation.
func TestNextIncarnationOfLeavingWorker(t *testing.T) {
	f, workers := startSignalFleet(t, 2, 2)
	leaver := workers[0]
	leaver.setLeaving(true)
	f.generateLoadFor(5*time.Millisecond, applyWithin+500*time.Millisecond)
	leaver.setLeaving(false) // A new process at the same address.
	restarted := time.Now()
	f.generateLoadFor(5*time.Millisecond, 500*time.Millisecond)
	if n := leaver.arrivalsAfter(restarted); n > 0 {
		t.Errorf("%d requests reached a worker that has left, before its next incarnation was registered", n)
	}
	f.store.put(kindWorkers, leaver.id, leaver.workerEntry("north-a", 7))
	f.waitFor("the next incarnation gets requests", func() bool {
		f.generateLoadFor(5*time.Millisecond, 50*time.Millisecond)
		return leaver.arrivalsAfter(restarted) > 0
	})
}

// Guards against requests to workers that requested a rest.
func TestWorkersThatAskForRest(t *testing.T) {
	f, workers := startSignalFleet(t, 4, 9)
	stop := make(chan struct{})
	ended := make(chan *outcomes)
	go func() { ended <- f.generateLoad(4*time.Millisecond, stop) }()
	time.Sleep(500 * time.Millisecond)
	for _, w := range workers[:3] {
		w.setRests(0.5, time.Second, 2500*time.Millisecond, 3*time.Second)
	}
	time.Sleep(6 * time.Second)
	for _, w := range workers[:3] {
		w.setRests(0)
	}
	restsOver := time.Now()
	time.Sleep(4 * time.Second)
	close(stop)
	served, lost := (<-ended).counts()
	for _, w := range workers[:3] {
		requested, violated := w.restCounts()
		if requested == 0 || violated > 0 {
			t.Errorf("%s requested a rest %d times, violated %d times", w.id, requested, violated)
		}
		if w.arrivalsAfter(restsOver) == 0 {
			t.Errorf("%s gets no requests after its rests", w.id)
		}
	}
	if lost*100 > served+lost {
		t.Errorf("%d of %d requests were lost although other workers had capacity", lost, served+lost)
	}
}

// Guards against a leaving announcement not reaching other VMs during a store outage.
func TestVMsShareLeavingSignals(t *testing.T) {
	const spreadWithin = 1500 * time.Millisecond
	f, workers := startSignalFleet(t, 3, 4)
	south := f.startVM("south", "south-a", nil)
	f.waitFor("south is ready", south.ready)
	f.waitFor("all VMs know the southern VM", func() bool { return len(f.resolvedAddresses(f.vms[0], "south")) == 1 })
	f.setStoreUnavailable(true)
	leaver := workers[0]
	leaver.setLeaving(true)
	f.waitFor("one VM knows that the worker is leaving", func() bool { f.vms[0].sendRequest("/?vm=v0"); return f.vms[0].IsLeaving(leaver.id) })
	f.waitWithin(spreadWithin, "all VMs know that the worker is leaving", func() bool {
		for _, v := range f.vms {
			if !v.IsLeaving(leaver.id) {
				return false
			}
		}
		return true
	})
	late := f.startVM("late", "north-b", func(_ *gateway.Config, d *storeClient) { d.setFailure(true, false) })
	f.waitFor("late is ready", late.ready)
	f.waitWithin(spreadWithin, "the late VM knows that the worker is leaving", func() bool { return late.IsLeaving(leaver.id) })
	f.store.put(kindWorkers, leaver.id, leaver.workerEntry("north-a", 7))
	f.setStoreUnavailable(false)
	late.storeClient.setFailure(false, false)
	next := worker.Worker{ID: leaver.id, Start: 7}
	for _, v := range f.vms {
		f.waitFor(v.name+" knows the next incarnation", func() bool { return v.KnowsIncarnation(next.Incarnation()) })
		if v.IsLeaving(next.Incarnation()) {
			t.Errorf("%s treats the next incarnation as leaving", v.name)
		}
	}
}

// Guards against the search for leaving and resting workers scaling with the number of workers.
func TestHeldBackCostIsIndependentOfWorkerCount(t *testing.T) {
	allocations := func(workers int) float64 {
		list := make([]worker.Worker, workers)
		for i := range list {
			list[i] = worker.Worker{ID: fmt.Sprint("w", i), Service: "s", Leaving: i == 7}
		}
		find := gateway.HeldBackCounter(list)
		return testing.AllocsPerRun(20, func() {
			if find() != 1 {
				t.Fatal("the leaving worker was not found")
			}
		})
	}
	if few, many := allocations(500), allocations(8000); many > few {
		t.Errorf("%.0f allocations among 8,000 workers, %.0f among 500", many, few)
	}
}
