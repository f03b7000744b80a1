// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ryehill/ryehill/state/rollout"
	"github.com/ryehill/ryehill/state/worker"
)

const (
	// usedShare is the part of the allowed share that is used: VMs count requests when
	// they send them, and some that were counted are never sent.
	usedShare = 0.9
	// warmPart is the part of the requests that go ahead to the workers which are to
	// hold their keys.
	warmPart = 0.02
	// controlPart is the part of the keys that stay with the old version in the shift, so
	// that the new one is compared with what the old one does at that time.
	controlPart = 0.1
	// term is for how long the decider's word holds, provedTerm for how long the word
	// that a version is proved does: old workers may be gone after it.
	term       = 2 * time.Second
	provedTerm = 4 * time.Second
	// maxOpen bounds the requests under way whose time is looked at before they end.
	maxOpen = 4096
	// maxSubjects bounds what requests are counted by.
	maxSubjects = 512
)

// ShareConfig sets up a Share. Service, Version and Now are required.
type ShareConfig struct {
	Service string
	Version rollout.Version
	// Part is the part of the service's requests that the new version may get while it
	// is not proved, 0 to 1.
	Part float64
	Now  func() time.Time
}

// Share is one VM's part in a roll-out: which of its requests go to the new version, and
// what came of them. It is safe for concurrent use.
type Share struct {
	cfg ShareConfig

	mu    sync.Mutex
	phase rollout.Phase
	until time.Time
	step  Step
	// requests and sent are this VM's requests since the order, and those that it has
	// sent to the new version; start is a part of a request that is allowed at once, by
	// chance, so that VMs with few requests do not all begin at nothing.
	requests, sent, start float64
	// bad is set once this VM's own requests show that the version is bad.
	bad    bool
	judge  Judge
	report rollout.Report
	open   map[*Try]struct{}
}

// NewShare returns a share of an order that nothing is known of.
func NewShare(cfg ShareConfig) *Share {
	return &Share{cfg: cfg, start: rand.Float64(), report: rollout.NewReport(), open: make(map[*Try]struct{})}
}

// Version returns the version that is brought in.
func (s *Share) Version() rollout.Version { return s.cfg.Version }

// Hear takes in a step of the VM that decides, and reports whether the phase is a new one.
func (s *Share) Hear(step Step) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if step.Phase < s.phase {
		return false
	}
	news := step.Phase > s.phase
	s.phase, s.step = step.Phase, step
	s.until = s.cfg.Now().Add(term)
	if s.phase == rollout.PhaseProved {
		s.until = s.cfg.Now().Add(provedTerm)
	}
	return news
}

// Step returns the step that this VM has heard of last.
func (s *Share) Step() Step {
	s.mu.Lock()
	defer s.mu.Unlock()
	step := s.step
	step.Phase = s.phase
	return step
}

// Phase returns the phase that this VM has heard of last.
func (s *Share) Phase() rollout.Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase
}

// Counts returns this VM's requests since the order, and those that it has sent to the new
// version.
func (s *Share) Counts() (requests, sent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.requests), int(s.sent)
}

// Choose says which workers a request may go to. The key is that of its affinity, or any
// number of its own. A request that is tried again goes to the old version, unless the new
// one is proved: what failed there is not to fail again.
func (s *Share) Choose(route string, key uint64, again bool) worker.Track {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	track := s.choose(route, key, again)
	if track != worker.TrackStable {
		s.sent++
	}
	return track
}

func (s *Share) choose(route string, key uint64, again bool) worker.Track {
	switch s.phaseNow() {
	case rollout.PhaseProved, rollout.PhaseCompleted:
		return worker.TrackNew
	case rollout.PhaseTrial:
		if again || !s.allowed() {
			return worker.TrackStable
		}
		if tried(key, s.cfg.Version, max(s.step.Parts[route], worker.CanaryPart)) {
			return worker.TrackCanary
		}
		if s.step.WarmUp && rand.Float64() < warmPart {
			return worker.TrackNew
		}
	case rollout.PhaseShift:
		if !again && !tried(key, s.cfg.Version+1, controlPart) && s.allowed() {
			return worker.TrackNew
		}
	default:
	}
	return worker.TrackStable
}

// phaseNow returns the phase that binds this VM now. A word that was not renewed holds no
// more, unless nothing follows it.
func (s *Share) phaseNow() rollout.Phase {
	switch {
	case s.phase.Final():
		return s.phase
	case s.bad && s.phase < rollout.PhaseProved, !s.cfg.Now().Before(s.until):
		return rollout.PhaseOrdered
	}
	return s.phase
}

// allowed reports whether the new version may get one more request. The sum over all VMs
// stays within the share of all requests, whatever each of them hears.
func (s *Share) allowed() bool { return s.sent+1 <= usedShare*s.cfg.Part*s.requests+s.start }

// tried reports whether a key is among the part of the keys that is tried out.
func tried(key uint64, version rollout.Version, part float64) bool {
	const spread = 0x9e3779b97f4a7c15
	hash := (key ^ uint64(version)*spread) * spread
	return float64(hash^hash>>32)/math.MaxUint64 < part
}

// Withdraw takes back a choice of the new version, and reports whether the old one may
// serve the request in its place.
func (s *Share) Withdraw() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent--
	return s.phaseNow() < rollout.PhaseProved || s.phase == rollout.PhaseProved && !s.step.Closed
}

// Try is a request at a worker.
type Try struct {
	share *Share
	route string
	// life is the worker of the trial, "" for any other of the new version.
	life  string
	track worker.Track
	key   uint64
	begun time.Time
}

// Sent notes that a request was sent to a worker, whose life is given.
func (s *Share) Sent(track worker.Track, route, life string, key uint64) *Try {
	t := &Try{share: s, route: route, track: track, key: key, begun: s.cfg.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if track == worker.TrackCanary {
		t.life = life
		s.report.Keys.Add(key)
	}
	if track != worker.TrackStable && len(s.open) < maxOpen {
		s.open[t] = struct{}{}
	}
	return t
}

// Ended notes how the request ended. One that says nothing of its worker, such as a
// refusal or one whose client has left, is not counted.
func (t *Try) Ended(counts, failed bool) {
	s := t.share
	took := s.cfg.Now().Sub(t.begun)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, t)
	if !counts || s.phase == rollout.PhaseOrdered {
		return
	}
	tally := rollout.Tally{Ended: 1, LogMillis: math.Log(max(float64(took)/float64(time.Millisecond), 1))}
	if failed {
		tally.Failed = 1
	} else if s.slow(t.route, took) && t.track != worker.TrackNew {
		tally.Slow = 1
	}
	s.count(t, tally)
	if failed && t.track != worker.TrackStable && !s.bad {
		_, s.bad = s.judge.Add(s.cfg.Now(), &s.report)
	}
}

// count adds to the tallies. What is beyond their bound is counted with all others.
func (s *Share) count(t *Try, tally rollout.Tally) {
	if t.track == worker.TrackStable {
		if _, ok := s.report.Old[t.route]; !ok && len(s.report.Old) >= maxSubjects {
			return
		}
		sum := s.report.Old[t.route]
		sum.Add(tally)
		s.report.Old[t.route] = sum
		return
	}
	subject := rollout.Subject{Route: t.route, Worker: t.life}
	if _, ok := s.report.New[subject]; !ok && len(s.report.New) >= maxSubjects {
		return
	}
	sum := s.report.New[subject]
	sum.Add(tally)
	s.report.New[subject] = sum
}

// slow reports whether a time is longer than the old version takes.
func (s *Share) slow(route string, took time.Duration) bool {
	limit, ok := s.step.SlowAfter[route]
	return ok && took > limit
}

// Report returns what this VM has seen. Requests of the trial that have taken too long
// already count as slow, though they have not ended.
func (s *Share) Report() rollout.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := rollout.NewReport()
	r.Join(s.report)
	r.VMs[s.phase] = 1
	now := s.cfg.Now()
	for t := range s.open {
		if t.track == worker.TrackCanary && s.slow(t.route, now.Sub(t.begun)) {
			subject := rollout.Subject{Route: t.route, Worker: t.life}
			sum := r.New[subject]
			sum.Add(rollout.Tally{Ended: 1, Slow: 1})
			r.New[subject] = sum
		}
	}
	return r
}
