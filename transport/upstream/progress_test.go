// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package upstream_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/ryehill/ryehill/transport/upstream"
)

// Guards against breaking off a request whose worker pauses, before the deadline of the request.
func TestPauseIsBoundedByDeadline(t *testing.T) {
	const (
		progress = 300 * time.Millisecond
		pause    = 3 * progress
		size     = 8 << 20 // more than the socket buffers hold
	)
	cases := map[string]struct {
		deadline time.Duration // 0 for none
		served   bool
	}{
		"before the deadline":  {10 * pause, true},
		"without a deadline":   {0, false},
		"beyond the deadline":  {pause / 2, false},
		"the deadline is near": {progress / 2, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, _ := startWorker(t, func(_ int, req *http.Request, conn net.Conn) bool {
				time.Sleep(pause)
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nha")
				time.Sleep(pause)
				_, err := io.WriteString(conn, "lf")
				return err == nil
			})
			client := upstream.New(upstream.Config{ProgressTimeout: progress})
			defer client.CloseIdle()
			ctx := context.Background()
			if c.deadline > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, c.deadline)
				defer cancel()
			}
			body := ""
			res, err := client.Do(ctx, w, &upstream.Request{
				Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: bytes.NewReader(make([]byte, size)), Length: size,
			})
			if err == nil {
				raw, readErr := io.ReadAll(res.Body())
				res.Close()
				body, err = string(raw), readErr
			}
			if served := err == nil && body == "half"; served != c.served {
				t.Errorf("served: %v (%q, %v), want %v", served, body, err, c.served)
			}
		})
	}
}
