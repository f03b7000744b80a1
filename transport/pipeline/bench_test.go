// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/ryehill/ryehill/transport/pipeline"
)

// smallHandler answers at once with a length, as the ingress does.
var smallHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
	h := w.Header()
	h["Content-Type"], h["Date"] = nil, nil
	h.Set("Content-Length", "5")
	_, _ = w.Write([]byte("hello"))
})

func BenchmarkServe(b *testing.B) {
	request := "GET /path HTTP/1.1\r\nHost: h\r\nRequest-Id: 0123456789abcdef\r\nCookie: k=17\r\n\r\n"
	for _, depth := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("pipeline depth %d", depth), func(b *testing.B) {
			s := newTestServer(b, func(c *pipeline.Config) { c.Handler = smallHandler })
			exchange(b, s.dial(b), strings.Repeat(request, depth), depth)
		})
		b.Run(fmt.Sprintf("net-http depth %d", depth), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := &http.Server{Handler: smallHandler}
			go func() { _ = server.Serve(l) }()
			defer server.Close()
			s := &testServer{address: l.Addr().String()}
			exchange(b, s.dial(b), strings.Repeat(request, depth), depth)
		})
	}
}

// exchange sends b.N requests, depth at a time.
func exchange(b *testing.B, c *client, requests string, depth int) {
	b.ReportAllocs()
	for done := 0; done < b.N; done += depth {
		c.send(requests)
		for range depth {
			if err := skipResponse(c); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// skipResponse reads a response of smallHandler.
func skipResponse(c *client) error {
	for {
		line, err := c.br.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) == len("\r\n") {
			_, err := c.br.Discard(len("hello"))
			return err
		}
	}
}
