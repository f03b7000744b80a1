// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against connections to a process that is known to have exited being taken for the
// exit of its successor, which then counts as cold for longer than it is.
func TestReconnectionAfterKnownExitIsNoNewExit(t *testing.T) {
	cases := map[string]struct {
		exitKnown, newExit bool
	}{
		"exit known since the last request": {true, false},
		"no exit known":                     {false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var server atomic.Pointer[http.Server]
			f := newFixture(t, 1, func(_ int, w http.ResponseWriter, r *http.Request) {
				server.Store(r.Context().Value(http.ServerContextKey).(*http.Server))
				fmt.Fprint(w, "done")
			})
			incarnation := f.snapshot.Workers.All()[0].Incarnation()
			if got := f.send(http.MethodGet, "/read/1", "q1", ""); got.status != http.StatusOK {
				t.Fatalf("status %d", got.status)
			}
			server.Load().SetKeepAlivesEnabled(false) // Closes idle connections.
			server.Load().SetKeepAlivesEnabled(true)
			if c.exitKnown {
				f.loads.GetOrCreate(incarnation).RecordConnectionRefused()
			}
			// Signals of one exit are joined for a second.
			time.Sleep(1100 * time.Millisecond)
			reconnecting := time.Now()
			if got := f.send(http.MethodGet, "/read/2", "q2", ""); got.status != http.StatusOK {
				t.Fatalf("status %d", got.status)
			}
			if at := f.loads.SharedSignals()[incarnation].Exit.At; at.After(reconnecting) != c.newExit {
				t.Errorf("the last suspected exit is %s after the reconnection, a new one is %t", at.Sub(reconnecting), c.newExit)
			}
		})
	}
}
