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

// ErrConfig reports invalid settings; its text names each field.
var ErrConfig = errors.New("gateway: invalid settings")

// ErrHistoryExpired is returned by Store.Watch for a revision whose history the store no
// longer has.
var ErrHistoryExpired = errors.New("gateway: the store has forgotten that history")

// Errors of a Store's calls on single objects.
var (
	// ErrNotFound reports an object that does not exist.
	ErrNotFound = errors.New("gateway: object not found")
	// ErrConflict reports that the object's revision did not match; nothing was
	// written.
	ErrConflict = errors.New("gateway: object revision does not match")
)

// Store is the platform's object store.
type Store interface {
	// List returns all objects of a kind and a version up to which they are complete.
	// A stale list may be some seconds old and costs less.
	List(ctx context.Context, kind string, stale bool) ([]object.Object, object.Version, error)
	// Page returns some objects of a kind, sorted by name, starting after the given
	// name. They may be some seconds old; the call is cheap.
	Page(ctx context.Context, kind, after string) ([]object.Object, error)
	// Watch returns the changes of a kind after a version as soon as there are any,
	// and at the latest after hold. It returns ErrHistoryExpired if the history since the
	// revision is no longer available. If the returned version is of another era, the
	// changes do not continue from since.
	Watch(ctx context.Context, kind string, since object.Version, hold time.Duration) ([]object.Event, object.Version, error)
	// Put creates or replaces an object.
	Put(ctx context.Context, kind, name string, spec []byte) error
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (object.Object, error)
	// Replace writes an object if it still has the given revision, where 0 means that
	// it must not exist, and returns the new version, or ErrConflict. After any other
	// error the write may or may not take effect. The store does not compare eras: if
	// the returned version is of another era, another object was replaced.
	Replace(ctx context.Context, kind, name string, condition object.Version, spec []byte) (object.Version, error)
	// ReplaceStatus does the same with an object's status, which the fleet writes
	// where the object itself belongs to the operators.
	ReplaceStatus(ctx context.Context, kind, name string, condition object.Version, status []byte) (object.Version, error)
	// Delete removes an object if it exists.
	Delete(ctx context.Context, kind, name string) error
}

// Codec decodes the store's objects.
type Codec interface {
	ConfigKind() string
	WorkerKind() string
	ClosedKind() string
	MemberKind() string
	// TrafficKind holds the operators' moves and caps, PlanKind their plans.
	TrafficKind() string
	PlanKind() string
	// QuarantineKind holds the quarantined requests, which crash workers.
	QuarantineKind() string
	// RolloutKind holds the orders for new versions of services.
	RolloutKind() string
	Rollout(o object.Object) (rollout.Order, error)
	// EncodeRollout encodes the status of an order.
	EncodeRollout(o rollout.Order) ([]byte, error)
	Routes(o object.Object) (route.Config, error)
	// Worker returns a worker and how long it stays cold.
	Worker(o object.Object) (worker.Worker, time.Duration, error)
	// Newer reports whether one state of an object was written after another, as far as
	// their contents tell.
	Newer(kind string, a, b object.Object) bool
	// MemberName names the entry of a VM, such that those of a hall follow each
	// other and come after the name for a VM of the hall without an id.
	MemberName(vm spec.VM) string
	EncodeMember(vm spec.VM) ([]byte, error)
	Members(objects []object.Object) []spec.VM
}

// Dialect defines the headers of requests and responses.
type Dialect interface {
	ingress.Dialect
	upstream.Dialect
}

// Bounds are the time limits and ratios that the fleet's operators set.
type Bounds struct {
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// RetryRatio is the fraction of requests that may be retried.
	RetryRatio float64
	// MaxTTL bounds the TTL of the directory's answers.
	MaxTTL time.Duration
	// ApplyWithin is the time within which a change that the store has acknowledged
	// must take effect, such as a change of the routes or a worker that leaves.
	ApplyWithin time.Duration
	// RevokeWithin is the time after which a revoked API key must no longer be
	// accepted. With StrictRevocation, a VM whose state the store has not confirmed for that
	// long refuses requests that need a key; without it, the VM continues with its
	// last known state.
	RevokeWithin     time.Duration
	StrictRevocation bool
	// RolloutShare is the maximum fraction, 0 to 1, of a service's requests that go to
	// a new version before it is proven. 0 disables rollouts: all workers of a service
	// are treated alike.
	RolloutShare float64
	// Quota bounds the accuracy of the workspaces' limits.
	Quota ratelimit.Bounds
}

// Pipeline bounds what clients get that send requests before earlier ones are answered. A
// field that is 0 has the default of package pipeline.
type Pipeline struct {
	// MaxDepth bounds the requests of a connection that run at a time. With 1, they run one
	// after the other.
	MaxDepth int
	// MaxBehind bounds the requests of all connections that run behind another one.
	MaxBehind int
	// MaxHeld and MaxHeldTotal bound the bytes of responses that wait for their turn, of
	// one connection and of all.
	MaxHeld, MaxHeldTotal int
	// MaxCollectedTotal bounds the bytes of all responses that are kept until they are whole,
	// since requests behind them have begun.
	MaxCollectedTotal int
	// ReadAhead bounds the bytes that are read of a connection beyond the next request.
	ReadAhead int
	// StallTimeout is the time after which a connection is closed whose client accepts no
	// bytes of a response.
	StallTimeout time.Duration
}

// Config holds the settings of a Gateway. All fields but Seeds and the intervals are
// required.
type Config struct {
	Fleet string
	VM    string
	Hall  string
	// Halls maps each hall to its region.
	Halls map[string]string
	// Ingress is for clients, Ready for the platform's health checks, Directory for
	// clients that look up entry addresses, Peer for other VMs and MetricsAddress for
	// operators. Each is an IP:port; two may be equal where the handler is the same.
	Ingress, Ready, Directory, Peer, MetricsAddress string
	// Token authenticates operators that request explanations of requests. If it is
	// empty, explanations are unavailable.
	Token string
	// LinkMbps is the bandwidth of this VM's link, in Mbit/s. VMs with high bandwidth
	// distribute changes to the others. Default 0, which means unknown.
	LinkMbps int
	// AdmissionByRank lets requests compete for the room of full workers by the priorities of
	// their workspaces and routes. Otherwise the room goes to who comes first.
	AdmissionByRank bool
	// Descriptors is how many files and sockets this VM may have open. It bounds the
	// connections of clients and those to workers. Default 0, which means unknown.
	Descriptors int
	// Seeds are addresses of peers that serve state if the store is unavailable at the start.
	Seeds []string
	// FirstStart is set if the whole fleet starts for the first time. VMs then request
	// state from the seeds first, which saves calls to the store.
	FirstStart bool
	Bounds     Bounds
	Pipeline   Pipeline

	Store Store
	// StoreCalls counts the calls to Store. Default: a counter that stays empty.
	StoreCalls *StoreCalls
	Codec      Codec
	Dialect    Dialect
	// EntryHandler returns the handler of readiness and directory.
	EntryHandler func(*Gateway) http.Handler
	Log          logr.Logger
	Metrics      *metrics.Set

	// Listen opens the listener for peers, and Dial connections to them. Default: TCP.
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, address string) (net.Conn, error)
	// WorkerDial opens connections to workers. Default: TCP.
	WorkerDial func(ctx context.Context, address string) (net.Conn, error)

	// StaleAfter is the age at which a VM calls the store itself if no peer has
	// confirmed its replica. Default: Bounds.ApplyWithin minus the time for a call and
	// for the path of a request.
	StaleAfter time.Duration
	// WatchHold is how long the store holds a watch. Default: half of StaleAfter, so
	// that the updates of a watching VM reach the others in time.
	WatchHold time.Duration
	// ProbeInterval is the time between two probes. Default: 500 ms.
	ProbeInterval time.Duration
}

const (
	// DefaultProbeInterval is the time between two probes of other VMs.
	DefaultProbeInterval = 500 * time.Millisecond
	// DefaultRevokeWithin is the default of Bounds.RevokeWithin.
	DefaultRevokeWithin = 5 * time.Second
	// DefaultQuotaWindow is the default window of the workspaces' limits.
	DefaultQuotaWindow = 5 * time.Second
	// applyMargin is the part of ApplyWithin reserved for a VM's own call to the store
	// and for the path of the last request that was placed before.
	applyMargin = 800 * time.Millisecond
	// minStaleAfter is the lower bound of the default of StaleAfter.
	minStaleAfter = 500 * time.Millisecond
	// maxLinkMbps bounds LinkMbps, at 1 Tbit/s.
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
		c.StaleAfter = max(c.Bounds.ApplyWithin-applyMargin, minStaleAfter)
	}
	if c.WatchHold <= 0 {
		c.WatchHold = c.StaleAfter / 2
	}
	if c.ProbeInterval <= 0 {
		c.ProbeInterval = DefaultProbeInterval
	}
}

// Validate returns ErrConfig with all violations of the settings, or nil.
func (c *Config) Validate() error {
	var problems []string
	add := func(field, want string) { problems = append(problems, field+": "+want) }
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
	if c.Descriptors < 0 {
		add("descriptors", "want 0 or more")
	}
	c.Bounds.check(add)
	c.Pipeline.check(add)
	if len(problems) > 0 {
		return errors.Wrap(ErrConfig, strings.Join(problems, "; "))
	}
	return nil
}

// check calls add for each violation.
func (p *Pipeline) check(add func(field, want string)) {
	for field, value := range map[string]int{
		"pipeline-depth": p.MaxDepth, "pipeline-behind": p.MaxBehind, "pipeline-held": p.MaxHeld,
		"pipeline-held-total": p.MaxHeldTotal, "pipeline-collected-total": p.MaxCollectedTotal, "pipeline-read-ahead": p.ReadAhead,
	} {
		if value < 0 {
			add(field, "want 0 or more")
		}
	}
	if p.StallTimeout < 0 {
		add("pipeline-stall", "want 0 or more")
	}
}

// check calls add for each violation of the bounds.
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
