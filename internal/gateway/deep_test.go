// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/state/worker"
)

const (
	wideLink, narrowLink = 200, 20 // Mbit/s.
	// wideVMs is how many VMs of a hall have wide links.
	wideVMs = 2
	// inHall is how many VMs a hall has: two halls have more than one answers.
	inHall = 18
)

// deepFleet has two halls of one region, together with more VMs than one answers.
type deepFleet struct {
	*fleet
	vms []*vm
}

// startDeep starts a fleet with inHall VMs in each of two halls.
func startDeep(t *testing.T, change func(*gateway.Config, *door)) deepFleet {
	f := deepFleet{fleet: newFleet(t)}
	f.worker("w1", "s", "north-a")
	for i := range 2 * inHall {
		hall, number := []string{"north-a", "north-b"}[i%2], i/2
		f.vms = append(f.vms, f.start(fmt.Sprintf("%s-%d", hall, number), hall, func(cfg *gateway.Config, d *door) {
			cfg.StaleAfter, cfg.LinkMbps = patientAge, narrowLink
			if number < wideVMs {
				cfg.LinkMbps = wideLink
			}
			if change != nil {
				change(cfg, d)
			}
		}))
	}
	t.Cleanup(func() { // All stop at once, before each is waited for.
		for _, v := range f.vms {
			v.stop()
		}
	})
	return f
}

// settle waits until all VMs serve and have read the list of VMs as a whole.
func (f deepFleet) settle() {
	for _, v := range f.vms {
		f.until(v.name+" serves", v.ready)
	}
	time.Sleep(3 * time.Second)
}

// calls returns the calls that all VMs have made to the store.
func (f deepFleet) calls() int {
	sum := 0
	for _, v := range f.vms {
		sum += v.door.countAll()
	}
	return sum
}

// In a region with more VMs than one answers, one VM with a wide link watches the
// store for all, changes are in force everywhere soon, and knowledge stays young.
func TestDeepTree(t *testing.T) {
	f := startDeep(t, nil)
	f.settle()
	time.Sleep(3 * time.Second) // Those that were asked before go on for 2 s.
	watching := make(map[string]int)
	for _, v := range f.vms {
		watching[v.name] = v.door.count("watch " + kindConfig)
	}
	if age := oldest(3*time.Second, f.vms...); age >= patientAge {
		t.Errorf("knowledge %s old", age)
	}
	var watchers []string
	for _, v := range f.vms {
		if v.door.count("watch "+kindConfig) > watching[v.name] {
			watchers = append(watchers, v.name)
		}
	}
	if len(watchers) != 1 || !strings.HasSuffix(watchers[0], "-0") && !strings.HasSuffix(watchers[0], "-1") {
		t.Errorf("%v watch the store, want one VM with a wide link", watchers)
	}
	f.config(2, "s")
	f.within(1500*time.Millisecond, "a change is in force", func() bool {
		for _, v := range f.vms {
			if v.Version() != 2 {
				return false
			}
		}
		return true
	})
}

// What a worker told one VM, and that one has ended, is known in the other hall.
func TestWordsCrossADeepTree(t *testing.T) {
	f := startDeep(t, nil)
	f.settle()
	const busy = 9
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Running", fmt.Sprint(busy))
	}))
	t.Cleanup(server.Close)
	f.store.put(kindWorkers, "w2", worker.Worker{Service: "s", Hall: "north-a", Slots: 4, Address: strings.TrimPrefix(server.URL, "http://")})
	f.store.remove(kindWorkers, "w1")
	near, far := f.vms[len(f.vms)-2], f.vms[len(f.vms)-1]
	f.until("all know it", func() bool { return near.Knows("w2") && far.Knows("w2") })
	f.within(3*time.Second, "a worker's word is known in the other hall", func() bool {
		near.ask("/")
		return far.Busy("w2") > busy/2
	})
}

// When the VM that tells a hall, or the one that watches the store, is gone, others
// take over within a second or two, and the others of the region do not turn to the
// store.
func TestDeepTreeHeals(t *testing.T) {
	f := startDeep(t, nil)
	f.settle()
	time.Sleep(time.Second)
	for version := uint64(2); version < 4; version++ {
		root := f.root()
		before := f.calls()
		root.stop()
		<-root.done
		f.drop(root)
		f.config(version, "s")
		f.within(2500*time.Millisecond, "a change after the root has gone", func() bool {
			for _, v := range f.vms {
				if v.Version() != version {
					return false
				}
			}
			return true
		})
		if calls := f.calls() - before; calls > 60 {
			t.Errorf("%d calls to the store, want those of few VMs", calls)
		}
	}
}

// root returns the VM that watches the store.
func (f *deepFleet) root() *vm {
	before := make(map[string]int)
	for _, v := range f.vms {
		before[v.name] = v.door.count("watch " + kindConfig)
	}
	time.Sleep(patientAge)
	for _, v := range f.vms {
		if v.door.count("watch "+kindConfig) > before[v.name] {
			return v
		}
	}
	f.t.Fatal("nobody watches the store")
	return nil
}

func (f *deepFleet) drop(gone *vm) {
	var left []*vm
	for _, v := range f.vms {
		if v != gone {
			left = append(left, v)
		}
	}
	f.vms = left
}
