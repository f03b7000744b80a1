// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/ryehill/ryehill/coordination/balance"
	"github.com/ryehill/ryehill/state/demand"
	"github.com/ryehill/ryehill/state/holders"
	"github.com/ryehill/ryehill/state/worker"
)

const (
	service   = "read"
	perAnswer = 100 * time.Millisecond
	slots     = 4
)

// fixture is a fleet of workers with keys whose assignment by hashing is given.
type fixture struct {
	clock    *clockwork.FakeClock
	table    *holders.Table
	balancer *balance.Balancer
	workers  []balance.Worker
	hashed   map[demand.Key]string
	rates    map[demand.Key]int // requests a second
}

func newFixture(workers int) *fixture {
	f := &fixture{
		clock: clockwork.NewFakeClock(), table: holders.NewTable(),
		hashed: make(map[demand.Key]string), rates: make(map[demand.Key]int),
	}
	f.balancer = balance.New(balance.Config{Table: f.table, Now: f.clock.Now})
	for i := range workers {
		f.join(fmt.Sprintf("north-%d", i), "north")
	}
	return f
}

func (f *fixture) join(id, region string) {
	f.workers = append(f.workers, balance.Worker{Worker: worker.Worker{ID: id, Service: service, Region: region, Slots: slots}})
}

func (f *fixture) key(hash uint64, holder string, rate int) demand.Key {
	k := demand.Key{Service: service, Region: "north", Hash: hash}
	f.hashed[k], f.rates[k] = holder, rate
	return k
}

// run simulates some seconds with two decisions a second, and returns how many keys were
// moved.
func (f *fixture) run(seconds int) int {
	moved := 0
	for range 2 * seconds {
		f.clock.Advance(500 * time.Millisecond)
		r := demand.NewReport("north")
		for key, rate := range f.rates {
			r.Keys[key] = uint32(rate / 2)
		}
		r.Latencies[service] = demand.Latency{Responses: 100, Total: 100 * perAnswer}
		f.balancer.AddReport(r)
		moved += f.balancer.Rebalance(balance.Fleet{
			Workers:   map[string][]balance.Worker{service: f.workers},
			HashOwner: func(k demand.Key) (string, bool) { id, ok := f.hashed[k]; return id, ok },
		})
	}
	return moved
}

func (f *fixture) holder(k demand.Key) string {
	if id, ok := f.table.Holder(holders.KeyOf(k.Service, k.Region, k.Hash)); ok {
		return id
	}
	return f.hashed[k]
}

// loads returns the requests a second by worker.
func (f *fixture) loads() map[string]int {
	loads := make(map[string]int)
	for k, rate := range f.rates {
		loads[f.holder(k)] += rate
	}
	return loads
}

// Guards against leaving a worker overloaded, and against moves once none is.
func TestOverloadedWorkerIsRelieved(t *testing.T) {
	f := newFixture(4)
	for i := range uint64(11) {
		f.key(i, "north-0", 4) // 44 requests of 100 ms: 1.1 of its slots.
	}
	for i := range uint64(3) {
		f.key(100+i, fmt.Sprintf("north-%d", 1+i), 4)
	}
	if moved := f.run(20); moved == 0 || moved > 8 {
		t.Errorf("%d keys moved, want a few", moved)
	}
	for id, rate := range f.loads() {
		if use := float64(rate) * perAnswer.Seconds() / slots; use > 0.81 {
			t.Errorf("%s has %.2f of its slots in use", id, use)
		}
	}
	if moved := f.run(60); moved != 0 {
		t.Errorf("%d keys moved though no worker is overloaded", moved)
	}
}

// Guards against moving keys while no worker is overloaded.
func TestNoMovesWithoutOverload(t *testing.T) {
	f := newFixture(3)
	f.key(1, "north-0", 10)
	f.key(2, "north-0", 10)
	f.key(3, "north-1", 2)
	f.key(4, "north-2", 2)
	if moved := f.run(30); moved != 0 || f.table.Len() != 0 {
		t.Errorf("%d keys moved, %d entries", moved, f.table.Len())
	}
}

// Guards against moving warm keys to a worker that joins, except one so that it is used.
func TestKeysStayWhenAWorkerJoins(t *testing.T) {
	f := newFixture(2)
	var keys []demand.Key
	for i := range uint64(8) {
		keys = append(keys, f.key(i, fmt.Sprintf("north-%d", i%2), 2))
	}
	f.run(10)
	f.join("north-new", "north")
	before := make(map[demand.Key]string)
	for _, k := range keys {
		before[k] = f.holder(k)
		f.hashed[k] = "north-new"
	}
	f.run(10)
	changed := 0
	for _, k := range keys {
		if f.holder(k) != before[k] {
			changed++
		}
	}
	if changed != 1 || f.loads()["north-new"] == 0 {
		t.Errorf("%d keys changed their holder, want 1; loads %v", changed, f.loads())
	}
}

// Guards against moving keys out of their region, and against entries of a former region.
func TestKeysStayInTheirRegion(t *testing.T) {
	f := newFixture(2)
	f.join("south-0", "south")
	for i := range uint64(40) {
		f.key(i, "north-0", 4) // 160 requests of 100 ms: twice the slots of both workers
	}
	f.run(20)
	if got := f.loads()["south-0"]; got != 0 {
		t.Errorf("south got %d requests a second", got)
	}
	moved := demand.Key{}
	for k := range f.rates {
		if f.holder(k) == "north-1" {
			moved = k
		}
	}
	if moved.Service == "" {
		t.Fatal("nothing was moved to the other worker of the region")
	}
	f.hashed[moved] = "south-0"
	f.run(1)
	if got := f.holder(moved); got != "south-0" {
		t.Errorf("the key is held by %q, want the worker of the region in which it runs now", got)
	}
}

// Guards against moving keys to full workers and keeping them at removed ones.
func TestFullAndRemovedWorkers(t *testing.T) {
	f := newFixture(3)
	for i := range uint64(12) {
		f.key(i, "north-0", 4)
	}
	f.workers[1].Full = true
	f.run(10)
	if got := f.loads()["north-1"]; got != 0 {
		t.Errorf("a full worker got %d requests a second", got)
	}
	if f.loads()["north-2"] == 0 {
		t.Fatal("nothing was moved")
	}
	f.workers = f.workers[:2]
	f.run(1)
	for k := range f.rates {
		if f.holder(k) == "north-2" {
			t.Errorf("key %d is still held by a removed worker", k.Hash)
		}
	}
}

// Guards against choosing missing workers and against overloading the busiest one further.
func TestMovesNeverRaisePeakLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(rapid.IntRange(1, 6).Draw(t, "workers"))
		for i := range rapid.IntRange(0, 3).Draw(t, "far") {
			f.join(fmt.Sprintf("south-%d", i), "south")
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "keys") {
			holder := rapid.SampledFrom(f.workers).Draw(t, "holder").ID
			f.key(uint64(i), holder, 2*rapid.IntRange(1, 10).Draw(t, "rate"))
		}
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			before := f.loads()
			f.run(rapid.IntRange(1, 10).Draw(t, "seconds"))
			if maxLoad(f.loads()) > maxLoad(before) {
				t.Fatalf("the busiest worker became busier: %v, before %v", f.loads(), before)
			}
		}
		present := make(map[string]bool)
		for _, w := range f.workers {
			present[w.ID] = true
		}
		for k := range f.rates {
			if !present[f.holder(k)] {
				t.Fatalf("key %d is held by %q, which does not exist", k.Hash, f.holder(k))
			}
		}
	})
}

func maxLoad(loads map[string]int) int {
	busiest := 0
	for _, rate := range loads {
		busiest = max(busiest, rate)
	}
	return busiest
}

// BenchmarkRebalance measures a decision with the most keys and a large number of workers.
func BenchmarkRebalance(b *testing.B) {
	const workers = 1000
	f := newFixture(workers)
	for i := range uint64(holders.MaxEntries) {
		f.key(i, fmt.Sprintf("north-%d", i%workers), 2)
	}
	f.run(10)
	for b.Loop() {
		f.run(1)
	}
}
