// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package poison finds the requests that end the process of each worker that begins
// to run them.
//
// VMs tell a Detector of each request that had no answer because its worker hung up.
// One such hang-up says little: all requests under way at a worker break off when it
// ends, and connections are reset for other reasons. What tells the guilty one from
// the others:
//
//   - It is never answered. A popular request that breaks off at workers which end is
//     answered by others all the time; an answer clears it.
//   - It is there each time. Three ends of workers (evidence of hang-ups at a worker
//     that lie close together is of one end) are needed.
//   - It explains the ends. Of requests that were under way at the same ends, the one
//     with the most ends is found first, and its ends do not count against the others.
//
// # Usage
//
//	d := poison.New(poison.Config{Known: table.Get})
//	d.Add(poison.HangUp{Fingerprint: f, Worker: "w7", At: time.Now()})
//	for _, entry := range d.Decide() { /* hold it, tell others */ }
package poison

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/ryehill/ryehill/state/quarantine"
)

const (
	// needed is how many ends of workers a request must have been under way at. At
	// two, one attempt of an innocent one (two tries) beside two ends would do.
	needed = 3
	// oneEnd is up to how far apart hang-ups at a worker are of one end: the largest
	// difference of when VMs notice it. A worker is back after more than that.
	oneEnd = 300 * time.Millisecond
	// undecided is for how long it is waited for another end, if several requests
	// were under way at as many of the same ones.
	undecided = time.Second
	// memory is for how long a hang-up counts.
	memory = 10 * time.Minute
	// maxSuspects and maxWorkers bound the requests and workers that are remembered:
	// 2 MB. Those that were heard of last are kept.
	maxSuspects, maxWorkers = 4096, 4096
	// maxEnds bounds the ends that are remembered of a worker.
	maxEnds = 8
)

// HangUp tells of a worker that ended the connection before it answered a request.
type HangUp struct {
	Fingerprint quarantine.Fingerprint
	Target      uint64
	Subject     string
	Service     string
	Worker      string
	At          time.Time
}

// Config sets up a Detector. The zero value is useful.
type Config struct {
	// Known returns the entry of a request that was found before, by any VM. Such a
	// request is found again by one end. Default none.
	Known func(quarantine.Fingerprint) (quarantine.Entry, bool)
	// Now tells the time. Default time.Now.
	Now func() time.Time
}

// Detector collects hang-ups and finds the requests that cause them. It is safe for
// concurrent use.
type Detector struct {
	cfg Config

	mu sync.Mutex
	// unsettled is set while Decide may find anything.
	unsettled bool
	suspects  map[quarantine.Fingerprint]*suspect
	workers   map[string][]*end
}

// suspect is a request that was under way when workers ended.
type suspect struct {
	last HangUp
	ends []*end
	// since is when it had enough ends, zero before.
	since time.Time
	// found is set once it was found; its further ends still count as explained.
	found bool
}

// end is the end of a worker's process.
type end struct {
	worker string
	at     time.Time
	// explained is set once it is known which request caused it.
	explained bool
}

// New returns a detector that has heard of nothing.
func New(cfg Config) *Detector {
	if cfg.Now == nil {
		cfg.Now = time.Now //nolint:forbidigo // The default for embedders.
	}
	if cfg.Known == nil {
		cfg.Known = func(quarantine.Fingerprint) (quarantine.Entry, bool) { return quarantine.Entry{}, false }
	}
	return &Detector{cfg: cfg, suspects: make(map[quarantine.Fingerprint]*suspect), workers: make(map[string][]*end)}
}

// Add takes in a hang-up. Hang-ups may come late, twice and in any order.
func (d *Detector) Add(h HangUp) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bound()
	e := d.endOf(h)
	s, ok := d.suspects[h.Fingerprint]
	if !ok {
		s = &suspect{}
		d.suspects[h.Fingerprint] = s
	}
	s.last = h
	d.unsettled = true
	if before, again := d.cfg.Known(h.Fingerprint); again && !before.Holds(h.At) {
		s.found = false
	}
	switch {
	case slices.Contains(s.ends, e):
	case s.found:
		d.explain([]*end{e})
	case !e.explained:
		s.ends = append(s.ends, e)
	}
}

// endOf returns the end that a hang-up is of.
func (d *Detector) endOf(h HangUp) *end {
	ends := d.workers[h.Worker]
	for _, e := range ends {
		if h.At.Sub(e.at).Abs() <= oneEnd {
			return e
		}
	}
	e := &end{worker: h.Worker, at: h.At}
	d.workers[h.Worker] = append(ends[max(0, len(ends)-maxEnds+1):len(ends):len(ends)], e)
	return e
}

// Answered clears a request: it was answered, so it does not end every worker.
func (d *Detector) Answered(f quarantine.Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.suspects[f]; ok && !s.found {
		delete(d.suspects, f)
	}
}

// Release forgets that a request was found.
func (d *Detector) Release(f quarantine.Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.suspects, f)
}

// Decide returns the requests that are found to end workers.
func (d *Detector) Decide() []quarantine.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.unsettled {
		return nil
	}
	d.unsettled = false
	now := d.cfg.Now()
	d.forget(now)
	var found []quarantine.Entry
	for _, s := range d.ranked() {
		before, again := d.cfg.Known(s.last.Fingerprint)
		if again && before.Holds(now) {
			d.find(s) // By another VM.
			continue
		}
		if d.decide(s, again, now) {
			found = append(found, s.entry(before).Renewed(now))
			d.find(s)
		}
	}
	return found
}

// Settled reports whether Decide finds nothing until something is added.
func (d *Detector) Settled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.unsettled
}

// decide reports whether a request is found to end workers.
func (d *Detector) decide(s *suspect, again bool, now time.Time) bool {
	if len(s.ends) < needed && (!again || len(s.ends) == 0) {
		return false
	}
	if s.since.IsZero() {
		s.since = now
	}
	if d.rivalled(s) && now.Sub(s.since) < undecided {
		d.unsettled = true
		return false
	}
	return true
}

// ranked returns the requests that were not found yet, those with the most ends first.
func (d *Detector) ranked() []*suspect {
	var list []*suspect
	for _, s := range d.suspects {
		if !s.found && len(s.ends) > 0 {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(len(b.ends), len(a.ends)), slices.Compare(a.last.Fingerprint[:], b.last.Fingerprint[:]))
	})
	return list
}

// rivalled reports whether another request was under way at as many ends, one of them
// the same.
func (d *Detector) rivalled(s *suspect) bool {
	for _, other := range d.suspects {
		if other == s || other.found || len(other.ends) < len(s.ends) {
			continue
		}
		if slices.ContainsFunc(s.ends, func(e *end) bool { return slices.Contains(other.ends, e) }) {
			return true
		}
	}
	return false
}

// find notes that a request causes its ends, so that they do not count against others.
func (d *Detector) find(s *suspect) {
	s.found = true
	d.explain(s.ends)
	s.ends = nil
}

func (d *Detector) explain(ends []*end) {
	for _, e := range ends {
		e.explained = true
	}
	for _, s := range d.suspects {
		s.ends = slices.DeleteFunc(s.ends, func(e *end) bool { return e.explained })
		if len(s.ends) < needed {
			s.since = time.Time{}
		}
	}
}

func (s *suspect) entry(before quarantine.Entry) quarantine.Entry {
	e := quarantine.Entry{
		Fingerprint: s.last.Fingerprint, Target: s.last.Target, Subject: s.last.Subject, Service: s.last.Service, Times: before.Times,
	}
	for _, end := range s.ends {
		e.Workers = append(e.Workers, end.worker)
	}
	return e
}

// forget drops what is too old to count.
func (d *Detector) forget(now time.Time) {
	old := func(e *end) bool { return now.Sub(e.at) > memory }
	for worker, ends := range d.workers {
		if ends = slices.DeleteFunc(ends, old); len(ends) == 0 {
			delete(d.workers, worker)
			continue
		}
		d.workers[worker] = ends
	}
	for f, s := range d.suspects {
		s.ends = slices.DeleteFunc(s.ends, old)
		if now.Sub(s.last.At) > memory {
			delete(d.suspects, f)
		}
	}
}

// bound makes room for one more request and worker.
func (d *Detector) bound() {
	for f, s := range d.suspects {
		if len(d.suspects) < maxSuspects {
			break
		}
		if len(s.ends) <= 1 { // Most are seen once; maps are walked in any order.
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
