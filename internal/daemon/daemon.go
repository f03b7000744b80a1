// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/looplab/fsm"

	"github.com/ryehill/ryehill/coordination/capacity"
	"github.com/ryehill/ryehill/coordination/controller"
	"github.com/ryehill/ryehill/coordination/link"
	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/coordination/retry"
	"github.com/ryehill/ryehill/coordination/spread"
	"github.com/ryehill/ryehill/coordination/steer"
	"github.com/ryehill/ryehill/internal/metrics"
	"github.com/ryehill/ryehill/internal/tlsfiles"
	"github.com/ryehill/ryehill/state/attempt"
	"github.com/ryehill/ryehill/state/decision"
	"github.com/ryehill/ryehill/state/load"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/state/view"
	"github.com/ryehill/ryehill/transport/entry"
	"github.com/ryehill/ryehill/transport/operator"
	"github.com/ryehill/ryehill/transport/peer"
	"github.com/ryehill/ryehill/transport/platform"
	"github.com/ryehill/ryehill/transport/relay"
	"github.com/ryehill/ryehill/transport/upstream"
)

// Phases of a daemon's life.
const (
	phaseStarting = "starting"
	phaseServing  = "serving"
	phaseLeaving  = "leaving"
	phaseDraining = "draining"
	phaseStopped  = "stopped"
)

// Daemon is one ryehilld.
type Daemon struct {
	cfg   Config
	log   logr.Logger
	self  peer.Identity
	now   func() time.Time
	life  *fsm.FSM
	view  atomic.Pointer[view.View]
	owner atomic.Pointer[map[string][]string] // other owners by service

	store     *spread.Store
	members   *membership.Table
	steerer   *steer.Steerer
	pools     *capacity.Pools
	holder    *capacity.GrantHolder
	links     *link.Budget
	attempts  *attempt.Table
	decisions *decision.Log
	meter     *load.Meter
	metrics   *metrics.Set
	platform  *platform.Client
	traffic   trafficStore
	upstreams *upstream.Client
	polls     *http.Client
	peers     *peer.Manager
	engine    *relay.Engine
	neighbors *relay.Neighbors
	leavers   *leavers

	entryListener, peerListener, operatorListener net.Listener
	entryServer, operatorServer                   *http.Server

	failed    chan error
	pulling   sync.Mutex
	heard     atomic.Int64 // when a peer last answered, in Unix milliseconds
	greeted   atomic.Bool  // the hall has been told of the start
	reassign  chan struct{}
	pollNow   chan struct{}
	lastTable uint64
	lease     leaseState
	observer  controller.LeaseObserver
}

// New checks the settings and opens the listeners. It returns ErrConfig or the
// error of a listener.
func New(cfg Config) (*Daemon, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	cfg.setDefaults()
	start := time.Now()
	// The clock moves with the monotonic one from the start on, so that a
	// step of the wall clock neither lengthens nor shortens any term.
	now := func() time.Time { return start.Add(time.Since(start)) }
	d := &Daemon{
		cfg: cfg, log: cfg.Log, now: now,
		self:      peer.Identity{Fleet: cfg.Fleet, Hall: cfg.Hall, VM: cfg.VM, Start: uint64(start.UnixMicro())},
		store:     spread.New(),
		steerer:   steer.New(steer.Config{Hall: cfg.Hall}),
		pools:     capacity.NewPools(capacity.Config{Now: now, Policy: cfg.Choice, MinHeadroom: spec.DefaultMinHeadroom}),
		holder:    capacity.NewGrantHolder(now),
		links:     link.New(link.Config{Now: now}),
		decisions: decision.New(decision.Config{}),
		meter:     load.NewMeter(now),
		metrics:   metrics.New(),
		platform:  platform.New(platform.Config{Address: cfg.Platform, Client: platformClient(cfg.DialPlatform)}),
		upstreams: upstream.New(upstream.Config{Dial: cfg.DialUpstream}),
		polls:     &http.Client{Timeout: pollTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, DialContext: dialContext(cfg.DialUpstream)}},
		neighbors: relay.NewNeighbors(),
		leavers:   newLeavers(),
		reassign:  make(chan struct{}, 1),
		pollNow:   make(chan struct{}, 1),
		failed:    make(chan error, 1),
	}
	d.view.Store(view.Empty())
	d.owner.Store(&map[string][]string{})
	d.life = newLife()
	d.attempts = attempt.New(attempt.Config{VM: cfg.VM, Start: d.self.Start, Now: now})
	d.members = membership.New(membership.Config{Now: now, Self: membership.Member{
		VM:    spec.VM{ID: cfg.VM, Hall: cfg.Hall, Entry: cfg.Entry, Peer: cfg.Peer, State: spec.VMLive},
		Start: d.self.Start,
	}})
	if err := d.seed(); err != nil {
		return nil, err
	}
	if err := d.build(); err != nil {
		return nil, err
	}
	return d, nil
}

func platformClient(dial func(ctx context.Context, address string) (net.Conn, error)) *http.Client {
	const idle = 4
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idle, IdleConnTimeout: time.Minute, DialContext: dialContext(dial)}}
}

func dialContext(dial func(ctx context.Context, address string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	if dial == nil {
		return nil
	}
	return func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }
}

func newLife() *fsm.FSM {
	return fsm.NewFSM(phaseStarting, fsm.Events{
		{Name: "serve", Src: []string{phaseStarting}, Dst: phaseServing},
		{Name: "leave", Src: []string{phaseStarting, phaseServing}, Dst: phaseLeaving},
		{Name: "drain", Src: []string{phaseLeaving}, Dst: phaseDraining},
		{Name: "stop", Src: []string{phaseDraining}, Dst: phaseStopped},
	}, nil)
}

// enter moves the daemon to its next phase.
func (d *Daemon) enter(event string) {
	if err := d.life.Event(context.Background(), event); err != nil {
		d.log.Error(err, "daemon: phase refused", "event", event)
		return
	}
	d.log.Info("daemon: phase "+d.life.Current(), "vm", d.cfg.VM, "hall", d.cfg.Hall)
}

// seed adds the peers of the settings as members, so that they can be asked
// while the platform is away. The list of the platform takes their place.
func (d *Daemon) seed() error {
	var members []membership.Member
	for _, s := range d.cfg.Seeds {
		vm, address, err := parseSeed(s)
		if err != nil {
			return errors.Wrap(ErrConfig, err.Error())
		}
		if vm == d.cfg.VM {
			continue
		}
		members = append(members, membership.Member{VM: spec.VM{ID: vm, Hall: d.cfg.Hall, Entry: address, Peer: address, State: spec.VMLive}})
	}
	d.members.ApplyUpdates(members)
	return nil
}

func (d *Daemon) build() error {
	peerConfig := peer.Config{Self: d.self, Handler: d.handlePeer, Log: d.log, Dial: d.cfg.DialPeer, Allow: d.allowPeer}
	if d.cfg.PeerTLS.Set() {
		files, err := tlsfiles.New(d.cfg.PeerTLS)
		if err != nil {
			return err
		}
		peerConfig.ServerTLS, peerConfig.ClientTLS = files.Server(true), files.PeerClient()
	}
	d.peers = peer.New(peerConfig)
	d.engine = relay.New(relay.Config{
		Self: d.self, Log: d.log, View: d.view.Load, Members: d.members, Steerer: d.steerer, Pools: d.pools,
		Holder: d.holder, Links: d.links, Upstreams: d.upstreams, Peers: d.peers, Attempts: d.attempts,
		Decisions: d.decisions, Meter: d.meter, Metrics: d.metrics, Budget: retry.New(d.cfg.Retry),
		Neighbors: d.neighbors, Owners: d.owners, QueueTime: d.cfg.QueueTime, MaxInFlight: d.cfg.MaxInFlight,
		NoSpill: d.cfg.NoSpill,
	})
	lookup := entry.NewLookup(entry.LookupConfig{View: d.view.Load, Members: d.members, Start: d.askStart})
	d.entryServer = entry.NewServer(entry.New(entry.Config{
		Engine: d.engine, Lookup: lookup, Log: d.log, TrustedCallers: d.cfg.TrustedCallers,
	}))
	d.traffic = trafficStore{platform: d.platform, metrics: d.metrics}
	api, err := operator.New(operator.Config{
		Token: d.cfg.Token, VM: d.cfg.VM, Log: d.log, Platform: d.platform, Store: d.store, View: d.view.Load,
		Intents: operator.IntentsConfig{
			VM: d.cfg.VM, Log: d.log, Store: d.traffic, OnChange: d.changed,
			View: func(t *spec.Traffic) *view.View { return d.view.Load().WithTraffic(t) },
		},
		Members: d.members, Decisions: d.decisions, Metrics: d.metrics, Ready: d.ready, FindDecision: d.findDecision, OwnStatus: d.sums,
	})
	if err != nil {
		return err
	}
	d.operatorServer = entry.NewServer(api)
	return d.listen()
}

func (d *Daemon) listen() error {
	var err error
	if d.entryListener, err = listenTCP(d.cfg.Entry, d.cfg.EntryTLS); err != nil {
		return errors.Wrap(err, "daemon: entry listener")
	}
	if d.peerListener, err = net.Listen("tcp", d.cfg.Peer); err != nil {
		_ = d.entryListener.Close()
		return errors.Wrap(err, "daemon: peer listener")
	}
	if d.operatorListener, err = listenTCP(d.cfg.Operator, d.cfg.OperatorTLS); err != nil {
		_ = d.entryListener.Close()
		_ = d.peerListener.Close()
		return errors.Wrap(err, "daemon: operator listener")
	}
	return nil
}

func (d *Daemon) owners(service string) []string { return (*d.owner.Load())[service] }

func (d *Daemon) ready() error {
	switch {
	case d.life.Current() != phaseServing:
		return errors.Newf("the daemon is %s", d.life.Current())
	case len(d.view.Load().Fleet().Halls) == 0:
		return errors.New("no configuration has been heard yet")
	case d.store.VMs().Version == 0:
		// It could not pass a ticket on to the VM that it names.
		return errors.New("no list of VMs has been heard yet")
	case !d.greeted.Load():
		return errors.New("the VMs of the hall have not been told of the start yet")
	}
	return nil
}

// allowPeer refuses a VM that names a hall the fleet does not have, or another
// hall than the one it is known in.
func (d *Daemon) allowPeer(id peer.Identity) error {
	if !spec.ValidName(id.VM) || !spec.ValidName(id.Hall) {
		return errors.Newf("malformed name in hall %q", id.Hall)
	}
	fleet := d.view.Load().Fleet()
	if len(fleet.Halls) > 0 && fleet.Region(id.Hall) == "" {
		return errors.Newf("hall %q is unknown", id.Hall)
	}
	if m, ok := d.members.Member(id.VM); ok && m.Start != 0 && m.Hall != id.Hall {
		return errors.Newf("is known in hall %q, says %q", m.Hall, id.Hall)
	}
	return nil
}

// Run serves until ctx ends, then stops as planned: it returns once nothing is
// in flight. The error is that of a listener that failed.
func (d *Daemon) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() { d.fail(d.peers.Serve(d.peerListener)) }()
	go func() { d.fail(serveHTTP(d.entryServer, d.entryListener)) }()
	go func() { d.fail(serveHTTP(d.operatorServer, d.operatorListener)) }()
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){
		d.watchLoop, d.listLoop, d.greetLoop, d.probeLoop, d.viewLoop, d.assignLoop, d.pollLoop, d.grantLoop, d.reportLoop, d.controlLoop, d.gaugeLoop,
	} {
		loops.Go(func() { loop(background) })
	}
	d.enter("serve")
	var err error
	select {
	case <-ctx.Done():
		d.stop(background)
	case err = <-d.failed:
		d.log.Error(err, "daemon: listener failed")
	}
	cancel()
	loops.Wait()
	d.close()
	if errors.Is(err, errKilled) {
		return nil
	}
	return err
}

// fail ends Run with the error of a listener, unless it only closed.
func (d *Daemon) fail(err error) {
	if err == nil {
		return
	}
	select {
	case d.failed <- err:
	default:
	}
}

// Kill ends the daemon at once, with all its connections, as if its process
// were killed. It is for tests and measurements.
func (d *Daemon) Kill() {
	_ = d.entryServer.Close()
	d.peers.Close()
	d.fail(errKilled)
}

var errKilled = errors.New("daemon: killed")

// Generation returns the generation of the configuration in force.
func (d *Daemon) Generation() uint64 { return d.view.Load().Generation() }

func serveHTTP(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (d *Daemon) close() {
	_ = d.entryServer.Close()
	_ = d.operatorServer.Close()
	_ = d.peerListener.Close()
	d.peers.Close()
	d.upstreams.CloseIdle()
	d.polls.CloseIdleConnections()
}

// every calls f at once and then at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
