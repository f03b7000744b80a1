// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/ryehill/ryehill/coordination/intent"
	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/rollout"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/transport/operator"
)

// restoreWithin is the time from the return of the store until the fleet's own objects
// are written again.
const restoreWithin = 5 * time.Second

// confirmDrain drains a worker through a VM's operator API.
func confirmDrain(t *testing.T, v *vm, id string) {
	t.Helper()
	var p intent.Plan
	if status := v.callOperatorAPI(t, http.MethodPost, "/v1/plans", intent.Envelope{Intent: intent.DrainUpstream{Upstream: id}}, &p); status != http.StatusCreated {
		t.Fatalf("plan to drain %s: status %d", id, status)
	}
	if status := v.callOperatorAPI(t, http.MethodPost, "/v1/plans/"+p.ID+"/confirm", nil, nil); status != http.StatusOK {
		t.Fatalf("drain of %s: status %d", id, status)
	}
}

// drained returns the workers that a VM reports as drained.
func (v *vm) drained(t *testing.T) []string {
	var s operator.Status
	v.callOperatorAPI(t, http.MethodGet, "/v1/status", nil, &s)
	slices.Sort(s.Leaving)
	return s.Leaving
}

// storedDrains returns the workers that the stored traffic object drains.
func (f *fleet) storedDrains() []string {
	var stored struct{ Traffic spec.Traffic }
	_ = json.Unmarshal(f.store.get(kindTraffic, spec.SingletonName).Spec, &stored)
	slices.Sort(stored.Traffic.Leaving)
	return stored.Traffic.Leaving
}

// awaitDrains waits until all VMs and the store have the drains of some workers.
func (e *eraFleet) awaitDrains(vms []*vm, ids ...string) {
	e.t.Helper()
	for _, v := range vms {
		e.waitWithin(restoreWithin, fmt.Sprintf("%s reports the drains of %v", v.name, ids), func() bool { return slices.Equal(v.drained(e.t), ids) })
	}
	e.waitWithin(restoreWithin, fmt.Sprintf("the store has the drains of %v", ids), func() bool { return slices.Equal(e.storedDrains(), ids) })
}

// Guards against confirmed intents that are lost with the store's copy.
func TestConfirmedIntentsAfterStoreReturnsFromCopy(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		// before runs on the state that is copied, after once the store has returned.
		before, after func(t *testing.T, e *eraFleet, vms []*vm) []*vm
		want          []string
	}{
		"no other intent": {want: []string{"a1"}},
		"another one is confirmed at once": {
			after: func(t *testing.T, _ *eraFleet, vms []*vm) []*vm { confirmDrain(t, vms[1], "b1"); return vms },
			want:  []string{"a1", "b1"},
		},
		"an earlier one is in the copy": {
			before: func(t *testing.T, _ *eraFleet, vms []*vm) []*vm { confirmDrain(t, vms[0], "b1"); return vms },
			after:  func(t *testing.T, _ *eraFleet, vms []*vm) []*vm { confirmDrain(t, vms[1], "b2"); return vms },
			want:   []string{"a1", "b1", "b2"},
		},
		"a VM restarts meanwhile": {
			after: func(t *testing.T, e *eraFleet, vms []*vm) []*vm {
				vms[0].stop()
				late := e.startVM("c", "north-a", func(c *gateway.Config, _ *storeClient) { c.Token = token })
				e.waitFor("c is ready", late.ready)
				confirmDrain(t, late, "b1")
				return []*vm{vms[1], late}
			},
			want: []string{"a1", "b1"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, vms := startIntentFleet(t)
			e := &eraFleet{fleet: f, version: 1}
			if c.before != nil {
				c.before(t, e, vms)
			}
			copied := f.store.copyState()
			e.makeLostChanges()
			confirmDrain(t, vms[0], "a1")
			f.waitFor("b reports the drain", func() bool { return slices.Contains(vms[1].drained(t), "a1") })
			e.returnFrom(copied, nil)
			if c.after != nil {
				vms = c.after(t, e, vms)
			}
			e.awaitDrains(vms, c.want...)
			e.checkNotServedBy(time.Now().Add(time.Second), "a1")
		})
	}
}

// Guards against a stopped intent that comes back with the store's copy.
func TestStoppedIntentStaysStoppedAfterStoreReturnsFromCopy(t *testing.T) {
	t.Parallel()
	f, vms := startIntentFleet(t)
	e := &eraFleet{fleet: f, version: 1}
	confirmDrain(t, vms[0], "a1")
	f.waitFor("b reports the drain", func() bool { return len(vms[1].drained(t)) == 1 })
	copied := f.store.copyState()
	e.makeLostChanges()
	if status := vms[0].callOperatorAPI(t, http.MethodPost, "/v1/intents/a1/stop", nil, nil); status != http.StatusOK {
		t.Fatalf("stop: status %d", status)
	}
	f.waitFor("b reports no drain", func() bool { return len(vms[1].drained(t)) == 0 })
	e.returnFrom(copied, nil)
	for start := time.Now(); time.Since(start) < restoreWithin; time.Sleep(50 * time.Millisecond) {
		if got := vms[1].drained(t); len(got) > 0 {
			t.Fatalf("%s after the return: drains %v", time.Since(start), got)
		}
	}
	if got := f.storedDrains(); len(got) > 0 {
		t.Errorf("the store has the drains of %v", got)
	}
}

// Guards against an intent that is lost to a late write whose condition holds again.
func TestIntentThatALateWriteReplacesIsWrittenAgain(t *testing.T) {
	t.Parallel()
	f, vms := startIntentFleet(t)
	e := &eraFleet{fleet: f, version: 1}
	confirmDrain(t, vms[0], "a1")
	f.waitFor("b reports the drain", func() bool { return len(vms[1].drained(t)) == 1 })
	late := f.store.get(kindTraffic, spec.SingletonName)
	confirmDrain(t, vms[1], "b1")
	f.waitFor("a reports both drains", func() bool { return len(vms[0].drained(t)) == 2 })
	f.store.putRaw(kindTraffic, late)
	time.Sleep(time.Second)
	e.awaitDrains(vms, "a1", "b1")
}

// Guards against stale lists of before the return that hide the state after it.
func TestStaleListsAfterStoreReturnsFromCopy(t *testing.T) {
	t.Parallel()
	f, vms := startIntentFleet(t)
	e := &eraFleet{fleet: f, version: 1}
	copied := f.store.copyState()
	e.makeLostChanges()
	old := f.store.copyState()
	for _, v := range vms {
		v.storeClient.setStaleState(&old)
	}
	e.returnFrom(copied, nil)
	time.Sleep(3 * time.Second) // Until the lists after the return.
	confirmDrain(t, vms[0], "a1")
	e.awaitDrains(vms, "a1")
	for _, v := range vms {
		if at := v.TrafficRevision(); at >= old.revision {
			t.Errorf("%s is at revision %d of the traffic object, before the return at %d", v.name, at, old.revision)
		}
	}
}

// Guards against a rollout that is judged again since the store lost its state.
func TestRolloutStateAfterStoreReturnsFromCopy(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	e := &eraFleet{fleet: f, version: 1}
	f.startWorker("w1", "s", "north-a")
	order := rollout.Order{Service: "s", Version: 2, Name: "v2", Duration: time.Minute}
	for _, name := range []string{"a", "b"} {
		v := f.startVM(name, "north-a", func(c *gateway.Config, _ *storeClient) { c.Bounds.RolloutShare = 0.1 })
		f.waitFor(name+" is ready", v.ready)
	}
	f.store.put(kindRollouts, "s", order)
	copied := f.store.copyState()
	e.makeLostChanges()
	order.Phase = rollout.PhaseRolledBack
	f.store.put(kindRollouts, "s", order)
	phase := func() rollout.Phase {
		stored, _ := codec{}.Rollout(f.store.get(kindRollouts, "s"))
		return stored.Phase
	}
	for _, v := range f.vms {
		f.waitFor(v.name+" knows the result", func() bool { return v.RolloutPhase("s") == rollout.PhaseRolledBack })
	}
	e.returnFrom(copied, nil)
	e.waitWithin(restoreWithin, "the result is stored again", func() bool { return phase() == rollout.PhaseRolledBack })
	for _, v := range f.vms {
		if got := v.RolloutPhase("s"); got != rollout.PhaseRolledBack {
			t.Errorf("%s has phase %s", v.name, got)
		}
	}
}

// Guards against VMs that stay unlisted since the store lost their entries, and against
// all VMs writing theirs.
func TestVMEntriesAfterStoreReturnsFromCopy(t *testing.T) {
	t.Parallel()
	e := startEraFleet(t)
	time.Sleep(time.Second) // Until all have written their entries.
	copied := e.store.copyState()
	late := e.startVM("d", "north-b", nil)
	e.waitFor("d is ready", late.ready)
	e.waitFor("the store lists d", func() bool { return e.store.get(kindMembers, "north-b.d").Spec != nil })
	before := make(map[string]int)
	for _, v := range e.vms {
		before[v.name] = v.storeClient.callCount("put " + kindMembers)
	}
	e.returnFrom(copied, nil)
	e.waitWithin(restoreWithin, "the store lists d again", func() bool { return e.store.get(kindMembers, "north-b.d").Spec != nil })
	time.Sleep(3 * time.Second)
	for _, v := range e.vms {
		want := 0
		if v == late {
			want = 1
		}
		if writes := v.storeClient.callCount("put "+kindMembers) - before[v.name]; writes != want {
			t.Errorf("%s wrote its entry %d times, want %d", v.name, writes, want)
		}
	}
}

// Guards against quarantined requests that the fleet forgets, or quarantines again, with
// the store's copy.
func TestQuarantineAfterStoreReturnsFromCopy(t *testing.T) {
	t.Parallel()
	f, _ := startCrashFleet(t)
	e := &eraFleet{fleet: f, version: 2}
	stop := make(chan struct{})
	go f.sendUntilStopped(poisonPath, 150*time.Millisecond, stop)
	f.waitFor("the request is quarantined and stored", func() bool { return len(e.storedQuarantine()) == 1 })
	close(stop)
	entry := e.storedQuarantine()[0]
	withEntry := f.store.copyState()
	withoutEntry := f.store.copyState()
	withoutEntry.kinds[kindQuarantine] = nil
	e.returnFrom(withoutEntry, nil)
	e.waitWithin(restoreWithin+listEvery, "the entry is stored again", func() bool { return len(e.storedQuarantine()) == 1 })
	for _, v := range f.vms {
		if v.QuarantineCount() != 1 {
			t.Errorf("%s has %d quarantined requests", v.name, v.QuarantineCount())
		}
	}
	f.store.remove(kindQuarantine, entry.Name)
	f.waitFor("the request is released", func() bool {
		return !slices.ContainsFunc(f.vms, func(v *vm) bool { return v.QuarantineCount() > 0 })
	})
	e.returnFrom(withEntry, nil)
	e.waitWithin(restoreWithin+listEvery, "the released entry is deleted again", func() bool { return len(e.storedQuarantine()) == 0 })
}

// startFleetWithQuarantine starts a fleet in which a request is quarantined, and returns the
// stored entry.
func startFleetWithQuarantine(t *testing.T) (*eraFleet, object.Object) {
	f, _ := startCrashFleet(t)
	e := &eraFleet{fleet: f, version: 2}
	stop := make(chan struct{})
	go f.sendUntilStopped(poisonPath, 150*time.Millisecond, stop)
	f.waitFor("the request is quarantined and stored", func() bool { return len(e.storedQuarantine()) == 1 })
	close(stop)
	return e, e.storedQuarantine()[0]
}

// Guards against a release that is undone, since the VMs hear of the removed entry only after
// its removal.
func TestReleaseBeforeQuarantineIsRestoredHolds(t *testing.T) {
	t.Parallel()
	e, entry := startFleetWithQuarantine(t)
	f, withoutEntry := e.fleet, e.store.copyState()
	withoutEntry.kinds[kindQuarantine] = nil
	setQuarantineUnavailable := func(kind string) {
		for _, v := range f.vms {
			v.storeClient.setUnavailableKind(kind)
		}
	}
	e.returnFrom(withoutEntry, func() { setQuarantineUnavailable(kindQuarantine) })
	f.waitFor("all VMs know of the return", func() bool {
		return !slices.ContainsFunc(f.vms, func(v *vm) bool { return v.Era(kindConfig) != 1 })
	})
	// As if one of the VMs that had found the request had stored it, and an operator removed it.
	f.store.put(kindQuarantine, entry.Name, json.RawMessage(entry.Spec))
	f.store.remove(kindQuarantine, entry.Name)
	setQuarantineUnavailable("")
	e.waitWithin(restoreWithin+listEvery, "the request is released at all VMs", func() bool {
		return !slices.ContainsFunc(f.vms, func(v *vm) bool { return v.QuarantineCount() > 0 })
	})
	if n := len(e.storedQuarantine()); n > 0 {
		t.Errorf("the store has %d quarantined requests after the release", n)
	}
}

// Guards against a VM that keeps refusing a released request, since it takes over what a peer
// had carried of it only after the entry was saved and removed.
func TestEntryCarriedAfterItsReleaseEnds(t *testing.T) {
	t.Parallel()
	e, entry := startFleetWithQuarantine(t)
	withoutEntry := e.store.copyState()
	withoutEntry.kinds[kindQuarantine] = nil
	e.returnFrom(withoutEntry, nil)
	e.waitWithin(restoreWithin+listEvery, "the entry is stored again", func() bool { return len(e.storedQuarantine()) == 1 })
	e.store.remove(kindQuarantine, entry.Name)
	anyQuarantined := func() bool {
		return slices.ContainsFunc(e.vms, func(v *vm) bool { return v.QuarantineCount() > 0 })
	}
	e.waitFor("the request is released", func() bool { return !anyQuarantined() })
	for _, v := range e.vms {
		if !v.IsController() {
			v.TakeCarried(kindQuarantine, object.Carried{Object: entry, Left: object.Unlimited})
		}
	}
	e.waitFor("a VM carries the entry", anyQuarantined)
	e.waitWithin(listEvery, "the request is released at all VMs", func() bool { return !anyQuarantined() })
	if n := len(e.storedQuarantine()); n > 0 {
		t.Errorf("the store has %d quarantined requests after the release", n)
	}
}

// listEvery is the interval at which VMs list kinds that they do not watch.
const listEvery = 10 * time.Second

func (e *eraFleet) storedQuarantine() []object.Object {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	var entries []object.Object
	for _, o := range e.store.kinds[kindQuarantine] {
		entries = append(entries, o)
	}
	return entries
}
