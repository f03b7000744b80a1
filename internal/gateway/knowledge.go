// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/protocol/peerpb"
)

// knowledgeInterval is how often the age of what a VM believes is looked at, and
// the least time between two of the lines below.
const knowledgeInterval = 500 * time.Millisecond

// knowledge tells in logs and metrics how old what a VM believes is, and what it
// told peers in whole. It decides nothing. It is safe for concurrent use.
type knowledge struct {
	mu sync.Mutex
	// overdue holds, by kind, the greatest age of knowledge that is older than
	// a change may take to be in force.
	overdue map[string]time.Duration
	// storeErrors and peerError are the last failures, which explain the age.
	storeErrors map[string]string
	peerError   string
	// copies and copyBytes sum the whole kinds told to peers since the last line.
	copies, copyBytes int
}

func newKnowledge() *knowledge {
	return &knowledge{overdue: make(map[string]time.Duration), storeErrors: make(map[string]string)}
}

// noteStore remembers how the last call to the store about a kind ended.
func (k *knowledge) noteStore(kind string, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.storeErrors, kind)
	if err != nil {
		k.storeErrors[kind] = err.Error()
	}
}

// notePeer remembers how the last question to a peer ended.
func (k *knowledge) notePeer(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.peerError = ""
	if err != nil {
		k.peerError = err.Error()
	}
}

// noteCopies counts the deltas that hold whole kinds.
func (k *knowledge) noteCopies(deltas []*peerpb.Delta) {
	copies, bytes := 0, 0
	for _, d := range deltas {
		if d.GetFull() {
			copies++
			bytes += copySize(d) + len(d.GetPacked())
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.copies += copies
	k.copyBytes += bytes
}

// copySize is about how many bytes a delta takes on the wire.
func copySize(d *peerpb.Delta) int {
	const perEvent = 8 // Tags, lengths and the revision.
	size := 0
	for _, e := range d.GetEvents() {
		size += len(e.GetName()) + len(e.GetSpec()) + perEvent
	}
	return size
}

// knowledgeLoop writes the lines and sets the gauges.
func (g *Gateway) knowledgeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		now := clock.Now()
		for _, kind := range g.watchedKinds() {
			if confirmed := g.replica.ConfirmedAt(kind); !confirmed.IsZero() {
				g.tellAge(kind, now.Sub(confirmed))
			}
		}
		g.tellCopies()
		g.tellHeldBack()
		sleep(ctx, knowledgeInterval)
	}
}

// tellAge logs when knowledge of a kind becomes older than a change may take to
// be in force, and when it is young again.
func (g *Gateway) tellAge(kind string, age time.Duration) {
	g.cfg.Metrics.KnowledgeAge(kind, age)
	k := g.knowledge
	k.mu.Lock()
	defer k.mu.Unlock()
	oldest, overdue := k.overdue[kind]
	switch {
	case age > g.cfg.Bounds.ApplyWithin:
		k.overdue[kind] = max(oldest, age)
		if !overdue {
			g.log.Info("knowledge: older than a change may take", "kind", kind, "age_ms", age.Milliseconds(),
				"asked_to_watch", g.watches(), "store", k.storeErrors[kind], "peer", k.peerError)
		}
	case overdue:
		delete(k.overdue, kind)
		g.log.Info("knowledge: young again", "kind", kind, "age_ms", age.Milliseconds(), "oldest_ms", oldest.Milliseconds())
	}
}

// tellCopies logs the whole kinds that were told to peers since the last line.
func (g *Gateway) tellCopies() {
	k := g.knowledge
	k.mu.Lock()
	copies, bytes := k.copies, k.copyBytes
	k.copies, k.copyBytes = 0, 0
	k.mu.Unlock()
	if copies == 0 {
		return
	}
	g.cfg.Metrics.PeerCopies(copies, bytes)
	g.log.Info("peers: whole kinds told", "copies", copies, "bytes", bytes)
}
