// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package link limits the bandwidth that a VM uses to other halls.
//
// A link's limit is divided evenly among the VMs of the sending hall, rounded down, so
// that the total stays within the limit without coordination. A request is admitted only
// while the VM's share has capacity, and the bytes of admitted requests are paced.
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

// Config configures a Budget. The zero value is valid.
type Config struct {
	// Now is the clock. The default is time.Now.
	Now func() time.Time
}

// Budget paces the traffic of one VM to each hall. It is safe for concurrent use.
type Budget struct {
	now   func() time.Time
	mu    sync.Mutex
	links map[string]*link
}

type link struct {
	limiter *rate.Limiter
	vmLimit int64
	sent    float64
	since   time.Time
	rate    float64
}

const (
	// burstSeconds is the burst size, in seconds of the limit.
	burstSeconds = 0.5
	// minBurst is the minimum burst size in bytes, which lets a body frame pass on the
	// slowest link.
	minBurst   = 64 << 10
	rateWindow = time.Second
)

// New returns a budget without limits.
func New(cfg Config) *Budget {
	if cfg.Now == nil {
		cfg.Now = time.Now //nolint:forbidigo // The default for embedders.
	}
	return &Budget{now: cfg.Now, links: make(map[string]*link)}
}

// SetLimit sets the limit of the link to a hall, in bytes per second, which is divided
// among the given number of VMs. 0 removes the limit.
func (b *Budget) SetLimit(hall string, limit int64, vms int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.link(hall)
	vmLimit := limit / int64(max(vms, 1))
	if limit > 0 {
		vmLimit = max(vmLimit, 1)
	}
	if vmLimit == l.vmLimit {
		return
	}
	l.vmLimit = vmLimit
	if vmLimit == 0 {
		l.limiter = nil
		return
	}
	l.limiter = rate.NewLimiter(rate.Limit(vmLimit), max(minBurst, int(burstSeconds*float64(vmLimit))))
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

// Wait counts bytes of an admitted request and waits until they may be sent. It returns an
// error if ctx ends first.
func (b *Budget) Wait(ctx context.Context, hall string, bytes int) error {
	b.mu.Lock()
	l := b.link(hall)
	l.countBytes(bytes, b.now())
	limiter := l.limiter
	b.mu.Unlock()
	if limiter == nil {
		return nil
	}
	for bytes > 0 {
		n := min(bytes, limiter.Burst())
		if err := limiter.WaitN(ctx, n); err != nil {
			return err
		}
		bytes -= n
	}
	return nil
}

func (l *link) countBytes(bytes int, now time.Time) {
	l.rollWindow(now)
	l.sent += float64(bytes)
}

func (l *link) rollWindow(now time.Time) {
	if elapsed := now.Sub(l.since); elapsed >= rateWindow {
		l.rate = l.sent / elapsed.Seconds()
		l.sent = 0
		l.since = now
	}
}

// Rates returns the recent send rate to each hall, in bytes per second.
func (b *Budget) Rates() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	rates := make(map[string]float64, len(b.links))
	now := b.now()
	for hall, l := range b.links {
		l.rollWindow(now)
		if l.rate > 0 {
			rates[hall] = l.rate
		}
	}
	return rates
}
