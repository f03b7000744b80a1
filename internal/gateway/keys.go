// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/state/workspace"
	"github.com/ryehill/ryehill/transport/peer"
)

const (
	// keyQuestionInterval is the least time between two questions for newer keys
	// that this VM asks, however many requests come with keys that nobody has: 4 a
	// second, one more than it asks for news anyway.
	keyQuestionInterval = 250 * time.Millisecond
	// keyWait bounds how long a request with an unknown key waits for the answer:
	// a question to another VM of the region and half a fresh connection, and less
	// than half of the objective of the shortest requests served so far (400 ms).
	keyWait = 150 * time.Millisecond
	// keyBelieved is for how long a key that nobody knew is believed to be bad
	// without another question.
	keyBelieved = time.Second
	// maxBadKeys bounds the bad keys that are remembered: 64 KB.
	maxBadKeys = 1024
	// revokeMargin is kept of the time within which a key must be known to be taken
	// away, for the way of the last request that was let pass.
	revokeMargin = 300 * time.Millisecond
)

// keyQuestions bounds the questions for newer keys. It is safe for concurrent use.
type keyQuestions struct {
	mu sync.Mutex
	// last is when the last question was begun, answered is closed once it ended.
	last     time.Time
	answered chan struct{}
	// bad holds the keys that nobody knew, by when that was.
	bad map[workspace.Digest]time.Time
}

func newKeyQuestions() *keyQuestions {
	done := make(chan struct{})
	close(done)
	return &keyQuestions{answered: done, bad: make(map[workspace.Digest]time.Time)}
}

// begin returns the channel that is closed once a question for a key is answered,
// and whether the caller is to ask it. It returns nil for a key that is known to be
// bad.
func (k *keyQuestions) begin(key workspace.Digest, now time.Time) (answered chan struct{}, ask bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if at, ok := k.bad[key]; ok && now.Sub(at) < keyBelieved {
		return nil, false
	}
	if len(k.bad) >= maxBadKeys {
		clear(k.bad)
	}
	k.bad[key] = now
	if now.Sub(k.last) < keyQuestionInterval {
		return k.answered, false
	}
	k.last, k.answered = now, make(chan struct{})
	return k.answered, true
}

// forget ends the belief that keys are bad, as the configuration has changed.
func (k *keyQuestions) forget() {
	k.mu.Lock()
	defer k.mu.Unlock()
	clear(k.bad)
}

// RefreshKeys implements ingress.Keys. The question goes to the VM that this one asks for
// news, and costs the store nothing.
func (g *Gateway) RefreshKeys(ctx context.Context, key workspace.Digest) {
	answered, ask := g.keyQuestions.begin(key, clock.Now())
	if answered == nil {
		return
	}
	if ask {
		go func() {
			defer close(answered)
			g.askForKeys()
		}()
	}
	ctx, cancel := context.WithTimeout(ctx, keyWait)
	defer cancel()
	select {
	case <-answered:
	case <-ctx.Done():
	}
}

// askForKeys asks another VM for news once, and takes them in.
func (g *Gateway) askForKeys() {
	t := g.parent(clock.Now())
	if t.ID == g.cfg.VM {
		return // It watches the store itself.
	}
	g.cfg.Metrics.KeyQuestion()
	question := syncRequest{from: peer.Target{VM: t.ID, Address: t.Peer}, depth: secondaryDepth}
	if _, err := g.syncFrom(context.Background(), question); err != nil {
		g.log.V(1).Info("keys: no answer", "peer", t.ID, "error", err.Error())
	}
	g.awaitCompiled()
}

// RevocationsCurrent implements ingress.Keys.
func (g *Gateway) RevocationsCurrent() bool {
	return !g.cfg.Bounds.StrictRevocation || g.configAge() < g.cfg.Bounds.RevokeWithin-revokeMargin
}

// AdditionsCurrent implements ingress.Keys.
func (g *Gateway) AdditionsCurrent() bool { return g.configAge() < g.cfg.Bounds.ApplyWithin }

// configAge returns how long ago the store last confirmed the configuration.
func (g *Gateway) configAge() time.Duration {
	return clock.Since(g.replica.ConfirmedAt(g.cfg.Codec.ConfigKind()))
}

const (
	// compileWait bounds the wait until news that was taken in is in force, and
	// compileLook is the time between two looks.
	compileWait = 50 * time.Millisecond
	compileLook = 2 * time.Millisecond
)

// awaitCompiled waits until the configuration that is known is in force.
func (g *Gateway) awaitCompiled() {
	known := g.replica.LastChanged(g.cfg.Codec.ConfigKind())
	for begun := clock.Now(); g.compiledConfig.Load() < known && clock.Since(begun) < compileWait; {
		time.Sleep(compileLook)
	}
}
