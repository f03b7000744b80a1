// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/ryehill/ryehill/transport/pipeline"
)

// echoHeader of a response names the request that it answers.
const echoHeader = "Echo"

// describe returns what a handler sees of a request with a body.
func describe(r *http.Request, body []byte) string {
	return fmt.Sprintf("%s %q %q %v %d %v %q", r.Method, r.RequestURI, r.Host, r.Header, r.ContentLength, r.TransferEncoding, body)
}

// seenRequests collects what a handler sees.
type seenRequests struct {
	mu   sync.Mutex
	list []string
}

func (s *seenRequests) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // The parser of the library returns the header alone before it fails as well.
	}
	seen := describe(r, body)
	s.mu.Lock()
	s.list = append(s.list, seen)
	s.mu.Unlock()
	w.Header().Set(echoHeader, fmt.Sprintf("%q", seen))
	_, _ = io.WriteString(w, "body")
}

func (s *seenRequests) sorted() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(slices.Values(s.list))
}

// expectedRequest is a request as the parser of the library reads it.
type expectedRequest struct{ method, seen string }

// parseAll returns the complete requests in a stream.
func parseAll(stream []byte) []expectedRequest {
	var all []expectedRequest
	br := bufio.NewReader(bytes.NewReader(stream))
	for {
		for {
			if next, _ := br.Peek(2); string(next) != "\r\n" {
				break
			}
			_, _ = br.Discard(2)
		}
		req, err := http.ReadRequest(br)
		if err != nil {
			return all
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return all
		}
		all = append(all, expectedRequest{req.Method, describe(req, body)})
	}
}

// pipeListener accepts one connection.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case nc := <-l.conns:
		return nc, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// FuzzServe sends arbitrary bytes. The handler must see nothing but a prefix of the requests
// that the library's parser finds in them, the responses must come in their order, and the
// server must end.
func FuzzServe(f *testing.F) {
	chunked := "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
	for _, seed := range []string{
		get("/1") + get("/2"), get("/1") + post("/2", "body") + get("/3"), chunked + "\r\n" + get("/1"), chunked + "A: b\r\n\r\n" + get("/1"),
		"HEAD / HTTP/1.1\r\nHost: h\r\n\r\n" + get("/1"), "\r\n" + get("/1"), get("/1") + "nonsense\r\n\r\n" + get("/2"),
		"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + get("/1"), "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/1"),
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\nabc" + get("/1"),
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc" + get("/1"),
		"GET / HTTP/1.1\nHost: h\n\n", "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n" + get("/1"), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\n\r\nabc",
		"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\nConnection: keep-alive\r\n\r\n0\r\n\r\n", "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n" + get("/1"),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		const quiet, limit = 5 * time.Millisecond, 5 * time.Second
		seen := &seenRequests{}
		server, err := pipeline.New(pipeline.Config{
			Handler: seen, Concurrent: func(r *http.Request) bool { return r.Method == http.MethodGet }, Log: logr.Discard(),
			MaxDepth: 3, ReadAhead: 64, MaxHeaderBytes: 1 << 10, HeaderTimeout: quiet, IdleTimeout: quiet, StallTimeout: time.Second,
		})
		if err != nil {
			t.Fatal(err)
		}
		l := &pipeListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
		client, accepted := net.Pipe()
		l.conns <- accepted
		var running sync.WaitGroup
		running.Go(func() { _ = server.Serve(l) })
		running.Go(func() {
			_, _ = client.Write(stream) // The server may end the connection before.
			// A body that does not come keeps the connection.
			_ = client.SetReadDeadline(time.Now().Add(5 * quiet))
		})
		expected := parseAll(stream)
		checkOrder(t, bufio.NewReader(client), expected)
		_ = client.Close()
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			t.Fatalf("the server does not end: %v", err)
		}
		running.Wait()
		got := seen.sorted()
		if len(got) > len(expected) {
			t.Fatalf("the handler saw %q, the parser %q", got, expected)
		}
		var want []string
		for _, e := range expected[:len(got)] {
			want = append(want, e.seen)
		}
		if slices.Sort(want); !slices.Equal(got, want) {
			t.Fatalf("the handler saw %q, the parser %q", got, want)
		}
	})
}

// checkOrder reads responses until the connection ends, and checks that each is that of its
// request. One without a name is the server's own, and the last.
func checkOrder(t *testing.T, br *bufio.Reader, expected []expectedRequest) {
	for i := 0; ; {
		method := http.MethodGet
		if i < len(expected) {
			method = expected[i].method
		}
		res, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return
		}
		if res.StatusCode == http.StatusContinue {
			continue
		}
		echo := res.Header.Get(echoHeader)
		if echo == "" {
			_, _ = io.Copy(io.Discard, br)
			return
		}
		if i >= len(expected) || echo != fmt.Sprintf("%q", expected[i].seen) {
			t.Fatalf("response %d is for %s, requests %q", i, echo, expected)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return
		}
		i++
	}
}
