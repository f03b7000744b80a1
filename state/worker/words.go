// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker

import "time"

const (
	// leastWord is the number of requests from which on a worker's word is
	// passed on: one request alone tells that it is idle, as no word does.
	leastWord = 2
	// maxWords bounds the words of one message: 16 KB.
	maxWords = 1024
	// sameWord is how much younger a word may seem that is known already: its age
	// does not count its way. Without it a word that comes back from the VM that
	// was told of it is told to all once more.
	sameWord = 20 * time.Millisecond
)

// Word is what a worker told of the requests that it runs and holds.
type Word struct {
	Requests int
	// Age is how long ago the worker told it.
	Age time.Duration
}

// Heard takes in what the worker told another VM, unless what is known is as new.
func (l *Load) Heard(w Word) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hear(w)
}

// PassOn does the same, and returns the word with the next TakeWords.
func (l *Load) PassOn(w Word) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fresh = l.hear(w) || l.fresh
}

// hear takes in a word under the lock and reports whether it is news.
func (l *Load) hear(w Word) bool {
	at := l.now().Add(-w.Age)
	if !at.After(l.told.Add(sameWord)) {
		return false
	}
	l.told, l.total = at, w.Requests
	l.others = max(0, w.Requests-l.own)
	l.number = l.numbers.Add(1)
	return true
}

// word returns the worker's last word, if it still counts.
func (l *Load) word() (Word, bool) {
	age := l.now().Sub(l.told)
	return Word{Requests: l.total, Age: age}, age < reportFades && l.total >= leastWord
}

// TakeWords returns what workers told this VM since the last call, by the
// worker's id.
func (l *Loads) TakeWords() map[string]Word {
	return l.words(func(load *Load) bool {
		fresh := load.fresh
		load.fresh = false
		return fresh
	})
}

// WordsAfter returns what workers told this VM or any that it heard of, by the
// worker's id, as far as it has come after a number, 0 standing for all; and the
// number to ask with the next time.
func (l *Loads) WordsAfter(number uint64) (map[string]Word, uint64) {
	last := l.heard.Load()
	return l.words(func(load *Load) bool { return load.number > number }), last
}

// words returns the words that still count of the workers that are wanted. Each
// is asked for under its lock.
func (l *Loads) words(wanted func(*Load) bool) map[string]Word {
	words := make(map[string]Word)
	for i := range l.shards {
		l.shards[i].words(words, wanted)
	}
	return words
}

func (s *shard) words(words map[string]Word, wanted func(*Load) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, load := range s.loads {
		if len(words) >= maxWords {
			return
		}
		load.mu.Lock()
		if w, counts := load.word(); wanted(load) && counts {
			words[id] = w
		}
		load.mu.Unlock()
	}
}
