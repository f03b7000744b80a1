// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package poison detects requests that crash every worker that runs them.
//
// VMs report to a Detector each request that got no response because its worker hung
// up. A single hang-up proves little: a crash breaks all requests in flight at the
// worker, and connections are also reset for other reasons. The detector tells the
// cause from the other requests by three rules:
//
//   - It is never answered. A popular request that is cut off by crashes is answered
//     by other workers all the time, and an answer clears it. It must have had a second
//     for that, unless its crashes are many.
//   - It is present every time. Three crashes are needed; hang-ups of one worker that
//     lie close together count as one crash.
//   - It explains the crashes. Of requests that were in flight at the same crashes, the
//     one with the most crashes is detected first, and its crashes no longer count
//     against the others.
//
// # Usage
//
//	d := poison.New(poison.Config{Known: table.Get})
//	d.Add(poison.HangUp{Fingerprint: f, Worker: "w7", At: time.Now()})
//	for _, entry := range d.Detect() { /* quarantine it, tell other VMs */ }
package poison

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/ryehill/ryehill/state/quarantine"
)

const (
	// minCrashes is how many crashes a request must have been in flight at. Two would
	// not do: a harmless request with one retry can meet two unrelated crashes.
	minCrashes = 3
	// crashWindow is the maximum time between hang-ups of a worker that count as one
	// crash. It covers the delay until all VMs notice, and a restart takes longer.
	crashWindow = 300 * time.Millisecond
	// answerDelay is how long a request must have had to be answered since the first of its
	// crashes. Crashes that others cause at the same moment, as after a failure of the path to
	// the workers, leave a popular request no time for an answer that would clear it.
	answerDelay = time.Second
	// certainCrashes is how many crashes are enough without that delay. It bounds what a
	// request that crashes workers may do meanwhile.
	certainCrashes = 5
	// tieDelay is how long detection waits for another crash while several requests
	// were in flight at equally many crashes, some of them the same.
	tieDelay = time.Second
	// retention is how long a hang-up counts.
	retention = 10 * time.Minute
	// maxSuspects and maxWorkers bound the requests and workers that are tracked, and
	// so the memory use.
	maxSuspects, maxWorkers = 4096, 4096
	// maxCrashes bounds the crashes tracked per worker. The oldest is dropped first.
	maxCrashes = 8
)

// HangUp reports that a worker closed the connection before it answered a request.
type HangUp struct {
	Fingerprint quarantine.Fingerprint
	TargetHash  uint64
	Subject     string
	Service     string
	Worker      string
	At          time.Time
}

// Config configures a Detector. The zero value is valid.
type Config struct {
	// Known returns the entry of a request that was quarantined before, by any VM.
	// Such a request is detected again after one crash. Default: none.
	Known func(quarantine.Fingerprint) (quarantine.Entry, bool)
	// Now returns the current time. Default: time.Now.
	Now func() time.Time
}

// Detector collects hang-ups and detects the requests that cause them. It is safe for
// concurrent use.
type Detector struct {
	cfg Config

	mu sync.Mutex
	// dirty is set while Detect may find something.
	dirty    bool
	suspects map[quarantine.Fingerprint]*suspect
	workers  map[string][]*crash
}

// suspect is a request that was in flight when workers crashed.
type suspect struct {
	last    HangUp
	crashes []*crash
	// eligibleSince is when it reached enough crashes, zero before.
	eligibleSince time.Time
	// found is set once it was detected. Its further crashes still count as explained.
	found bool
}

// crash is the end of a worker process.
type crash struct {
	worker string
	at     time.Time
	// explained is set once the request that caused it was detected.
	explained bool
}

// New returns a detector without hang-ups.
func New(cfg Config) *Detector {
	if cfg.Now == nil {
		cfg.Now = time.Now //nolint:forbidigo // The default for embedders.
	}
	if cfg.Known == nil {
		cfg.Known = func(quarantine.Fingerprint) (quarantine.Entry, bool) { return quarantine.Entry{}, false }
	}
	return &Detector{cfg: cfg, suspects: make(map[quarantine.Fingerprint]*suspect), workers: make(map[string][]*crash)}
}

// Add records a hang-up. Hang-ups may come late, repeatedly and in any order.
func (d *Detector) Add(h HangUp) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evict()
	c := d.crashOf(h)
	s, ok := d.suspects[h.Fingerprint]
	if !ok {
		s = &suspect{}
		d.suspects[h.Fingerprint] = s
	}
	s.last = h
	d.dirty = true
	if known, found := d.cfg.Known(h.Fingerprint); found && !known.Active(h.At) {
		s.found = false
	}
	switch {
	case slices.Contains(s.crashes, c):
	case s.found:
		d.markExplained([]*crash{c})
	case !c.explained:
		s.crashes = append(s.crashes, c)
	}
}

// crashOf returns the crash that a hang-up belongs to, and records it if it is new.
func (d *Detector) crashOf(h HangUp) *crash {
	crashes := d.workers[h.Worker]
	for _, c := range crashes {
		if h.At.Sub(c.at).Abs() <= crashWindow {
			return c
		}
	}
	c := &crash{worker: h.Worker, at: h.At}
	d.workers[h.Worker] = append(crashes[max(0, len(crashes)-maxCrashes+1):len(crashes):len(crashes)], c)
	return c
}

// RecordAnswer clears a request: since it was answered, it does not crash every worker.
func (d *Detector) RecordAnswer(f quarantine.Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.suspects[f]; ok && !s.found {
		delete(d.suspects, f)
	}
}

// Release forgets a request, so that it must be detected anew.
func (d *Detector) Release(f quarantine.Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.suspects, f)
}

// Detect returns the newly detected requests as entries to quarantine.
func (d *Detector) Detect() []quarantine.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.dirty {
		return nil
	}
	d.dirty = false
	now := d.cfg.Now()
	d.expire(now)
	var found []quarantine.Entry
	for _, s := range d.ranked() {
		known, repeat := d.cfg.Known(s.last.Fingerprint)
		if repeat && known.Active(now) {
			d.confirm(s) // quarantined by another VM
			continue
		}
		if d.isPoison(s, repeat, now) {
			found = append(found, s.entry(known).Renewed(now))
			d.confirm(s)
		}
	}
	return found
}

// Idle reports whether Detect has nothing to do until a hang-up is added.
func (d *Detector) Idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.dirty
}

// isPoison reports whether there is enough evidence against a request. A repeat is a
// request that was quarantined before.
func (d *Detector) isPoison(s *suspect, repeat bool, now time.Time) bool {
	if len(s.crashes) < minCrashes && (!repeat || len(s.crashes) == 0) {
		return false
	}
	if s.eligibleSince.IsZero() {
		s.eligibleSince = now
	}
	tied := d.hasRival(s) && now.Sub(s.eligibleSince) < tieDelay
	if tied || !repeat && s.mayBeAnswered(now) {
		d.dirty = true
		return false
	}
	return true
}

// mayBeAnswered reports whether the crashes of a request are so few and so recent that an
// answer may still clear it.
func (s *suspect) mayBeAnswered(now time.Time) bool {
	first := slices.MinFunc(s.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	return len(s.crashes) < certainCrashes && now.Sub(first.at) < answerDelay
}

// ranked returns the undetected requests, those with the most crashes first.
func (d *Detector) ranked() []*suspect {
	var list []*suspect
	for _, s := range d.suspects {
		if !s.found && len(s.crashes) > 0 {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), slices.Compare(a.last.Fingerprint[:], b.last.Fingerprint[:]))
	})
	return list
}

// hasRival reports whether another undetected request has at least as many crashes and
// shares one with s.
func (d *Detector) hasRival(s *suspect) bool {
	for _, other := range d.suspects {
		if other == s || other.found || len(other.crashes) < len(s.crashes) {
			continue
		}
		if slices.ContainsFunc(s.crashes, func(c *crash) bool { return slices.Contains(other.crashes, c) }) {
			return true
		}
	}
	return false
}

// confirm marks a request as detected, so that its crashes do not count against others.
func (d *Detector) confirm(s *suspect) {
	s.found = true
	d.markExplained(s.crashes)
	s.crashes = nil
}

func (d *Detector) markExplained(crashes []*crash) {
	for _, c := range crashes {
		c.explained = true
	}
	for _, s := range d.suspects {
		s.crashes = slices.DeleteFunc(s.crashes, func(c *crash) bool { return c.explained })
		if len(s.crashes) < minCrashes {
			s.eligibleSince = time.Time{}
		}
	}
}

func (s *suspect) entry(known quarantine.Entry) quarantine.Entry {
	e := quarantine.Entry{
		Fingerprint: s.last.Fingerprint, TargetHash: s.last.TargetHash, Subject: s.last.Subject, Service: s.last.Service, Times: known.Times,
	}
	for _, c := range s.crashes {
		e.Workers = append(e.Workers, c.worker)
	}
	return e
}

// expire drops crashes and requests that are older than retention.
func (d *Detector) expire(now time.Time) {
	old := func(c *crash) bool { return now.Sub(c.at) > retention }
	for worker, crashes := range d.workers {
		if crashes = slices.DeleteFunc(crashes, old); len(crashes) == 0 {
			delete(d.workers, worker)
			continue
		}
		d.workers[worker] = crashes
	}
	for f, s := range d.suspects {
		s.crashes = slices.DeleteFunc(s.crashes, old)
		if now.Sub(s.last.At) > retention {
			delete(d.suspects, f)
		}
	}
}

// evict makes room for one more request and one more worker.
func (d *Detector) evict() {
	for f, s := range d.suspects {
		if len(d.suspects) < maxSuspects {
			break
		}
		if len(s.crashes) <= 1 { // most requests have one crash only
			delete(d.suspects, f)
		}
	}
	if len(d.suspects) >= maxSuspects {
		clear(d.suspects)
	}
	if len(d.workers) >= maxWorkers {
		clear(d.workers)
	}
}
