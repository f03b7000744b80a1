// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/ryehill/ryehill/transport/pipeline"
)

func TestInvalidHeaderIsRejected(t *testing.T) {
	start := "GET /never HTTP/1.1\r\nHost: h\r\n"
	for name, test := range map[string]struct {
		sent   string
		status int
	}{
		"no request line":           {"nonsense\r\n\r\n", http.StatusBadRequest},
		"no version":                {"GET /never\r\n\r\n", http.StatusBadRequest},
		"version 2":                 {"GET /never HTTP/2.0\r\nHost: h\r\n\r\n", http.StatusHTTPVersionNotSupported},
		"preface of HTTP/2":         {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", http.StatusHTTPVersionNotSupported},
		"no host":                   {"GET /never HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		"no host, absolute target":  {"GET http://h/never HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		"two hosts":                 {start + "Host: h\r\n\r\n", http.StatusBadRequest},
		"invalid host":              {"GET /never HTTP/1.1\r\nHost: h/x\r\n\r\n", http.StatusBadRequest},
		"two lengths":               {start + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", http.StatusBadRequest},
		"length and chunks":         {start + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", http.StatusBadRequest},
		"two encodings":             {start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", http.StatusBadRequest},
		"unknown encoding":          {start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", http.StatusBadRequest},
		"chunks in HTTP/1.0":        {"POST /never HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", http.StatusBadRequest},
		"negative length":           {start + "Content-Length: -1\r\n\r\n", http.StatusBadRequest},
		"length with sign":          {start + "Content-Length: +1\r\n\r\nx", http.StatusBadRequest},
		"list of lengths":           {start + "Content-Length: 1, 1\r\n\r\nx", http.StatusBadRequest},
		"empty length":              {start + "Content-Length:\r\n\r\n", http.StatusBadRequest},
		"bare line feed":            {"GET /never HTTP/1.1\nHost: h\r\n\r\n", http.StatusBadRequest},
		"bare line feed at the end": {start + "\n", http.StatusBadRequest},
		"bare carriage return":      {start + "A: b\rc\r\n\r\n", http.StatusBadRequest},
		"folded field":              {start + "A: b\r\n c\r\n\r\n", http.StatusBadRequest},
		"folded first field":        {"GET /never HTTP/1.1\r\n Host: h\r\n\r\n", http.StatusBadRequest},
		"zero byte":                 {start + "A: b\x00c\r\n\r\n", http.StatusBadRequest},
		"delete character":          {start + "A: b\x7fc\r\n\r\n", http.StatusBadRequest},
		"control in the target":     {"GET /never\x01 HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusBadRequest},
		"space before the colon":    {start + "A : b\r\n\r\n", http.StatusBadRequest},
		"empty name":                {start + ": b\r\n\r\n", http.StatusBadRequest},
		"name in brackets":          {start + "(A): b\r\n\r\n", http.StatusBadRequest},
		"no colon":                  {start + "A\r\n\r\n", http.StatusBadRequest},
		"space before the method":   {" GET /never HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusBadRequest},
		"too large field":           {start + "A: " + strings.Repeat("b", pipeline.DefaultMaxHeaderBytes) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"too many fields":           {start + strings.Repeat("A: b\r\n", pipeline.DefaultMaxHeaderBytes/5) + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"unknown expectation":       {start + "Expect: more\r\nContent-Length: 4\r\n\r\nbody", http.StatusExpectationFailed},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, nil)
			c := s.dial(t)
			c.send(get("/1"), test.sent, post("/never", "body"), get("/never"))
			c.want(http.StatusOK, "/1")
			if res := c.want(test.status, "*"); !res.Close {
				t.Error("the connection is kept")
			}
			c.wantEnd()
			if began := s.begun(); len(began) != 1 {
				t.Errorf("%v began", began)
			}
		})
	}
}

func TestIncompleteHeaderTimesOut(t *testing.T) {
	for name, sent := range map[string]string{
		"one byte":                  "G",
		"no empty line":             "GET /never HTTP/1.1\r\nHost: h\r\n",
		"empty lines before":        "\r\n\r\nGET /never HTTP/1.1\r\n",
		"behind a complete request": get("/1") + "GET /never HTTP/1.1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, func(c *pipeline.Config) { c.HeaderTimeout = 100 * time.Millisecond })
			c := s.dial(t)
			c.send(sent)
			if strings.HasPrefix(sent, "GET /1 ") {
				c.want(http.StatusOK, "/1")
			}
			started := time.Now()
			c.want(http.StatusRequestTimeout, "*")
			if took := time.Since(started); took > time.Second {
				t.Errorf("answered after %s", took)
			}
			c.wantEnd()
		})
	}
}

func TestIdleConnectionIsClosed(t *testing.T) {
	for name, requests := range map[string]int{"unused": 0, "used": 1, "used twice": 2} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, func(c *pipeline.Config) { c.IdleTimeout = 150 * time.Millisecond })
			c := s.dial(t)
			for range requests {
				c.send(get("/1?work=100ms"))
				c.want(http.StatusOK, "/1")
			}
			started := time.Now()
			c.wantEnd()
			if took := time.Since(started); took < 100*time.Millisecond || took > time.Second {
				t.Errorf("closed after %s", took)
			}
		})
	}
}

func TestBodiesAreRead(t *testing.T) {
	chunked := "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
	for name, test := range map[string]struct {
		sent   string
		status int
		body   string
		closes bool
	}{
		"fixed":                      {post("/b", "body"), http.StatusOK, "/bbody", false},
		"empty":                      {post("/b", ""), http.StatusOK, "/b", false},
		"chunked":                    {chunked + "\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", http.StatusOK, "/bbody", false},
		"chunked with trailer":       {chunked + "Trailer: A\r\n\r\n4;x=y\r\nbody\r\n0\r\nA: b\r\nC: d\r\n\r\n", http.StatusOK, "/bbody", false},
		"unread":                     {post("/b?unread", "body"), http.StatusOK, "/b", false},
		"unread chunked":             {strings.Replace(chunked, "/b", "/b?unread", 1) + "\r\n4\r\nbody\r\n0\r\n\r\n", http.StatusOK, "/b", false},
		"unread and large":           {post("/b?unread", strings.Repeat("x", 8<<20)), http.StatusOK, "/b", true},
		"malformed chunk":            {chunked + "\r\nz\r\nbody\r\n0\r\n\r\n", http.StatusOK, "/b", true},
		"malformed end of a trailer": {chunked + "\r\n4\r\nbody\r\n0\r\nA: b\n\r\n", http.StatusOK, "/bbody", true},
		"too large trailer":          {chunked + "\r\n4\r\nbody\r\n0\r\nA: " + strings.Repeat("b", 5<<10) + "\r\n\r\n", http.StatusOK, "/bbody", true},
		"trailer without a name":     {chunked + "\r\n4\r\nbody\r\n0\r\nGET /never HTTP/1.1\r\n\r\n", http.StatusOK, "/bbody", true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, nil)
			c := s.dial(t)
			// A client may see the end of the connection while it sends.
			go func() { _, _ = io.WriteString(c.Conn, test.sent+get("/next")) }()
			c.want(test.status, test.body)
			if test.closes {
				c.wantEnd()
			} else {
				c.want(http.StatusOK, "/next")
			}
			for _, path := range s.begun() {
				if test.closes && path == "GET/next" {
					t.Errorf("%s began", path)
				}
			}
		})
	}
}

func TestResponsesAreFramed(t *testing.T) {
	for name, test := range map[string]struct {
		sent      string
		status    int
		body      string
		keepAlive bool
	}{
		"get":                   {get("/1"), http.StatusOK, "/1", true},
		"large":                 {get("/1?large=xxx"), http.StatusOK, "/1" + strings.Repeat("x", 3000), true},
		"close":                 {"GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", http.StatusOK, "/1", false},
		"close in a list":       {"GET /1 HTTP/1.1\r\nHost: h\r\nConnection: x, Close\r\n\r\n", http.StatusOK, "/1", false},
		"HTTP/1.0":              {"GET /1 HTTP/1.0\r\n\r\n", http.StatusOK, "/1", false},
		"HTTP/1.0, kept":        {"GET /1 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", http.StatusOK, "/1", true},
		"HTTP/1.0, kept, large": {"GET /1?large=xxx HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", http.StatusOK, "/1" + strings.Repeat("x", 3000), false},
		"newer minor version":   {"GET /1 HTTP/1.5\r\nHost: h\r\n\r\n", http.StatusOK, "/1", true},
		"empty lines before":    {"\r\n\r\n" + get("/1"), http.StatusOK, "/1", true},
		"options of the server": {"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusOK, "*", true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, nil)
			c := s.dial(t)
			c.send(test.sent, get("/2"))
			if res := c.want(test.status, test.body); res.ProtoMinor > 1 {
				t.Errorf("the response has version %s", res.Proto)
			}
			if test.keepAlive {
				c.want(http.StatusOK, "/2")
			} else {
				c.wantEnd()
			}
		})
	}
}

func TestResponsesWithoutBodyAreFramed(t *testing.T) {
	for name, test := range map[string]struct {
		method  string
		status  int
		length  string
		written string
	}{
		"HEAD":                       {http.MethodHead, http.StatusOK, "", "body"},
		"HEAD with length":           {http.MethodHead, http.StatusOK, "4", "body"},
		"HEAD with length, unsaid":   {http.MethodHead, http.StatusOK, "4", ""},
		"no content":                 {http.MethodGet, http.StatusNoContent, "", ""},
		"no content, but written":    {http.MethodGet, http.StatusNoContent, "", "body"},
		"no content with a length":   {http.MethodGet, http.StatusNoContent, "4", "body"},
		"not modified with a length": {http.MethodGet, http.StatusNotModified, "4", ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, func(c *pipeline.Config) {
				c.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					if test.length != "" {
						w.Header().Set("Content-Length", test.length)
					}
					w.WriteHeader(test.status)
					_, _ = io.WriteString(w, test.written)
				})
			})
			c := s.dial(t)
			for range 2 {
				c.send(test.method + " / HTTP/1.1\r\nHost: h\r\n\r\n")
				res, err := http.ReadResponse(c.br, &http.Request{Method: test.method})
				if err != nil {
					t.Fatal(err)
				}
				if res.StatusCode != test.status {
					t.Errorf("status %d", res.StatusCode)
				}
				if length := res.Header.Get("Content-Length"); res.StatusCode == http.StatusNoContent && length != "" {
					t.Errorf("a response without a body has length %q", length)
				}
			}
			if n := c.br.Buffered(); n > 0 {
				t.Errorf("%d bytes behind the last response", n)
			}
		})
	}
}

func TestExpectContinue(t *testing.T) {
	header := "POST /1%s HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n"
	t.Run("read", func(t *testing.T) {
		c := newTestServer(t, nil).dial(t)
		c.send(strings.Replace(header, "%s", "", 1))
		c.want(http.StatusContinue, "")
		c.send("body", get("/2"))
		c.want(http.StatusOK, "/1body")
		c.want(http.StatusOK, "/2")
	})
	t.Run("unread", func(t *testing.T) {
		c := newTestServer(t, nil).dial(t)
		c.send(strings.Replace(header, "%s", "?unread", 1))
		if res := c.want(http.StatusOK, "/1"); !res.Close {
			t.Error("the connection is kept, though the body may follow or not")
		}
		c.wantEnd()
	})
	t.Run("HTTP/1.0", func(t *testing.T) {
		c := newTestServer(t, nil).dial(t)
		c.send("POST /1 HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbody")
		c.want(http.StatusOK, "/1body")
		c.wantEnd()
	})
	t.Run("answered while the body is awaited", func(t *testing.T) {
		s := newTestServer(t, func(c *pipeline.Config) {
			c.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				go func() { _, _ = io.ReadAll(r.Body) }()
				time.Sleep(50 * time.Millisecond)
				w.WriteHeader(http.StatusGatewayTimeout)
			})
		})
		c := s.dial(t)
		c.send(strings.Replace(header, "%s", "", 1))
		c.want(http.StatusContinue, "")
		started := time.Now()
		c.want(http.StatusGatewayTimeout, "")
		if took := time.Since(started); took > time.Second {
			t.Errorf("answered after %s", took)
		}
	})
}
