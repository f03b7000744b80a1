// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ryehill/ryehill/state/route"
	"github.com/ryehill/ryehill/state/worker"
	"github.com/ryehill/ryehill/state/workspace"
	"github.com/ryehill/ryehill/transport/ingress"
)

// fakeKeys is a Keys with settable results.
type fakeKeys struct {
	mu                                   sync.Mutex
	revocationsUnknown, additionsUnknown bool
	refreshCount                         int
	onRefresh                            func()
}

func (k *fakeKeys) RefreshKeys(context.Context, workspace.Digest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refreshCount++
	if k.onRefresh != nil {
		k.onRefresh()
	}
}

func (k *fakeKeys) RevocationsCurrent() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.revocationsUnknown
}

func (k *fakeKeys) AdditionsCurrent() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.additionsUnknown
}

// fakeLimiter is a Limiter that admits a fixed number of requests.
type fakeLimiter struct {
	mu             sync.Mutex
	left, refunded int
}

func (l *fakeLimiter) Admit(context.Context, *workspace.Workspace) ingress.Admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.left == 0 {
		return ingress.Admission{Verdict: ingress.AdmissionOverQuota, RetryAfter: 1500 * time.Millisecond, Reason: "7 in 5 s of 6"}
	}
	l.left--
	return ingress.Admission{Refund: l.refund}
}

func (l *fakeLimiter) refund() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refunded++
	l.left++
}

// setWorkspaces replaces the routes of a fixture by ones with workspaces and a public route.
func setWorkspaces(t *testing.T, f *fixture, list ...workspace.Config) {
	t.Helper()
	d, err := workspace.NewDirectory(list)
	if err != nil {
		t.Fatal(err)
	}
	s := *f.snapshot
	target := []route.Target{{Service: "s", Weight: 1}}
	s.Routes = route.NewTable(route.Config{
		Version: 2, Services: []route.Service{{Name: "s"}}, Workspaces: d,
		Routes: []route.Route{
			{Name: "read", Host: "h", Prefix: "/read/", Repeatable: true, MaxAttempts: 2, Timeout: time.Second, Targets: target},
			{Name: "public", Host: "h", Prefix: "/public/", Public: true, MaxAttempts: 2, Timeout: time.Second, Targets: target},
		},
	})
	f.setSnapshot(&s)
}

// echoWorkspace responds with the workspace and API key that the worker received.
func echoWorkspace(_ int, w http.ResponseWriter, r *http.Request) {
	fmt.Fprintf(w, "workspace %q key %q", r.Header.Get("Workspace"), r.Header.Get("Api-Key"))
}

func TestWorkspaceFromAPIKey(t *testing.T) {
	cases := map[string]struct {
		path   string
		header []string
		status int
		body   string
	}{
		"valid key":                          {"/read/", []string{"Api-Key", "k1"}, http.StatusOK, `workspace "schools" key ""`},
		"workspace header set by the client": {"/read/", []string{"Api-Key", "k1", "Workspace", "offices"}, http.StatusOK, `workspace "schools" key ""`},
		"no key":                             {"/read/", []string{"Workspace", "schools"}, http.StatusUnauthorized, ""},
		"unknown key":                        {"/read/", []string{"Api-Key", "k9"}, http.StatusUnauthorized, ""},
		"public route without a key":         {"/public/", []string{"Workspace", "schools"}, http.StatusOK, `workspace "" key ""`},
		"public route with an unknown key":   {"/public/", []string{"Api-Key", "k9"}, http.StatusOK, `workspace "" key ""`},
		"public route with a valid key":      {"/public/", []string{"Api-Key", "k1"}, http.StatusOK, `workspace "schools" key ""`},
	}
	f := newFixture(t, 1, echoWorkspace)
	setWorkspaces(t, f, workspace.Config{Name: "schools", Keys: []string{"k1"}}, workspace.Config{Name: "offices", Keys: []string{"k2"}})
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := f.send(http.MethodGet, c.path, name, "", c.header...)
			if r.status != c.status || r.body != c.body {
				t.Errorf("%d %q, want %d %q", r.status, r.body, c.status, c.body)
			}
			if c.status != http.StatusOK && len(f.ran(name)) > 0 {
				t.Error("the request was run")
			}
		})
	}
}

// Guards against API keys in decision records.
func TestRecordsOmitAPIKeys(t *testing.T) {
	const key = "averysecretkey"
	f := newFixture(t, 1, echoWorkspace)
	setWorkspaces(t, f, workspace.Config{Name: "schools", Keys: []string{key}})
	f.send(http.MethodGet, "/read/", "good", "", "Api-Key", key)
	f.send(http.MethodGet, "/read/", "bad", "", "Api-Key", key+"x")
	for id, want := range map[string]string{"good": "schools", "bad": "key-unknown"} {
		record, ok := f.decisions.Find(id)
		text := fmt.Sprintf("%+v", record)
		if !ok || !strings.Contains(text, want) || strings.Contains(text, key) {
			t.Errorf("%s: want %q and no key: %s", id, want, text)
		}
	}
}

// Guards against running a request outside the home regions of its workspace.
func TestWorkspaceHomeRegions(t *testing.T) {
	f := newFixture(t, 2, echoRequest)
	w1, _ := f.snapshot.Workers.Get("w1")
	moved := *w1
	moved.Region = "there"
	w0, _ := f.snapshot.Workers.Get("w0")
	f.snapshot.Workers = worker.NewSet([]worker.Worker{*w0, moved})
	f.snapshot.Regions = []string{"here", "there"}
	setWorkspaces(
		t, f, workspace.Config{Name: "far", Keys: []string{"far"}, Homes: []string{"there"}},
		workspace.Config{Name: "near", Keys: []string{"near"}, Homes: []string{"here"}},
		workspace.Config{Name: "nowhere", Keys: []string{"nowhere"}, Homes: []string{"gone"}},
	)
	for key, want := range map[string]string{"far": "w1", "near": "w0"} {
		for n := range 12 {
			id := fmt.Sprint(key, n)
			f.send(http.MethodGet, "/read/", id, "", "Api-Key", key)
			if ran := f.ran(id); len(ran) != 1 || ran[0] != want {
				t.Fatalf("a request of %s ran at %v, want %s", key, ran, want)
			}
		}
	}
	if r := f.send(http.MethodGet, "/read/", "nowhere", "", "Api-Key", "nowhere"); r.status != http.StatusServiceUnavailable {
		t.Errorf("status %d for home regions without a worker", r.status)
	}
}

func TestStaleKeys(t *testing.T) {
	serve := func(keys *fakeKeys) *fixture {
		f := newFixture(t, 1, echoWorkspace)
		f.keys = keys
		f.serve(t)
		setWorkspaces(t, f, workspace.Config{Name: "schools", Keys: []string{"old"}})
		return f
	}
	t.Run("a new key that a refresh finds", func(t *testing.T) {
		keys := &fakeKeys{}
		f := serve(keys)
		keys.onRefresh = func() { setWorkspaces(t, f, workspace.Config{Name: "schools", Keys: []string{"old", "new"}}) }
		if r := f.send(http.MethodGet, "/read/", "1", "", "Api-Key", "new"); r.status != http.StatusOK {
			t.Errorf("status %d", r.status)
		}
		f.send(http.MethodGet, "/read/", "2", "", "Api-Key", "old")
		if keys.refreshCount != 1 {
			t.Errorf("%d refreshes, want 1: known keys need none", keys.refreshCount)
		}
	})
	t.Run("an unknown key at a VM with an old configuration", func(t *testing.T) {
		f := serve(&fakeKeys{additionsUnknown: true})
		r := f.send(http.MethodGet, "/read/", "1", "", "Api-Key", "new")
		if r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" {
			t.Errorf("status %d, want 503 with Retry-After", r.status)
		}
		if r := f.send(http.MethodGet, "/read/", "2", "", "Api-Key", "old"); r.status != http.StatusOK {
			t.Errorf("status %d for a known key", r.status)
		}
	})
	t.Run("a VM that may not know revoked keys", func(t *testing.T) {
		f := serve(&fakeKeys{revocationsUnknown: true})
		if r := f.send(http.MethodGet, "/read/", "1", "", "Api-Key", "old"); r.status != http.StatusServiceUnavailable {
			t.Errorf("status %d", r.status)
		}
		if r := f.send(http.MethodGet, "/public/", "2", ""); r.status != http.StatusOK {
			t.Errorf("status %d on a public route", r.status)
		}
	})
}

// Guards against over-quota requests being run and unrun requests being counted.
func TestQuotas(t *testing.T) {
	limit := &fakeLimiter{left: 2}
	f := newFixture(t, 1, func(n int, w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.Header.Get("Id"), "shed") {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		echoRequest(n, w, r)
	})
	f.limiter = limit
	f.serve(t)
	setWorkspaces(t, f, workspace.Config{Name: "schools", Keys: []string{"k"}, Rate: 1})
	for id, want := range map[string]int{"shed-1": http.StatusServiceUnavailable, "shed-2": http.StatusServiceUnavailable} {
		if r := f.send(http.MethodGet, "/read/", id, "", "Api-Key", "k"); r.status != want {
			t.Errorf("%s: status %d, want %d", id, r.status, want)
		}
	}
	if limit.refunded != 2 {
		t.Errorf("%d requests refunded, want 2", limit.refunded)
	}
	for n, want := range []int{http.StatusOK, http.StatusOK, http.StatusTooManyRequests} {
		id := fmt.Sprint(n)
		r := f.send(http.MethodGet, "/read/", id, "", "Api-Key", "k")
		if r.status != want {
			t.Errorf("request %d: status %d, want %d", n, r.status, want)
		}
		if want == http.StatusTooManyRequests && (r.header.Get("Retry-After") != "1.500" || len(f.ran(id)) > 0) {
			t.Errorf("Retry-After %q, ran at %v", r.header.Get("Retry-After"), f.ran(id))
		}
	}
	record, _ := f.decisions.Find("2")
	if record.Rule != "workspace-over-quota" || !strings.Contains(fmt.Sprint(record.Inputs), "7 in 5 s of 6") {
		t.Errorf("unexpected decision record %+v", record)
	}
}

var (
	_ ingress.Keys    = (*fakeKeys)(nil)
	_ ingress.Limiter = (*fakeLimiter)(nil)
)
