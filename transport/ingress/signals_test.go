// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress_test

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/ryehill/ryehill/state/worker"
)

// What a worker says of itself is heard in any answer of its own, and in none of another
// worker's.
func TestSignalsAreHeardEverywhere(t *testing.T) {
	leaving := func(w http.ResponseWriter) { w.Header().Set("Leaving", "1") }
	cases := map[string]struct {
		path   string
		answer func(w http.ResponseWriter, r *http.Request)
		heard  bool
	}{
		"success": {"/read/a", func(w http.ResponseWriter, _ *http.Request) { leaving(w); fmt.Fprint(w, "ok") }, true},
		"failure": {"/pay/a", func(w http.ResponseWriter, _ *http.Request) {
			leaving(w)
			w.WriteHeader(http.StatusInternalServerError)
		}, true},
		"refusal": {"/read/a", func(w http.ResponseWriter, _ *http.Request) {
			leaving(w)
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, true},
		"a body that breaks off": {"/pay/a", func(w http.ResponseWriter, _ *http.Request) {
			leaving(w)
			w.Header().Set("Content-Length", "1000")
			_, _ = io.WriteString(w, "half")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}, true},
		"another worker's": {"/read/a", func(w http.ResponseWriter, _ *http.Request) { leaving(w); w.WriteHeader(http.StatusMisdirectedRequest) }, false},
		"another request's": {"/pay/a", func(w http.ResponseWriter, _ *http.Request) {
			leaving(w)
			w.Header().Set("Id", "x")
			fmt.Fprint(w, "ok")
		}, false},
		"none":                    {"/read/a", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }, false},
		"a head, no more of it":   {"/pay/a", func(w http.ResponseWriter, _ *http.Request) { leaving(w); hang(w) }, true},
		"before the body is read": {"/pay/a", func(w http.ResponseWriter, _ *http.Request) { leaving(w); fmt.Fprint(w, "early") }, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1, func(_ int, w http.ResponseWriter, r *http.Request) { c.answer(w, r) })
			f.ask(http.MethodPost, c.path, "1", "body", "Wait", "400")
			_, heard := f.loads.Leaving(&worker.Worker{ID: "w0"})
			if heard != c.heard {
				t.Errorf("heard: %t, want %t", heard, c.heard)
			}
		})
	}
}

// hang sends a head and then nothing until the client is gone for sure.
func hang(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "10")
	w.(http.Flusher).Flush()
	time.Sleep(600 * time.Millisecond)
}

// A second try does not go to a worker that has just asked for rest, and a request that
// finds all at rest is refused at once, with the time after which one is awake; it reaches
// no worker.
func TestRequestsOfWorkersAtRest(t *testing.T) {
	f := newFixture(t, 2, func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Rest", "2s")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	first := f.ask(http.MethodGet, "/read/a", "1", "", "Wait", "3000")
	if tried := f.ran("1"); first.status != http.StatusServiceUnavailable || len(tried) != 2 || tried[0] == tried[1] {
		t.Fatalf("status %d after %v", first.status, tried)
	}
	second := f.ask(http.MethodGet, "/read/a", "2", "", "Wait", "3000")
	after, err := strconv.ParseFloat(second.header.Get("Retry-After"), 64)
	if second.status != http.StatusServiceUnavailable || err != nil || after < 1.5 || after > 3 || second.took > 200*time.Millisecond {
		t.Errorf("status %d within %s, to come back after %f s %v", second.status, second.took, after, err)
	}
	if tried := f.ran("2"); len(tried) != 0 {
		t.Errorf("it reached %v", tried)
	}
	record, ok := f.decisions.Find("2")
	if text := fmt.Sprint(record); !ok || record.Rule != "resting" || !strings.Contains(text, "rests by its answer") {
		t.Errorf("its record does not say why: %s", text)
	}
}

func (plain) RateLimit(h http.Header) (float64, error) {
	if h.Get("Limit") == "" {
		return math.Inf(1), nil
	}
	return strconv.ParseFloat(h.Get("Limit"), 64)
}

// A failure or refusal without a limit must not end one.
func TestLimitsAreHeard(t *testing.T) {
	const named = 3.0
	cases := map[string]struct {
		answers []func(w http.ResponseWriter)
		limited bool
	}{
		"success":                   {[]func(http.ResponseWriter){limited("3", 200)}, true},
		"failure":                   {[]func(http.ResponseWriter){limited("3", 500)}, true},
		"refusal":                   {[]func(http.ResponseWriter){limited("3", 503)}, true},
		"another worker's":          {[]func(http.ResponseWriter){limited("3", http.StatusMisdirectedRequest)}, false},
		"then a success without it": {[]func(http.ResponseWriter){limited("3", 200), limited("", 200)}, false},
		"then a failure without it": {[]func(http.ResponseWriter){limited("3", 200), limited("", 500)}, true},
		"then a refusal without it": {[]func(http.ResponseWriter){limited("3", 200), limited("", 503)}, true},
		"then one that is garbled":  {[]func(http.ResponseWriter){limited("3", 200), limited("few", 200)}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			next := 0
			f := newFixture(t, 1, func(_ int, w http.ResponseWriter, _ *http.Request) {
				c.answers[next](w)
			})
			for next = range c.answers {
				f.ask(http.MethodPost, "/pay/a", strconv.Itoa(next), "body", "Wait", "400")
			}
			last := f.loads.GetOrCreate("w0").RateLimit()
			if last.Finite() != c.limited || c.limited && last.PerSecond != named {
				t.Errorf("%+v, want a limit: %t", last, c.limited)
			}
		})
	}
}

// limited answers with a status, and with a limit if there is one.
func limited(limit string, status int) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		if limit != "" {
			w.Header().Set("Limit", limit)
		}
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Not-Run", "1")
		}
		w.WriteHeader(status)
	}
}
