// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/ryehill/ryehill/state/worker"
)

// Guards against counting timeouts and refusals as failures of a worker.
func TestWorkerOutcomes(t *testing.T) {
	cases := map[string]struct {
		handle   func(w http.ResponseWriter, r *http.Request)
		failures uint32
	}{
		"answered":                       {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }, 0},
		"client error response":          {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusForbidden) }, 0},
		"server error response":          {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, 1},
		"connection reset":               {func(w http.ResponseWriter, _ *http.Request) { resetConnection(w) }, 1},
		"gateway timeout of the worker":  {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusGatewayTimeout) }, 0},
		"another worker has its address": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }, 3},
		"timeout of the client":          {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, 0},
		"refused, not run": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1, func(_ int, w http.ResponseWriter, r *http.Request) { c.handle(w, r) })
			f.send(http.MethodPost, "/pay/", "1", "", "Wait", "300")
			var got worker.Outcomes
			for range 30 { // The client may get the response before the outcome is counted.
				if got = f.loads.DrainOutcomes(10)["w0"]; got != (worker.Outcomes{}) {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			if got.Failed != c.failures {
				t.Errorf("%+v, want %d failed", got, c.failures)
			}
		})
	}
}
