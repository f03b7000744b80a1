// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package upstream_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/transport/upstream"
)

var errDialed = errors.New("dialed")

// Guards against requests that compete for the last connection all being refused it.
func TestLastConnectionIsGiven(t *testing.T) {
	const rivals, rounds = 4, 10_000
	for round := range rounds {
		var dials, rejected atomic.Int64
		decided := make(chan struct{})
		c := upstream.New(upstream.Config{MaxOpen: 1, Dial: func(context.Context, string) (net.Conn, error) {
			dials.Add(1)
			<-decided
			return nil, errDialed
		}})
		var all sync.WaitGroup
		begin := make(chan struct{})
		for range rivals {
			all.Go(func() {
				<-begin
				err := c.Probe(context.Background(), upstream.Worker{ID: "w", Address: "w"})
				var failed *upstream.Error
				if errors.As(err, &failed) && failed.Kind() == upstream.KindBusy && rejected.Add(1) == rivals-1 {
					close(decided)
				}
			})
		}
		close(begin)
		all.Wait()
		if dials.Load() != 1 || rejected.Load() != rivals-1 {
			t.Fatalf("round %d: %d of %d got the last connection, %d were refused", round, dials.Load(), rivals, rejected.Load())
		}
		if n := c.OpenConnections(); n != 0 {
			t.Fatalf("%d connections are counted after all have ended", n)
		}
	}
}
