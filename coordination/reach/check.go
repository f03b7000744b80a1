// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package reach

import (
	"maps"
	"slices"
	"time"
)

// Change says what a check has changed.
type Change interface{ isChange() }

// Unchanged means that the state is as before.
type Unchanged struct{}

// BecameIsolated means that this VM reaches no worker since a time.
type BecameIsolated struct {
	// Since is the time of the first unverified failure.
	Since time.Time
	// FailedWorkers is the number of workers whose connections failed.
	FailedWorkers int
	// OpenConnectionsWork is set if connections opened before still bring responses.
	OpenConnectionsWork bool
}

// Recovered means that this VM reaches workers again.
type Recovered struct {
	// After is how long it was isolated.
	After time.Duration
	// Checks is the number of successful checks in a row that it took.
	Checks int
}

// PathReturned means that open connections to many workers failed at one moment though most of
// these live: this VM's path to them had failed, and works again. What the caller concluded
// from failures since then is void; once it is discarded, the caller calls Monitor.Discard.
type PathReturned struct {
	Since time.Time
	// Alive and Ended are how many of the failed workers answered, and did not.
	Alive, Ended int
	checkedAt    time.Time
}

func (PathReturned) isChange()   {}
func (Unchanged) isChange()      {}
func (BecameIsolated) isChange() {}
func (Recovered) isChange()      {}

// Check is the result of opening connections to some workers.
type Check struct {
	StartedAt time.Time
	// Reached is how many of the checked workers were reached, and Failed holds the IDs of
	// the others.
	Reached int
	Failed  []string
	// Alive and Ended are how many of the workers of Burst answered, and did not.
	Alive, Ended int
	// Workers is the number of workers that there are.
	Workers int
}

// Wake returns a channel that receives a value after a failure.
func (m *Monitor) Wake() <-chan struct{} { return m.wake }

// CheckDelay returns how long to wait before the next check, and whether one is needed.
func (m *Monitor) CheckDelay() (delay time.Duration, needed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Now()
	if m.Isolated() {
		interval := min(max(now.Sub(m.isolatedAt)/recheckDivisor, minRecheckInterval), maxRecheckInterval)
		if m.successes > 0 {
			interval = minRecheckInterval
		}
		return m.lastCheck.Add(interval).Sub(now), true
	}
	if len(m.unverified) == 0 {
		return 0, false
	}
	settled := m.firstUnverified(now).Add(settleDelay)
	return max(settled.Sub(now), m.lastCheck.Add(checkInterval).Sub(now)), true
}

// Suspects returns the workers with unverified failures. A check should prefer others.
func (m *Monitor) Suspects() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	suspects := make(map[string]bool, len(m.unverified))
	for id := range m.unverified {
		suspects[id] = true
	}
	return suspects
}

// Burst returns the workers of an unverified burst, which a check has to include; none if there
// is no burst.
func (m *Monitor) Burst() (workers []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, f := range m.unverified {
		if m.inBurst(f) {
			workers = append(workers, id)
		}
	}
	return workers
}

// RecordCheck records the result of a check. Where there is at most one worker, or none was
// checked, nothing can tell a failure of this VM from one of the worker, so failures count
// as verified.
func (m *Monitor) RecordCheck(c Check) Change {
	m.mu.Lock()
	m.lastCheck = m.cfg.Now()
	if m.Isolated() {
		defer m.mu.Unlock()
		return m.recordRecheck(c)
	}
	if !m.burstSince.IsZero() && m.burstSince.Before(c.StartedAt) && c.Alive > 0 && c.Alive >= c.Ended {
		defer m.mu.Unlock()
		return PathReturned{Since: m.burstSince, Alive: c.Alive, Ended: c.Ended, checkedAt: c.StartedAt}
	}
	if c.Reached > 0 || len(c.Failed) == 0 || c.Workers <= 1 {
		due := m.verify(func(f failure) bool { return f.at.Before(c.StartedAt) })
		m.mu.Unlock()
		run(due, true)
		return Unchanged{}
	}
	failed := make(map[string]failure, len(m.unverified)+len(c.Failed))
	maps.Copy(failed, m.unverified)
	for _, id := range c.Failed {
		failed[id] = failure{}
	}
	if len(m.unverified) == 0 || len(failed) < min(minFailedWorkers, c.Workers) {
		m.notify()
		m.mu.Unlock()
		return Unchanged{}
	}
	change := m.isolate(len(failed))
	void := m.pending
	m.pending = nil
	m.mu.Unlock()
	run(void, false)
	return change
}

// Discard ends a burst that proves nothing against its workers: the conclusions since then
// count as not verified.
func (m *Monitor) Discard(p PathReturned) {
	m.mu.Lock()
	var void []conclusion
	m.pending = slices.DeleteFunc(m.pending, func(c conclusion) bool {
		if c.at.Before(p.Since) {
			return false
		}
		void = append(void, c)
		return true
	})
	due := m.verify(func(f failure) bool { return f.at.Before(p.checkedAt) })
	m.mu.Unlock()
	run(void, false)
	run(due, true)
}

// isolate begins an isolation. mu is held.
func (m *Monitor) isolate(failedWorkers int) Change {
	now := m.cfg.Now()
	if m.recoveredAt.IsZero() || now.Sub(m.recoveredAt) > relapseWindow {
		m.needed = minRecoveryChecks
	} else {
		m.needed = min(2*m.needed, maxRecoveryChecks)
	}
	m.isolatedSince, m.isolatedAt, m.successes = m.firstUnverified(now), now, 0
	m.burstSince, m.lastBroken = time.Time{}, [minBurst]brokenExchange{}
	clear(m.unverified)
	m.isolated.Store(true)
	m.quiet.Store(false)
	return BecameIsolated{Since: m.isolatedSince, FailedWorkers: failedWorkers, OpenConnectionsWork: now.Before(m.openUntil)}
}

// recordRecheck records a check of an isolated VM. mu is held.
func (m *Monitor) recordRecheck(c Check) Change {
	if c.Reached == 0 || c.StartedAt.Before(m.isolatedAt) {
		m.successes = 0
		return Unchanged{}
	}
	m.successes++
	if m.successes < m.needed {
		return Unchanged{}
	}
	m.recoveredAt = m.cfg.Now()
	m.isolated.Store(false)
	m.quiet.Store(true)
	return Recovered{After: m.recoveredAt.Sub(m.isolatedSince), Checks: m.successes}
}
