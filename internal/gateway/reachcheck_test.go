// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/ryehill/ryehill/state/worker"
)

// Guards against holding failed connections against workers and requests because there is no
// worker to check but such that want few requests.
func TestReachIsCheckedWhereAllWorkersWantFewRequests(t *testing.T) {
	cases := map[string]func(*worker.Worker, http.Header){
		"cold":    func(w *worker.Worker, _ http.Header) { w.ColdUntil = time.Now().Add(time.Hour) },
		"limited": func(_ *worker.Worker, h http.Header) { h.Set("Limit", "1000") },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startIsolationFleet(t, 2, 0)
			for i := range 4 {
				entry, header := worker.Worker{Service: "s", Hall: "north-a", Slots: 8}, make(http.Header)
				change(&entry, header)
				s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					maps.Copy(w.Header(), header)
					fmt.Fprint(w, "ok")
				}))
				t.Cleanup(s.Close)
				entry.Address = strings.TrimPrefix(s.URL, "http://")
				f.store.put(kindWorkers, fmt.Sprintf("w%d", i), entry)
			}
			f.waitFor("the VM knows the workers", func() bool { return f.vms[0].KnowsWorker("w3") })
			f.load(time.Second, nil)
			f.setMode([]int{0}, isolatedByReset)
			f.waitWithin(4*time.Second, "the VM has noticed that it reaches no worker", func() bool {
				f.sendOnce(f.vms[0], rand.IntN(isolationPaths))
				return f.vms[0].Isolated()
			})
		})
	}
}
