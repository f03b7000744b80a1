// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package workspace holds who the clients' requests belong to: which API key is
// whose, how much each workspace may ask for, and where its requests may run.
//
// A Directory is made once from a configuration and never changed. It holds no
// keys but their digests, so that none can end up in a log, a dump of memory
// aside from the configuration itself, or an answer to an operator.
//
// # Usage
//
//	directory, err := workspace.NewDirectory(workspaces)
//	w, ok := directory.Find(workspace.DigestOf(key))
package workspace

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrInvalid reports a list of workspaces that cannot be taken; its text names the
// workspace and the fault, but no key.
var ErrInvalid = errors.New("workspace: invalid list")

// digestSize is how many bytes of a SHA-256 tell keys apart: with 2^17 keys, two
// have the same with a chance of 2^-95.
const digestSize = 16

// shownDigest is how many bytes of a digest are shown to engineers: enough to tell
// the keys of one question apart, too few to try keys against.
const shownDigest = 3

// Digest stands for an API key. It is comparable, and safe to show as String does.
type Digest [digestSize]byte

// DigestOf returns the digest of a key. It takes 0.1 us for a key of 20 bytes.
func DigestOf(key string) Digest {
	sum := sha256.Sum256([]byte(key))
	return Digest(sum[:digestSize])
}

// String returns the start of the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:shownDigest]) }

// Config is a workspace as a configuration gives it.
type Config struct {
	Name string
	// Keys are its API keys; none is a workspace that nobody can use now.
	Keys []string
	// Priority is its rank, which goes before that of the route: 0 goes before 1.
	Priority int
	// Rate is how many requests it may have run a second, at all VMs together; 0
	// is no limit. Burst is how many more it may have run at once.
	Rate, Burst float64
	// Homes are the only regions in which its requests may run; none is all.
	Homes []string
}

// Workspace is a workspace of a Directory. It is never changed.
type Workspace struct {
	name     string
	priority int
	limit    Limit
	homes    []string
}

// Name returns its name, which workers are told. That of nil is "".
func (w *Workspace) Name() string {
	if w == nil {
		return ""
	}
	return w.name
}

// Priority returns its rank; 0 goes before 1.
func (w *Workspace) Priority() int { return w.priority }

// Limit returns how much it may ask for.
func (w *Workspace) Limit() Limit { return w.limit }

// AllowsRegion reports whether its requests may run in a region.
func (w *Workspace) AllowsRegion(region string) bool {
	return len(w.homes) == 0 || slices.Contains(w.homes, region)
}

// Limit bounds the requests of a workspace that all VMs together let run.
type Limit struct {
	// Rate is in requests a second; 0 is no limit.
	Rate float64
	// Burst is how many requests may run beyond the rate after a quiet time.
	Burst float64
}

// None reports whether there is no limit.
func (l Limit) None() bool { return l.Rate <= 0 }

// Directory finds workspaces by their keys. It is safe for concurrent use.
type Directory struct {
	byKey  map[Digest]*Workspace
	byName map[string]*Workspace
}

// NewDirectory makes a directory, or returns ErrInvalid: for a workspace without a
// name or with that of another, a key of two workspaces, an empty key, or a number
// below 0.
func NewDirectory(list []Config) (*Directory, error) {
	d := &Directory{byKey: make(map[Digest]*Workspace), byName: make(map[string]*Workspace, len(list))}
	for _, c := range list {
		if err := c.check(); err != nil {
			return nil, err
		}
		if _, taken := d.byName[c.Name]; taken {
			return nil, errors.Wrapf(ErrInvalid, "two workspaces %q", c.Name)
		}
		if err := d.add(c); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (c Config) check() error {
	switch {
	case c.Name == "":
		return errors.Wrap(ErrInvalid, "a workspace without a name")
	case c.Rate < 0, c.Burst < 0, c.Priority < 0:
		return errors.Wrapf(ErrInvalid, "workspace %q: a number below 0", c.Name)
	case slices.Contains(c.Keys, ""):
		return errors.Wrapf(ErrInvalid, "workspace %q: an empty key", c.Name)
	}
	return nil
}

func (d *Directory) add(c Config) error {
	w := &Workspace{name: c.Name, priority: c.Priority, limit: Limit{Rate: c.Rate, Burst: c.Burst}, homes: c.Homes}
	d.byName[c.Name] = w
	for _, key := range c.Keys {
		digest := DigestOf(key)
		if other, taken := d.byKey[digest]; taken && other != w {
			return errors.Wrapf(ErrInvalid, "key %s is of workspace %q and of %q", digest, other.name, w.name)
		}
		d.byKey[digest] = w
	}
	return nil
}

// Find returns the workspace that holds a key. A nil directory has none.
func (d *Directory) Find(key Digest) (*Workspace, bool) {
	if d == nil {
		return nil, false
	}
	w, ok := d.byKey[key]
	return w, ok
}

// Named returns the workspace with a name. A nil directory has none.
func (d *Directory) Named(name string) (*Workspace, bool) {
	if d == nil {
		return nil, false
	}
	w, ok := d.byName[name]
	return w, ok
}

// Bound returns the part of all requests, from 0 to 1, that homes are expected to bind
// to each region, those of workspaces with several homes in equal parts: limits stand for
// what workspaces ask for. A nil directory binds none.
func (d *Directory) Bound() map[string]float64 {
	bound := make(map[string]float64)
	if d == nil {
		return bound
	}
	all := 0.0
	for _, w := range d.byName {
		all += w.limit.Rate
	}
	for _, w := range d.byName {
		for _, home := range w.homes {
			if w.limit.Rate > 0 {
				bound[home] += w.limit.Rate / all / float64(len(w.homes))
			}
		}
	}
	return bound
}

// Len returns how many workspaces there are. A nil directory has none.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}
