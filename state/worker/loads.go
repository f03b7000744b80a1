// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	shardCount = 16
	// reportFades is after how long a worker's own word on its load counts
	// for nothing. VMs of a region hear of each other's words within about
	// 0.7 s (two questions for news), so that some of it is left then.
	reportFades = 2 * time.Second
	// firstPause and longestPause bound how long a worker that failed gets
	// nothing; the pause doubles with each failure in a row.
	firstPause   = 500 * time.Millisecond
	longestPause = 4 * time.Second
)

// Loads holds a Load for each worker. It is safe for concurrent use; workers
// are in shards, each under a lock of its own.
type Loads struct {
	now    func() time.Time
	heard  atomic.Uint64 // numbers the words in the order in which they came
	shards [shardCount]shard

	limits limits
}

type shard struct {
	mu    sync.Mutex
	loads map[string]*Load
}

// NewLoads returns loads of no worker yet.
func NewLoads(now func() time.Time) *Loads {
	l := &Loads{now: now}
	for i := range l.shards {
		l.shards[i].loads = make(map[string]*Load)
	}
	return l
}

// Of returns the load of a worker.
func (l *Loads) Of(id string) *Load {
	s := &l.shards[xxhash.Sum64String(id)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	load, ok := s.loads[id]
	if !ok {
		load = &Load{id: id, now: l.now, numbers: &l.heard, limits: &l.limits}
		s.loads[id] = load
	}
	return load
}

// Known returns the load of a worker that this VM has dealt with.
func (l *Loads) Known(id string) (*Load, bool) {
	s := &l.shards[xxhash.Sum64String(id)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	load, ok := s.loads[id]
	return load, ok
}

// signalsHeld reports whether what the worker has said of itself still matters; living is
// whether it has an entry.
func (l *Load) signalsHeld(living bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.signals.held(living, l.now())
}

// Keep forgets the idle workers that the function does not want kept, but for those
// whose own words still hold.
func (l *Loads) Keep(wanted func(id string) bool) {
	l.limits.keep(func(load *Load) bool {
		living := wanted(load.id)
		return load.signalsHeld(living) || living && (load.Paused() || load.Spared() || load.endedLately())
	})
	limited := l.Limited()
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for id, load := range s.loads {
			if !wanted(id) && load.Own() == 0 && limited[id] != load {
				delete(s.loads, id)
			}
		}
		s.mu.Unlock()
	}
}

// Load is what this VM knows of how busy one worker is. It is safe for
// concurrent use.
type Load struct {
	id      string
	now     func() time.Time
	numbers *atomic.Uint64
	limits  *limits

	mu       sync.Mutex
	own      int // requests of this VM under way
	others   int // requests of others, as the worker last told
	told     time.Time
	total    int  // requests of all, as the worker told
	fresh    bool // set if the worker told this VM since the last TakeWords
	number   uint64
	failures int // in a row
	pausedTo time.Time
	outcomes outcomes
	sparedTo time.Time
	refused  time.Time // when its port was last found closed
	ended    time.Time // when its process last seemed to have ended
	returned time.Time // when a VM first had an answer after that
	earlier  end       // the end before that, for the case that there was none
	doubtful bool      // set if the end rests on one connection
	proved   Span
	lived    Span // in which the process is known not to have ended, though it seemed to
	signals  signals
}

// Begin counts a request of this VM.
func (l *Load) Begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own++
}

// End takes a request of this VM off.
func (l *Load) End() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own--
}

// Own returns how many requests of this VM are under way.
func (l *Load) Own() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.own
}

// Told takes in the worker's own word on the requests it runs and holds. It is
// to be called before End of the request whose answer carried it.
func (l *Load) Told(running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.others = max(0, running+waiting-(l.own-1))
	l.told = l.now()
	l.total, l.fresh = running+waiting, true
	l.number = l.numbers.Add(1)
}

// Busy returns how many requests the worker is thought to hold: those of this
// VM and, fading within reportFades, what it last told of others.
func (l *Load) Busy() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	age := l.now().Sub(l.told)
	if age >= reportFades {
		return float64(l.own)
	}
	return float64(l.own) + float64(l.others)*(1-age.Seconds()/reportFades.Seconds())
}

// Failed notes that the worker did not answer, and pauses it.
func (l *Load) Failed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	pause := min(firstPause<<min(l.failures, 8), longestPause)
	l.failures++
	l.pausedTo = l.now().Add(pause)
	l.limits.add(l)
}

// Answered notes that the worker answered, and ends a pause.
func (l *Load) Answered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = 0
	l.pausedTo = time.Time{}
	l.signals.answered(l.now())
	if last := l.lastEnd(); !last.IsZero() && l.returned.Before(last) {
		l.returned = l.now()
	}
}

const (
	// mayBeCold is for how long after its port was closed a worker may be a new process of
	// which the store has not told yet: it writes its entry at its start and each 1.5 s, and
	// news of it takes a second.
	mayBeCold = 3 * time.Second
	// newsOfStart is within what time after a process has ended the store has the entry of
	// the next one, if it is there.
	newsOfStart = 1500 * time.Millisecond
	// storeSilent is the age of what is known of workers from which on the store counts as
	// silent. In calm it is below a second and a half.
	storeSilent = 2 * time.Second
	// maxColdStart bounds for how long a worker may be taken as cold without news of it.
	maxColdStart = 30 * time.Second
)

// Refused notes that nobody listens at the worker's port: its process has ended.
func (l *Load) Refused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused = l.now()
}

// Ended notes that the worker ended all connections that were looked at: its process may
// have ended.
func (l *Load) Ended() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endAt(l.now())
	l.doubtful = false
	l.limits.add(l)
}

// HungUp notes that the worker ended one connection under a request. Its process may have
// ended, or an answer was lost.
func (l *Load) HungUp() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doubtful = l.lastEnd().Before(l.now().Add(-sameEnd)) || l.doubtful
	l.endAt(l.now())
	l.limits.add(l)
}

// end is when a process seemed to have ended, and when a VM first had an answer after that.
type end struct{ at, returned time.Time }

// endAt takes in an end, which may prove to be none.
func (l *Load) endAt(at time.Time) {
	if l.earlier.at.IsZero() || at.Sub(l.earlier.at) >= maxColdStart {
		l.earlier = end{l.ended, l.returned}
	}
	l.ended = at
}

// MayBeCold reports whether the worker may be a process that has just started, though
// its entry is that of the one before. Confirmed is when the store last confirmed what is
// known of workers, coldStart for how long one is cold after its start. Until the store could
// tell of a start nothing does but what the worker's port does. It is down for a while
// first: a start counts from the first answer after the end, at any VM.
func (l *Load) MayBeCold(confirmed time.Time, coldStart time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if !l.refused.IsZero() && now.Sub(l.refused) < mayBeCold {
		return true
	}
	started := l.lastEnd()
	if started.IsZero() || now.Sub(started) >= maxColdStart {
		return false
	}
	if l.returned.After(started) {
		started = l.returned
		if now.Sub(started) >= max(coldStart, mayBeCold) {
			return false
		}
	}
	silent := now.Sub(confirmed) > storeSilent
	return confirmed.Before(started) && !l.doubtful || silent && confirmed.Before(started.Add(newsOfStart))
}

// endSeen is how much the end of a process and what is seen of it may lie apart: answers that
// were under way come until then, over the longest ways between regions.
const endSeen = 200 * time.Millisecond

// Span is a time in which one process of a worker is known to have lived: from when a
// connection was opened to when an answer came over it, or over others that overlap.
type Span struct{ From, To time.Time }

// holds reports whether a moment is within the span, and not at its margins.
func (s Span) holds(at time.Time) bool {
	return s.From.Before(at.Add(-endSeen)) && s.To.After(at.Add(endSeen))
}

// Proved notes an answer over a connection that was opened at a moment. A connection does not
// outlive the process at its other end, so an end in between was none: only other
// connections were lost. Without it a day on which three of eleven VMs lose connections while
// the store is silent for 5 s was worth 0.705 in place of 0.741.
func (l *Load) Proved(opened time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if opened.After(l.proved.To) || opened.Before(l.proved.From) {
		l.proved.From = opened
	}
	l.proved.To = l.now()
	l.acquit(l.proved)
}

// acquit forgets an end that the process has outlived. The one before it may have been
// one: what is seen late of that seems to be another.
func (l *Load) acquit(s Span) {
	if l.ended.IsZero() || !s.holds(l.ended) {
		return
	}
	l.lived = s
	l.ended, l.returned, l.earlier = l.earlier.at, l.earlier.returned, end{}
	if s.holds(l.ended) {
		l.ended, l.returned = time.Time{}, time.Time{}
	}
}

// lastEnd returns when the worker's process last seemed to have ended.
func (l *Load) lastEnd() time.Time {
	if l.ended.After(l.refused) {
		return l.ended
	}
	return l.refused
}

// endedLately reports whether MayBeCold may still say so.
func (l *Load) endedLately() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.lastEnd()
	return !last.IsZero() && l.now().Sub(last) < maxColdStart
}

// Paused reports whether the worker should get nothing for now.
func (l *Load) Paused() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Before(l.pausedTo)
}
