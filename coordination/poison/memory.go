// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package poison

import (
	"sync"
	"time"

	"github.com/ryehill/ryehill/state/quarantine"
)

const (
	// generation is for how long at least a Memory remembers a request; it may be up
	// to twice that.
	generation = 30 * time.Second
	// maxRemembered bounds the requests of one generation: 2 MB for both.
	maxRemembered = 16384
)

// Memory is what one VM remembers of how requests ended here: which were answered, and
// at how many workers that hung up each was. It is safe for concurrent use.
type Memory struct {
	now func() time.Time

	mu sync.Mutex
	// newer and older are two generations, the older of which is forgotten next.
	newer, older map[quarantine.Fingerprint]past
	begun        time.Time
}

// past is how a request ended lately.
type past struct {
	answered bool
	hangUps  int
}

// NewMemory returns an empty memory. Now tells the time.
func NewMemory(now func() time.Time) *Memory {
	return &Memory{now: now, newer: make(map[quarantine.Fingerprint]past), begun: now()}
}

// HungUp notes that a worker hung up, and reports whether that speaks against the
// request: it does unless the request was answered since the last time.
func (m *Memory) HungUp(f quarantine.Fingerprint) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.get(f)
	speaks := !p.answered
	p.answered = false
	if speaks {
		p.hangUps++
	}
	m.set(f, p)
	return speaks
}

// Answered notes that a request was answered, and reports whether a hang-up spoke
// against it until then.
func (m *Memory) Answered(f quarantine.Fingerprint) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	cleared := m.get(f).hangUps > 0
	m.set(f, past{answered: true})
	return cleared
}

// HangUps returns how many hang-ups speak against a request.
func (m *Memory) HangUps(f quarantine.Fingerprint) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.get(f).hangUps
}

func (m *Memory) get(f quarantine.Fingerprint) past {
	if p, ok := m.newer[f]; ok {
		return p
	}
	return m.older[f]
}

func (m *Memory) set(f quarantine.Fingerprint, p past) {
	if now := m.now(); len(m.newer) >= maxRemembered || now.Sub(m.begun) >= generation {
		m.older, m.newer, m.begun = m.newer, make(map[quarantine.Fingerprint]past), now
	}
	m.newer[f] = p
}
