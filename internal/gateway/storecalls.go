// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"sync"
	"time"
)

// callsInterval is the minimum time between two log lines on calls to the store.
const callsInterval = 2 * time.Second

// StoreCalls counts the calls to the store by operation, kind of objects and whether
// they failed. The zero value is an empty counter. It is safe for concurrent use.
type StoreCalls struct {
	mu    sync.Mutex
	calls map[StoreCall]int
}

// StoreCall identifies a group of calls to the store.
type StoreCall struct {
	Call   string `json:"call"`
	Kind   string `json:"kind"`
	Failed bool   `json:"failed,omitempty"`
}

// callCount is the number of calls of one group in a log line.
type callCount struct {
	StoreCall
	Count int `json:"count"`
}

// Note counts a call.
func (c *StoreCalls) Note(call, kind string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == nil {
		c.calls = make(map[StoreCall]int)
	}
	c.calls[StoreCall{Call: call, Kind: kind, Failed: err != nil}]++
}

// drain returns and resets the counts.
func (c *StoreCalls) drain() []callCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make([]callCount, 0, len(c.calls))
	for call, n := range c.calls {
		counts = append(counts, callCount{StoreCall: call, Count: n})
	}
	clear(c.calls)
	return counts
}

// callsLoop logs the counted calls to the store, if any.
func (g *Gateway) callsLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, callsInterval)
		if counts := g.cfg.StoreCalls.drain(); len(counts) > 0 {
			g.log.Info("store: calls", "calls", counts)
		}
	}
}
