// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/ryehill/ryehill/state/route"
)

// Guards against first runs of keys that are canceled for a retry that can't be in time
// either, so that no worker is ever warm for these keys.
func TestRetryWithTooLittleTimeDoesNotCancelFirstRun(t *testing.T) {
	const firstRun, timeout, objective = 280 * time.Millisecond, 400 * time.Millisecond, 200 * time.Millisecond
	var mu sync.Mutex
	warm := make(map[string]bool)
	f := newFixture(t, 2, func(_ int, w http.ResponseWriter, r *http.Request) {
		location := r.Header.Get("For") + r.URL.Path
		mu.Lock()
		isWarm := warm[location]
		mu.Unlock()
		if !isWarm {
			select {
			case <-time.After(firstRun):
			case <-r.Context().Done():
				return // Like most workers, it drops the request of a closed connection.
			}
			mu.Lock()
			warm[location] = true
			mu.Unlock()
		}
		fmt.Fprint(w, "done")
	})
	s := *f.snapshot
	s.Routes = route.NewTable(route.Config{
		Version: 2, Services: []route.Service{{Name: "s"}},
		Routes: []route.Route{{
			Name: "tight", Host: "h", Prefix: "/tight/", Repeatable: true, Affinity: true, MaxAttempts: 2,
			Timeout: timeout, Objective: objective, Targets: []route.Target{{Service: "s", Weight: 1}},
		}},
	})
	f.setSnapshot(&s)
	served := 0
	for round := range 2 {
		for key := range 3 {
			path := fmt.Sprintf("/tight/%d", key)
			if got := f.send(http.MethodGet, path, fmt.Sprintf("r%d-%d", round, key), "", "Key", path); got.status == http.StatusOK {
				served++
			}
		}
	}
	if served != 6 {
		t.Errorf("%d of 6 requests were served", served)
	}
}
