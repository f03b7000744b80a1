// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

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
