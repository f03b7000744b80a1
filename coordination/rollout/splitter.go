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
	// shareMargin is the fraction of the permitted share that is used: VMs count
	// requests when they choose a track, and some of these are never sent.
	shareMargin = 0.9
	// warmUpFraction is the fraction of requests sent ahead to the workers that will
	// serve their keys.
	warmUpFraction = 0.02
	// controlFraction is the fraction of keys that stay with the old version in the
	// shift, so that both versions are measured under the same conditions.
	controlFraction = 0.1
	// stepTTL is how long a step is valid unless renewed, provedTTL the same for
	// PhaseProved, after which old workers may be gone.
	stepTTL   = 2 * time.Second
	provedTTL = 4 * time.Second
	// maxTracked bounds the requests in flight that are checked for slowness before
	// they finish.
	maxTracked = 4096
	// maxTallies bounds the tallies of each version.
	maxTallies = 512
)

// SplitterConfig configures a Splitter. Service, Version and Now are required.
type SplitterConfig struct {
	Service string
	Version rollout.Version
	// MaxFraction is the maximum fraction of the service's requests that go to the new
	// version before it is proved, 0 to 1.
	MaxFraction float64
	Now         func() time.Time
	// Random returns random numbers from 0 to 1, rand.Float64 by default. Calls are
	// serialized.
	Random func() float64
}

// Splitter splits one VM's requests between the old and the new version during a rollout and
// records their results. It is safe for concurrent use.
type Splitter struct {
	cfg SplitterConfig

	mu      sync.Mutex
	phase   rollout.Phase
	expires time.Time
	step    Step
	// requests counts this VM's requests since the order, and sent those that went to
	// the new version. start is a random fraction of a request that is permitted at
	// once, so that not all VMs with little traffic begin with none.
	requests, sent, start float64
	// placing counts the requests that may go to an old worker and are not yet in the load
	// of one.
	placing int
	// suspended is set once this VM's own requests show that the version is bad.
	suspended bool
	analyzer  Analyzer
	report    rollout.Report
	inFlight  map[*Attempt]struct{}
}

// NewSplitter returns a splitter that has received no step.
func NewSplitter(cfg SplitterConfig) *Splitter {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return &Splitter{cfg: cfg, start: cfg.Random(), report: rollout.NewReport(), inFlight: make(map[*Attempt]struct{})}
}

// Version returns the version that is rolled out.
func (s *Splitter) Version() rollout.Version { return s.cfg.Version }

// Apply applies a step of the decider, and reports whether the phase advanced. A step of an
// earlier phase is ignored. Once closed, old workers stay closed: this VM may have reported
// that it has nothing in flight there, after which they may stop.
func (s *Splitter) Apply(step Step) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if step.Phase < s.phase {
		return false
	}
	advanced := step.Phase > s.phase
	step.Closed = step.Closed || !advanced && s.step.Closed
	s.phase, s.step = step.Phase, step
	s.expires = s.cfg.Now().Add(stepTTL)
	if s.phase == rollout.PhaseProved {
		s.expires = s.cfg.Now().Add(provedTTL)
	}
	return advanced
}

// Step returns the latest step.
func (s *Splitter) Step() Step {
	s.mu.Lock()
	defer s.mu.Unlock()
	step := s.step
	step.Phase = s.phase
	return step
}

// Phase returns the latest phase.
func (s *Splitter) Phase() rollout.Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase
}

// Counts returns the number of this VM's requests since the order, and of those sent to the
// new version.
func (s *Splitter) Counts() (requests, sent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.requests), int(s.sent)
}

// ChooseTrack returns which workers a request may use. The key is its affinity key's hash, or a
// random number. A retry goes to the old version unless the new one is proved, so that
// it does not fail there again. A caller that sends the request calls BeginPlacing first.
func (s *Splitter) ChooseTrack(route string, key uint64, retry bool) worker.Track {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	track := s.selectTrack(route, key, retry)
	if track != worker.TrackStable {
		s.sent++
	}
	return track
}

// BeginPlacing is called before the track of a request is chosen, and the returned function
// once the request is in the load of its worker or was refused. In between the request is
// reported as in flight at old workers, unless they are closed.
func (s *Splitter) BeginPlacing() (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.permitsOld() {
		return func() {}
	}
	s.placing++
	return s.endPlacing
}

func (s *Splitter) endPlacing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placing--
}

func (s *Splitter) selectTrack(route string, key uint64, retry bool) worker.Track {
	switch s.effectivePhase() {
	case rollout.PhaseProved, rollout.PhaseCompleted:
		return worker.TrackNew
	case rollout.PhaseTrial:
		if retry || !s.withinShare() {
			return worker.TrackStable
		}
		if inFraction(key, s.cfg.Version, max(s.step.CanaryFractions[route], worker.CanaryFraction)) {
			return worker.TrackCanary
		}
		if s.step.WarmUp && s.cfg.Random() < warmUpFraction {
			return worker.TrackNew
		}
	case rollout.PhaseShift:
		if !retry && !inFraction(key, s.cfg.Version+1, controlFraction) && s.withinShare() {
			return worker.TrackNew
		}
	default:
	}
	return worker.TrackStable
}

// effectivePhase returns the phase that applies now. An expired step no longer applies,
// unless its phase is final or old workers are closed.
func (s *Splitter) effectivePhase() rollout.Phase {
	switch {
	case s.phase.Final(), s.phase == rollout.PhaseProved && s.step.Closed:
		return s.phase
	case s.suspended && s.phase < rollout.PhaseProved, !s.cfg.Now().Before(s.expires):
		return rollout.PhaseOrdered
	}
	return s.phase
}

// withinShare reports whether the new version may get one more request. Since each VM keeps
// this bound on its own, it holds for all VMs together.
func (s *Splitter) withinShare() bool {
	return s.sent+1 <= shareMargin*s.cfg.MaxFraction*s.requests+s.start
}

// inFraction reports whether a key belongs to a fraction of the keys.
func inFraction(key uint64, version rollout.Version, fraction float64) bool {
	const mix = 0x9e3779b97f4a7c15
	hash := (key ^ uint64(version)*mix) * mix
	return float64(hash^hash>>32)/math.MaxUint64 < fraction
}

// WithdrawChoice reverts the choice of the new version, and reports whether the old version may
// serve the request instead.
func (s *Splitter) WithdrawChoice() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent--
	return s.permitsOld()
}

// permitsOld reports whether old workers may serve requests that the new ones cannot.
func (s *Splitter) permitsOld() bool {
	return s.effectivePhase() < rollout.PhaseProved || s.phase == rollout.PhaseProved && !s.step.Closed
}

// Attempt is one attempt of a request at a worker.
type Attempt struct {
	splitter *Splitter
	route    string
	// incarnation identifies the canary worker, "" for other workers.
	incarnation string
	track       worker.Track
	key         uint64
	started     time.Time
	// running is what the attempt was counted as while it was in flight.
	running rollout.Tally
	// timeless is set if its latency tells nothing of the version.
	timeless bool
}

// RecordSent records that a request was sent to an incarnation of a worker.
func (s *Splitter) RecordSent(track worker.Track, route, incarnation string, key uint64) *Attempt {
	t := &Attempt{splitter: s, route: route, track: track, key: key, started: s.cfg.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if track == worker.TrackCanary {
		t.incarnation = incarnation
		s.report.Keys.Add(key)
	}
	if track != worker.TrackStable && len(s.inFlight) < maxTracked {
		s.inFlight[t] = struct{}{}
	}
	return t
}

// IgnoreLatency excludes the attempt from the comparison of latencies, for a reason known when
// it is sent, such as a worker that has just started.
func (t *Attempt) IgnoreLatency() {
	s := t.splitter
	s.mu.Lock()
	defer s.mu.Unlock()
	t.timeless = true
}

// RecordLeft records that the client left before the end. Clients leave slow requests rather
// than fast ones, so the attempt counts as slow, with either version, if it was so already.
func (t *Attempt) RecordLeft() {
	s := t.splitter
	took := s.cfg.Now().Sub(t.started)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, t)
	tally := rollout.Tally{Ended: 1}
	if t.timeless || t.track == worker.TrackNew || s.phase == rollout.PhaseOrdered || !s.markSlow(&tally, t.route, took) {
		return
	}
	tally = tally.Delta(t.running)
	addLatency(&tally, took)
	s.addTally(t, tally)
}

// RecordEnd records the end of the attempt. An inconclusive one, such as a refusal or a
// client that disconnected, is not counted.
func (t *Attempt) RecordEnd(conclusive, failed bool) {
	s := t.splitter
	took := s.cfg.Now().Sub(t.started)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, t)
	if !conclusive || s.phase == rollout.PhaseOrdered {
		return
	}
	tally := rollout.Tally{Ended: 1}
	if failed {
		tally.Failed = 1 // Also if it was counted as slow before.
	} else if t.track != worker.TrackNew {
		s.markSlow(&tally, t.route, took)
		tally = tally.Delta(t.running)
	}
	addLatency(&tally, took)
	s.addTally(t, tally)
	if failed && t.track != worker.TrackStable && !s.suspended {
		_, s.suspended = s.analyzer.Add(s.cfg.Now(), &s.report)
	}
}

// addLatency adds the latency of a request to a tally.
func addLatency(tally *rollout.Tally, took time.Duration) {
	millis := max(float64(took)/float64(time.Millisecond), 1)
	tally.LogMillis += math.Log(millis)
	tally.Millis += millis
	tally.MillisSquared += millis * millis
}

// addTally adds to the tallies. Beyond maxTallies, new routes and workers are ignored.
func (s *Splitter) addTally(t *Attempt, tally rollout.Tally) {
	if t.track == worker.TrackStable {
		if _, ok := s.report.Old[t.route]; !ok && len(s.report.Old) >= maxTallies {
			return
		}
		sum := s.report.Old[t.route]
		sum.Add(tally)
		s.report.Old[t.route] = sum
		return
	}
	tallyKey := rollout.TallyKey{Route: t.route, Worker: t.incarnation}
	if _, ok := s.report.New[tallyKey]; !ok && len(s.report.New) >= maxTallies {
		return
	}
	sum := s.report.New[tallyKey]
	sum.Add(tally)
	s.report.New[tallyKey] = sum
}

// markSlow counts a request in a tally as slow if its latency exceeds the route's slow
// threshold, and reports whether it did.
func (s *Splitter) markSlow(tally *rollout.Tally, route string, took time.Duration) bool {
	limit, ok := s.step.SlowAfter[route]
	if !ok || took <= limit {
		return false
	}
	tally.Slow = 1
	if took.Seconds() > coldFactor/slowFactor*limit.Seconds() {
		tally.VerySlow = 1
	}
	return true
}

// Report returns this VM's observations. Canary requests in flight that already exceed
// the slow threshold count as slow. InFlightOld counts only requests that are not yet in the
// load of a worker; the caller adds the loads, and reads them after Report, so that a request
// which is placed meanwhile counts in one of them.
func (s *Splitter) Report() rollout.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	undecided := s.countRunning()
	r := rollout.NewReport()
	r.Merge(s.report)
	r.Undecided, r.Requests = undecided, int(s.requests)
	r.VMs[s.phase] = 1
	r.InFlightOld = s.placing
	return r
}

// countRunning counts canary requests in flight that already exceed the slow threshold, each
// once, and returns how many of them may still become very slow.
func (s *Splitter) countRunning() (undecided int) {
	now := s.cfg.Now()
	for t := range s.inFlight {
		running := rollout.Tally{Ended: 1}
		if t.track != worker.TrackCanary || t.timeless || !s.markSlow(&running, t.route, now.Sub(t.started)) {
			continue
		}
		if running.VerySlow == 0 {
			undecided++
		}
		s.addTally(t, running.Delta(t.running))
		t.running.VerySlow = max(running.VerySlow, t.running.VerySlow) // The threshold may have risen since.
		t.running.Ended, t.running.Slow = 1, 1
	}
	return undecided
}
