// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ryehill/ryehill/state/worker"
)

// Guards against VMs that see one failure each not ejecting the worker together.
func TestVMsEjectFailingWorkerTogether(t *testing.T) {
	f, vms := startThreeVMs(t)
	var requests atomic.Int64
	failing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	}))
	t.Cleanup(failing.Close)
	f.store.put(kindWorkers, "bad", worker.Worker{Service: "s", Hall: "north-a", Slots: 4, Address: strings.TrimPrefix(failing.URL, "http://")})
	f.store.remove(kindWorkers, "w1")
	for _, v := range vms {
		f.waitFor(v.name+" sends the worker a request", func() bool {
			status, _ := v.sendRequest("/")
			return status == http.StatusInternalServerError
		})
	}
	before := requests.Load()
	if before != int64(len(vms)) {
		t.Fatalf("the worker got %d requests from %d VMs", before, len(vms))
	}
	for i := range 5 {
		f.startWorker(fmt.Sprintf("good%d", i), "s", "north-a")
	}
	time.Sleep(1200 * time.Millisecond) // Time for two sync requests, within the first ejection.
	for _, v := range vms {
		for range 20 {
			v.sendRequest("/")
		}
	}
	if got := requests.Load() - before; got > 0 {
		t.Errorf("the ejected worker got %d more requests", got)
	}
}

// Guards against other VMs sending requests to an address that one VM found reused.
func TestVMsShareThatAnAddressIsReused(t *testing.T) {
	f, vms := startThreeVMs(t)
	var requests atomic.Int64
	reused := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		w.WriteHeader(http.StatusMisdirectedRequest)
	}))
	t.Cleanup(reused.Close)
	f.store.put(kindWorkers, "ended", worker.Worker{Service: "s", Hall: "north-a", Slots: 4, Address: strings.TrimPrefix(reused.URL, "http://")})
	f.store.remove(kindWorkers, "w1")
	f.waitFor("one VM sends the worker a request", func() bool {
		vms[0].sendRequest("/")
		return requests.Load() > 0
	})
	for i := range 5 {
		f.startWorker(fmt.Sprintf("good%d", i), "s", "north-a")
	}
	time.Sleep(1200 * time.Millisecond) // Time for two sync requests, within the first ejection.
	before := requests.Load()
	for _, v := range vms {
		for range 20 {
			v.sendRequest("/")
		}
	}
	if got := requests.Load() - before; got > 0 {
		t.Errorf("the reused address got %d more requests", got)
	}
}
