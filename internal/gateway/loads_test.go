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

// Guards against a worker's reported load staying unknown to VMs that sent it no request.
func TestVMsShareTheLoadOfWorkers(t *testing.T) {
	f, vms := startThreeVMs(t)
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Running", "9")
		fmt.Fprint(w, "busy")
	}))
	t.Cleanup(busy.Close)
	f.store.put(kindWorkers, "busy", worker.Worker{Service: "s", Hall: "north-a", Slots: 4, Address: strings.TrimPrefix(busy.URL, "http://")})
	f.store.remove(kindWorkers, "w1")
	f.waitFor("a sends the worker a request", func() bool {
		_, body := vms[0].sendRequest("/")
		return body == "busy"
	})
	f.waitWithin(1500*time.Millisecond, "all VMs know the worker's load", func() bool {
		for _, v := range vms {
			if v.Busy("busy") == 0 {
				return false
			}
		}
		return true
	})
}

// Guards against sending a VM loads again that it already has.
func TestLoadReportsAreSentOnce(t *testing.T) {
	f := newFleet(t)
	v := f.startVM("a", "north-a", nil)
	f.startWorker("w1", "s", "north-a")
	f.waitFor("the VM knows the worker", func() bool { return v.ready() && v.KnowsWorker("w1") })
	sync := func(request *peerpb.Sync) *peerpb.Synced {
		request.HoldMillis = 1
		return v.SyncReply(context.Background(), request)
	}
	loads := map[string]*peerpb.WorkerLoad{"w1": {Requests: 5}}
	first := sync(&peerpb.Sync{Loads: loads})
	again := sync(&peerpb.Sync{LoadsMark: first.GetLoadsMark()})
	restarted := sync(&peerpb.Sync{LoadsMark: &peerpb.LoadsMark{Start: 1, Number: first.GetLoadsMark().GetNumber()}})
	if len(first.GetLoads()) != 1 || len(again.GetLoads()) != 0 || len(restarted.GetLoads()) != 1 {
		t.Errorf("sent %d loads, then %d, after a restart %d; want 1, 0, 1",
			len(first.GetLoads()), len(again.GetLoads()), len(restarted.GetLoads()))
	}
}
