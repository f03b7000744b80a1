// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package workspace maps API keys to workspaces, and holds each workspace's rate limit and
// the regions in which its requests may run.
//
// A Directory is immutable. It holds digests of the keys, not the keys, so that it can't
// leak them to a log or to an operator.
//
// # Usage
//
//	directory, err := workspace.NewDirectory(workspaces)
//	w, ok := directory.FindByKey(workspace.DigestOf(key))
package workspace

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrInvalid reports an invalid list of workspaces. Its text names the workspace and the
// fault, but no key.
var ErrInvalid = errors.New("workspace: invalid list")

// digestSize is the number of bytes of a SHA-256 that identify a key. Among 2^17 keys, a
// collision has a probability of 2^-95.
const digestSize = 16

// displayedDigestSize is the number of digest bytes in String: enough to distinguish the
// keys of one case, too few to test guessed keys against.
const displayedDigestSize = 3

// Digest identifies an API key. It is comparable, and its String may be displayed.
type Digest [digestSize]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	sum := sha256.Sum256([]byte(key))
	return Digest(sum[:digestSize])
}

// String returns the start of the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:displayedDigestSize]) }

// Config is the configuration of a workspace.
type Config struct {
	Name string
	// Keys are its API keys. Without keys nobody can use the workspace.
	Keys []string
	// Priority is its rank, which takes precedence over that of the route; 0 is served
	// before 1.
	Priority int
	// Rate is the number of its requests that all VMs together may run per second; 0 means
	// no limit. Burst is how many more may run at once.
	Rate, Burst float64
	// Homes are the only regions in which its requests may run; an empty list allows all
	// regions.
	Homes []string
}

// Workspace is an immutable entry of a Directory.
type Workspace struct {
	name     string
	priority int
	limit    Limit
	homes    []string
}

// Name returns the workspace's name, which is also sent to workers. The name of a nil
// workspace is empty.
func (w *Workspace) Name() string {
	if w == nil {
		return ""
	}
	return w.name
}

// Priority returns the rank; 0 is served before 1.
func (w *Workspace) Priority() int { return w.priority }

// Limit returns the rate limit.
func (w *Workspace) Limit() Limit { return w.limit }

// AllowsRegion reports whether the workspace's requests may run in a region.
func (w *Workspace) AllowsRegion(region string) bool {
	return len(w.homes) == 0 || slices.Contains(w.homes, region)
}

// Limit bounds the rate of a workspace's requests at all VMs together.
type Limit struct {
	// Rate is in requests per second; 0 means no limit.
	Rate float64
	// Burst is the number of requests that may exceed the rate after an idle time.
	Burst float64
}

// Unlimited reports whether there is no limit.
func (l Limit) Unlimited() bool { return l.Rate <= 0 }

// Directory finds workspaces by key or name. It is safe for concurrent use.
type Directory struct {
	byKey  map[Digest]*Workspace
	byName map[string]*Workspace
}

// NewDirectory returns a directory of the workspaces. It returns ErrInvalid for an empty or
// duplicate name, a key of two workspaces, an empty key, or a negative number.
func NewDirectory(list []Config) (*Directory, error) {
	d := &Directory{byKey: make(map[Digest]*Workspace), byName: make(map[string]*Workspace, len(list))}
	for _, c := range list {
		if err := c.validate(); err != nil {
			return nil, err
		}
		if _, taken := d.byName[c.Name]; taken {
			return nil, errors.Wrapf(ErrInvalid, "workspace %q is defined more than once", c.Name)
		}
		if err := d.add(c); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (c Config) validate() error {
	switch {
	case c.Name == "":
		return errors.Wrap(ErrInvalid, "workspace without a name")
	case c.Rate < 0, c.Burst < 0, c.Priority < 0:
		return errors.Wrapf(ErrInvalid, "workspace %q: rate, burst and priority must not be negative", c.Name)
	case slices.Contains(c.Keys, ""):
		return errors.Wrapf(ErrInvalid, "workspace %q: empty API key", c.Name)
	}
	return nil
}

func (d *Directory) add(c Config) error {
	w := &Workspace{name: c.Name, priority: c.Priority, limit: Limit{Rate: c.Rate, Burst: c.Burst}, homes: c.Homes}
	d.byName[c.Name] = w
	for _, key := range c.Keys {
		digest := DigestOf(key)
		if other, taken := d.byKey[digest]; taken && other != w {
			return errors.Wrapf(ErrInvalid, "API key %s belongs to both workspace %q and workspace %q", digest, other.name, w.name)
		}
		d.byKey[digest] = w
	}
	return nil
}

// FindByKey returns the workspace that has a key. A nil directory has no workspaces.
func (d *Directory) FindByKey(key Digest) (*Workspace, bool) {
	if d == nil {
		return nil, false
	}
	w, ok := d.byKey[key]
	return w, ok
}

// FindByName returns the workspace with a name. A nil directory has no workspaces.
func (d *Directory) FindByName(name string) (*Workspace, bool) {
	if d == nil {
		return nil, false
	}
	w, ok := d.byName[name]
	return w, ok
}

// HomeShares returns, by region, the fraction of all requests that must run there because of
// home regions, estimated from the rate limits. A workspace with several homes counts for
// each in equal parts. A nil directory returns an empty map.
func (d *Directory) HomeShares() map[string]float64 {
	shares := make(map[string]float64)
	if d == nil {
		return shares
	}
	totalRate := 0.0
	for _, w := range d.byName {
		totalRate += w.limit.Rate
	}
	for _, w := range d.byName {
		for _, home := range w.homes {
			if w.limit.Rate > 0 {
				shares[home] += w.limit.Rate / totalRate / float64(len(w.homes))
			}
		}
	}
	return shares
}

// Priorities returns the different priorities of the workspaces in ascending order.
func (d *Directory) Priorities() []int {
	if d == nil {
		return nil
	}
	priorities := make([]int, 0, len(d.byName))
	for _, w := range d.byName {
		priorities = append(priorities, w.priority)
	}
	slices.Sort(priorities)
	return slices.Compact(priorities)
}

// Len returns the number of workspaces. A nil directory has none.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}
