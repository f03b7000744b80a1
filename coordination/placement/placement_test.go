// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/coordination/steer"
	"github.com/ryehill/ryehill/state/route"
	"github.com/ryehill/ryehill/state/worker"
)

// singleVM implements placement.Peers for a region of one VM.
type singleVM struct{}

func (singleVM) Live(string) ([]string, int) { return []string{"vm"}, 1 }

type fixture struct {
	clock    *clockwork.FakeClock
	loads    *worker.Loads
	placer   *placement.Placer
	snapshot *placement.Snapshot
}

// newFixture returns a VM in region north and workers by region, in two halls each.
func newFixture(counts map[string]int, change func(*worker.Worker)) *fixture {
	f := &fixture{clock: clockwork.NewFakeClock()}
	f.loads = worker.NewLoads(f.clock.Now)
	f.usePermits(nil)
	var workers []worker.Worker
	for region, n := range counts {
		for i := range n {
			w := worker.Worker{ID: fmt.Sprintf("%s-%d", region, i), Service: "read", Hall: fmt.Sprintf("%s-%c", region, 'a'+i%2), Region: region, Slots: 4}
			if change != nil {
				change(&w)
			}
			workers = append(workers, w)
		}
	}
	f.snapshot = &placement.Snapshot{
		Routes:  route.NewTable(route.Config{Services: []route.Service{{Name: "read", ColdRate: 10}}}),
		Workers: worker.NewSet(workers), Regions: []string{"east", "north", "south"},
	}
	return f
}

// usePermits replaces the placer by one that uses the given permits. Nil means unlimited.
func (f *fixture) usePermits(p placement.Permits) {
	cold := placement.NewColdLimiter(placement.ColdLimiterConfig{VM: "vm", Region: "north", Peers: singleVM{}, Now: f.clock.Now})
	f.placer = placement.New(placement.Config{
		Hall: "north-a", Region: "north", Loads: f.loads, ColdLimiter: cold, Steerer: steer.New(steer.Config{Hall: "north-a"}), Now: f.clock.Now,
		Permits: p,
	})
}

func request(key uint64) placement.Request {
	return placement.Request{Service: "read", Key: key, Keyed: true}
}

// shareByRegion returns the fraction of keys placed in each region.
func (f *fixture) shareByRegion(r placement.Request) map[string]float64 {
	const keys = 4000
	share := make(map[string]float64)
	for key := range uint64(keys) {
		r.Key = key
		if c, refusal := f.placer.Place(f.snapshot, r); refusal == placement.RefusalNone {
			share[c.Worker().Region] += 1.0 / keys
			c.Load().End()
		}
	}
	return share
}

func TestKeyAffinity(t *testing.T) {
	Convey("With eight workers in each region", t, func() {
		f := newFixture(map[string]int{"north": 8, "south": 8, "east": 8}, nil)
		first, _ := f.placer.Place(f.snapshot, request(7))
		Convey("a key stays on one worker until it is full", func() {
			for range 7 {
				next, _ := f.placer.Place(f.snapshot, request(7))
				So(next.Worker().ID, ShouldEqual, first.Worker().ID)
			}
		})
		Convey("then moves to one other worker that is nearly idle, and is refused beyond", func() {
			seen := map[string]int{first.Worker().ID: 1}
			var refusal placement.Refusal
			for range 20 {
				c, r := f.placer.Place(f.snapshot, request(7))
				if refusal = r; r != placement.RefusalNone {
					break
				}
				seen[c.Worker().ID]++
			}
			So(refusal, ShouldEqual, placement.RefusalBusy)
			So(seen, ShouldHaveLength, 2)
			So(seen[first.Worker().ID], ShouldEqual, 8)
		})
		Convey("a worker is not tried twice", func() {
			r := request(7)
			r.Tried = []string{first.Worker().ID}
			c, _ := f.placer.Place(f.snapshot, r)
			So(c.Worker().ID, ShouldNotEqual, first.Worker().ID)
		})
		Convey("a failed worker is skipped unless all have failed", func() {
			first.Load().RecordFailure()
			c, _ := f.placer.Place(f.snapshot, request(7))
			So(c.Worker().ID, ShouldNotEqual, first.Worker().ID)
			for i := range 8 {
				f.loads.GetOrCreate(fmt.Sprintf("north-%d", i)).RecordFailure()
				f.loads.GetOrCreate(fmt.Sprintf("south-%d", i)).RecordFailure()
				f.loads.GetOrCreate(fmt.Sprintf("east-%d", i)).RecordFailure()
			}
			_, refusal := f.placer.Place(f.snapshot, request(7))
			So(refusal, ShouldEqual, placement.RefusalNone)
		})
	})
}

func TestEjectedWorkers(t *testing.T) {
	cases := map[string]struct {
		ejected int
		want    bool // whether ejected workers get requests
	}{
		"a third is ejected": {2, false},
		"half is ejected":    {3, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(map[string]int{"north": 6}, nil)
			ejected := make(map[string]bool)
			for i := range c.ejected {
				id := fmt.Sprintf("north-%d", i)
				f.loads.GetOrCreate(id).Eject(time.Minute)
				ejected[id] = true
			}
			got := false
			for key := range uint64(200) {
				choice, refusal := f.placer.Place(f.snapshot, request(key))
				if refusal != placement.RefusalNone {
					t.Fatal(refusal)
				}
				got = got || ejected[choice.Worker().ID]
				choice.Load().End()
			}
			if got != c.want {
				t.Errorf("ejected workers got requests: %t, want %t", got, c.want)
			}
		})
	}
}

func TestIneligibleWorkersGetNothing(t *testing.T) {
	cases := map[string]func(*worker.Worker){
		"leaving":        func(w *worker.Worker) { w.Leaving = w.ID == "north-0" },
		"closed hall":    func(w *worker.Worker) { w.Hall = map[bool]string{true: "shut", false: w.Hall}[w.ID == "north-0"] },
		"other service":  func(w *worker.Worker) { w.Service = map[bool]string{true: "pay", false: "read"}[w.ID == "north-0"] },
		"not its region": func(w *worker.Worker) { w.Region = map[bool]string{true: "south", false: w.Region}[w.ID == "north-0"] },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(map[string]int{"north": 3}, change)
			f.snapshot.Closed = map[string]bool{"shut": true}
			r := request(0)
			r.Allows = func(region string) bool { return region == "north" }
			for key := range uint64(500) {
				r.Key = key
				c, refusal := f.placer.Place(f.snapshot, r)
				if refusal != placement.RefusalNone {
					t.Fatal(refusal)
				}
				if c.Worker().ID == "north-0" {
					t.Fatal("an ineligible worker was chosen")
				}
				c.Load().End()
			}
		})
	}
}

func TestRegionsShareKeys(t *testing.T) {
	Convey("A region", t, func() {
		Convey("with its fair share of the slots keeps all its keys", func() {
			f := newFixture(map[string]int{"north": 8, "south": 8, "east": 8}, nil)
			So(f.shareByRegion(request(0))["north"], ShouldAlmostEqual, 1, 1e-9)
		})
		Convey("with a quarter of its share sends the rest to others in proportion to their surplus", func() {
			f := newFixture(map[string]int{"north": 2, "south": 12, "east": 10}, nil)
			share := f.shareByRegion(request(0))
			So(share["north"], ShouldAlmostEqual, 0.25, 0.03)
			So(share["south"], ShouldAlmostEqual, 0.50, 0.03)
			So(share["east"], ShouldAlmostEqual, 0.25, 0.03)
		})
		Convey("without workers sends all keys to others", func() {
			f := newFixture(map[string]int{"south": 6, "east": 6}, nil)
			share := f.shareByRegion(request(0))
			So(share["south"]+share["east"], ShouldAlmostEqual, 1, 1e-9)
			So(share["south"], ShouldAlmostEqual, 0.5, 0.03)
		})
		Convey("sends nothing to a region that is not allowed", func() {
			f := newFixture(map[string]int{"north": 2, "south": 12, "east": 10}, nil)
			r := request(0)
			r.Allows = func(region string) bool { return region == "south" }
			share := f.shareByRegion(r)
			So(share["south"], ShouldAlmostEqual, 1, 1e-9)
		})
		Convey("reassigns few keys when one worker is removed", func() {
			before := newFixture(map[string]int{"north": 4, "south": 10, "east": 10}, nil)
			after := newFixture(map[string]int{"north": 3, "south": 10, "east": 10}, nil)
			moved := 0
			for key := range uint64(2000) {
				a, _ := before.placer.Place(before.snapshot, request(key))
				b, _ := after.placer.Place(after.snapshot, request(key))
				if a.Worker().Region != b.Worker().Region {
					moved++
				}
				a.Load().End()
				b.Load().End()
			}
			So(moved, ShouldBeLessThan, 2000*15/100)
		})
	})
}

func TestSplit(t *testing.T) {
	cases := map[string]struct {
		weights []float64
		keys    int
	}{
		"nine to one, many keys":  {[]float64{90, 10}, 1000},
		"nine to one, few keys":   {[]float64{90, 10}, 3},
		"one key":                 {[]float64{50, 50}, 1},
		"three, one gets nothing": {[]float64{60, 40, 0}, 50},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := &route.Route{Name: "r"}
			total := 0.0
			for i, w := range c.weights {
				r.Targets = append(r.Targets, route.Target{Service: fmt.Sprint(i), Weight: w})
				total += w
			}
			split, got := placement.NewSplit(), make(map[string]float64)
			const n = 400
			for i := range n {
				got[split.Choose(r, uint64(i%c.keys))] += 1.0 / n
			}
			for i, w := range c.weights {
				if diff := got[fmt.Sprint(i)] - w/total; diff > 0.05 || diff < -0.05 {
					t.Errorf("target %d got a fraction of %.3f, want %.3f", i, got[fmt.Sprint(i)], w/total)
				}
			}
			if c.weights[len(c.weights)-1] == 0 && got[fmt.Sprint(len(c.weights)-1)] != 0 {
				t.Error("a target of weight 0 got requests")
			}
		})
	}
}

func TestSplitKeepsKeys(t *testing.T) {
	r := &route.Route{Name: "r", Targets: []route.Target{{Service: "a", Weight: 70}, {Service: "b", Weight: 30}}}
	split, last, changes := placement.NewSplit(), make(map[uint64]string), 0
	const n = 4000
	for i := range uint64(n) {
		key := i * 7919 % 100
		service := split.Choose(r, key)
		if before, ok := last[key]; ok && before != service {
			changes++
		}
		last[key] = service
	}
	if changes > n/5 {
		t.Errorf("%d of %d requests went to another service than the previous request with the same key", changes, n)
	}
}

// partitionedRegion contains, for each VM of a region, the VMs that it sees.
type partitionedRegion struct{ visible map[string][]string }

type partialView struct {
	region *partitionedRegion
	vm     string
}

func (s partialView) Live(string) ([]string, int) {
	return s.region.visible[s.vm], len(s.region.visible)
}

// Guards against VMs exceeding the rate of a cold worker in total, also in a network partition.
func TestColdRateOfAllVMs(t *testing.T) {
	const rate, maxPerSecond = 11.0, 11.0*1.5 + 5
	all := []string{"a", "b", "c", "d", "e"}
	cases := map[string]map[string][]string{
		"all see all":       {"a": all, "b": all, "c": all, "d": all, "e": all},
		"two were cut off":  {"a": {"a", "b", "c"}, "b": {"a", "b", "c"}, "c": {"a", "b", "c"}, "d": {"d"}, "e": {"e"}},
		"each is alone":     {"a": {"a"}, "b": {"b"}, "c": {"c"}, "d": {"d"}, "e": {"e"}},
		"two disjoint ones": {"a": {"a", "b", "c"}, "b": {"a", "b", "c"}, "c": {"a", "b", "c"}, "d": {"d", "e", "a"}, "e": {"d", "e", "a"}},
	}
	for name, sees := range cases {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			r := &partitionedRegion{visible: sees}
			var vms []*placement.ColdLimiter
			for _, vm := range all {
				vms = append(vms, placement.NewColdLimiter(placement.ColdLimiterConfig{VM: vm, Region: "north", Peers: partialView{r, vm}, Now: clock.Now}))
			}
			for n := range 50 {
				w := &worker.Worker{ID: fmt.Sprintf("w%d", n), Region: "north"}
				const ticks = 100
				sent := make([]int, 0, 3*ticks)
				for range 3 * ticks {
					sent = append(sent, 0)
					for _, vm := range vms {
						if vm.Allow(w, rate) {
							sent[len(sent)-1]++
						}
					}
					clock.Advance(time.Second / ticks)
				}
				for i := range sent[:2*ticks] {
					sum := 0
					for _, n := range sent[i : i+ticks] {
						sum += n
					}
					if float64(sum) > maxPerSecond {
						t.Fatalf("%d requests in a second, want at most %.1f", sum, maxPerSecond)
					}
				}
			}
		})
	}
}

func TestColdWorkers(t *testing.T) {
	Convey("With one of four workers cold", t, func() {
		f := newFixture(map[string]int{"north": 4}, nil)
		until := f.clock.Now().Add(3 * time.Second)
		f = newFixture(map[string]int{"north": 4}, func(w *worker.Worker) {
			if w.ID == "north-0" {
				w.ColdUntil = until
			}
		})
		count := func() int {
			n := 0
			for key := range uint64(400) {
				if c, refusal := f.placer.Place(f.snapshot, request(key)); refusal == placement.RefusalNone {
					if c.Worker().ID == "north-0" {
						n++
					}
					c.Load().End()
				}
			}
			return n
		}
		Convey("it gets few requests in a burst", func() {
			So(count(), ShouldBeLessThanOrEqualTo, 2)
		})
		Convey("it gets its keys once it is warm", func() {
			f.clock.Advance(4 * time.Second)
			So(count(), ShouldBeGreaterThan, 50)
		})
	})
	Convey("Workers of a reopened hall are cold for a while", t, func() {
		f := newFixture(map[string]int{"north": 2}, nil)
		f.snapshot.HallColdUntil = map[string]time.Time{"north-a": f.clock.Now().Add(time.Second), "north-b": f.clock.Now().Add(time.Second)}
		refused := 0
		for key := range uint64(100) {
			if _, refusal := f.placer.Place(f.snapshot, request(key)); refusal == placement.RefusalCold {
				refused++
			}
		}
		So(refused, ShouldBeGreaterThan, 90)
	})
}

// Guards against initial bursts of many isolated VMs that add up beyond the rate of a cold worker.
func TestColdRateOfIsolatedVMs(t *testing.T) {
	const rate, maxSent, vms = 2.8, 2.8*1.5 + 8, 60
	clock := clockwork.NewFakeClock()
	sees := make(map[string][]string)
	for i := range vms {
		sees[fmt.Sprint(i)] = []string{fmt.Sprint(i)}
	}
	r := &partitionedRegion{visible: sees}
	w, sent := &worker.Worker{ID: "w", Region: "north"}, 0
	for vm := range sees {
		cold := placement.NewColdLimiter(placement.ColdLimiterConfig{VM: vm, Region: "north", Peers: partialView{r, vm}, Now: clock.Now})
		for range 3 {
			if cold.Allow(w, rate) {
				sent++
			}
		}
	}
	if float64(sent) > maxSent {
		t.Errorf("%d requests in a burst, want at most %.1f", sent, maxSent)
	}
}

// Guards against requests to cold workers from a VM that knows no live VM, not even itself.
func TestColdRateWithoutLiveVMs(t *testing.T) {
	cold := placement.NewColdLimiter(placement.ColdLimiterConfig{VM: "vm", Region: "north", Peers: noVMs{}, Now: time.Now})
	if cold.Allow(&worker.Worker{ID: "w", Region: "north"}, 100) {
		t.Error("a request was allowed")
	}
}

// noVMs implements placement.Peers without live VMs.
type noVMs struct{}

func (noVMs) Live(string) ([]string, int) { return nil, 0 }

// Guards against refusals in a region whose workers are all cold while others are warm.
func TestColdRegionSpillsOver(t *testing.T) {
	Convey("With all workers of the home region cold", t, func() {
		f := newFixture(map[string]int{"north": 4}, nil)
		until := f.clock.Now().Add(3 * time.Second)
		f = newFixture(map[string]int{"north": 4, "south": 4, "east": 4}, func(w *worker.Worker) {
			if w.Region == "north" {
				w.ColdUntil = until
			}
		})
		share := f.shareByRegion(request(0))
		So(share["north"], ShouldBeLessThan, 0.01)
		So(share["south"]+share["east"]+share["north"], ShouldAlmostEqual, 1, 1e-9)
		Convey("unless the requests may not run elsewhere", func() {
			r := request(1)
			r.Allows = func(region string) bool { return region == "north" }
			refused := 0
			for key := range uint64(100) {
				r.Key = key
				if c, refusal := f.placer.Place(f.snapshot, r); refusal == placement.RefusalCold {
					refused++
				} else {
					c.Load().End()
				}
			}
			So(refused, ShouldBeGreaterThan, 80)
		})
	})
}
