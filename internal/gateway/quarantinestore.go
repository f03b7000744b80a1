// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/quarantine"
)

const (
	// saveLook is the time between two looks whether there is an entry that the store
	// does not have yet.
	saveLook = 500 * time.Millisecond
	// saveForOthers is after what time a VM that watches the store saves an entry that
	// another one made: that one may be gone.
	saveForOthers = 2 * time.Second
)

// quarantineStoreLoop keeps this VM's knowledge of the store's entries, and the store's
// knowledge of those that VMs have found. While there is nothing new, the VMs that watch
// the store read a stale list now and then, as of other kinds that change rarely.
func (g *Gateway) quarantineStoreLoop(ctx context.Context) {
	kind := g.cfg.Codec.QuarantineKind()
	g.waitForPeers(ctx, kind)
	var listed time.Time
	for ; ctx.Err() == nil; g.quarantines.awaitSave(ctx) {
		_, known := g.replica.CompleteUpTo(kind)
		unsaved := g.unsaved(clock.Now())
		if known && len(unsaved) == 0 && (!g.watchesStore() || clock.Since(listed) < listInterval) {
			continue
		}
		g.storeBackoff.wait(ctx, g.maxStoreBackoff())
		err := g.saveQuarantine(ctx, unsaved)
		if err == nil {
			err = g.listQuarantine(ctx, known && len(unsaved) == 0)
		}
		g.storeBackoff.recordResult(err)
		if err != nil {
			g.log.V(1).Info("quarantine: the store does not answer", "unsaved", len(unsaved), "error", err.Error())
			continue
		}
		listed = clock.Now()
	}
}

// unsaved returns the entries that this VM is to save: its own, and those of others
// that have not been saved for long.
func (g *Gateway) unsaved(now time.Time) []quarantine.Entry {
	q := g.quarantines
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.DeleteFunc(q.table.Unstored(), func(e quarantine.Entry) bool {
		return !q.found[e.Fingerprint] && (!g.watchesStore() || now.Sub(e.Since) < saveForOthers)
	})
}

func (g *Gateway) saveQuarantine(ctx context.Context, entries []quarantine.Entry) error {
	for _, e := range entries {
		raw, err := e.Encode()
		if err != nil {
			return errors.Wrap(err, "quarantine: encode")
		}
		if err := g.cfg.Store.Put(ctx, g.cfg.Codec.QuarantineKind(), e.Fingerprint.String(), raw); err != nil {
			return errors.Wrap(err, "quarantine: save")
		}
	}
	return nil
}

// listQuarantine reads the store's entries. Those that are of no more use are removed
// by the VMs that watch, since nothing in the store runs out by itself.
func (g *Gateway) listQuarantine(ctx context.Context, stale bool) error {
	kind := g.cfg.Codec.QuarantineKind()
	objects, at, err := g.cfg.Store.List(ctx, kind, stale)
	if err != nil {
		return errors.Wrap(err, "quarantine: list")
	}
	g.replica.Reset(kind, objects, at)
	g.compileQuarantine()
	if !g.watchesStore() {
		return nil
	}
	for _, e := range g.quarantines.table.All() {
		if !e.PastRetention(clock.Now()) {
			continue
		}
		if err := g.cfg.Store.Delete(ctx, kind, e.Fingerprint.String()); err != nil {
			return errors.Wrap(err, "quarantine: remove")
		}
	}
	return nil
}

// compileQuarantine takes in the store's entries as the replica has them. One that
// cannot be read holds nothing.
func (g *Gateway) compileQuarantine() {
	q, kind := g.quarantines, g.cfg.Codec.QuarantineKind()
	q.mu.Lock()
	defer q.mu.Unlock()
	content := g.replica.LastChanged(kind)
	if _, known := g.replica.CompleteUpTo(kind); !known || content == q.compiled {
		return
	}
	var entries []quarantine.Entry
	objects := g.replica.Objects(kind)
	g.unused.keep(kind, objects)
	for _, o := range objects {
		e, err := decodeEntry(o.Spec, clock.Now())
		if err == nil && e.Fingerprint.String() != o.Name {
			err = object.NewInvalidError(object.ReasonName, "%.64q is not its fingerprint", o.Name)
		}
		if err != nil {
			g.unused.add(kind, o, err)
			continue
		}
		entries = append(entries, e)
	}
	q.compiled = content
	q.table.SyncStored(entries)
	for f := range q.found {
		if _, ok := q.table.Get(f); !ok {
			delete(q.found, f)
		}
	}
	g.cfg.Metrics.Quarantined(q.table.Len())
}

// releaseQuarantined lets a request run again at all VMs, and reports whether it was
// known here.
func (g *Gateway) releaseQuarantined(ctx context.Context, f quarantine.Fingerprint) (known bool, err error) {
	if _, ok := g.quarantines.table.Get(f); !ok {
		return false, nil
	}
	if err := g.cfg.Store.Delete(ctx, g.cfg.Codec.QuarantineKind(), f.String()); err != nil {
		return true, errors.Wrap(err, "quarantine: release")
	}
	g.forgetQuarantined(f)
	g.tellQuarantine(nil, []quarantine.Fingerprint{f})
	return true, nil
}

// forgetQuarantined forgets that a request was held.
func (g *Gateway) forgetQuarantined(f quarantine.Fingerprint) {
	q := g.quarantines
	q.mu.Lock()
	delete(q.found, f)
	q.mu.Unlock()
	q.detector.Release(f)
	if q.table.Release(f) {
		g.log.Info("quarantine: a request may run again", "fingerprint", f.String())
	}
	g.cfg.Metrics.Quarantined(q.table.Len())
}
