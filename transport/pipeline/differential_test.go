// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/ryehill/ryehill/transport/pipeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// lastRequest ends a connection.
const lastRequest = "GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"

// play sends a stream in parts of random length and returns all that comes back.
func play(t *testing.T, address, stream string, random *rand.Rand) string {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(waitTimeout))
	for len(stream) > 0 {
		n := min(len(stream), 1+random.IntN(300))
		if _, err := io.WriteString(nc, stream[:n]); err != nil {
			t.Fatal(err)
		}
		if stream = stream[n:]; random.IntN(4) == 0 {
			time.Sleep(time.Millisecond) // So that the server sees an incomplete request.
		}
	}
	received, err := io.ReadAll(nc)
	if err != nil {
		t.Fatal(err)
	}
	return string(received)
}

// randomRequest returns a well-formed request.
func randomRequest(random *rand.Rand) string {
	pick := func(values ...string) string { return values[random.IntN(len(values))] }
	method := pick("GET", "GET", "GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "X-OWN")
	target := pick("/", "/a%2fb//c?x=%20y&x", "/long/"+strings.Repeat("p", 700), "http://other/abs", "/*'();:@")
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\n%s\r\n", method, target, pick("Host: h", "host:h.example:80", "HOST: [::1]:80 "))
	for range random.IntN(5) {
		b.WriteString(pick("A: b\r\n", "a:\r\n", "Cookie: k=1; l=\"x\"\r\n", "Accept:\t */* \r\n", "X!#$%&'*+-.^_`|~9: \xe4\xff\r\n", "Connection: keep-alive\r\n", "Long: "+strings.Repeat("v", 1500)+"\r\n"))
	}
	body := strings.Repeat("0\r\n\r\nGET / HTTP/1.1\r\n", random.IntN(400))
	switch {
	case method == "GET" || method == "HEAD":
		b.WriteString("\r\n")
	case random.IntN(2) == 0:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	default:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for len(body) > 0 {
			n := min(len(body), 1+random.IntN(2000))
			fmt.Fprintf(&b, "%x%s\r\n%s\r\n", n, pick("", ";x=y"), body[:n])
			body = body[n:]
		}
		b.WriteString(pick("0\r\n\r\n", "00\r\nT: u\r\n\r\n"))
	}
	return b.String()
}

// Well-formed requests must reach the handler as net/http's server hands them over.
func TestHandlerSeesWhatNetHTTPShows(t *testing.T) {
	const streams, maxRequests = 20, 12
	for name, depth := range map[string]int{"one after the other": 1, "beside each other": 5} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(depth)))
			for i := range streams {
				var stream strings.Builder
				for range 1 + random.IntN(maxRequests) {
					stream.WriteString(randomRequest(random))
				}
				stream.WriteString(lastRequest)
				theirs, ours := &seenRequests{}, &seenRequests{}
				reference := httptest.NewServer(theirs)
				s := newTestServer(t, func(c *pipeline.Config) {
					c.Handler, c.MaxDepth = ours, depth
					c.Concurrent = func(r *http.Request) bool { return r.Method == http.MethodGet || r.Method == http.MethodHead }
				})
				expected := play(t, reference.Listener.Addr().String(), stream.String(), random)
				got := play(t, s.address, stream.String(), random)
				reference.Close()
				if !slices.Equal(ours.sorted(), theirs.sorted()) {
					t.Fatalf("stream %d: the handler saw\n%q\nwant\n%q", i, ours.sorted(), theirs.sorted())
				}
				if !slices.Equal(echoes(got), echoes(expected)) {
					t.Fatalf("stream %d: responses in the order\n%q\nwant\n%q", i, echoes(got), echoes(expected))
				}
			}
		})
	}
}

// echoes returns the requests that responses name, in order.
func echoes(received string) []string {
	var list []string
	for line := range strings.SplitSeq(received, "\r\n") {
		if echo, found := strings.CutPrefix(line, echoHeader+": "); found {
			list = append(list, echo)
		}
	}
	return list
}
