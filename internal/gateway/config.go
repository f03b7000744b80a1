// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/ryehill/ryehill/coordination/ratelimit"
	"github.com/ryehill/ryehill/internal/metrics"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/rollout"
	"github.com/ryehill/ryehill/state/route"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/state/worker"
	"github.com/ryehill/ryehill/transport/ingress"
	"github.com/ryehill/ryehill/transport/upstream"
)

// ErrConfig reports settings that cannot be used; its text names each field.
var ErrConfig = errors.New("gateway: bad settings")

// ErrForgotten is what a Store's Watch returns for a revision whose history is
// gone.
var ErrForgotten = errors.New("gateway: the store has forgotten that history")

// Errors of a Store's calls on single objects.
var (
	// ErrMissing reports an object that is not there.
	ErrMissing = errors.New("gateway: the store has no such object")
	// ErrConflict reports a condition that did not hold; nothing was written.
	ErrConflict = errors.New("gateway: the object has changed")
)

// Store is the platform's store of objects.
type Store interface {
	// List returns all objects of a kind and a revision up to which they are
	// complete. A stale one may be some seconds old and costs less.
	List(ctx context.Context, kind string, stale bool) ([]object.Object, uint64, error)
	// Page returns some objects of a kind, those whose names follow a name, in
	// order of their names. They may be some seconds old, and cost little.
	Page(ctx context.Context, kind, after string) ([]object.Object, error)
	// Watch returns the changes of a kind after a revision as soon as there
	// are any, at the latest after the hold.
	Watch(ctx context.Context, kind string, since uint64, hold time.Duration) ([]object.Event, uint64, error)
	// Put makes or replaces an object.
	Put(ctx context.Context, kind, name string, spec []byte) error
	// Get returns an object, or ErrMissing.
	Get(ctx context.Context, kind, name string) (object.Object, error)
	// Replace writes an object that still has a revision, 0 standing for one
	// that must not be there, and returns the new revision, or ErrConflict.
	// After any other error it is not known whether it was, or will be, done.
	Replace(ctx context.Context, kind, name string, revision uint64, spec []byte) (uint64, error)
	// ReplaceStatus does the same with an object's status, which is the fleet's to write
	// where the object itself is the operators'.
	ReplaceStatus(ctx context.Context, kind, name string, revision uint64, status []byte) (uint64, error)
	// Delete removes an object, if it is there.
	Delete(ctx context.Context, kind, name string) error
}

// Codec reads the store's objects.
type Codec interface {
	ConfigKind() string
	WorkerKind() string
	ClosedKind() string
	MemberKind() string
	// TrafficKind holds the operators' moves and caps, PlanKind their plans.
	TrafficKind() string
	PlanKind() string
	// QuarantineKind holds the requests that end workers.
	QuarantineKind() string
	// RolloutKind holds the orders for new versions of services.
	RolloutKind() string
	Rollout(o object.Object) (rollout.Order, error)
	// EncodeRollout writes the status of an order.
	EncodeRollout(o rollout.Order) ([]byte, error)
	Routes(o object.Object) (route.Config, error)
	// Worker returns a worker and for how long it is still cold.
	Worker(o object.Object) (worker.Worker, time.Duration, error)
	// MemberName names the entry of a VM, such that those of a hall follow each
	// other and come after the name for a VM of the hall without an id.
	MemberName(vm spec.VM) string
	EncodeMember(vm spec.VM) ([]byte, error)
	Members(objects []object.Object) []spec.VM
}

// Dialect is the headers of requests and answers.
type Dialect interface {
	ingress.Dialect
	upstream.Dialect
}

// Bounds are the times and rates that the fleet's operators set.
type Bounds struct {
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// RetryRatio is the part of requests that may be sent again.
	RetryRatio float64
	// MaxTTL bounds for how long the directory's answers hold.
	MaxTTL time.Duration
	// ApplyWithin is within what time a change must be in force that the
	// store has acknowledged: of the routes, or of a worker that leaves.
	ApplyWithin time.Duration
	// RevokeWithin is within what time an API key that was taken away must not
	// be served any more. With StrictRevocation, a VM that has not heard from the
	// store for so long refuses requests that need a key; without, it goes on with
	// what it knows.
	RevokeWithin     time.Duration
	StrictRevocation bool
	// RolloutShare is the part of a service's requests that a new version may get while it
	// is not proved, 0 to 1. 0 is a fleet that knows no orders for new versions: all
	// workers of a service are the same to it.
	RolloutShare float64
	// Quota is what the limits of workspaces are held to.
	Quota ratelimit.Bounds
}

// Config sets up a Gateway. All fields but Seeds and the intervals are
// required.
type Config struct {
	Fleet string
	VM    string
	Hall  string
	// Halls gives the region of each hall.
	Halls map[string]string
	// Ingress is for clients, Ready for the platform's checks, Directory for
	// clients that ask where to go, Peer for other VMs, MetricsAddress for
	// operators: each an IP:port, and two may be the same where the handler
	// is the same.
	Ingress, Ready, Directory, Peer, MetricsAddress string
	// Token is what operators must show to have requests explained. Without
	// one they cannot.
	Token string
	// LinkMbps is the width of this VM's link, in Mbit/s. VMs with wide links
	// tell the others what is new. Default 0, which is unknown.
	LinkMbps int
	// Seeds are addresses of peers to ask while the store is away at the
	// start.
	Seeds []string
	// FirstStart is set if the whole fleet starts for the first time: there is
	// time then, and VMs spare the store calls by asking their peers first.
	FirstStart bool
	Bounds     Bounds

	Store Store
	// StoreCalls is what counts the calls of Store. Default one that nobody tells.
	StoreCalls *StoreCalls
	Codec      Codec
	Dialect    Dialect
	// EntryHandler makes the handler of readiness and directory.
	EntryHandler func(*Gateway) http.Handler
	Log          logr.Logger
	Metrics      *metrics.Set

	// Listen opens the listener for peers, Dial connections to them. Default:
	// TCP.
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, address string) (net.Conn, error)

	// StaleAfter is the age at which a VM calls the store itself, if no peer
	// has confirmed what it believes. Default: Bounds.ApplyWithin less what a
	// call and the way of a request may take.
	StaleAfter time.Duration
	// WatchHold is how long the store holds a watch. Default: half of
	// StaleAfter, so that a watcher's word reaches the others in time.
	WatchHold time.Duration
	// ProbeInterval is the time between two probes. Default 500 ms.
	ProbeInterval time.Duration
}

const (
	// DefaultProbeInterval is the time between two probes of other VMs.
	DefaultProbeInterval = 500 * time.Millisecond
	// DefaultRevokeWithin is within what time a key that was taken away must be refused.
	DefaultRevokeWithin = 5 * time.Second
	// DefaultQuotaWindow is the time over which the limits of workspaces hold.
	DefaultQuotaWindow = 5 * time.Second
	// applyMargin is kept of ApplyWithin for a VM's own call to the store and
	// for the way of the last request that was decided before.
	applyMargin = 800 * time.Millisecond
	// leastStale bounds StaleAfter from below.
	leastStale = 500 * time.Millisecond
	// maxLinkMbps bounds the setting: a terabit a second.
	maxLinkMbps = 1_000_000
)

func (c *Config) setDefaults() {
	if c.Listen == nil {
		c.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	if c.StoreCalls == nil {
		c.StoreCalls = &StoreCalls{}
	}
	if c.Bounds.RevokeWithin <= 0 {
		c.Bounds.RevokeWithin = DefaultRevokeWithin
	}
	if c.Bounds.Quota.Window <= 0 {
		c.Bounds.Quota.Window = DefaultQuotaWindow
	}
	if c.StaleAfter <= 0 {
		c.StaleAfter = max(c.Bounds.ApplyWithin-applyMargin, leastStale)
	}
	if c.WatchHold <= 0 {
		c.WatchHold = c.StaleAfter / 2
	}
	if c.ProbeInterval <= 0 {
		c.ProbeInterval = DefaultProbeInterval
	}
}

// Check returns ErrConfig with all faults of the settings, or nil.
func (c *Config) Check() error {
	var faults []string
	add := func(field, want string) { faults = append(faults, field+": "+want) }
	for field, value := range map[string]string{"fleet": c.Fleet, "vm": c.VM, "hall": c.Hall} {
		if !spec.ValidName(value) {
			add(field, "want a name of letters, digits and dashes, not \""+value+"\"")
		}
	}
	if _, ok := c.Halls[c.Hall]; !ok {
		add("halls", "hall \""+c.Hall+"\" has no region")
	}
	for field, value := range map[string]string{
		"ingress": c.Ingress, "ready": c.Ready, "directory": c.Directory, "peer": c.Peer, "metrics": c.MetricsAddress,
	} {
		if _, err := netip.ParseAddrPort(value); err != nil {
			add(field, "want IP:port, not \""+value+"\"")
		}
	}
	for _, seed := range c.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			add("seeds", "want IP:port, not \""+seed+"\"")
		}
	}
	if c.LinkMbps < 0 || c.LinkMbps > maxLinkMbps {
		add("link", "want 0 to "+strconv.Itoa(maxLinkMbps)+" Mbit/s")
	}
	c.Bounds.check(add)
	if len(faults) > 0 {
		return errors.Wrap(ErrConfig, strings.Join(faults, "; "))
	}
	return nil
}

// check calls add for each fault of the bounds.
func (b *Bounds) check(add func(field, want string)) {
	for field, value := range map[string]time.Duration{"grace": b.Grace, "apply-within": b.ApplyWithin, "max-ttl": b.MaxTTL} {
		if value <= 0 {
			add(field, "want a time above 0")
		}
	}
	if b.RetryRatio < 0 || b.RetryRatio > 1 {
		add("retry-ratio", "want 0 to 1")
	}
	if b.RolloutShare < 0 || b.RolloutShare > 1 {
		add("rollout-share", "want 0 to 1")
	}
	if b.RevokeWithin < 0 {
		add("revoke-within", "want a time above 0")
	}
	if q := b.Quota; q.Window < 0 || q.Overage < 0 || q.Slack < 0 {
		add("quota", "want a window above 0, and no overage or slack below 0")
	}
}
