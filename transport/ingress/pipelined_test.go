// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/ryehill/ryehill/state/decision"
	"github.com/ryehill/ryehill/state/route"
	"github.com/ryehill/ryehill/transport/pipeline"
)

// aheadObjective is the latency objective of the routes of these tests.
const aheadObjective = 150 * time.Millisecond

// aheadFixture is a VM that requests can be sent ahead to.
type aheadFixture struct {
	*fixture
	address string
	mu      sync.Mutex
	lines   []string
	waits   map[string]int // the time left, in ms, that workers were told, by request id
}

func newAheadFixture(t *testing.T) *aheadFixture {
	t.Helper()
	return newAheadFixtureWith(t, func(_ int, w http.ResponseWriter, r *http.Request) {
		if work, err := time.ParseDuration(r.URL.Query().Get("work")); err == nil {
			time.Sleep(work)
		}
		_, _ = io.WriteString(w, r.Header.Get("Id"))
	})
}

// newAheadFixtureWith starts a VM whose workers use a handler function; see newFixture.
func newAheadFixtureWith(t *testing.T, handle func(n int, w http.ResponseWriter, r *http.Request)) *aheadFixture {
	t.Helper()
	f := &aheadFixture{waits: make(map[string]int)}
	f.fixture = newFixture(t, 3, func(n int, w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.waits[r.Header.Get("Id")], _ = strconv.Atoi(r.Header.Get("Wait"))
		f.mu.Unlock()
		handle(n, w, r)
	})
	target := []route.Target{{Service: "s", Weight: 1}}
	f.snapshot.Routes = route.NewTable(route.Config{
		Version: 1, Services: []route.Service{{Name: "s"}},
		Routes: []route.Route{
			{Name: "read", Host: "h", Prefix: "/read/", Repeatable: true, MaxAttempts: 2, Timeout: 3 * time.Second, Objective: aheadObjective, Targets: target},
			{Name: "pay", Host: "h", Prefix: "/pay/", MaxAttempts: 2, Timeout: 3 * time.Second, Objective: aheadObjective, Targets: target},
		},
	})
	f.log = funcr.New(func(_, args string) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.lines = append(f.lines, args)
	}, funcr.Options{})
	f.serve(t)
	server, err := pipeline.New(pipeline.Config{Handler: f.handler, Concurrent: f.handler.Concurrent, Log: logr.Discard()})
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = l.Addr().String()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return f
}

// sendAhead sends requests at once and returns the statuses and bodies in order. The ids of
// the requests are 1, 2 and so on; a target may end in further header fields.
func (f *aheadFixture) sendAhead(t *testing.T, targets ...string) (statuses []int, bodies []string) {
	t.Helper()
	nc, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
	var requests strings.Builder
	for i, target := range targets {
		path, fields, _ := strings.Cut(target, " ")
		fmt.Fprintf(&requests, "GET %s HTTP/1.1\r\nHost: h\r\nId: %d\r\n%s\r\n", path, i+1, fields)
	}
	if _, err := io.WriteString(nc, requests.String()); err != nil {
		t.Fatal(err)
	}
	br := bufio.NewReader(nc)
	for range targets {
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(res.Body)
		if err != nil {
			t.Fatal(err)
		}
		statuses, bodies = append(statuses, res.StatusCode), append(bodies, string(body))
	}
	return statuses, bodies
}

// logged returns the log lines of a request.
func (f *aheadFixture) logged(id string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for _, line := range f.lines {
		if strings.Contains(line, fmt.Sprintf(`"request"=%q`, id)) {
			list = append(list, line)
		}
	}
	return list
}

// awaitRecord returns the decision record of a request once it has a rule.
func (f *aheadFixture) awaitRecord(t *testing.T, id, rule string) decision.Record {
	t.Helper()
	var record decision.Record
	for deadline := time.Now().Add(5 * time.Second); record.Rule != rule; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("request %s is recorded as %q, want %q", id, record.Rule, rule)
		}
		record, _ = f.decisions.Find(id)
	}
	return record
}

// input returns an input of a decision, or nothing.
func input(record decision.Record, name string) string {
	for _, in := range record.Inputs {
		if in.Name == name {
			return in.Value
		}
	}
	return ""
}

const causeBehindOthers = "s: late: behind others on its connection"

func TestResponseHeldTooLongIsLate(t *testing.T) {
	f := newAheadFixture(t)
	statuses, bodies := f.sendAhead(t, "/read/?work=400ms", "/read/", "/read/")
	if fmt.Sprint(statuses, bodies) != "[200 200 200] [1 2 3]" {
		t.Fatal(statuses, bodies)
	}
	for id, ahead := range map[string]int{"2": 1, "3": 2} {
		record := f.awaitRecord(t, id, "late")
		if position := input(record, "position on its connection"); !strings.HasPrefix(position, fmt.Sprintf("behind %d, ", ahead)) {
			t.Errorf("request %s: position %q", id, position)
		}
		ms, err := strconv.Atoi(strings.TrimSuffix(input(record, "held behind others"), " ms"))
		if err != nil || ms < 250 || ms > 450 {
			t.Errorf("request %s: held %q", id, input(record, "held behind others"))
		}
		if lines := f.logged(id); len(lines) != 1 || !strings.Contains(lines[0], `"reason"="late"`) {
			t.Errorf("request %s is logged as %q", id, lines)
		}
	}
	if lost := f.handler.CollectLosses(); lost[causeBehindOthers] != 2 {
		t.Errorf("counted %v", lost)
	}
	first := f.awaitRecord(t, "1", "late")
	if position, held := input(first, "position on its connection"), input(first, "held behind others"); position+held != "" {
		t.Errorf("the first request has position %q and was held %q", position, held)
	}
}

func TestResponseHeldBrieflyIsNotLate(t *testing.T) {
	f := newAheadFixture(t)
	f.sendAhead(t, "/read/?work=30ms", "/read/")
	f.awaitRecord(t, "2", "answered")
	time.Sleep(20 * time.Millisecond) // The record would follow the response.
	f.awaitRecord(t, "2", "answered")
	if lost := f.handler.CollectLosses(); lost[causeBehindOthers] != 0 || len(f.logged("2")) != 0 {
		t.Errorf("counted %v, logged %q", lost, f.logged("2"))
	}
}

// Guards against a request that is late by its own work, too, being counted twice.
func TestLateRequestIsCountedOnce(t *testing.T) {
	f := newAheadFixture(t)
	f.sendAhead(t, "/read/?work=400ms", "/read/?work=250ms")
	f.awaitRecord(t, "2", "late")
	time.Sleep(20 * time.Millisecond)
	if lost := f.handler.CollectLosses(); lost[causeBehindOthers] != 0 || len(f.logged("2")) != 1 {
		t.Errorf("counted %v, logged %q", lost, f.logged("2"))
	}
}

func TestTimeOfRequestCountsFromReceipt(t *testing.T) {
	t.Run("the worker is told what is left", func(t *testing.T) {
		f := newAheadFixture(t)
		f.sendAhead(t, "/read/?work=300ms", "/pay/ Wait: 2000\r\n")
		if left := f.waits["2"]; left <= 0 || left > 1750 {
			t.Errorf("the worker was told that %d ms are left", left)
		}
		var ahead, ms int
		position := input(f.awaitRecord(t, "2", "late"), "position on its connection")
		if _, err := fmt.Sscanf(position, "behind %d, began after %d ms", &ahead, &ms); err != nil || ahead != 0 || ms < 250 {
			t.Errorf("a request that waited for its turn has position %q", position)
		}
		if lost := f.handler.CollectLosses(); lost[causeBehindOthers] != 1 {
			t.Errorf("counted %v", lost)
		}
	})
	t.Run("nothing left", func(t *testing.T) {
		f := newAheadFixture(t)
		statuses, _ := f.sendAhead(t, "/read/?work=300ms", "/pay/ Wait: 200\r\n", "/read/")
		if statuses[0] != http.StatusOK || statuses[1] < http.StatusInternalServerError || statuses[2] != http.StatusOK {
			t.Errorf("statuses %v", statuses)
		}
		if ran := f.ran("2"); len(ran) != 0 {
			t.Errorf("%v ran a request whose time was over", ran)
		}
	})
}

func TestOnlyRepeatableRequestsRunBesideOthers(t *testing.T) {
	f := newAheadFixture(t)
	for target, want := range map[string]bool{
		"http://h/read/a": true, "http://h/read/a?b": true, "http://h/pay/a": false, "http://h/none": false, "http://other/read/a": false,
	} {
		req, err := http.NewRequest(http.MethodGet, target, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.RequestURI = req.URL.RequestURI()
		if got := f.handler.Concurrent(req); got != want {
			t.Errorf("%s: %v", target, got)
		}
		snapshot := f.snapshot
		f.setSnapshot(nil)
		if f.handler.Concurrent(req) {
			t.Errorf("%s without a configuration", target)
		}
		f.setSnapshot(snapshot)
	}
}

// Guards against losing the responses behind a large one that its worker cuts off: they have
// run, and the connection of the client had to be closed.
func TestLargeResponseThatIsCutOffLosesNone(t *testing.T) {
	const size, behind = 400_000, 5
	cases := map[string]struct {
		// cuts is how many times the large response is cut off.
		cuts, status int
		sized        bool
	}{
		"once":                 {1, http.StatusOK, true},
		"once, unknown length": {1, http.StatusOK, false},
		"always":               {10, http.StatusBadGateway, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newAheadFixtureWith(t, func(n int, w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/read/large" {
					_, _ = io.WriteString(w, r.Header.Get("Id"))
					return
				}
				time.Sleep(20 * time.Millisecond) // Until the requests behind it have begun.
				if c.sized {
					w.Header().Set("Content-Length", strconv.Itoa(size))
				}
				_, _ = w.Write(make([]byte, size*3/4))
				if n < c.cuts {
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
				_, _ = w.Write(make([]byte, size-size*3/4))
			})
			targets := []string{"/read/large"}
			for i := range behind {
				targets = append(targets, "/read/"+strconv.Itoa(i))
			}
			statuses, bodies := f.sendAhead(t, targets...)
			if statuses[0] != c.status || c.status == http.StatusOK && len(bodies[0]) != size {
				t.Errorf("the large request got %d with %d bytes", statuses[0], len(bodies[0]))
			}
			for i := 1; i <= behind; i++ {
				if statuses[i] != http.StatusOK || bodies[i] != strconv.Itoa(i+1) {
					t.Errorf("request %d got %d, %q", i+1, statuses[i], bodies[i])
				}
			}
		})
	}
}
