// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress_test

import (
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against losses that are not counted or counted under a wrong cause.
func TestLossesByCause(t *testing.T) {
	const beyond = 2 * keyedObjective
	inTime := func(http.ResponseWriter) {}
	late := func(http.ResponseWriter) { time.Sleep(beyond) }
	refuse := func(w http.ResponseWriter) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	cases := map[string]struct {
		workers  int
		requests int
		// answers are the responses of the workers to successive requests.
		answers []func(w http.ResponseWriter)
		waiting string
		want    map[string]int
	}{
		"in time":                       {1, 1, []func(http.ResponseWriter){inTime}, "0", map[string]int{}},
		"key new to the worker":         {1, 1, []func(http.ResponseWriter){late}, "0", map[string]int{"s: late: key new to the worker": 1}},
		"slow worker":                   {1, 2, []func(http.ResponseWriter){inTime, late}, "0", map[string]int{"s: late: slow": 1}},
		"requests queued at the worker": {1, 2, []func(http.ResponseWriter){inTime, late}, "3", map[string]int{"s: late: others waited at the worker": 1}},
		"retry":                         {2, 1, []func(http.ResponseWriter){refuse, late}, "0", map[string]int{"s: late: sent again": 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var arrivals atomic.Int64
			f := newFixture(t, c.workers, func(_ int, w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Waiting", c.waiting)
				c.answers[min(int(arrivals.Add(1)), len(c.answers))-1](w)
			})
			for i := range c.requests {
				f.send(http.MethodPost, "/keyed/", strconv.Itoa(i), "", "Key", "k")
			}
			if got := f.handler.CollectLosses(); !maps.Equal(got, c.want) {
				t.Errorf("lost %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against confusing a full region with one where another worker has a free slot.
func TestBusyWithCapacityElsewhere(t *testing.T) {
	const slots = 4
	cases := map[string]struct {
		inProgress int // requests in progress at each other worker
		want       map[string]int
	}{
		"full":               {2 * slots, map[string]int{"s: busy": 1}},
		"capacity elsewhere": {slots / 2, map[string]int{"s: busy-room-elsewhere": 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			const workers = 5
			f := newFixture(t, workers, echoRequest)
			f.send(http.MethodPost, "/keyed/", "1", "", "Key", "k")
			f.handler.CollectLosses()
			holder := f.ran("1")[0]
			for i := range workers {
				id, requests := fmt.Sprintf("w%d", i), c.inProgress
				if id == holder {
					requests = 2 * slots
				}
				for range requests {
					f.loads.GetOrCreate(id).Begin()
				}
			}
			if r := f.send(http.MethodPost, "/keyed/", "2", "", "Key", "k"); r.status != http.StatusServiceUnavailable {
				t.Fatalf("status %d", r.status)
			}
			if got := f.handler.CollectLosses(); !maps.Equal(got, c.want) {
				t.Errorf("lost %v, want %v", got, c.want)
			}
		})
	}
}
