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
	// savePollInterval is the time between two checks for entries that are not stored
	// yet.
	savePollInterval = 500 * time.Millisecond
	// saveForOthersAfter is when a VM that watches the store saves an entry made by
	// another VM, which may have failed before saving it.
	saveForOthersAfter = 2 * time.Second
)

// quarantineStoreLoop saves new entries to the store and keeps this VM's copy of the
// stored entries up to date. While there is nothing to save, the VMs that watch the store
// read a stale list once per listInterval.
func (g *Gateway) quarantineStoreLoop(ctx context.Context) {
	kind := g.cfg.Codec.QuarantineKind()
	g.waitForPeers(ctx, kind)
	var listed time.Time
	for ; ctx.Err() == nil; g.quarantines.awaitSave(ctx) {
		_, known := g.replica.CompleteUpTo(kind)
		unsaved := g.entriesToSave(clock.Now())
		if known && len(unsaved) == 0 && (!g.watchesStore() || clock.Since(listed) < listInterval && !g.behindEra(kind)) {
			continue
		}
		g.storeBackoff.wait(ctx, g.maxStoreBackoff())
		err := g.saveQuarantine(ctx, unsaved)
		if err == nil {
			err = g.listQuarantine(ctx, known && len(unsaved) == 0 && g.staleListsUsable(kind))
		}
		g.storeBackoff.recordResult(err)
		if err != nil {
			g.log.V(1).Info("quarantine: store unavailable", "unsaved", len(unsaved), "error", err.Error())
			continue
		}
		listed = clock.Now()
	}
}

// entriesToSave returns the entries that this VM has to save: its own, and, if it watches
// the store, those of others that stay unsaved for too long.
func (g *Gateway) entriesToSave(now time.Time) []quarantine.Entry {
	q := g.quarantines
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.DeleteFunc(q.table.Unstored(), func(e quarantine.Entry) bool {
		_, detected := q.detected[e.Fingerprint]
		return !detected && (!g.watchesStore() || now.Sub(e.Since) < saveForOthersAfter)
	})
}

func (g *Gateway) saveQuarantine(ctx context.Context, entries []quarantine.Entry) error {
	for _, e := range entries {
		if err := g.saveEntry(ctx, e, g.quarantines.detectedAt(e.Fingerprint), false); err != nil {
			return err
		}
	}
	return nil
}

// detectedAt returns the version of the stored entries that this VM knew when it made an
// entry, zero if another VM made it.
func (q *quarantines) detectedAt(f quarantine.Fingerprint) object.Version {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.detected[f]
}

// saveEntry saves an entry, and removes it again if it was released since a version: other
// VMs make and save entries of the same requests, and a save may wait for the store. carried
// is set for an entry that was in the store in an earlier era.
func (g *Gateway) saveEntry(ctx context.Context, e quarantine.Entry, since object.Version, carried bool) error {
	kind := g.cfg.Codec.QuarantineKind()
	raw, err := e.Encode()
	if err != nil {
		return errors.Wrap(err, "quarantine: encode entry")
	}
	if err := g.cfg.Store.Put(ctx, kind, e.Fingerprint.String(), raw); err != nil {
		return errors.Wrap(err, "quarantine: save entry")
	}
	changes, err := g.quarantineChanges(ctx, since)
	if err != nil || !wasReleased(changesOf(changes, e.Fingerprint), e, carried) {
		return err
	}
	g.log.Info("quarantine: released before this VM saved it", "fingerprint", e.Fingerprint.String())
	if err := g.cfg.Store.Delete(ctx, kind, e.Fingerprint.String()); err != nil {
		return errors.Wrap(err, "quarantine: release entry")
	}
	g.removeQuarantined(e.Fingerprint)
	g.broadcastQuarantine(nil, []quarantine.Fingerprint{e.Fingerprint})
	return nil
}

// quarantineChanges returns the changes of the store's entries after a version, or in the
// current era if that is a later one. It returns none if the store does not tell them any more.
func (g *Gateway) quarantineChanges(ctx context.Context, since object.Version) ([]object.Event, error) {
	if start := g.knowledge.lowestOfEra(); start.Era > since.Era {
		since = start
	}
	if since.Revision == 0 {
		return nil, nil
	}
	changes, at, err := g.cfg.Store.Watch(ctx, g.cfg.Codec.QuarantineKind(), since, time.Millisecond)
	g.recordEra(at)
	switch {
	case at.Era > since.Era && len(changes) == 0: // Also after an error, which may be due to the era.
		return g.quarantineChanges(ctx, since)
	case errors.Is(err, ErrHistoryExpired):
		return nil, nil
	case err != nil:
		return nil, errors.Wrap(err, "quarantine: read changes")
	}
	return changes, nil
}

// changesOf returns the changes of the entry of a request.
func changesOf(changes []object.Event, f quarantine.Fingerprint) []object.Event {
	name := f.String()
	var own []object.Event
	for _, c := range changes {
		if c.Name == name {
			own = append(own, c)
		}
	}
	return own
}

// wasReleased reports whether an entry is the one that was removed, given the changes of its
// request: it, or another one of the same term, had been saved before. The removal of an earlier
// entry says nothing of a request that ends workers again.
func wasReleased(changes []object.Event, e quarantine.Entry, saved bool) bool {
	removed := false
	for _, c := range changes {
		if c.Deleted {
			removed = removed || saved
			continue
		}
		other, err := decodeEntry(c.Spec, clock.Now())
		if err != nil || !e.SameTerm(other) {
			return false
		}
		saved = true
	}
	return removed
}

// listQuarantine reads the stored entries. VMs that watch the store delete entries past
// their retention, since the store does not expire them.
func (g *Gateway) listQuarantine(ctx context.Context, stale bool) error {
	kind := g.cfg.Codec.QuarantineKind()
	objects, at, err := g.cfg.Store.List(ctx, kind, stale)
	if err != nil {
		return errors.Wrap(err, "quarantine: list entries")
	}
	g.recordEra(at)
	if stale && g.behindEra(kind) {
		return g.listQuarantine(ctx, false)
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
			return errors.Wrap(err, "quarantine: delete expired entry")
		}
	}
	return nil
}

// compileQuarantine applies the stored entries in the replica. Entries that cannot be
// decoded are skipped.
func (g *Gateway) compileQuarantine() {
	q, kind := g.quarantines, g.cfg.Codec.QuarantineKind()
	q.mu.Lock()
	defer q.mu.Unlock()
	content := g.replica.Generation(kind)
	if _, known := g.replica.CompleteUpTo(kind); !known || content == q.compiled {
		return
	}
	var entries []quarantine.Entry
	objects := g.replica.Objects(kind)
	g.unused.retain(kind, objects)
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
	for f := range q.detected {
		if _, ok := q.table.Get(f); !ok {
			delete(q.detected, f)
		}
	}
	g.cfg.Metrics.Quarantined(q.table.Len())
}

// releaseQuarantined releases a request at all VMs, and reports whether it was known
// here.
func (g *Gateway) releaseQuarantined(ctx context.Context, f quarantine.Fingerprint) (known bool, err error) {
	if _, ok := g.quarantines.table.Get(f); !ok {
		return false, nil
	}
	if err := g.cfg.Store.Delete(ctx, g.cfg.Codec.QuarantineKind(), f.String()); err != nil {
		return true, errors.Wrap(err, "quarantine: release entry")
	}
	g.removeQuarantined(f)
	g.broadcastQuarantine(nil, []quarantine.Fingerprint{f})
	return true, nil
}

// removeQuarantined removes a request from this VM's quarantine.
func (g *Gateway) removeQuarantined(f quarantine.Fingerprint) {
	q := g.quarantines
	g.replica.EndCarried(g.cfg.Codec.QuarantineKind(), f.String())
	q.mu.Lock()
	delete(q.detected, f)
	q.mu.Unlock()
	q.detector.Release(f)
	if q.table.Release(f) {
		g.log.Info("quarantine: request released", "fingerprint", f.String())
	}
	g.cfg.Metrics.Quarantined(q.table.Len())
}
