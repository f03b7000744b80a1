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

// Guards against missing a leaving signal, or taking it from a response of another worker.
func TestLeavingSignal(t *testing.T) {
	setLeaving := func(w http.ResponseWriter) { w.Header().Set("Leaving", "1") }
	cases := map[string]struct {
		path    string
		answer  func(w http.ResponseWriter, r *http.Request)
		leaving bool
	}{
		"success": {"/read/a", func(w http.ResponseWriter, _ *http.Request) { setLeaving(w); fmt.Fprint(w, "ok") }, true},
		"failure": {"/pay/a", func(w http.ResponseWriter, _ *http.Request) {
			setLeaving(w)
			w.WriteHeader(http.StatusInternalServerError)
		}, true},
		"refusal": {"/read/a", func(w http.ResponseWriter, _ *http.Request) {
			setLeaving(w)
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, true},
		"truncated body": {"/pay/a", func(w http.ResponseWriter, _ *http.Request) {
			setLeaving(w)
			w.Header().Set("Content-Length", "1000")
			_, _ = io.WriteString(w, "half")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}, true},
		"response of another worker": {"/read/a", func(w http.ResponseWriter, _ *http.Request) {
			setLeaving(w)
			w.WriteHeader(http.StatusMisdirectedRequest)
		}, false},
		"response to another request": {"/pay/a", func(w http.ResponseWriter, _ *http.Request) {
			setLeaving(w)
			w.Header().Set("Id", "x")
			fmt.Fprint(w, "ok")
		}, false},
		"no signal":                        {"/read/a", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }, false},
		"header without a body":            {"/pay/a", func(w http.ResponseWriter, _ *http.Request) { setLeaving(w); sendHeaderAndHang(w) }, true},
		"response before the body is read": {"/pay/a", func(w http.ResponseWriter, _ *http.Request) { setLeaving(w); fmt.Fprint(w, "early") }, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1, func(_ int, w http.ResponseWriter, r *http.Request) { c.answer(w, r) })
			f.send(http.MethodPost, c.path, "1", "body", "Wait", "400")
			_, got := f.loads.Leaving(&worker.Worker{ID: "w0"})
			if got != c.leaving {
				t.Errorf("leaving: %t, want %t", got, c.leaving)
			}
		})
	}
}

// sendHeaderAndHang sends a response header and then nothing until the client has timed out.
func sendHeaderAndHang(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "10")
	w.(http.Flusher).Flush()
	time.Sleep(600 * time.Millisecond)
}

// Guards against sending requests to workers that asked for a rest, and refusals without the wait.
func TestBackoffSignal(t *testing.T) {
	f := newFixture(t, 2, func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Rest", "2s")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	first := f.send(http.MethodGet, "/read/a", "1", "", "Wait", "3000")
	if tried := f.ran("1"); first.status != http.StatusServiceUnavailable || len(tried) != 2 || tried[0] == tried[1] {
		t.Fatalf("status %d after %v", first.status, tried)
	}
	second := f.send(http.MethodGet, "/read/a", "2", "", "Wait", "3000")
	after, err := strconv.ParseFloat(second.header.Get("Retry-After"), 64)
	if second.status != http.StatusServiceUnavailable || err != nil || after < 1.5 || after > 3 || second.took > 200*time.Millisecond {
		t.Errorf("status %d after %s, Retry-After %f s (%v)", second.status, second.took, after, err)
	}
	if tried := f.ran("2"); len(tried) != 0 {
		t.Errorf("the request was sent to %v", tried)
	}
	record, ok := f.decisions.Find("2")
	if text := fmt.Sprint(record); !ok || record.Rule != "resting" || !strings.Contains(text, "rests by its answer") {
		t.Errorf("the decision record lacks the reason: %s", text)
	}
}

func (plainDialect) RateLimit(h http.Header) (float64, error) {
	if h.Get("Limit") == "" {
		return math.Inf(1), nil
	}
	return strconv.ParseFloat(h.Get("Limit"), 64)
}

// Guards against ending a rate limit because an error response omits it.
func TestRateLimitSignal(t *testing.T) {
	const named = 3.0
	cases := map[string]struct {
		answers []func(w http.ResponseWriter)
		limited bool
	}{
		"success":                        {[]func(http.ResponseWriter){respondWithLimit("3", 200)}, true},
		"failure":                        {[]func(http.ResponseWriter){respondWithLimit("3", 500)}, true},
		"refusal":                        {[]func(http.ResponseWriter){respondWithLimit("3", 503)}, true},
		"response of another worker":     {[]func(http.ResponseWriter){respondWithLimit("3", http.StatusMisdirectedRequest)}, false},
		"then a success without a limit": {[]func(http.ResponseWriter){respondWithLimit("3", 200), respondWithLimit("", 200)}, false},
		"then a failure without a limit": {[]func(http.ResponseWriter){respondWithLimit("3", 200), respondWithLimit("", 500)}, true},
		"then a refusal without a limit": {[]func(http.ResponseWriter){respondWithLimit("3", 200), respondWithLimit("", 503)}, true},
		"then a malformed limit":         {[]func(http.ResponseWriter){respondWithLimit("3", 200), respondWithLimit("few", 200)}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			next := 0
			f := newFixture(t, 1, func(_ int, w http.ResponseWriter, _ *http.Request) {
				c.answers[next](w)
			})
			for next = range c.answers {
				f.send(http.MethodPost, "/pay/a", strconv.Itoa(next), "body", "Wait", "400")
			}
			last := f.loads.GetOrCreate("w0").RateLimit()
			if last.Finite() != c.limited || c.limited && last.PerSecond != named {
				t.Errorf("%+v, want a limit: %t", last, c.limited)
			}
		})
	}
}

// respondWithLimit responds with a status and, unless it is empty, a rate limit.
func respondWithLimit(limit string, status int) func(http.ResponseWriter) {
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
