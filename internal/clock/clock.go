// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package clock tells the time by a clock that goes on while the machine is suspended.
//
// Go's time.Now reads a steady clock beside the time of day, and differences of times
// are taken from the steady one. That stands still while a machine is suspended, so what
// must hold for a bounded time (a loan, the age of knowledge, a deadline) would hold for
// as much longer as the machine slept. The time of day goes on, but may be set. Here the
// steady clock tells the time, and what was slept is added: whenever both clocks have
// gone on differently, the system's boot-time clock is asked which of them is right.
//
// Times of this package have no steady part. They are not to be compared with those of
// time.Now; timers and deadlines of the runtime are given durations.
//
// # Usage
//
//	begun := clock.Now()
//	if clock.Since(begun) > term { /* also true if the machine slept */ }
package clock

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// tolerance is by how much the steady clock and the time of day may differ until the
	// boot-time clock is asked, which costs a system call: they are read one after the
	// other, and the time of day is adjusted by up to half a millisecond a second.
	tolerance = time.Millisecond
	// leastSleep is the shortest suspension that is told from a pause between two
	// readings.
	leastSleep = 20 * time.Millisecond
)

// Config sets up a Clock. The zero value is the system's clocks.
type Config struct {
	// Now reads the time of day and the steady clock. Default time.Now.
	Now func() (day time.Time, steady time.Duration)
	// Boot reads the boot-time clock. Default the system's; where there is none, no
	// suspension is noticed.
	Boot func() (time.Duration, bool)
}

// Clock is a clock that counts suspensions. It is safe for concurrent use.
type Clock struct {
	cfg   Config
	begun time.Time
	// steady and booted are what those clocks showed when this one was made.
	steady, booted time.Duration
	has            bool

	mu   sync.Mutex // for writers of seen
	seen atomic.Pointer[seen]
}

// seen is what was found when the clocks were last compared.
type seen struct {
	// apart is by how much the time of day was ahead of the steady clock.
	apart time.Duration
	slept time.Duration
}

// New returns a clock.
func New(cfg Config) *Clock {
	if cfg.Now == nil {
		begun := time.Now()
		cfg.Now = func() (time.Time, time.Duration) {
			now := time.Now()
			return now, now.Sub(begun)
		}
	}
	if cfg.Boot == nil {
		cfg.Boot = boot
	}
	c := &Clock{cfg: cfg}
	day, steady := cfg.Now()
	c.begun, c.steady = day.Round(0), steady
	c.booted, c.has = cfg.Boot()
	c.seen.Store(&seen{})
	return c
}

// Now returns the time.
func (c *Clock) Now() time.Time {
	day, steady := c.cfg.Now()
	steady -= c.steady
	s := c.seen.Load()
	if apart := day.Round(0).Sub(c.begun) - steady; c.has && (apart-s.apart).Abs() >= tolerance {
		s = c.compare(apart, steady)
	}
	return c.begun.Add(steady + s.slept)
}

// compare asks the boot-time clock how long the machine has slept.
func (c *Clock) compare(apart, steady time.Duration) *seen {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &seen{apart: apart, slept: c.seen.Load().slept}
	if booted, ok := c.cfg.Boot(); ok {
		if slept := booted - c.booted - steady; slept >= s.slept+leastSleep {
			s.slept = slept
		}
	}
	c.seen.Store(s)
	return s
}

// Slept returns how long the machine has been suspended since the clock was made.
func (c *Clock) Slept() time.Duration {
	c.Now()
	return c.seen.Load().slept
}

// process is the clock of this process.
var process = New(Config{})

// Now returns the time by the clock of this process.
func Now() time.Time { return process.Now() }

// Since returns the time that has gone by since t, suspensions included.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Slept returns how long the machine has been suspended since this process started.
func Slept() time.Duration { return process.Slept() }
