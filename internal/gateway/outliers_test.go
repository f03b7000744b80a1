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

// VMs that each see too few failures of a worker to tell find it together: each
// sends it one request, which fails, and then none of them sends it any.
func TestVMsSpareAFailingWorkerTogether(t *testing.T) {
	f, vms := threeVMs(t)
	var asked atomic.Int64
	bad := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	}))
	t.Cleanup(bad.Close)
	f.store.put(kindWorkers, "bad", worker.Worker{Service: "s", Hall: "north-a", Slots: 4, Address: strings.TrimPrefix(bad.URL, "http://")})
	f.store.remove(kindWorkers, "w1")
	for _, v := range vms {
		f.until(v.name+" sends it a request", func() bool {
			status, _ := v.ask("/")
			return status == http.StatusInternalServerError
		})
	}
	before := asked.Load()
	if before != int64(len(vms)) {
		t.Fatalf("it got %d requests of %d VMs", before, len(vms))
	}
	for i := range 5 {
		f.worker(fmt.Sprintf("good%d", i), "s", "north-a")
	}
	time.Sleep(1200 * time.Millisecond) // Two questions to the watcher, within the first spell.
	for _, v := range vms {
		for range 20 {
			v.ask("/")
		}
	}
	if got := asked.Load() - before; got > 0 {
		t.Errorf("it got %d requests more", got)
	}
}

// A worker whose address has passed to another is found out by one request of one
// VM: no other VM sends it any.
func TestVMsHearThatAWorkerHasEnded(t *testing.T) {
	f, vms := threeVMs(t)
	var asked atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		w.WriteHeader(http.StatusMisdirectedRequest)
	}))
	t.Cleanup(other.Close)
	f.store.put(kindWorkers, "ended", worker.Worker{Service: "s", Hall: "north-a", Slots: 4, Address: strings.TrimPrefix(other.URL, "http://")})
	f.store.remove(kindWorkers, "w1")
	f.until("one VM sends it a request", func() bool {
		vms[0].ask("/")
		return asked.Load() > 0
	})
	for i := range 5 {
		f.worker(fmt.Sprintf("good%d", i), "s", "north-a")
	}
	time.Sleep(1200 * time.Millisecond) // Two questions to the watcher, within the first spell.
	before := asked.Load()
	for _, v := range vms {
		for range 20 {
			v.ask("/")
		}
	}
	if got := asked.Load() - before; got > 0 {
		t.Errorf("it got %d requests of VMs that could know", got)
	}
}
