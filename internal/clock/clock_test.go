// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package clock_test

import (
	"testing"
	"time"

	"github.com/ryehill/ryehill/internal/clock"
)

// machine is a machine whose clocks are in the test's hand.
type machine struct {
	day          time.Time
	steady, boot time.Duration
	asked        int
}

func (m *machine) run(d time.Duration) {
	m.day, m.steady, m.boot = m.day.Add(d), m.steady+d, m.boot+d
}

func (m *machine) sleep(d time.Duration) { m.day, m.boot = m.day.Add(d), m.boot+d }

func (m *machine) set(d time.Duration) { m.day = m.day.Add(d) }

func (m *machine) clock(boots bool) *clock.Clock {
	return clock.New(clock.Config{
		Now: func() (time.Time, time.Duration) { return m.day, m.steady },
		Boot: func() (time.Duration, bool) {
			m.asked++
			return m.boot, boots
		},
	})
}

// A bound holds for as long as it says, however the machine spends the time, and whoever
// sets the time of day.
func TestSuspensionsCount(t *testing.T) {
	cases := map[string]struct {
		pass        func(m *machine)
		want, slept time.Duration
	}{
		"runs":                    {func(m *machine) { m.run(2 * time.Second) }, 2 * time.Second, 0},
		"sleeps for 50 ms":        {func(m *machine) { m.run(time.Second); m.sleep(50 * time.Millisecond) }, 1050 * time.Millisecond, 50 * time.Millisecond},
		"sleeps for 3 s":          {func(m *machine) { m.sleep(3 * time.Second); m.run(time.Second) }, 4 * time.Second, 3 * time.Second},
		"sleeps for 30 s":         {func(m *machine) { m.sleep(30 * time.Second) }, 30 * time.Second, 30 * time.Second},
		"sleeps twice":            {func(m *machine) { m.sleep(time.Second); m.run(time.Second); m.sleep(time.Second) }, 3 * time.Second, 2 * time.Second},
		"is set ahead":            {func(m *machine) { m.set(2 * time.Second); m.run(time.Second) }, time.Second, 0},
		"is set back":             {func(m *machine) { m.run(time.Second); m.set(-2 * time.Second) }, time.Second, 0},
		"is set back in a sleep":  {func(m *machine) { m.sleep(2 * time.Second); m.set(-time.Second); m.run(time.Second) }, 3 * time.Second, 2 * time.Second},
		"is slewed while it runs": {func(m *machine) { m.run(time.Second); m.set(900 * time.Microsecond); m.run(time.Second) }, 2 * time.Second, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := &machine{day: time.Unix(1_700_000_000, 0), steady: time.Minute, boot: time.Hour}
			tells := m.clock(true)
			before := tells.Now()
			if c.pass(m); tells.Now().Sub(before) != c.want {
				t.Errorf("%s have gone by, want %s", tells.Now().Sub(before), c.want)
			}
			if slept := tells.Slept(); slept != c.slept {
				t.Errorf("slept for %s, want %s", slept, c.slept)
			}
		})
	}
}

// In calm the boot-time clock is not asked: a reading costs no system call.
func TestCalmClockAsksNothing(t *testing.T) {
	m := &machine{day: time.Unix(1_700_000_000, 0)}
	tells := m.clock(true)
	asked := m.asked
	for range 100 {
		m.run(10 * time.Millisecond)
		tells.Now()
	}
	if m.asked != asked {
		t.Errorf("asked %d times", m.asked-asked)
	}
}

// Without such a clock the steady one is all there is.
func TestWithoutBootTime(t *testing.T) {
	m := &machine{day: time.Unix(1_700_000_000, 0)}
	tells := m.clock(false)
	before := tells.Now()
	m.sleep(3 * time.Second)
	m.run(time.Second)
	if went := tells.Now().Sub(before); went != time.Second {
		t.Errorf("%s have gone by, want 1s", went)
	}
}

func TestProcessClock(t *testing.T) {
	before := clock.Now()
	time.Sleep(10 * time.Millisecond)
	if went := clock.Since(before); went < 10*time.Millisecond || went > 5*time.Second {
		t.Errorf("%s have gone by", went)
	}
	if left := clock.Until(before.Add(time.Hour)); left > time.Hour || left < 50*time.Minute {
		t.Errorf("%s are left", left)
	}
}

// 62 ns beside 41 for time.Now.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		clock.Now()
	}
}

func BenchmarkTimeNow(b *testing.B) {
	for b.Loop() {
		_ = time.Now()
	}
}
