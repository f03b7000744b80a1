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

// Guards against refusing requests that arrive just before a starting VM has its first snapshot.
func TestStartupWait(t *testing.T) {
	f := newFixture(t, 1, echoRequest)
	known := f.snapshot
	f.setSnapshot(nil)
	time.AfterFunc(50*time.Millisecond, func() { f.setSnapshot(known) })
	if r := f.send(http.MethodPost, "/pay/", "1", ""); r.status != http.StatusOK {
		t.Errorf("status %d after %s", r.status, r.took)
	}
	f.setSnapshot(nil)
	if r := f.send(http.MethodPost, "/pay/", "2", ""); r.status != http.StatusServiceUnavailable || r.took > 400*time.Millisecond {
		t.Errorf("status %d after %s, want 503 soon", r.status, r.took)
	}
}

// Guards against waiting too long for the first snapshot.
func TestStartupWaitBounds(t *testing.T) {
	cases := map[string]struct {
		clientTimeout    string
		minWait, maxWait time.Duration
	}{
		"short client timeout":  {"500", 100 * time.Millisecond, 300 * time.Millisecond},
		"medium client timeout": {"12000", 480 * time.Millisecond, 900 * time.Millisecond},
		"long client timeout":   {"600000", 580 * time.Millisecond, time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1, echoRequest)
			f.setSnapshot(nil)
			r := f.send(http.MethodPost, "/pay/", "1", "", "Wait", c.clientTimeout)
			if r.status != http.StatusServiceUnavailable || r.took < c.minWait || r.took > c.maxWait {
				t.Errorf("status %d after %s, want 503 after %s to %s", r.status, r.took, c.minWait, c.maxWait)
			}
		})
	}
}

// Guards against unreachable workers using up attempts or the retry budget.
func TestUnreachableWorkersUseNoRetries(t *testing.T) {
	const gone, rounds = 3, 12
	for round := range rounds {
		f := newFixture(t, 1, echoRequest)
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
		if r := f.send(http.MethodPost, "/pay/", fmt.Sprint(round), ""); r.status != http.StatusOK {
			t.Fatalf("round %d: status %d", round, r.status)
		}
		for id, o := range f.loads.DrainOutcomes(gone) {
			if o.Failed != 1 {
				t.Errorf("%s: %+v, want one failure", id, o)
			}
		}
	}
}
