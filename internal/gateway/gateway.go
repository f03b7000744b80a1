// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package gateway puts the parts of one entry VM together that serves clients
// by host and path: a replica of the store's objects, the VMs that live, the
// choice of workers, the ingress and the directory.
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
	"github.com/ryehill/ryehill/transport/upstream"
)

// Phases of a gateway's life.
const (
	phaseStarting = "starting"
	phaseServing  = "serving"
	phaseLeaving  = "leaving"
	phaseStopped  = "stopped"
)

const (
	// workerDial bounds the opening of a connection to a worker; two ways
	// between regions take up to half of it.
	workerDial = 400 * time.Millisecond
	// workerUnanswered is after what time a worker whose machine confirms
	// nothing is given up: two lost packets on the longest way are borne.
	workerUnanswered = 900 * time.Millisecond
	// workerIdle is how long an unused connection to a worker is kept.
	workerIdle = 8 * time.Second
	// onceIdle is for how long it is good for a request that runs only once.
	onceIdle = 2 * time.Second
	// retryPart of the allowed ratio is used: a VM cannot tell requests that
	// other VMs count from those in flight to it.
	retryPart = 0.7
	// retryBurst is what one VM may spend beyond the ratio; all VMs of the
	// largest fleet together stay within the operators' fixed extra.
	retryBurst = 2
)

// Gateway is one entry VM. It is safe for concurrent use.
type Gateway struct {
	cfg  Config
	log  logr.Logger
	self peer.Identity
	// started is when the gateway was made.
	started time.Time
	life    *fsm.FSM

	replica   *object.Replica
	members   *membership.Table
	loads     *worker.Loads
	loadsMark loadsMark
	meters    *load.HallMeters
	upstreams *upstream.Client
	peers     *peer.Manager
	ingress   *ingress.Handler
	decisions *ingress.Decisions
	snapshot  atomic.Pointer[placement.Snapshot]
	compiler  compiler

	listeners []net.Listener
	servers   []*http.Server
	front     *http.Server
	peerSide  net.Listener
	pulling   sync.Mutex
	away      absence
	judge     *outlier.Detector
	watchers  *watchers
	neighbors *neighbors
	knowledge *knowledge
	copies    *copies
	packs     *packs
	relayed   *relayed
	gate      *gate
	quotas    *quotas
	permits   *permits
	rollouts  *rollouts
	// unused are the store's entries that cannot be used.
	unused *unused
	// quarantines are the requests that end workers.
	quarantines *quarantines
	// keyQuestions bounds the questions for API keys that nobody knows.
	keyQuestions *keyQuestions
	// compiledConfig is the revision of the newest configuration that the snapshot
	// was made from.
	compiledConfig atomic.Uint64
	placer         *placement.Placer
	balancer       *balancer
	failed         chan error
}

// New checks the settings and opens the listeners.
func New(cfg Config) (*Gateway, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	cfg.setDefaults()
	start := clock.Now()
	g := &Gateway{
		cfg: cfg, log: cfg.Log, started: start,
		self:      peer.Identity{Fleet: cfg.Fleet, Hall: cfg.Hall, VM: cfg.VM, Start: uint64(start.UnixMicro())},
		decisions: ingress.NewDecisions(), replica: object.NewReplica(), loads: worker.NewLoads(clock.Now),
		compiler: newCompiler(),
		meters:   load.NewHallMeters(clock.Now), judge: outlier.New(outlier.Config{Now: clock.Now}),
		failed: make(chan error, 1), watchers: newWatchers(), knowledge: newKnowledge(), copies: newCopies(),
		neighbors: newNeighbors(), packs: newPacks(), relayed: newRelayed(), gate: &gate{}, keyQuestions: newKeyQuestions(),
		quarantines: newQuarantines(), rollouts: newRollouts(cfg.Bounds.RolloutShare), unused: newUnused(cfg.Log, cfg.Metrics),
		life: fsm.NewFSM(phaseStarting, fsm.Events{
			{Name: "serve", Src: []string{phaseStarting}, Dst: phaseServing},
			{Name: "leave", Src: []string{phaseStarting, phaseServing}, Dst: phaseLeaving},
			{Name: "stop", Src: []string{phaseLeaving}, Dst: phaseStopped},
		}, nil),
	}
	g.members = membership.New(membership.Config{Now: clock.Now, AcrossHalls: true, Self: membership.Member{
		VM: g.vm(), Start: g.self.Start,
	}})
	g.upstreams = upstream.New(upstream.Config{
		DialTimeout: workerDial, IdleTimeout: workerIdle, AtMostOnceMaxIdle: onceIdle, TCPUserTimeout: workerUnanswered, Dialect: cfg.Dialect, Now: clock.Now,
	})
	g.peers = peer.New(peer.Config{Self: g.self, Handler: g.handlePeer, Log: g.log, Allow: g.allowPeer, Dial: cfg.Dial})
	cold := placement.NewColdLimiter(placement.ColdLimiterConfig{VM: cfg.VM, Region: g.region(), Peers: g, Now: clock.Now})
	g.balancer = newBalancer(g.region())
	g.permits = newPermits(g)
	g.placer = placement.New(placement.Config{
		Hall: cfg.Hall, Region: g.region(), Loads: g.loads, ColdLimiter: cold, Steerer: steer.New(steer.Config{Hall: cfg.Hall}), Now: clock.Now,
		Holders: g.balancer.table, Demand: g.balancer.meter, Permits: g.permits,
		Confirmed: func() time.Time { return g.replica.ConfirmedAt(cfg.Codec.WorkerKind()) },
	})
	g.quotas = newQuotas(g)
	g.ingress = ingress.New(ingress.Config{
		Snapshot: g.snapshot.Load, Upstreams: g.upstreams, Dialect: cfg.Dialect, Metrics: cfg.Metrics, Log: g.log,
		Placer:     g.placer,
		Demand:     g.balancer.meter,
		HallMeters: g.meters,
		VMCount:    func() int { return g.members.Len() + 1 },
		VM:         cfg.VM, Decisions: g.decisions, StateAge: g.age, Limiter: g, Keys: g, Quarantine: g.quarantines, Rollouts: g.rollouts, Now: clock.Now,
		LeavingGrace: g.leaveWithin(),
		Retry:        retry.Config{Ratio: share.PPM(cfg.Bounds.RetryRatio * retryPart * float64(share.Whole)), Burst: retryBurst},
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

// regions returns all regions in order of their names.
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

// age returns how old the oldest knowledge is that requests rest on.
func (g *Gateway) age() time.Duration {
	oldest := time.Duration(0)
	for _, kind := range g.watchedKinds() {
		oldest = max(oldest, clock.Since(g.replica.ConfirmedAt(kind)))
	}
	return oldest
}

// listen opens one listener for each distinct address.
func (g *Gateway) listen() error {
	g.front = server(g.ingress)
	entry := g.cfg.EntryHandler(g)
	handlers := map[string]http.Handler{g.cfg.Ready: entry, g.cfg.Directory: entry, g.cfg.MetricsAddress: g.operatorHandler()}
	for address, handler := range handlers {
		if err := g.listenAt(address, server(handler)); err != nil {
			return err
		}
	}
	if err := g.listenAt(g.cfg.Ingress, g.front); err != nil {
		return err
	}
	var err error
	g.peerSide, err = g.cfg.Listen(g.cfg.Peer)
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

// server returns a server whose times are those of package ingress's clients:
// generous, since a configuration may raise them later.
func server(handler http.Handler) *http.Server {
	const header, idle, maxHeader = 10 * time.Second, 2 * time.Minute, 64 << 10
	return &http.Server{Handler: handler, ReadHeaderTimeout: header, IdleTimeout: idle, MaxHeaderBytes: maxHeader}
}

func (g *Gateway) closeListeners() {
	for _, l := range g.listeners {
		_ = l.Close()
	}
	if g.peerSide != nil {
		_ = g.peerSide.Close()
	}
}

// Run serves until ctx ends, then stops as planned.
func (g *Gateway) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g.log.Info("gateway: started", "vm", g.cfg.VM, "hall", g.cfg.Hall, "start", g.self.Start)
	for i, s := range g.servers {
		go func() { g.fail(s.Serve(g.listeners[i])) }()
	}
	go func() { g.fail(g.peers.Serve(g.peerSide)) }()
	var loops sync.WaitGroup
	for _, loop := range g.loops() {
		loops.Go(func() { loop(background) })
	}
	var err error
	select {
	case <-ctx.Done():
		g.stop(background)
	case err = <-g.failed:
		g.log.Error(err, "gateway: listener failed")
	}
	cancel()
	g.close()
	loops.Wait()
	return err
}

func (g *Gateway) loops() []func(context.Context) {
	loops := []func(context.Context){g.probeLoop, g.compileLoop, g.memberLoop, g.startLoop, g.askLoop, g.controlLoop, g.balanceLoop, g.knowledgeLoop, g.callsLoop, g.quotaLoop, g.quarantineLoop, g.quarantineStoreLoop, g.ingress.LogLosses}
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

// replicatedKinds are the kinds that VMs tell each other of.
func (g *Gateway) replicatedKinds() []string {
	return append(g.watchedKinds(), g.listedKinds()...)
}

// listedKinds are the kinds that are read now and then; peers tell each other of
// their changes.
func (g *Gateway) listedKinds() []string {
	kinds := []string{g.cfg.Codec.MemberKind(), g.cfg.Codec.TrafficKind(), g.cfg.Codec.QuarantineKind()}
	if g.rollouts.enabled() {
		kinds = append(kinds, g.cfg.Codec.RolloutKind())
	}
	return kinds
}

// watchedKinds are the kinds whose changes must be in force soon.
func (g *Gateway) watchedKinds() []string {
	return []string{g.cfg.Codec.ConfigKind(), g.cfg.Codec.WorkerKind(), g.cfg.Codec.ClosedKind()}
}

func (g *Gateway) fail(err error) {
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return
	}
	select {
	case g.failed <- err:
	default:
	}
}

func (g *Gateway) close() {
	for _, s := range g.servers {
		_ = s.Close()
	}
	g.closeListeners()
	g.peers.Close()
	g.upstreams.CloseIdle()
}

// enter moves the gateway to its next phase.
func (g *Gateway) enter(event string) {
	if err := g.life.Event(context.Background(), event); err != nil {
		return // It was left before it served.
	}
	g.log.Info("gateway: phase "+g.life.Current(), "vm", g.cfg.VM)
}

// Ready reports whether this VM serves clients. One that has to refuse every request
// with an API key does not.
func (g *Gateway) Ready() bool { return g.life.Current() == phaseServing && g.RevocationsCurrent() }
