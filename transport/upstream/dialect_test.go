// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package upstream_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/transport/upstream"
)

// numbered is a dialect whose answers carry the number of their request.
type numbered struct{}

func (numbered) Refused(res *http.Response) (upstream.Kind, bool) {
	return upstream.KindOther, res.StatusCode == http.StatusMisdirectedRequest
}

func (numbered) Belongs(req *upstream.Request, res *http.Response) bool {
	return res.Header.Get("Number") == req.Header.Get("Number") || res.StatusCode == http.StatusMisdirectedRequest
}

func (numbered) WithoutLength() bool { return true }

func newNumbered(t *testing.T, onceIdle time.Duration) *upstream.Client {
	c := upstream.New(upstream.Config{Progress: 2 * time.Second, Dialect: numbered{}, OnceIdle: onceIdle})
	t.Cleanup(c.CloseIdle)
	return c
}

func number(n int) upstream.Request {
	return upstream.Request{Header: http.Header{"Number": {fmt.Sprint(n)}}}
}

func numberedAnswer(conn net.Conn, n, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nNumber: %s\r\nContent-Length: %d\r\n\r\n%s", n, len(body), body)
}

// An answer to an earlier request that comes late, where the next one is due, is
// passed over.
func TestLateAnswerIsPassedOver(t *testing.T) {
	w, requests := worker(t, func(n int, req *http.Request, conn net.Conn) bool {
		if n == 2 {
			numberedAnswer(conn, "1", "late")
		}
		numberedAnswer(conn, req.Header.Get("Number"), "own")
		return true
	})
	c := newNumbered(t, 0)
	for n := 1; n <= 3; n++ {
		if body, err := get(c, w, number(n)); body != "own" || err != nil {
			t.Fatalf("request %d: %q %v", n, body, err)
		}
	}
	if requests.Load() != 3 {
		t.Errorf("%d requests sent, want 3", requests.Load())
	}
}

// Answers that all belong to others end the try; it may have run.
func TestForeignAnswersEndTheTry(t *testing.T) {
	w, _ := worker(t, func(_ int, _ *http.Request, conn net.Conn) bool {
		for range 4 {
			numberedAnswer(conn, "other", "foreign")
		}
		return true
	})
	_, err := get(newNumbered(t, 0), w, number(1))
	var failed *upstream.Error
	if !errors.As(err, &failed) || failed.NotRun() || failed.Kind() != upstream.KindBroken {
		t.Fatalf("%v, want a broken try that may have run", err)
	}
}

// Another worker's word that it has the address is "not run". It bears no number,
// so the connection is not used again: a second copy of it, which comes late,
// must not be taken for the answer to the next request.
func TestAnotherWorkerHasTheAddress(t *testing.T) {
	const misdirected = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
	var reused atomic.Bool
	w, _ := worker(t, func(n int, _ *http.Request, conn net.Conn) bool {
		reused.Store(reused.Load() || n > 1)
		fmt.Fprint(conn, misdirected)
		return true
	})
	c := newNumbered(t, time.Second)
	for n := range 3 {
		_, err := get(c, w, number(n))
		var failed *upstream.Error
		if !errors.As(err, &failed) || !failed.NotRun() || failed.Kind() != upstream.KindOther {
			t.Fatalf("%v, want one that was not run", err)
		}
	}
	if reused.Load() {
		t.Error("the connection was used again")
	}
}

// An answer without a length is whole if its connection was closed, and broken
// if it was reset.
func TestAnswerWithoutLength(t *testing.T) {
	cases := map[string]struct {
		reset bool
		want  string
	}{
		"closed": {false, "all of it"},
		"reset":  {true, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w, _ := worker(t, func(_ int, req *http.Request, conn net.Conn) bool {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nNumber: %s\r\n\r\nall of it", req.Header.Get("Number"))
				if c.reset {
					time.Sleep(50 * time.Millisecond) // The bytes come first.
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				return false
			})
			body, err := get(newNumbered(t, 0), w, number(1))
			if c.reset != (err != nil) || !c.reset && body != c.want {
				t.Errorf("%q %v", body, err)
			}
		})
	}
}

// A kept connection is given up before the upstream's announced time is over.
func TestAnnouncedKeepAliveIsHeeded(t *testing.T) {
	w, _ := worker(t, func(n int, req *http.Request, conn net.Conn) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nNumber: %s\r\nKeep-Alive: timeout=1, max=5\r\nContent-Length: 1\r\n\r\n%d", req.Header.Get("Number"), n)
		return true
	})
	c := newNumbered(t, 0)
	for i, want := range []string{"1", "2", "1"} {
		if i == 2 {
			time.Sleep(900 * time.Millisecond)
		}
		if body, err := get(c, w, number(i)); body != want || err != nil {
			t.Fatalf("request %d is number %q on its connection, want %q (%v)", i, body, want, err)
		}
	}
}

// A request that may not be repeated uses a kept connection only while that is
// fresh enough.
func TestOnceNeedsAFreshConnection(t *testing.T) {
	cases := map[string]struct {
		onceIdle, rest time.Duration
		want           string
	}{
		"never":        {0, 0, "1"},
		"fresh enough": {time.Second, 0, "2"},
		"too old":      {50 * time.Millisecond, 100 * time.Millisecond, "1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w, _ := worker(t, func(n int, req *http.Request, conn net.Conn) bool {
				numberedAnswer(conn, req.Header.Get("Number"), fmt.Sprint(n))
				return true
			})
			client := newNumbered(t, c.onceIdle)
			if _, err := get(client, w, number(1)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(c.rest)
			once := number(2)
			once.Once, once.Method = true, http.MethodPost
			if body, err := get(client, w, once); body != c.want || err != nil {
				t.Errorf("number %q on its connection, want %q (%v)", body, c.want, err)
			}
		})
	}
}
