// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"sync"
	"time"
)

// callsInterval is the least time between two lines on calls to the store.
const callsInterval = 2 * time.Second

// StoreCalls counts the calls to the store by what they did and to which kind of
// objects, and how many failed. The zero value has counted nothing. It is safe for
// concurrent use.
type StoreCalls struct {
	mu    sync.Mutex
	calls map[StoreCall]int
}

// StoreCall says what a call to the store was.
type StoreCall struct {
	Call   string `json:"call"`
	Kind   string `json:"kind"`
	Failed bool   `json:"failed,omitempty"`
}

// callCount is a line's part on one sort of calls.
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

// take returns what was counted since the last call.
func (c *StoreCalls) take() []callCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make([]callCount, 0, len(c.calls))
	for call, n := range c.calls {
		counts = append(counts, callCount{StoreCall: call, Count: n})
	}
	clear(c.calls)
	return counts
}

// callsLoop writes a line on the calls to the store, while there are any.
func (g *Gateway) callsLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, callsInterval)
		if counts := g.cfg.StoreCalls.take(); len(counts) > 0 {
			g.log.Info("store: calls", "calls", counts)
		}
	}
}
