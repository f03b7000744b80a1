// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ryehill/ryehill/state/route"
	"github.com/ryehill/ryehill/state/worker"
)

// startLateReader starts a worker that works on an upload for a while before it reads the body.
func (f *fleet) startLateReader(id, hall string, unread time.Duration) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > 0 { // Else it is a check of the worker.
			time.Sleep(unread)
			_, _ = io.Copy(io.Discard, r.Body)
		}
		fmt.Fprint(w, id)
	}))
	f.t.Cleanup(s.Close)
	f.store.put(kindWorkers, id, worker.Worker{Service: "s", Hall: hall, Slots: 8, Address: strings.TrimPrefix(s.URL, "http://")})
}

// Guards against breaking off uploads whose workers leave the body unread for a while, and
// against taking the broken connections for crashes that the request caused, so that it is
// quarantined.
func TestUploadsThatAreReadLateAreServed(t *testing.T) {
	const (
		size    = 5_000_000
		unread  = 2 * time.Second
		clients = 12
		rounds  = 2
		// stagger separates the clients' uploads, since connections that fail at one moment
		// count as the failure of a path.
		stagger = 200 * time.Millisecond
	)
	t.Parallel()
	f := newFleet(t)
	f.store.put(kindConfig, "main", route.Config{
		Version: 2, Services: []route.Service{{Name: "s"}},
		Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: 10 * time.Second, MaxAttempts: 2, Targets: []route.Target{{Service: "s", Weight: 1}}}},
	})
	halls := []string{"north-a", "north-b", "south-a"}
	for i := range 6 {
		f.startLateReader("w"+strconv.Itoa(i), halls[i%len(halls)], unread)
	}
	for i, hall := range halls {
		f.startVM("v"+strconv.Itoa(i), hall, nil)
	}
	for _, v := range f.vms {
		f.waitFor(v.name+" serves", v.ready)
	}
	body := bytes.Repeat([]byte("b"), size)
	var served atomic.Int64
	var pending sync.WaitGroup
	for i := range clients {
		v := f.vms[i%len(f.vms)]
		pending.Go(func() {
			time.Sleep(time.Duration(i) * stagger)
			for round := range rounds {
				req, _ := http.NewRequest(http.MethodPost, "http://"+v.ingressAddr+"/upload", bytes.NewReader(body))
				req.Host = "h"
				req.Header.Set("Id", fmt.Sprintf("upload-%d-%d", i, round))
				res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
				if err != nil {
					t.Errorf("client %d: %v", i, err)
					continue
				}
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	pending.Wait()
	if n := served.Load(); n != clients*rounds {
		t.Errorf("%d of %d uploads were served", n, clients*rounds)
	}
	for _, v := range f.vms {
		if n := v.QuarantineCount(); n > 0 {
			t.Errorf("%s holds %d requests in quarantine, though none ended a worker", v.name, n)
		}
	}
}
