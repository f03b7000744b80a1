// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package poison

import (
	"sync"
	"time"

	"github.com/ryehill/ryehill/state/quarantine"
)

const (
	// rotation is the minimum time for which a History remembers a request; the maximum
	// is twice that.
	rotation = 30 * time.Second
	// maxPerGeneration bounds the requests of one generation, and so the memory use.
	maxPerGeneration = 16384
)

// History records how requests recently ended at this VM: whether they were answered,
// and how many hang-ups count against them. It is safe for concurrent use.
type History struct {
	now func() time.Time

	mu sync.Mutex
	// newer and older are two generations; a rotation drops the older one.
	newer, older map[quarantine.Fingerprint]outcome
	rotatedAt    time.Time
}

// outcome is the recent history of one request.
type outcome struct {
	answered bool
	hangUps  int
}

// NewHistory returns an empty history that reads the time from now.
func NewHistory(now func() time.Time) *History {
	return &History{now: now, newer: make(map[quarantine.Fingerprint]outcome), rotatedAt: now()}
}

// RecordHangUp records that a worker hung up, and reports whether this counts against the
// request. It does unless the request was answered since its last hang-up.
func (m *History) RecordHangUp(f quarantine.Fingerprint) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.lookup(f)
	suspicious := !o.answered
	o.answered = false
	if suspicious {
		o.hangUps++
	}
	m.store(f, o)
	return suspicious
}

// RetractHangUp undoes RecordHangUp for a hang-up that was not the worker's.
func (m *History) RetractHangUp(f quarantine.Fingerprint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.lookup(f)
	o.hangUps = max(o.hangUps-1, 0)
	m.store(f, o)
}

// RecordAnswer records that a request was answered, and reports whether this cleared
// earlier hang-ups.
func (m *History) RecordAnswer(f quarantine.Fingerprint) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	cleared := m.lookup(f).hangUps > 0
	m.store(f, outcome{answered: true})
	return cleared
}

// HangUps returns how many hang-ups count against a request.
func (m *History) HangUps(f quarantine.Fingerprint) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lookup(f).hangUps
}

func (m *History) lookup(f quarantine.Fingerprint) outcome {
	if o, ok := m.newer[f]; ok {
		return o
	}
	return m.older[f]
}

func (m *History) store(f quarantine.Fingerprint, o outcome) {
	if now := m.now(); len(m.newer) >= maxPerGeneration || now.Sub(m.rotatedAt) >= rotation {
		m.older, m.newer, m.rotatedAt = m.newer, make(map[quarantine.Fingerprint]outcome), now
	}
	m.newer[f] = o
}
