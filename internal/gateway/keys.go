// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/workspace"
	"github.com/ryehill/ryehill/transport/peer"
)

const (
	// keyFetchInterval is the minimum time between two fetches of keys by this VM,
	// however many requests come with unknown keys: 4 a second, one more than its syncs.
	keyFetchInterval = 250 * time.Millisecond
	// keyFetchTimeout bounds how long a request with an unknown key waits for a fetch:
	// time for a request to another VM of the region and part of a connection setup. It
	// is less than half of the shortest latency objective, 400 ms.
	keyFetchTimeout = 150 * time.Millisecond
	// badKeyTTL is how long an unknown key is rejected without another fetch.
	badKeyTTL = time.Second
	// maxBadKeys bounds the number of remembered bad keys, to 64 KB.
	maxBadKeys = 1024
	// revokeMargin is subtracted from the time within which a key must be revoked, for
	// requests that were admitted just before.
	revokeMargin = 300 * time.Millisecond
)

// keyFetches rate-limits fetches of keys. It is safe for concurrent use.
type keyFetches struct {
	mu sync.Mutex
	// lastFetch is when the last fetch began; fetchDone is closed when it ends.
	lastFetch time.Time
	fetchDone chan struct{}
	// badKeys holds the time at which each unknown key was seen.
	badKeys map[workspace.Digest]time.Time
}

func newKeyFetches() *keyFetches {
	done := make(chan struct{})
	close(done)
	return &keyFetches{fetchDone: done, badKeys: make(map[workspace.Digest]time.Time)}
}

// beginFetch returns a channel that is closed when the fetch for a key ends, and whether the
// caller has to run that fetch. The channel is nil for a key that is known to be bad.
func (k *keyFetches) beginFetch(key workspace.Digest, now time.Time) (done chan struct{}, fetch bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if since, ok := k.badKeys[key]; ok && now.Sub(since) < badKeyTTL {
		return nil, false
	}
	if len(k.badKeys) >= maxBadKeys {
		clear(k.badKeys)
	}
	k.badKeys[key] = now
	if now.Sub(k.lastFetch) < keyFetchInterval {
		return k.fetchDone, false
	}
	k.lastFetch, k.fetchDone = now, make(chan struct{})
	return k.fetchDone, true
}

// clearBadKeys clears the bad keys after a change of the configuration.
func (k *keyFetches) clearBadKeys() {
	k.mu.Lock()
	defer k.mu.Unlock()
	clear(k.badKeys)
}

// RefreshKeys implements ingress.Keys. It requests changes from this VM's parent, not from
// the store.
func (g *Gateway) RefreshKeys(ctx context.Context, key workspace.Digest) {
	done, fetch := g.keyFetches.beginFetch(key, clock.Now())
	if done == nil {
		return
	}
	if fetch {
		go func() {
			defer close(done)
			g.fetchKeys()
		}()
	}
	ctx, cancel := context.WithTimeout(ctx, keyFetchTimeout)
	defer cancel()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// fetchKeys requests changes from the parent once and applies them.
func (g *Gateway) fetchKeys() {
	t := g.parent(clock.Now())
	if t.ID == g.cfg.VM {
		return // This VM watches the store itself.
	}
	g.cfg.Metrics.KeyQuestion()
	request := syncRequest{from: peer.Target{VM: t.ID, Address: t.Peer}, depth: secondaryDepth}
	if _, err := g.syncFrom(context.Background(), request); err != nil {
		g.log.V(1).Info("keys: fetch failed", "peer", t.ID, "error", err.Error())
	}
	g.awaitCompiled()
}

// RevocationsCurrent implements ingress.Keys.
func (g *Gateway) RevocationsCurrent() bool {
	return !g.cfg.Bounds.StrictRevocation || g.configAge() < g.cfg.Bounds.RevokeWithin-revokeMargin
}

// AdditionsCurrent implements ingress.Keys.
func (g *Gateway) AdditionsCurrent() bool { return g.configAge() < g.cfg.Bounds.ApplyWithin }

// configAge returns the time since the store last confirmed the configuration in use.
func (g *Gateway) configAge() time.Duration {
	var inUse object.Mark
	if s := g.snapshot.Load(); s != nil {
		inUse = s.RoutesMark
	}
	return clock.Since(g.replica.ConfirmedAtMark(g.cfg.Codec.ConfigKind(), inUse))
}

const (
	// compileWait bounds the wait for received configuration to be compiled;
	// compilePollInterval is the time between two checks.
	compileWait         = 50 * time.Millisecond
	compilePollInterval = 2 * time.Millisecond
)

// awaitCompiled waits until the known configuration is compiled.
func (g *Gateway) awaitCompiled() {
	known := g.replica.Generation(g.cfg.Codec.ConfigKind())
	for start := clock.Now(); g.compiledConfig.Load() < known && clock.Since(start) < compileWait; {
		time.Sleep(compilePollInterval)
	}
}
