// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package quarantine holds the requests that workers must not get, since they end the
// process of each worker that begins to run them.
//
// A request is known again by its Fingerprint: method, host, target, credential and
// body. Another body to the same path, or another caller's request, is another one.
// An Entry says under which workers' ends a request was found and until when it is
// held. After that one more end is enough for it to be held again, for longer.
//
// # Usage
//
//	table := quarantine.NewTable()
//	table.Hear(entry)
//	if entry, held := table.Find(target, fingerprint, time.Now()); held { /* do not send it */ }
package quarantine

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// ErrEntry reports an entry that cannot be read.
var ErrEntry = errors.New("quarantine: malformed entry")

const (
	// firstTerm is for how long a request is held at first. Each further time it is
	// held termGrowth times as long, up to longestTerm: a worker that bears it may be
	// there by then, and each time costs one worker.
	firstTerm   = 10 * time.Minute
	termGrowth  = 6
	longestTerm = 24 * time.Hour
	// remembered is for how long after its term a request is remembered.
	remembered = 24 * time.Hour
	// maxWorkers bounds the workers that an entry names, and maxText the length in
	// bytes of each of its texts.
	maxWorkers = 8
	maxText    = 256
)

// Entry is a request that workers must not get. Its methods do not change it.
type Entry struct {
	Fingerprint Fingerprint
	// Target is TargetOf the request. Most requests are told apart by it alone.
	Target uint64
	// Subject is the request as shown to operators: method, host and path.
	Subject string
	Service string
	// Workers are some of those that ended under it.
	Workers []string
	Since   time.Time
	Until   time.Time
	// Times is how often it was held, this time included.
	Times int
}

// TargetOf returns a hash of where a request is sent.
func TargetOf(host, target string) uint64 { return xxhash.Sum64String(host + "\x00" + target) }

// Renewed returns the entry as it is if the request has ended another worker, or, for
// an entry that was never held, as it is the first time.
func (e Entry) Renewed(now time.Time) Entry {
	e.Times++
	term := firstTerm
	for range e.Times - 1 {
		term = min(term*termGrowth, longestTerm)
	}
	e.Since, e.Until = now.Truncate(time.Millisecond), now.Add(term).Truncate(time.Millisecond)
	e.Workers = slices.Clone(e.Workers[max(0, len(e.Workers)-maxWorkers):])
	e.Subject, e.Service = cut(e.Subject), cut(e.Service)
	return e
}

func cut(text string) string { return text[:min(len(text), maxText)] }

// Holds reports whether workers must not get the request now.
func (e Entry) Holds(now time.Time) bool { return now.Before(e.Until) }

// Forgotten reports whether the entry is of no more use.
func (e Entry) Forgotten(now time.Time) bool { return now.After(e.Until.Add(remembered)) }

// newer reports whether the entry was made later than another one of the request.
func (e Entry) newer(than Entry) bool {
	return e.Times > than.Times || e.Times == than.Times && e.Until.After(than.Until)
}

// kept is the form in which an entry is kept and sent.
type kept struct {
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

// UnmarshalJSON implements json.Unmarshaler. It returns ErrEntry for what is no entry.
func (e *Entry) UnmarshalJSON(raw []byte) error {
	var err error
	*e, err = Decode(raw)
	return err
}

// Encode returns the entry as JSON.
func (e Entry) Encode() ([]byte, error) {
	return json.Marshal(kept{
		Fingerprint: e.Fingerprint.String(), Target: e.Target, Subject: e.Subject, Service: e.Service, Workers: e.Workers,
		SinceMillis: e.Since.UnixMilli(), UntilMillis: e.Until.UnixMilli(), Times: e.Times,
	})
}

// Decode reads what Encode returns. It returns ErrEntry for anything else.
func Decode(raw []byte) (Entry, error) {
	var k kept
	if err := json.Unmarshal(raw, &k); err != nil {
		return Entry{}, errors.Mark(errors.Wrap(err, "quarantine: entry"), ErrEntry)
	}
	f, err := ParseFingerprint(k.Fingerprint)
	if err != nil {
		return Entry{}, errors.Mark(err, ErrEntry)
	}
	since, until := time.UnixMilli(k.SinceMillis), time.UnixMilli(k.UntilMillis)
	switch {
	case k.Times < 1, until.Before(since), until.Sub(since) > longestTerm:
		return Entry{}, errors.Wrapf(ErrEntry, "held %d times, from %d to %d", k.Times, k.SinceMillis, k.UntilMillis)
	case len(k.Subject) > maxText, len(k.Service) > maxText, len(k.Workers) > maxWorkers:
		return Entry{}, errors.Wrap(ErrEntry, "too long")
	}
	return Entry{
		Fingerprint: f, Target: k.Target, Subject: k.Subject, Service: k.Service, Workers: k.Workers,
		Since: since, Until: until, Times: k.Times,
	}, nil
}
