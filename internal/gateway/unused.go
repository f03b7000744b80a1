// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"slices"
	"strings"
	"sync"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"github.com/ryehill/ryehill/internal/metrics"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/transport/operator"
)

const (
	// unusedLines bounds the log lines on entries that are not used, a second; as many
	// may come at once. Others are counted only.
	unusedLines = 10
	// maxUnusedShown bounds the entries that operators are shown.
	maxUnusedShown = 100
	// maxShownText bounds a name, in bytes, and a reason, as they are shown.
	maxShownText = 253
)

// unused is the store's entries that are not used, since they cannot be read or name
// nothing that can be used: any writer can put such a one there. It is safe for
// concurrent use.
type unused struct {
	log     logr.Logger
	metrics *metrics.Set
	limiter *rate.Limiter

	mu      sync.Mutex
	entries map[unusedKey]unusedEntry
}

type unusedKey struct{ kind, name string }

type unusedEntry struct {
	revision uint64
	reason   string
}

func newUnused(log logr.Logger, m *metrics.Set) *unused {
	return &unused{
		log: log, metrics: m, limiter: rate.NewLimiter(unusedLines, unusedLines), entries: make(map[unusedKey]unusedEntry),
	}
}

// known reports whether a version of an entry is known not to be used.
func (u *unused) known(kind string, o object.Object) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	e, ok := u.entries[unusedKey{kind, o.Name}]
	return ok && e.revision == o.Revision
}

// add notes and logs an entry that is not used, once for each version.
func (u *unused) add(kind string, o object.Object, cause error) {
	if u.known(kind, o) {
		return
	}
	u.note(kind, o, cause)
	if u.limiter.Allow() {
		u.log.Info("store: an entry is not used", "kind", kind, "name", shownText(o.Name), "revision", o.Revision, "reason", shownText(cause.Error()))
	}
}

// note notes a version of an entry that is not used.
func (u *unused) note(kind string, o object.Object, cause error) {
	u.mu.Lock()
	u.entries[unusedKey{kind, o.Name}] = unusedEntry{revision: o.Revision, reason: shownText(cause.Error())}
	u.mu.Unlock()
	u.metrics.Unused(kind, string(object.ReasonOf(cause)))
}

// keep forgets the entries of a kind that are not there any more, or are used.
func (u *unused) keep(kind string, objects []object.Object) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.entries) == 0 {
		return
	}
	there := make(map[string]uint64, len(objects))
	for _, o := range objects {
		there[o.Name] = o.Revision
	}
	for key, e := range u.entries {
		if key.kind == kind && there[key.name] != e.revision {
			delete(u.entries, key)
		}
	}
}

// shown returns the entries for operators, in the order of kinds and names.
func (u *unused) shown() []operator.UnusedEntry {
	u.mu.Lock()
	defer u.mu.Unlock()
	shown := make([]operator.UnusedEntry, 0, len(u.entries))
	for key, e := range u.entries {
		shown = append(shown, operator.UnusedEntry{Kind: key.kind, Name: shownText(key.name), Reason: e.reason})
	}
	slices.SortFunc(shown, func(a, b operator.UnusedEntry) int { return strings.Compare(a.Kind+a.Name, b.Kind+b.Name) })
	return shown[:min(len(shown), maxUnusedShown)]
}

func shownText(text string) string { return text[:min(len(text), maxShownText)] }
