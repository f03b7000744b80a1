// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package gateway assembles one entry VM, which serves clients by host and path. It
// combines a replica of the store's objects, the membership of VMs, the placement of
// requests on workers, the ingress and the directory.
//
// # Usage
//
//	g, err := gateway.New(cfg)
//	err = g.Run(ctx)
package gateway

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/looplab/fsm"

	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/coordination/outlier"
	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/coordination/retry"
	"github.com/ryehill/ryehill/coordination/steer"
	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/state/load"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/share"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/state/worker"
	"github.com/ryehill/ryehill/transport/ingress"
	"github.com/ryehill/ryehill/transport/peer"
	"github.com/ryehill/ryehill/transport/pipeline"
	"github.com/ryehill/ryehill/transport/upstream"
)

// Phases of the lifecycle of a Gateway.
const (
	phaseStarting = "starting"
	phaseServing  = "serving"
	phaseLeaving  = "leaving"
	phaseStopped  = "stopped"
)

const (
	// workerDialTimeout bounds the opening of a connection to a worker. Two round
	// trips between regions take up to half of it.
	workerDialTimeout = 400 * time.Millisecond
	// workerAckTimeout is how long a worker's machine may acknowledge nothing of what was
	// sent before the connection is closed. It tolerates two lost packets on the longest
	// path.
	workerAckTimeout = 900 * time.Millisecond
	// workerIdleTimeout is how long an unused connection to a worker stays open.
	workerIdleTimeout = 8 * time.Second
	// nonIdempotentIdleTimeout is how long an idle connection may be reused for a
	// request that must not run twice.
	nonIdempotentIdleTimeout = 2 * time.Second
	// retryRatioFraction is the fraction of the allowed retry ratio that is used,
	// because a VM cannot distinguish requests that other VMs count from those in
	// flight to it.
	retryRatioFraction = 0.7
	// retryBurst is how many retries one VM may spend beyond the ratio. It is small
	// enough that all VMs of the largest fleet together stay within the operators'
	// fixed allowance.
	retryBurst = 2
)

// Gateway is one entry VM. It is safe for concurrent use.
type Gateway struct {
	cfg  Config
	log  logr.Logger
	self peer.Identity
	// started is when the Gateway was created.
	started   time.Time
	lifecycle *fsm.FSM

	replica   *object.Replica
	members   *membership.Table
	loads     *worker.Loads
	loadsMark loadsMark
	meters    *load.HallMeters
	upstreams *upstream.Client
	isolation *isolation
	cold      *placement.ColdLimiter
	// connections counts what the connections of upstreams show.
	connections *connections
	peers       *peer.Manager
	ingress     *ingress.Handler
	decisions   *ingress.Decisions
	snapshot    atomic.Pointer[placement.Snapshot]
	compiler    compiler

	listeners       []net.Listener
	servers         []*http.Server
	clientServer    *pipeline.Server
	peerListener    net.Listener
	pullMu          sync.Mutex
	outage          storeOutage
	outlierDetector *outlier.Detector
	watchers        *watchers
	neighbors       *neighbors
	knowledge       *knowledge
	largeReplies    *largeReplies
	deltaCache      *deltaCache
	relayed         *relayed
	storeBackoff    *storeBackoff
	quotas          *quotas
	permits         *permits
	rollouts        *rollouts
	// unused tracks the store's entries that cannot be used.
	unused *unused
	// restored tracks what this VM writes again after the store has returned from a copy.
	restored restored
	// startup delays serving until peers had the time to send their state.
	startup startup
	// opening decides when clients' connections are taken up, openOnce does it once.
	opening  *opening
	openOnce sync.Once
	// quarantines tracks the requests that crash workers.
	quarantines *quarantines
	// keyFetches limits the fetches for unknown API keys.
	keyFetches *keyFetches
	// compiledConfig is the generation of the configuration in the snapshot.
	compiledConfig atomic.Uint64
	placer         *placement.Placer
	balancer       *balancer
	serveErrors    chan error
}

// New validates the settings and opens the listeners, except the one for clients.
func New(cfg Config) (*Gateway, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	cfg.setDefaults()
	start := clock.Now()
	g := &Gateway{
		cfg: cfg, log: cfg.Log, started: start,
		self:      peer.Identity{Fleet: cfg.Fleet, Hall: cfg.Hall, VM: cfg.VM, Start: uint64(start.UnixMicro())},
		decisions: ingress.NewDecisions(), loads: worker.NewLoads(clock.Now),
		compiler: newCompiler(),
		meters:   load.NewHallMeters(clock.Now), outlierDetector: outlier.New(outlier.Config{Now: clock.Now}),
		serveErrors: make(chan error, 1), watchers: newWatchers(), knowledge: newKnowledge(), largeReplies: newLargeReplies(),
		neighbors: newNeighbors(), deltaCache: newDeltaCache(), relayed: newRelayed(), storeBackoff: &storeBackoff{}, keyFetches: newKeyFetches(),
		isolation: newIsolation(cfg.VM), rollouts: newRollouts(cfg.Bounds.RolloutShare), unused: newUnused(cfg.Log, cfg.Metrics),
		lifecycle: fsm.NewFSM(phaseStarting, fsm.Events{
			{Name: "serve", Src: []string{phaseStarting}, Dst: phaseServing},
			{Name: "leave", Src: []string{phaseStarting, phaseServing}, Dst: phaseLeaving},
			{Name: "stop", Src: []string{phaseLeaving}, Dst: phaseStopped},
		}, nil),
	}
	g.quarantines = newQuarantines(g.isolation.monitor.VerifiedUntil)
	g.replica = object.NewReplica(object.ReplicaConfig{Policy: cfg.replicaPolicy, Now: clock.Now, OnEra: g.logEra})
	g.members = membership.New(membership.Config{Now: clock.Now, AcrossHalls: true, Self: membership.Member{
		VM: g.vm(), Start: g.self.Start, Path: membership.PathStarting,
	}})
	g.connections = newConnections(cfg.Metrics, g.isolation.monitor)
	g.upstreams = upstream.New(upstream.Config{
		DialTimeout: workerDialTimeout, IdleTimeout: workerIdleTimeout, AtMostOnceMaxIdle: nonIdempotentIdleTimeout, AckTimeout: workerAckTimeout, Dialect: cfg.Dialect, Now: clock.Now,
		MaxOpen: connectionLimit(cfg.Descriptors), Dial: cfg.WorkerDial, Observer: g.connections,
	})
	g.peers = peer.New(peer.Config{Self: g.self, Handler: g.handlePeer, Log: g.log, Allow: g.allowPeer, Dial: cfg.Dial})
	g.cold = placement.NewColdLimiter(placement.ColdLimiterConfig{VM: cfg.VM, Region: g.region(), Peers: g, Now: clock.Now})
	g.startup.alone = len(cfg.otherSeeds()) == 0
	g.opening = newOpening(cfg.otherSeeds())
	g.balancer = newBalancer(g.region())
	g.permits = newPermits(g)
	g.placer = placement.New(placement.Config{
		Hall: cfg.Hall, Region: g.region(), Loads: g.loads, ColdLimiter: g.cold, Steerer: steer.New(steer.Config{Hall: cfg.Hall}), Now: clock.Now,
		Holders: g.balancer.table, Demand: g.balancer.meter, Permits: g.permits,
		Confirmed: func(s *placement.Snapshot) time.Time {
			return g.replica.ConfirmedAtMark(cfg.Codec.WorkerKind(), s.WorkersMark)
		},
	})
	g.quotas = newQuotas(g)
	g.ingress = ingress.New(ingress.Config{
		Snapshot: g.snapshot.Load, Upstreams: g.upstreams, Dialect: cfg.Dialect, Metrics: cfg.Metrics, Log: g.log,
		Placer:     g.placer,
		Demand:     g.balancer.meter,
		HallMeters: g.meters,
		VMCount:    func() int { return g.members.Len() + 1 },
		VM:         cfg.VM, Decisions: g.decisions, StateAge: g.maxReplicaAge, Limiter: g, Keys: g, Quarantine: g.quarantines, Reach: g.isolation.monitor, Forwarder: g, Now: clock.Now,
		LeavingGrace: g.leavingGrace(), AdmissionByRank: cfg.AdmissionByRank,
		Retry: retry.Config{Ratio: share.PPM(cfg.Bounds.RetryRatio * retryRatioFraction * float64(share.Whole)), Burst: retryBurst},
	})
	if err := g.listen(); err != nil {
		g.closeListeners()
		return nil, err
	}
	return g, nil
}

func (g *Gateway) vm() spec.VM {
	return spec.VM{ID: g.cfg.VM, Hall: g.cfg.Hall, Entry: g.cfg.Ingress, Peer: g.cfg.Peer, State: spec.VMLive, LinkMbps: g.cfg.LinkMbps}
}

func (g *Gateway) region() string { return g.cfg.Halls[g.cfg.Hall] }

// regions returns all regions, sorted by name.
func (g *Gateway) regions() []string {
	var regions []string
	for _, region := range g.cfg.Halls {
		if !slices.Contains(regions, region) {
			regions = append(regions, region)
		}
	}
	slices.Sort(regions)
	return regions
}

// maxReplicaAge returns the age of the oldest replicated state that requests depend on. It is
// unknown while the store has not confirmed all of that state yet.
func (g *Gateway) maxReplicaAge() (age time.Duration, known bool) {
	for _, kind := range g.watchedKinds() {
		confirmed := g.replica.ConfirmedAt(kind)
		if confirmed.IsZero() {
			return 0, false
		}
		age = max(age, clock.Since(confirmed))
	}
	return age, true
}

// listen opens one listener for each distinct address, except the one for clients.
func (g *Gateway) listen() error {
	var err error
	if g.clientServer, err = g.newClientServer(); err != nil {
		return err
	}
	entry := g.cfg.EntryHandler(g)
	handlers := map[string]http.Handler{g.cfg.Ready: entry, g.cfg.Directory: entry, g.cfg.MetricsAddress: g.operatorHandler()}
	for address, handler := range handlers {
		if err := g.listenAt(address, newServer(handler)); err != nil {
			return err
		}
	}
	if err := checkAddress(g.cfg.Ingress); err != nil {
		return err
	}
	g.peerListener, err = g.cfg.Listen(g.cfg.Peer)
	return errors.Wrap(err, "gateway: peer listener")
}

func (g *Gateway) listenAt(address string, s *http.Server) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "gateway: listener %s", address)
	}
	g.listeners = append(g.listeners, l)
	g.servers = append(g.servers, s)
	return nil
}

// Limits of what callers send. They are generous, since a configuration may raise the
// limits of clients later.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// newServer returns a server for operators and for clients that look up addresses.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// newClientServer returns the server for clients' requests.
func (g *Gateway) newClientServer() (*pipeline.Server, error) {
	p := g.cfg.Pipeline
	return pipeline.New(pipeline.Config{
		Handler: g.ingress, Concurrent: g.ingress.Concurrent, Metrics: g.cfg.Metrics, Log: g.log,
		MaxDepth: p.MaxDepth, MaxBehind: p.MaxBehind, MaxHeld: p.MaxHeld, MaxHeldTotal: p.MaxHeldTotal, MaxCollectedTotal: p.MaxCollectedTotal, ReadAhead: p.ReadAhead, StallTimeout: p.StallTimeout,
		HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		MaxConnections: connectionLimit(g.cfg.Descriptors),
	})
}

func (g *Gateway) closeListeners() {
	for _, l := range g.listeners {
		_ = l.Close()
	}
	if g.peerListener != nil {
		_ = g.peerListener.Close()
	}
}

// Run serves until ctx ends, then shuts down gracefully. It returns an error if a
// listener fails.
func (g *Gateway) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g.log.Info("gateway: started", "vm", g.cfg.VM, "hall", g.cfg.Hall, "start", g.self.Start)
	for i, s := range g.servers {
		go func() { g.reportServeError(s.Serve(g.listeners[i])) }()
	}
	go func() { g.reportServeError(g.peers.Serve(g.peerListener)) }()
	var loops sync.WaitGroup
	for _, loop := range g.backgroundLoops() {
		loops.Go(func() { loop(background) })
	}
	var err error
	select {
	case <-ctx.Done():
		g.stop(background)
	case err = <-g.serveErrors:
		g.log.Error(err, "gateway: listener failed")
	}
	cancel()
	g.close()
	loops.Wait()
	return err
}

func (g *Gateway) backgroundLoops() []func(context.Context) {
	loops := []func(context.Context){g.probeLoop, g.compileLoop, g.memberLoop, g.bootstrapLoop, g.syncLoop, g.controlLoop, g.balanceLoop, g.knowledgeLoop, g.callsLoop, g.quotaLoop, g.quarantineLoop, g.quarantineStoreLoop, g.restoreLoop, g.ingress.LogLosses, g.openingLoop}
	loops = append(loops, g.isolationLoop, g.coldLoop, func(ctx context.Context) { g.connections.logLoop(ctx, g.log) })
	loops = append(loops, func(ctx context.Context) { g.listLoop(ctx, g.cfg.Codec.TrafficKind()) })
	if g.rollouts.enabled() {
		loops = append(loops, g.rolloutWatchLoop, g.rolloutLoop)
	}
	for _, kind := range g.watchedKinds() {
		loops = append(loops, func(ctx context.Context) {
			g.waitForPeers(ctx, kind)
			g.watchLoop(ctx, kind)
		})
	}
	return loops
}

// replicatedKinds returns the kinds that VMs synchronize with each other.
func (g *Gateway) replicatedKinds() []string {
	return append(g.watchedKinds(), g.listedKinds()...)
}

// listedKinds returns the kinds that are listed periodically. Peers pass their changes
// on to each other.
func (g *Gateway) listedKinds() []string {
	kinds := []string{g.cfg.Codec.MemberKind(), g.cfg.Codec.TrafficKind(), g.cfg.Codec.QuarantineKind()}
	if g.rollouts.enabled() {
		kinds = append(kinds, g.cfg.Codec.RolloutKind())
	}
	return kinds
}

// watchedKinds returns the kinds whose changes must take effect quickly.
func (g *Gateway) watchedKinds() []string {
	return []string{g.cfg.Codec.ConfigKind(), g.cfg.Codec.WorkerKind(), g.cfg.Codec.ClosedKind()}
}

func (g *Gateway) reportServeError(err error) {
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return
	}
	select {
	case g.serveErrors <- err:
	default:
	}
}

func (g *Gateway) close() {
	for _, s := range g.servers {
		_ = s.Close()
	}
	_ = g.clientServer.Close()
	g.closeListeners()
	g.peers.Close()
	g.upstreams.CloseIdle()
}

// fireEvent applies a lifecycle event, which moves the gateway to its next phase.
func (g *Gateway) fireEvent(event string) {
	if err := g.lifecycle.Event(context.Background(), event); err != nil {
		return // The event does not apply in the current phase.
	}
	g.log.Info("gateway: phase "+g.lifecycle.Current(), "vm", g.cfg.VM)
}

// Ready reports whether this VM serves clients. A VM that has to refuse every request
// with an API key is not ready.
func (g *Gateway) Ready() bool {
	return g.lifecycle.Current() == phaseServing && g.RevocationsCurrent()
}
