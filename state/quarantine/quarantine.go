// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package quarantine holds requests that must not be sent to workers because they
// crash every worker that runs them.
//
// A request is recognized by its Fingerprint: method, host, target, credential and
// body. A different body, or the same request of another caller, counts as a different
// request. An Entry names workers that the request crashed and the time until which it
// is quarantined. After that, a single further crash quarantines it again, for longer.
//
// # Usage
//
//	table := quarantine.NewTable()
//	table.Merge(entry)
//	if entry, held := table.Find(target, fingerprint, time.Now()); held { /* do not send it */ }
package quarantine

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// ErrEntry reports a malformed entry.
var ErrEntry = errors.New("quarantine: malformed entry")

const (
	// initialTerm is how long a request is quarantined the first time. Each further
	// time the term is multiplied by termGrowth, up to maxTerm: a fixed worker may be
	// deployed by then, and every new attempt costs a worker.
	initialTerm = 10 * time.Minute
	termGrowth  = 6
	maxTerm     = 24 * time.Hour
	// sameTermWithin is the time between two entries of a request from which on they are of
	// different terms.
	sameTermWithin = 2 * time.Second
	// retention is how long an entry is kept after its term has ended.
	retention = 24 * time.Hour
	// maxWorkers bounds the workers listed in an entry, and maxText the length of each
	// of its texts in bytes.
	maxWorkers = 8
	maxText    = 256
)

// Entry is a quarantined request. Its methods do not modify it.
type Entry struct {
	Fingerprint Fingerprint
	// TargetHash is the HashTarget of the request, checked before the fingerprint is
	// computed.
	TargetHash uint64
	// Subject describes the request to operators: method, host and path.
	Subject string
	Service string
	// Workers lists some of the workers that crashed.
	Workers []string
	Since   time.Time
	Until   time.Time
	// Times counts how often the request was quarantined, including this time.
	Times int
}

// HashTarget returns a hash of the host and the request target.
func HashTarget(host, target string) uint64 { return xxhash.Sum64String(host + "\x00" + target) }

// Renewed returns the entry with its next term, starting now. For an entry that was
// never quarantined this is the first term.
func (e Entry) Renewed(now time.Time) Entry {
	e.Times++
	term := initialTerm
	for range e.Times - 1 {
		term = min(term*termGrowth, maxTerm)
	}
	e.Since, e.Until = now.Truncate(time.Millisecond), now.Add(term).Truncate(time.Millisecond)
	e.Workers = slices.Clone(e.Workers[max(0, len(e.Workers)-maxWorkers):])
	e.Subject, e.Service = truncate(e.Subject), truncate(e.Service)
	return e
}

func truncate(text string) string { return text[:min(len(text), maxText)] }

// Active reports whether the request is quarantined now.
func (e Entry) Active(now time.Time) bool { return now.Before(e.Until) }

// PastRetention reports whether the entry can be deleted.
func (e Entry) PastRetention(now time.Time) bool { return now.After(e.Until.Add(retention)) }

// SameTerm reports whether two entries of a request are of the same term. Several VMs may find
// a request at the same time, and each makes an entry.
func (e Entry) SameTerm(other Entry) bool { return e.Since.Sub(other.Since).Abs() < sameTermWithin }

// supersedes reports whether the entry is of a later term of the same request than other.
func (e Entry) supersedes(other Entry) bool {
	return e.Times > other.Times || e.Times == other.Times && !e.SameTerm(other) && e.Until.After(other.Until)
}

// entryJSON is the stored and transmitted form of an Entry.
type entryJSON struct {
	Fingerprint string   `json:"fingerprint"`
	Target      uint64   `json:"target"`
	Subject     string   `json:"subject"`
	Service     string   `json:"service"`
	Workers     []string `json:"workers"`
	SinceMillis int64    `json:"sinceMs"`
	UntilMillis int64    `json:"untilMs"`
	Times       int      `json:"times"`
}

// MarshalJSON implements json.Marshaler.
func (e Entry) MarshalJSON() ([]byte, error) { return e.Encode() }

// UnmarshalJSON implements json.Unmarshaler. It returns ErrEntry for malformed input.
func (e *Entry) UnmarshalJSON(raw []byte) error {
	var err error
	*e, err = Decode(raw)
	return err
}

// Encode returns the entry as JSON.
func (e Entry) Encode() ([]byte, error) {
	return json.Marshal(entryJSON{
		Fingerprint: e.Fingerprint.String(), Target: e.TargetHash, Subject: e.Subject, Service: e.Service, Workers: e.Workers,
		SinceMillis: e.Since.UnixMilli(), UntilMillis: e.Until.UnixMilli(), Times: e.Times,
	})
}

// Decode reads the output of Encode. It returns ErrEntry for anything else.
func Decode(raw []byte) (Entry, error) {
	var decoded entryJSON
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return Entry{}, errors.Mark(errors.Wrap(err, "quarantine: entry"), ErrEntry)
	}
	f, err := ParseFingerprint(decoded.Fingerprint)
	if err != nil {
		return Entry{}, errors.Mark(err, ErrEntry)
	}
	since, until := time.UnixMilli(decoded.SinceMillis), time.UnixMilli(decoded.UntilMillis)
	switch {
	case decoded.Times < 1, until.Before(since), until.Sub(since) > maxTerm:
		return Entry{}, errors.Wrapf(ErrEntry, "quarantined %d times, from %d to %d", decoded.Times, decoded.SinceMillis, decoded.UntilMillis)
	case len(decoded.Subject) > maxText, len(decoded.Service) > maxText, len(decoded.Workers) > maxWorkers:
		return Entry{}, errors.Wrap(ErrEntry, "too long")
	}
	return Entry{
		Fingerprint: f, TargetHash: decoded.Target, Subject: decoded.Subject, Service: decoded.Service, Workers: decoded.Workers,
		Since: since, Until: until, Times: decoded.Times,
	}, nil
}
