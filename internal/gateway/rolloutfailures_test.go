// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/state/rollout"
	"github.com/ryehill/ryehill/state/worker"
)

// stopControllerAt stops the deciding VM once a VM has reached a phase.
func stopControllerAt(p rollout.Phase) func(f *fleet, _ *versionedService) {
	return func(f *fleet, _ *versionedService) {
		f.waitFor("a VM is in phase "+p.String(), func() bool {
			for _, v := range f.vms {
				if v.RolloutProgress("s") >= p {
					return true
				}
			}
			return false
		})
		for i, v := range f.vms {
			if v.IsController() {
				v.stop()
				<-v.done
				f.vms = append(f.vms[:i:i], f.vms[i+1:]...)
				return
			}
		}
	}
}

// storedPhases returns the phases of a version of service s in the order in which they were
// stored.
func (f *fleet) storedPhases(version rollout.Version) []rollout.Phase {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	var phases []rollout.Phase
	for _, e := range f.store.log[kindRollouts] {
		if o, err := (codec{}).Rollout(e.Object); err == nil && o.Service == "s" && o.Version == version {
			phases = append(phases, o.Phase)
		}
	}
	return phases
}

// Guards against orders that are not completed, or that break requests, after a failure.
func TestOrdersSurviveFailures(t *testing.T) {
	for name, disturb := range map[string]func(f *fleet, s *versionedService){
		"decider stops before the trial":    stopControllerAt(rollout.PhaseOrdered),
		"decider stops in the trial":        stopControllerAt(rollout.PhaseTrial),
		"decider stops in the shift":        stopControllerAt(rollout.PhaseShift),
		"decider stops once it is proved":   stopControllerAt(rollout.PhaseProved),
		"replies to status writes are lost": loseStatusReplies,
		"another writer sets the status": func(f *fleet, _ *versionedService) {
			for range 20 {
				if o := f.storedOrder(); !o.Phase.Final() {
					o.Phase = rollout.PhaseOrdered
					f.store.put(kindRollouts, "s", o)
				}
				time.Sleep(200 * time.Millisecond)
			}
		},
		"the store is away for the decider and another VM": func(f *fleet, _ *versionedService) {
			others := 0
			for _, v := range f.vms {
				if v.IsController() || others == 0 {
					v.storeClient.setFailure(true, false)
				}
				if !v.IsController() {
					others++
				}
			}
			time.AfterFunc(rolloutWithin/2, func() { f.setStoreUnavailable(false) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, s := startRolloutFleet(t)
			s.startAll(2)
			load := *f
			load.vms = nil
			for _, v := range f.vms {
				if !v.IsController() {
					load.vms = append(load.vms, v)
				}
			}
			stop, ended := make(chan struct{}), make(chan *outcomes)
			go func() { ended <- load.generateLoad(4*time.Millisecond, stop) }()
			ordered := f.putRolloutOrder()
			disturb(f, s)
			f.waitForPhase(rollout.PhaseCompleted)
			if took := time.Since(ordered); took > rolloutWithin {
				t.Errorf("completed after %s, want %s", took, rolloutWithin)
			}
			s.stopAll(1)
			time.Sleep(time.Second)
			close(stop)
			if served, lost := (<-ended).counts(); lost > 0 {
				t.Errorf("%d of %d requests were lost", lost, served+lost)
			}
			phases := f.storedPhases(2)
			for i, p := range phases {
				if p.Final() && i < len(phases)-1 || p == rollout.PhaseRolledBack {
					t.Errorf("the stored phases are %v", phases)
				}
			}
		})
	}
}

// loseStatusReplies makes each VM lose the replies to its next writes, which are done.
func loseStatusReplies(f *fleet, _ *versionedService) {
	f.waitForPhase(rollout.PhaseTrial)
	for _, v := range f.vms {
		v.storeClient.loseWriteReplies(2, false)
	}
}

// Guards against serving a version whose order has been withdrawn or replaced.
func TestOrdersThatChangeInProgress(t *testing.T) {
	for name, version := range map[string]rollout.Version{"withdrawn": 0, "replaced": 3} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, s := startRolloutFleet(t)
			s.startAll(2)
			stop, ended := make(chan struct{}), make(chan *outcomes)
			go func() { ended <- f.generateLoad(4*time.Millisecond, stop) }()
			f.putRolloutOrder()
			f.waitFor("version 2 gets requests", func() bool { return s.requestsBetween(2, time.Time{}, time.Now()) > 0 })
			if version == 0 {
				f.store.remove(kindRollouts, "s")
				time.Sleep(time.Second)
			} else {
				s.startAll(version)
				f.store.put(kindRollouts, "s", rollout.Order{Service: "s", Version: version, Name: fmt.Sprint("v", version), Duration: rolloutWithin})
				time.Sleep(time.Second)
			}
			changed := time.Now()
			if version > 0 {
				f.waitForPhase(rollout.PhaseCompleted)
				s.stopAll(1)
			}
			time.Sleep(time.Second)
			close(stop)
			if served, lost := (<-ended).counts(); lost > 0 {
				t.Errorf("%d of %d requests were lost", lost, served+lost)
			}
			if n := s.requestsBetween(2, changed, time.Now()); n > 0 {
				t.Errorf("%d requests reached a version whose order is %s", n, name)
			}
			if got := f.storedOrder(); got.Version != version {
				t.Errorf("the order is of version %d, want %d", got.Version, version)
			}
		})
	}
}

// Guards against an order that VMs don't find when they start, and against orders that
// influence each other.
func TestOrdersOfTwoServicesWithoutVMs(t *testing.T) {
	t.Parallel()
	f, s := startRolloutFleet(t)
	for _, v := range f.vms {
		v.stop()
		<-v.done
	}
	f.vms, f.seeds = nil, nil
	s.startAll(2)
	s.setFailureRatio(0.5)
	for version := rollout.Version(1); version <= 2; version++ {
		f.store.put(kindWorkers, fmt.Sprint("o", version), worker.Worker{Service: "other", Hall: "north-a", Slots: 8, Address: newIP() + ":1", Version: version})
	}
	f.store.put(kindRollouts, "other", rollout.Order{Service: "other", Version: 2, Name: "v2", Duration: rolloutWithin})
	ordered := f.putRolloutOrder()
	for i := range 5 {
		f.startVM(fmt.Sprintf("n%d", i), []string{"north-a", "north-b", "south-a"}[i%3], func(c *gateway.Config, _ *storeClient) {
			c.Bounds.RolloutShare = rolloutShare
		})
	}
	for _, v := range f.vms {
		f.waitFor(v.name+" is ready", v.Ready)
	}
	stop, ended := make(chan struct{}), make(chan *outcomes)
	go func() { ended <- f.generateLoad(4*time.Millisecond, stop) }()
	f.waitForPhase(rollout.PhaseRolledBack)
	f.waitFor("the other order is completed", func() bool {
		o, _ := codec{}.Rollout(f.store.get(kindRollouts, "other"))
		return o.Phase == rollout.PhaseCompleted
	})
	close(stop)
	<-ended
	due := ordered.Add(rolloutWithin)
	all := s.requestsBetween(1, ordered, due) + s.requestsBetween(2, ordered, due)
	if n := s.requestsBetween(2, ordered, due); float64(n) > rolloutShare*float64(all)+rolloutSlack {
		t.Errorf("a failing version got %d of %d requests", n, all)
	}
}
