// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/ryehill/ryehill/transport/pipeline"
)

func TestResponsesBeforeAbortedOneAreSent(t *testing.T) {
	s := newTestServer(t, nil)
	c := s.dial(t)
	c.send(get("/1?work=100ms"), get("/2?abort"), get("/3"))
	c.want(http.StatusOK, "/1")
	c.wantEnd()
}

// A write that fails since the client has left must not be counted as sent: the next
// response would be taken for the missing bytes.
func TestNothingFollowsIncompleteResponse(t *testing.T) {
	s := newTestServer(t, func(c *pipeline.Config) {
		c.MaxHeld = 100
		c.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body := r.URL.Path
			switch r.URL.Path {
			case "/1":
				time.Sleep(300 * time.Millisecond)
			case "/2":
				body = strings.Repeat("x", 1000)
			}
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
			_, _ = io.WriteString(w, body)
		})
	})
	c := s.dial(t)
	c.send(get("/1"), get("/2"), get("/3"))
	time.Sleep(100 * time.Millisecond)
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	c.want(http.StatusOK, "/1")
	if rest, _ := io.ReadAll(c.br); strings.Contains(string(rest), "/3") {
		t.Errorf("behind an incomplete response: %q", rest)
	}
}

// A response without a length ends with the connection, so nothing may follow it.
func TestNothingFollowsResponseThatEndsWithConnection(t *testing.T) {
	old := "GET %s HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
	for name, behind := range map[string]string{"request": fmt.Sprintf(old, "/2"), "malformed": "nonsense\r\n\r\n", "newer": get("/2")} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, nil)
			c := s.dial(t)
			c.send(fmt.Sprintf(old, "/1?work=50ms&large=xxx"), behind)
			c.want(http.StatusOK, "/1"+strings.Repeat("x", 3000))
			c.wantEnd()
		})
	}
}
