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
	// unusedLogRate bounds the log lines on unused entries, per second and as a burst.
	// Entries over the limit are only counted.
	unusedLogRate = 10
	// maxUnusedShown bounds the entries shown to operators.
	maxUnusedShown = 100
	// maxDisplayBytes bounds names and reasons as shown, in bytes.
	maxDisplayBytes = 253
)

// unused holds stored entries that are not used because they are malformed or refer to
// nothing usable; any writer to the store can create such an entry. It is safe for
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
	version object.Version
	reason  string
}

func newUnused(log logr.Logger, m *metrics.Set) *unused {
	return &unused{
		log: log, metrics: m, limiter: rate.NewLimiter(unusedLogRate, unusedLogRate), entries: make(map[unusedKey]unusedEntry),
	}
}

// known reports whether a version of an entry is recorded as unused.
func (u *unused) known(kind string, o object.Object) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	e, ok := u.entries[unusedKey{kind, o.Name}]
	return ok && e.version == o.Version
}

// add records and logs an unused entry, once per version.
func (u *unused) add(kind string, o object.Object, cause error) {
	if u.known(kind, o) {
		return
	}
	u.record(kind, o, cause)
	if u.limiter.Allow() {
		u.log.Info("store: entry not used", "kind", kind, "name", truncateText(o.Name), "revision", o.Version.Revision, "reason", truncateText(cause.Error()))
	}
}

// record records a version of an unused entry.
func (u *unused) record(kind string, o object.Object, cause error) {
	u.mu.Lock()
	u.entries[unusedKey{kind, o.Name}] = unusedEntry{version: o.Version, reason: truncateText(cause.Error())}
	u.mu.Unlock()
	u.metrics.Unused(kind, string(object.ReasonOf(cause)))
}

// retain drops the recorded entries of a kind whose version is not among the given
// objects.
func (u *unused) retain(kind string, objects []object.Object) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.entries) == 0 {
		return
	}
	present := make(map[string]object.Version, len(objects))
	for _, o := range objects {
		present[o.Name] = o.Version
	}
	for key, e := range u.entries {
		if key.kind == kind && present[key.name] != e.version {
			delete(u.entries, key)
		}
	}
}

// list returns the entries for operators, sorted by kind and name.
func (u *unused) list() []operator.UnusedEntry {
	u.mu.Lock()
	defer u.mu.Unlock()
	listed := make([]operator.UnusedEntry, 0, len(u.entries))
	for key, e := range u.entries {
		listed = append(listed, operator.UnusedEntry{Kind: key.kind, Name: truncateText(key.name), Reason: e.reason})
	}
	slices.SortFunc(listed, func(a, b operator.UnusedEntry) int { return strings.Compare(a.Kind+a.Name, b.Kind+b.Name) })
	return listed[:min(len(listed), maxUnusedShown)]
}

func truncateText(text string) string { return text[:min(len(text), maxDisplayBytes)] }
