// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package link holds what a VM sends to other halls within the links' limits.
//
// A link's limit is divided evenly among the VMs of the sending hall, rounded
// down, so that their sum stays within it with no message between them. A move
// is admitted only while the VM's part has room; the bytes of a request that was
// admitted are then paced.
//
// # Usage
//
//	budget := link.New(link.Config{})
//	budget.SetLimit("kandy-1", limit, vmsInHall)
//	if budget.Admit("kandy-1") { err := budget.Wait(ctx, "kandy-1", len(chunk)) }
package link

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Config sets up a Budget. The zero value is useful.
type Config struct {
	// Now is the clock. Default time.Now.
	Now func() time.Time
}

// Budget paces what one VM sends to each hall. It is safe for concurrent use.
type Budget struct {
	now   func() time.Time
	mu    sync.Mutex
	links map[string]*link
}

type link struct {
	limiter *rate.Limiter
	part    int64
	sent    float64
	since   time.Time
	rate    float64
}

const (
	// burst is how many seconds' worth may be sent at once after a pause.
	burst = 0.5
	// leastBurst lets one frame of a body pass on the slowest link.
	leastBurst = 64 << 10
	rateWindow = time.Second
)

// New returns a budget without limits.
func New(cfg Config) *Budget {
	if cfg.Now == nil {
		cfg.Now = time.Now //nolint:forbidigo // The default for embedders.
	}
	return &Budget{now: cfg.Now, links: make(map[string]*link)}
}

// SetLimit divides a link's limit, in bytes a second, among the VMs of this
// hall. A limit of 0 takes it off.
func (b *Budget) SetLimit(hall string, limit int64, vms int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.link(hall)
	part := limit / int64(max(vms, 1))
	if limit > 0 {
		part = max(part, 1)
	}
	if part == l.part {
		return
	}
	l.part = part
	if part == 0 {
		l.limiter = nil
		return
	}
	l.limiter = rate.NewLimiter(rate.Limit(part), max(leastBurst, int(burst*float64(part))))
}

func (b *Budget) link(hall string) *link {
	l, ok := b.links[hall]
	if !ok {
		l = &link{since: b.now()}
		b.links[hall] = l
	}
	return l
}

// Admit reports whether a new request may be sent to a hall now.
func (b *Budget) Admit(hall string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.link(hall)
	return l.limiter == nil || l.limiter.TokensAt(b.now()) > 0
}

// Wait counts bytes of an admitted request and waits until they may pass.
// It returns ctx's error if that ends first.
func (b *Budget) Wait(ctx context.Context, hall string, bytes int) error {
	b.mu.Lock()
	l := b.link(hall)
	l.count(bytes, b.now())
	limiter := l.limiter
	b.mu.Unlock()
	if limiter == nil {
		return nil
	}
	for bytes > 0 {
		part := min(bytes, limiter.Burst())
		if err := limiter.WaitN(ctx, part); err != nil {
			return err
		}
		bytes -= part
	}
	return nil
}

func (l *link) count(bytes int, now time.Time) {
	l.roll(now)
	l.sent += float64(bytes)
}

func (l *link) roll(now time.Time) {
	if elapsed := now.Sub(l.since); elapsed >= rateWindow {
		l.rate = l.sent / elapsed.Seconds()
		l.sent = 0
		l.since = now
	}
}

// Rates returns the bytes a second sent to each hall of late.
func (b *Budget) Rates() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	rates := make(map[string]float64, len(b.links))
	now := b.now()
	for hall, l := range b.links {
		l.roll(now)
		if l.rate > 0 {
			rates[hall] = l.rate
		}
	}
	return rates
}
