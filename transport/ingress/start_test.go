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

// How long a request waits for a VM that knows nothing yet is a small part of its
// client's patience.
func TestWaitAtAStartingVM(t *testing.T) {
	cases := map[string]struct {
		patience    string
		least, most time.Duration
	}{
		"a client in a hurry": {"500", 100 * time.Millisecond, 300 * time.Millisecond},
		"a patient one":       {"12000", 480 * time.Millisecond, 900 * time.Millisecond},
		"one without end":     {"600000", 580 * time.Millisecond, time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1, ok)
			f.setSnapshot(nil)
			r := f.ask(http.MethodPost, "/pay/", "1", "", "Wait", c.patience)
			if r.status != http.StatusServiceUnavailable || r.took < c.least || r.took > c.most {
				t.Errorf("status %d after %s, want 503 after %s to %s", r.status, r.took, c.least, c.most)
			}
		})
	}
}

// Workers whose machines are gone get no request, so passing them over costs
// neither the request's tries nor the budget.
func TestUnreachableWorkersCostNoTry(t *testing.T) {
	const gone, rounds = 3, 12
	for round := range rounds {
		f := newFixture(t, 1, ok)
		workers := make([]worker.Worker, 0, gone+1)
		for _, w := range f.snapshot.Workers.Service("s") {
			workers = append(workers, *w)
		}
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
		for id, o := range f.loads.DrainOutcomes(gone) {
			if o.Failed != 1 {
				t.Errorf("%s: %+v, want one failure for other VMs to hear of", id, o)
			}
		}
	}
}
