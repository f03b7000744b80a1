// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ryehill/ryehill/coordination/ratelimit"
)

// Guards against losing the tokens that a pool grants later than their requests wait.
func TestLateTokensServeNextRequests(t *testing.T) {
	const patience, interval, span, wantedShare = 30 * time.Millisecond, 10 * time.Millisecond, 2 * time.Second, 0.7
	cases := map[string]time.Duration{"pool in time": 5 * time.Millisecond, "pool too late": 60 * time.Millisecond}
	for name, latency := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var granted, used atomic.Int64
			b := ratelimit.NewBorrower(ratelimit.BorrowerConfig{
				Window: time.Second, Now: time.Now,
				QueryPool: func(wanted ratelimit.RequestCounts) (ratelimit.Grants, error) {
					time.Sleep(latency)
					granted.Add(int64(wanted["w"]))
					return ratelimit.Grants{"w": {Requests: wanted["w"]}}, nil
				},
			})
			var requests sync.WaitGroup
			for begun := time.Now(); time.Since(begun) < span; time.Sleep(interval) {
				requests.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), patience)
					defer cancel()
					if _, ok := b.TakeToken(ctx, "w"); ok {
						used.Add(1)
					}
				})
			}
			requests.Wait()
			if float64(used.Load()) < wantedShare*float64(granted.Load()) {
				t.Errorf("%d of %d granted tokens were used", used.Load(), granted.Load())
			}
			if used.Load() > granted.Load() {
				t.Errorf("%d tokens were used of %d that were granted", used.Load(), granted.Load())
			}
		})
	}
}

// Guards against spare tokens that are used long after they were granted, when the pool has
// granted others since.
func TestSpareTokensExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	var mu sync.Mutex
	answer := make(chan int)
	b := ratelimit.NewBorrower(ratelimit.BorrowerConfig{
		Window: time.Second,
		Now: func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			return now
		},
		QueryPool: func(ratelimit.RequestCounts) (ratelimit.Grants, error) {
			return ratelimit.Grants{"w": {Requests: <-answer}}, nil
		},
	})
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	if _, ok := b.TakeToken(gone, "w"); ok {
		t.Fatal("a request got a token that was not granted")
	}
	answer <- 1
	time.Sleep(50 * time.Millisecond) // The answer is delivered.
	mu.Lock()
	now = now.Add(time.Second)
	mu.Unlock()
	ended := make(chan bool)
	go func() {
		_, ok := b.TakeToken(t.Context(), "w")
		ended <- ok
	}()
	answer <- 0
	if <-ended {
		t.Error("a request used a token that had been granted a second before")
	}
}
