// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/object"
)

// knowledgeInterval is how often the ages are checked, and the minimum time between
// two log lines on copies.
const knowledgeInterval = 500 * time.Millisecond

// knowledge reports, in logs and metrics, the age of the replica and the number of
// full copies sent to peers, and holds what this VM knows of the store's eras. It is safe for
// concurrent use.
type knowledge struct {
	mu sync.Mutex
	// overdue maps each kind that is older than Bounds.ApplyWithin to its greatest
	// age.
	overdue map[string]time.Duration
	// storeErrors, by kind, and peerError are the last errors, logged as the likely
	// cause of a high age.
	storeErrors map[string]string
	peerError   string
	// era is the newest era in a response of the store.
	era uint64
	// eraBegan is when this VM first heard of that era, newEra is closed at the next one.
	eraBegan time.Time
	newEra   chan struct{}
	// eraStart is the lowest version that this VM knows of the newest era that it knows a
	// version of, from the store or a peer.
	eraStart object.Version
	// copies and copyBytes count the full copies of kinds sent to peers since the last
	// log line.
	copies, copyBytes int
}

func newKnowledge() *knowledge {
	return &knowledge{newEra: make(chan struct{}), overdue: make(map[string]time.Duration), storeErrors: make(map[string]string)}
}

// recordStoreCall records the result of the last call to the store for a kind.
func (k *knowledge) recordStoreCall(kind string, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.storeErrors, kind)
	if err != nil {
		k.storeErrors[kind] = err.Error()
	}
}

// recordEra records the era of a response of the store, and reports whether it is newer
// than all others.
func (k *knowledge) recordEra(era uint64) (previous uint64, newer bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	previous = k.era
	if era <= previous {
		return previous, false
	}
	k.era, k.eraBegan = era, clock.Now()
	close(k.newEra)
	k.newEra = make(chan struct{})
	return previous, true
}

// recordVersion records that the store, or a peer, had a version. A response without a
// revision has only an era.
func (k *knowledge) recordVersion(at object.Version) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if at.Revision == 0 {
		return
	}
	if at.Era > k.eraStart.Era || at.Era == k.eraStart.Era && at.Revision < k.eraStart.Revision {
		k.eraStart = at
	}
}

// lowestOfEra returns the lowest version that this VM knows of the newest era that it knows a
// version of.
func (k *knowledge) lowestOfEra() object.Version {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.eraStart
}

// storeEra returns the newest era in a response of the store.
func (k *knowledge) storeEra() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.era
}

// eraSince returns when this VM first heard of the newest era, zero for era 0.
func (k *knowledge) eraSince() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.eraBegan
}

// eraChanged returns a channel that is closed at the next new era.
func (k *knowledge) eraChanged() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.newEra
}

// recordEra records the version in a response of the store, and logs a new era.
func (g *Gateway) recordEra(at object.Version) {
	g.knowledge.recordVersion(at)
	if previous, newer := g.knowledge.recordEra(at.Era); newer {
		g.cfg.Metrics.StoreEra(at.Era)
		g.log.Info("store: new era", "era", at.Era, "previous", previous, "revision", at.Revision)
	}
}

// recordPeerCall records the result of the last request to a peer.
func (k *knowledge) recordPeerCall(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.peerError = ""
	if err != nil {
		k.peerError = err.Error()
	}
}

// recordCopies counts the deltas that are full copies.
func (k *knowledge) recordCopies(deltas []*peerpb.Delta) {
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

// copySize returns the approximate size of an uncompressed delta on the wire, in
// bytes.
func copySize(d *peerpb.Delta) int {
	const perEvent = 8 // Tags, lengths and the revision.
	size := 0
	for _, e := range d.GetEvents() {
		size += len(e.GetName()) + len(e.GetSpec()) + perEvent
	}
	return size
}

// knowledgeLoop updates the gauges and writes the log lines.
func (g *Gateway) knowledgeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		now := clock.Now()
		for _, kind := range g.watchedKinds() {
			if confirmed := g.replica.ConfirmedAt(kind); !confirmed.IsZero() {
				g.reportAge(kind, now.Sub(confirmed))
			}
		}
		g.reportCopies()
		g.updateHeldBackMetrics()
		sleep(ctx, knowledgeInterval)
	}
}

// reportAge logs when the replica of a kind becomes older than Bounds.ApplyWithin, and
// when it is current again.
func (g *Gateway) reportAge(kind string, age time.Duration) {
	g.cfg.Metrics.KnowledgeAge(kind, age)
	k := g.knowledge
	k.mu.Lock()
	defer k.mu.Unlock()
	maxAge, overdue := k.overdue[kind]
	switch {
	case age > g.cfg.Bounds.ApplyWithin:
		k.overdue[kind] = max(maxAge, age)
		if !overdue {
			g.log.Info("knowledge: older than a change may take", "kind", kind, "age_ms", age.Milliseconds(),
				"asked_to_watch", g.watchesStore(), "store", k.storeErrors[kind], "peer", k.peerError)
		}
	case overdue:
		delete(k.overdue, kind)
		g.log.Info("knowledge: young again", "kind", kind, "age_ms", age.Milliseconds(), "oldest_ms", maxAge.Milliseconds())
	}
}

// reportCopies logs the full copies sent to peers since the last log line.
func (g *Gateway) reportCopies() {
	k := g.knowledge
	k.mu.Lock()
	copies, bytes := k.copies, k.copyBytes
	k.copies, k.copyBytes = 0, 0
	k.mu.Unlock()
	if copies == 0 {
		return
	}
	g.cfg.Metrics.PeerCopies(copies, bytes)
	g.log.Info("peers: full copies sent", "copies", copies, "bytes", bytes)
}
