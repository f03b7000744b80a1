// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package reach decides whether this VM reaches any worker, and so what its failed
// connections prove.
//
// A failed connection says that either the worker or the VM's own path to it is at fault.
// A Monitor therefore keeps each failure unverified until something shows that the VM
// reaches workers after it: a response, or a check that opens connections to a few other
// workers near and far. Unverified failures must not be reported to other VMs. If all
// checks fail, the VM is isolated: what it concluded since the first unverified failure is
// void, and its requests have to go through another VM, a proxy. An isolated VM checks
// workers until they are reachable again.
//
// Open connections to several workers that fail at one moment, under exchanges that all began
// before it, are a burst. Either the workers ended together or the path failed, possibly for so
// short a time that it works again by the next check. A response does not verify a burst; a
// check of the failed workers does. Tries of a request that follow each other are none.
//
// Without failures a Monitor costs one atomic load for each response.
//
// # Usage
//
//	monitor := reach.New(reach.Config{Now: time.Now})
//	monitor.RecordBroken("w-1", begun)
//	for {
//		<-monitor.Wake()
//		/* after monitor.CheckDelay(): check workers */
//		change := monitor.RecordCheck(reach.Check{StartedAt: started, Reached: 0, Failed: []string{"w-2", "w-3"}, Workers: 40})
//	}
package reach

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// settleDelay is how long after a failure a response must arrive to verify it. Earlier
	// ones may have been received before the failure and processed after it.
	settleDelay = 150 * time.Millisecond
	// checkInterval is the minimum time between two checks of a VM that is not isolated.
	checkInterval = 250 * time.Millisecond
	// minFailedWorkers is the number of distinct workers that must have failed before the
	// VM counts as isolated, unless there are fewer.
	minFailedWorkers = 3
	// minRecheckInterval and maxRecheckInterval bound the time between two checks of an
	// isolated VM, which grows with the time that it has been isolated.
	minRecheckInterval, maxRecheckInterval = 250 * time.Millisecond, time.Second
	// recheckDivisor is the ratio of the time isolated and the time between two checks.
	recheckDivisor = 8
	// minRecoveryChecks and maxRecoveryChecks bound the successful checks in a row that
	// end the isolation. Their number doubles each time that a VM is isolated again within
	// relapseWindow.
	minRecoveryChecks, maxRecoveryChecks = 2, 8
	relapseWindow                        = 10 * time.Second
	// openConnectionsTTL is how long a response proves that the open connections of an
	// isolated VM still work.
	openConnectionsTTL = time.Second
	// minBurst is the number of workers whose open connections fail within burstWindow in a
	// burst.
	minBurst    = 3
	burstWindow = settleDelay
	// maxPending bounds the conclusions that wait for verification.
	maxPending = 4096
)

// Config configures a Monitor. All fields are required.
type Config struct {
	// Now returns the time. It must not run backwards.
	Now func() time.Time
}

// Monitor tracks whether this VM reaches any worker. It is safe for concurrent use.
type Monitor struct {
	cfg  Config
	wake chan struct{}
	// isolated and quiet mirror the state below for the path of requests. quiet is set
	// while the VM is not isolated and has no unverified failure.
	isolated, quiet atomic.Bool

	mu sync.Mutex
	// unverified holds the first unverified failure of each worker.
	unverified map[string]failure
	// lastBroken holds the last failures of open connections, the newest first, and
	// burstSince the time of the first one of an unverified burst, zero if there is none.
	lastBroken [minBurst]brokenExchange
	burstSince time.Time
	pending    []conclusion
	lastCheck  time.Time
	// isolatedSince is the first failure of the current or last isolation.
	isolatedSince, isolatedAt, recoveredAt time.Time
	// successes counts successful checks in a row, of which needed end the isolation.
	successes, needed int
	// openUntil is the time until which open connections count as working.
	openUntil time.Time
}

// failure is a failed connection.
type failure struct {
	at time.Time
	// opening is set if the connection could not be opened. Responses on connections that
	// were opened earlier do not verify such a failure.
	opening bool
	// broken is set if an open connection failed first, and counted once it counts for a
	// burst.
	broken, counted bool
}

// brokenExchange is an exchange whose connection failed.
type brokenExchange struct{ begun, failed time.Time }

// conclusion waits until the failures up to its time are verified.
type conclusion struct {
	at    time.Time
	apply func(verified bool)
}

// New returns a monitor of a VM that reaches workers.
func New(cfg Config) *Monitor {
	m := &Monitor{cfg: cfg, wake: make(chan struct{}, 1), unverified: make(map[string]failure), needed: minRecoveryChecks}
	m.quiet.Store(true)
	return m
}

// Isolated reports whether this VM reaches no worker by new connections.
func (m *Monitor) Isolated() bool { return m.isolated.Load() }

// OpenConnectionsWork reports whether connections that were opened before the isolation
// still bring responses.
func (m *Monitor) OpenConnectionsWork() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cfg.Now().Before(m.openUntil)
}

// Conclusive reports whether the failure of an exchange that began at the given time says
// anything about its worker. During an isolation, and for exchanges from before its end,
// it doesn't.
func (m *Monitor) Conclusive(begunAt time.Time) bool {
	if m.Isolated() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return !begunAt.Before(m.recoveredAt)
}

// Verified reports whether the VM is not isolated and all of its failures are verified.
func (m *Monitor) Verified() bool { return m.quiet.Load() }

// VerifiedUntil returns the time up to which this VM's observations of connections may be
// reported to others. Later ones are not verified yet, or void.
func (m *Monitor) VerifiedUntil() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Isolated() {
		return m.isolatedSince
	}
	return m.firstUnverified(m.cfg.Now())
}

// firstUnverified returns the time of the first unverified failure, or otherwise.
func (m *Monitor) firstUnverified(otherwise time.Time) time.Time {
	first := otherwise
	for _, f := range m.unverified {
		if f.at.Before(first) {
			first = f.at
		}
	}
	return first
}

// WhenVerified calls apply once the failures up to now are verified, with true, or once the
// VM turns out to be isolated, with false. It may call apply before it returns.
func (m *Monitor) WhenVerified(apply func(verified bool)) {
	m.mu.Lock()
	isolated, full := m.Isolated(), len(m.pending) >= maxPending
	if !isolated && !full && len(m.unverified) > 0 {
		m.pending = append(m.pending, conclusion{at: m.cfg.Now(), apply: apply})
		m.mu.Unlock()
		return
	}
	m.mu.Unlock()
	apply(!isolated && !full)
}

// RecordOpenFailed records that a worker could not be connected to.
func (m *Monitor) RecordOpenFailed(worker string) { m.recordFailure(worker, true) }

// RecordBroken records that an open connection to a worker failed during an exchange that began
// at a time.
func (m *Monitor) RecordBroken(worker string, begun time.Time) {
	m.recordFailure(worker, false)
	m.recordBurst(worker, begun)
}

// RecordUnanswered records that a worker did not answer on a connection that seemed sound.
func (m *Monitor) RecordUnanswered(worker string) { m.recordFailure(worker, false) }

func (m *Monitor) recordFailure(worker string, opening bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Isolated() {
		if !opening {
			m.openUntil = time.Time{}
		}
		return
	}
	m.quiet.Store(false)
	f, known := m.unverified[worker]
	if !known {
		f.at, f.broken = m.cfg.Now(), !opening
	}
	f.opening = f.opening || opening
	m.unverified[worker] = f
	m.notify()
}

// recordBurst records when a failed exchange began, and whether it completes a burst. Each
// worker counts with its first unverified failure.
func (m *Monitor) recordBurst(worker string, begun time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, unverified := m.unverified[worker]
	if !unverified || !f.broken || f.counted {
		return
	}
	f.counted = true
	m.unverified[worker] = f
	copy(m.lastBroken[1:], m.lastBroken[:])
	m.lastBroken[0] = brokenExchange{begun: begun, failed: f.at}
	first := m.lastBroken[minBurst-1].failed
	if !m.burstSince.IsZero() || first.IsZero() || f.at.Sub(first) > burstWindow {
		return
	}
	for _, b := range m.lastBroken {
		if b.begun.After(first) {
			return
		}
	}
	m.burstSince = first
}

// inBurst reports whether a failure belongs to the unverified burst. mu is held.
func (m *Monitor) inBurst(f failure) bool {
	return f.broken && !m.burstSince.IsZero() && !f.at.Before(m.burstSince)
}

func (m *Monitor) notify() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// RecordResponse records a response of any worker on a connection that was opened at the
// given time. It verifies earlier failures.
func (m *Monitor) RecordResponse(opened time.Time) {
	if m.quiet.Load() {
		return
	}
	m.mu.Lock()
	now := m.cfg.Now()
	if m.Isolated() {
		if now.Sub(m.isolatedSince) > settleDelay {
			m.openUntil = now.Add(openConnectionsTTL)
		}
		m.mu.Unlock()
		return
	}
	if now.Sub(m.firstUnverified(now)) > settleDelay {
		m.openUntil = now.Add(openConnectionsTTL)
	}
	due := m.verify(func(f failure) bool {
		if m.inBurst(f) {
			return false
		}
		proof := now
		if f.opening {
			proof = opened
		}
		return proof.Sub(f.at) >= settleDelay
	})
	m.mu.Unlock()
	run(due, true)
}

// verify removes the failures for which verified returns true, and returns the conclusions
// that no longer wait for any. mu is held.
func (m *Monitor) verify(verified func(failure) bool) (due []conclusion) {
	burst := false
	for id, f := range m.unverified {
		if verified(f) {
			delete(m.unverified, id)
		} else {
			burst = burst || m.inBurst(f)
		}
	}
	if !burst {
		m.burstSince = time.Time{}
	}
	if len(m.unverified) == 0 {
		m.quiet.Store(!m.Isolated())
		due, m.pending = m.pending, nil
		return due
	}
	first := m.firstUnverified(m.cfg.Now())
	n := 0
	for n < len(m.pending) && m.pending[n].at.Before(first) {
		n++
	}
	due, m.pending = m.pending[:n:n], m.pending[n:]
	return due
}

func run(due []conclusion, verified bool) {
	for _, c := range due {
		c.apply(verified)
	}
}
