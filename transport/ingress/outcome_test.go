// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/ryehill/ryehill/state/worker"
)

// What ends at a worker counts for or against it, but a time that was over does
// not: it is over at any worker while there is more work than slots.
func TestOutcomesOfWorkers(t *testing.T) {
	cases := map[string]struct {
		behave func(w http.ResponseWriter, r *http.Request)
		failed uint32
	}{
		"answered":                       {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }, 0},
		"a refusal of the application":   {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusForbidden) }, 0},
		"an error of its own":            {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, 1},
		"broken off":                     {func(w http.ResponseWriter, _ *http.Request) { reset(w) }, 1},
		"its own time was over":          {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusGatewayTimeout) }, 0},
		"another worker has its address": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }, 3},
		"the client's time was over":     {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, 0},
		"it says that it has not run": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1, func(_ int, w http.ResponseWriter, r *http.Request) { c.behave(w, r) })
			f.ask(http.MethodPost, "/pay/", "1", "", "Wait", "300")
			var got worker.Outcomes
			for range 30 { // The answer may be with the client first.
				if got = f.loads.DrainOutcomes(10)["w0"]; got != (worker.Outcomes{}) {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			if got.Failed != c.failed {
				t.Errorf("%+v, want %d failed", got, c.failed)
			}
		})
	}
}
