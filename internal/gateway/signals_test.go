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

// What users saw: requests still reached a back end 2.6 s after an answer had told the VM
// that the back end leaves, while 2.5 s are allowed. The store took no call for 12 s; the
// worker had begun to leave within that time, said so in all its answers, and got requests
// at its usual rate for as long as the store was silent.
//
// The cause is that what a worker says of itself in its answers was heard by nobody: that
// it leaves was known from the store alone. What proved it: the lines that tell of it, once
// there were any, were written by every VM that used the worker, before the rule broke, and
// changed nothing.
func TestWorkerThatSaysItLeaves(t *testing.T) {
	cases := map[string]func(f *fleet){
		"the store is away":    func(f *fleet) { f.shutStore(true) },
		"the store says ready": func(*fleet) {},
	}
	for name, before := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, workers := signalFleet(t, 4, 6)
			before(f)
			stop := make(chan struct{})
			ended := make(chan *answers)
			go func() { ended <- f.load(4*time.Millisecond, stop) }()
			time.Sleep(500 * time.Millisecond)
			for _, w := range workers[:2] {
				w.leave(true)
			}
			time.Sleep(applyWithin + 2*time.Second)
			close(stop)
			served, lost := (<-ended).counts()
			for _, w := range workers[:2] {
				if n := w.afterLeaving(applyWithin); n > 0 {
					t.Errorf("%s got %d requests that were sent over %s after it had said that it leaves", w.id, n, applyWithin)
				}
			}
			if lost*100 > served+lost {
				t.Errorf("%d of %d requests were lost though others have room", lost, served+lost)
			}
		})
	}
}

// shutStore takes the store away from all VMs, or gives it back.
func (f *fleet) shutStore(shut bool) {
	for _, v := range f.vms {
		v.door.set(shut, false)
	}
}

// The next life of a worker under its id has said nothing: it is used once the store tells
// of it.
func TestNextLifeOfAWorkerThatLeft(t *testing.T) {
	f, workers := signalFleet(t, 2, 2)
	leaver := workers[0]
	leaver.leave(true)
	f.loadFor(5*time.Millisecond, applyWithin+500*time.Millisecond)
	leaver.leave(false) // A process that has just started.
	quiet := time.Now()
	f.loadFor(5*time.Millisecond, 500*time.Millisecond)
	if n := leaver.since(quiet); n > 0 {
		t.Errorf("%d requests reached a worker that has left, before any news of the next one", n)
	}
	f.store.put(kindWorkers, leaver.id, leaver.entry("north-a", 7))
	f.until("its next life is used", func() bool {
		f.loadFor(5*time.Millisecond, 50*time.Millisecond)
		return leaver.since(quiet) > 0
	})
}

// What users saw: a back end had turned a VM away and asked for 3 s of rest, and got seven
// requests from it in that time; an eighth of all requests was refused, though two thirds
// of the back ends had room for all. Seven of 24 turned away everything for 9 s; each VM went
// on sending them their share, since a worker that runs nothing looks idle.
//
// The cause is the same as above: the refusal ended one try, and nothing was noted of the
// worker that had refused. What proved it: each VM wrote that a worker asked for rest, and
// chose it again within milliseconds.
func TestWorkersThatAskForRest(t *testing.T) {
	f, workers := signalFleet(t, 4, 9)
	stop := make(chan struct{})
	ended := make(chan *answers)
	go func() { ended <- f.load(4*time.Millisecond, stop) }()
	time.Sleep(500 * time.Millisecond)
	for _, w := range workers[:3] {
		w.tire(0.5, time.Second, 2500*time.Millisecond, 3*time.Second)
	}
	time.Sleep(6 * time.Second)
	for _, w := range workers[:3] {
		w.tire(0)
	}
	awake := time.Now()
	time.Sleep(4 * time.Second)
	close(stop)
	served, lost := (<-ended).counts()
	for _, w := range workers[:3] {
		asked, broken := w.brokenRests()
		if asked == 0 || broken > 0 {
			t.Errorf("%s asked for rest %d times, and did not get it %d times", w.id, asked, broken)
		}
		if w.since(awake) == 0 {
			t.Errorf("%s gets nothing though its rests are over", w.id)
		}
	}
	if lost*100 > served+lost {
		t.Errorf("%d of %d requests were lost though others have room", lost, served+lost)
	}
}

// One VM is told by a worker that it leaves; the others know soon after, those of another
// region and one that starts later among them, while the store is away: callers lose
// nothing when it ends.
func TestVMsTellEachOtherWhoLeaves(t *testing.T) {
	const tellWithin = 1500 * time.Millisecond
	f, workers := signalFleet(t, 3, 4)
	south := f.start("south", "south-a", nil)
	f.until("south serves", south.ready)
	f.until("all know it", func() bool { return len(f.addresses(f.vms[0], "south")) == 1 })
	f.shutStore(true)
	leaver := workers[0]
	leaver.leave(true)
	f.until("one VM has its word", func() bool { f.vms[0].ask("/?vm=v0"); return f.vms[0].Leaves(leaver.id) })
	f.within(tellWithin, "all VMs know", func() bool {
		for _, v := range f.vms {
			if !v.Leaves(leaver.id) {
				return false
			}
		}
		return true
	})
	late := f.start("late", "north-b", func(_ *gateway.Config, d *door) { d.set(true, false) })
	f.until("late serves", late.ready)
	f.within(tellWithin, "it knows as well", func() bool { return late.Leaves(leaver.id) })
	f.store.put(kindWorkers, leaver.id, leaver.entry("north-a", 7))
	f.shutStore(false)
	late.door.set(false, false)
	next := worker.Worker{ID: leaver.id, Start: 7}
	for _, v := range f.vms {
		f.until(v.name+" knows its next life", func() bool { return v.Lives(next.Incarnation()) })
		if v.Leaves(next.Incarnation()) {
			t.Errorf("%s takes the next life for leaving", v.name)
		}
	}
}

// Twice a second each VM looks which workers leave or rest. That costs the same among 500
// workers as among 8,000.
func TestFewHeldBackAmongMany(t *testing.T) {
	look := func(workers int) float64 {
		list := make([]worker.Worker, workers)
		for i := range list {
			list[i] = worker.Worker{ID: fmt.Sprint("w", i), Service: "s", Leaving: i == 7}
		}
		find := gateway.HeldBack(list)
		return testing.AllocsPerRun(20, func() {
			if find() != 1 {
				t.Fatal("the worker that leaves is not found")
			}
		})
	}
	if few, many := look(500), look(8000); many > few {
		t.Errorf("%.0f allocations among 8,000 workers, %.0f among 500", many, few)
	}
}
