// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/ryehill/ryehill/state/worker"
)

// A request that reaches a VM in the moment before it knows anything is served.
func TestStartingVMWaitsAMoment(t *testing.T) {
	f := newFixture(t, 1, ok)
	known := f.snapshot
	f.setSnapshot(nil)
	time.AfterFunc(50*time.Millisecond, func() { f.setSnapshot(known) })
	if r := f.ask(http.MethodPost, "/pay/", "1", ""); r.status != http.StatusOK {
		t.Errorf("status %d after %s", r.status, r.took)
	}
	f.setSnapshot(nil)
	if r := f.ask(http.MethodPost, "/pay/", "2", ""); r.status != http.StatusServiceUnavailable || r.took > 400*time.Millisecond {
		t.Errorf("status %d after %s, want 503 soon", r.status, r.took)
	}
}

// Workers whose machines are gone get no request, so passing them over costs
// neither the request's tries nor the budget.
func TestUnreachableWorkersCostNoTry(t *testing.T) {
	const gone, rounds = 3, 12
	for round := range rounds {
		f := newFixture(t, 1, ok)
		workers := append([]worker.Worker{}, f.snapshot.Workers.Service("s")...)
		for i := range gone {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			workers = append(workers, worker.Worker{ID: fmt.Sprintf("gone%d", i), Service: "s", Region: "here", Slots: 4, Address: l.Addr().String()})
			_ = l.Close()
		}
		f.snapshot.Workers = worker.NewSet(workers)
		if r := f.ask(http.MethodPost, "/pay/", fmt.Sprint(round), ""); r.status != http.StatusOK {
			t.Fatalf("round %d: status %d", round, r.status)
		}
	}
}
