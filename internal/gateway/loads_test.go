// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/worker"
)

// What a worker tells one VM of its load is known to the others of the region
// before it counts for nothing, though they have sent it no request.
func TestVMsShareTheLoadOfWorkers(t *testing.T) {
	f, vms := threeVMs(t)
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Running", "9")
		fmt.Fprint(w, "busy")
	}))
	t.Cleanup(busy.Close)
	f.store.put(kindWorkers, "busy", worker.Worker{Service: "s", Hall: "north-a", Slots: 4, Address: strings.TrimPrefix(busy.URL, "http://")})
	f.store.remove(kindWorkers, "w1")
	f.until("a sends it a request", func() bool {
		_, body := vms[0].ask("/")
		return body == "busy"
	})
	f.within(1500*time.Millisecond, "all know that it is busy", func() bool {
		for _, v := range vms {
			if v.Busy("busy") == 0 {
				return false
			}
		}
		return true
	})
}

// A VM that asks again is told only what workers have said since.
func TestLoadsAreToldOnce(t *testing.T) {
	f := newFleet(t)
	v := f.start("a", "north-a", nil)
	f.worker("w1", "s", "north-a")
	f.until("it knows the worker", func() bool { return v.ready() && v.Knows("w1") })
	told := func(ask *peerpb.Sync) *peerpb.Synced {
		ask.HoldMillis = 1
		return v.Tell(context.Background(), ask)
	}
	word := map[string]*peerpb.WorkerLoad{"w1": {Requests: 5}}
	first := told(&peerpb.Sync{Loads: word})
	again := told(&peerpb.Sync{LoadsMark: first.GetLoadsMark()})
	restarted := told(&peerpb.Sync{LoadsMark: &peerpb.LoadsMark{Start: 1, Number: first.GetLoadsMark().GetNumber()}})
	if len(first.GetLoads()) != 1 || len(again.GetLoads()) != 0 || len(restarted.GetLoads()) != 1 {
		t.Errorf("told %d, again %d, after a restart %d; want 1, 0, 1",
			len(first.GetLoads()), len(again.GetLoads()), len(restarted.GetLoads()))
	}
}
