// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/ryehill/ryehill/internal/daemon"
	"github.com/ryehill/ryehill/internal/loadgen"
	"github.com/ryehill/ryehill/internal/standin"
	"github.com/ryehill/ryehill/state/spec"
)

// Token is what operators of a fleet show.
const Token = "fleet-operator-token"

// Kinds of address.
const (
	kindPlatform = iota
	kindWorker
	kindVM
	kinds
)

const (
	// numbersOfKind is how many third numbers of addresses a kind has.
	numbersOfKind = 16
	// fleetsAtOnce is how many fleets of one process have addresses of their own.
	fleetsAtOnce = 5
)

const (
	entryPort    = 7000
	peerPort     = 7100
	operatorPort = 7200
	workerPort   = 8000
	platformPort = 9000
)

// Options change how a fleet runs.
type Options struct {
	Log logr.Logger
	// WarmStart begins with warm caches.
	WarmStart bool
	// ProductIntervals keeps the daemons' default intervals, in place of
	// shorter ones that suit a short run.
	ProductIntervals bool
	// Daemon changes the settings of each daemon before it starts.
	Daemon func(*daemon.Config)
}

// Fleet is a running fleet.
type Fleet struct {
	plan     Plan
	options  Options
	base     int
	network  *Network
	platform *standin.Platform
	servers  []*http.Server
	stops    map[string]*http.Server // of workers

	mu      sync.Mutex
	workers map[string]*standin.Upstream
	placed  map[string]placed
	hosts   map[string]*Host
	order   []string
}

// placed says where a worker is.
type placed struct{ service, hall, address string }

// HallOf returns the hall of a worker.
func (f *Fleet) HallOf(worker string) string { return f.placed[worker].hall }

// ServiceOf returns the service of a worker.
func (f *Fleet) ServiceOf(worker string) string { return f.placed[worker].service }

// Host is one VM and the daemon on it.
type Host struct {
	VM       spec.VM
	Operator string
	daemon   *daemon.Daemon
	cancel   context.CancelFunc
	done     chan error
}

var fleets atomic.Int64

// Start runs a fleet. It returns once every daemon has a configuration.
func Start(plan Plan, options Options) (*Fleet, error) {
	f := &Fleet{
		plan: plan, options: options,
		base:     int(fleets.Add(1)) % fleetsAtOnce * kinds * numbersOfKind,
		platform: standin.NewPlatform(standin.PlatformConfig{}),
		workers:  make(map[string]*standin.Upstream),
		placed:   make(map[string]placed),
		stops:    make(map[string]*http.Server),
		hosts:    make(map[string]*Host),
	}
	f.network = newNetwork(f.plan.delay)
	if err := f.startPlatform(); err != nil {
		f.Close()
		return nil, err
	}
	for _, h := range plan.halls() {
		for i := range plan.VMs {
			if err := f.StartVM(fmt.Sprintf("%s-vm%d", h.name, i+1)); err != nil {
				f.Close()
				return nil, err
			}
		}
	}
	const patience = 20 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := f.waitReady(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startPlatform() error {
	halls := f.plan.halls()
	objects := []spec.Object{f.plan.fleetObject(), f.plan.blocksObject()}
	workers := 0
	for _, s := range f.plan.Services {
		object := &spec.Service{Essential: s.Essential}
		for i := range s.Workers {
			h := halls[i%len(halls)]
			ip := f.address(kindWorker, workers)
			workers++
			f.network.put(ip, h.name)
			w := spec.Worker{ID: fmt.Sprintf("%s-%d", s.Name, i+1), Hall: h.name, Address: fmt.Sprintf("%s:%d", ip, workerPort), Slots: s.Slots}
			if err := f.startWorker(s, w); err != nil {
				return err
			}
			object.Workers = append(object.Workers, w)
		}
		objects = append(objects, spec.Encode(spec.Key{Kind: spec.KindService, Name: s.Name}, object))
	}
	f.platform.Seed(objects...)
	var vms []spec.VM
	for _, h := range halls {
		for i := range f.plan.VMs {
			vm := f.vm(h, i)
			f.network.put(ipOf(vm.Entry), h.name)
			vms = append(vms, vm)
			f.hosts[vm.ID] = &Host{VM: vm, Operator: fmt.Sprintf("%s:%d", ipOf(vm.Entry), operatorPort)}
			f.order = append(f.order, vm.ID)
		}
	}
	f.platform.SetVMs(vms, nil)
	f.network.put(f.address(kindPlatform, 0), PlatformPlace)
	return f.serve(f.PlatformAddress(), &http.Server{Handler: f.platform.Handler()})
}

func (f *Fleet) vm(h hall, i int) spec.VM {
	ip := f.address(kindVM, h.index*f.plan.VMs+i)
	return spec.VM{
		ID: fmt.Sprintf("%s-vm%d", h.name, i+1), Hall: h.name,
		Entry: fmt.Sprintf("%s:%d", ip, entryPort), Peer: fmt.Sprintf("%s:%d", ip, peerPort), State: spec.VMLive,
	}
}

func ipOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

func (f *Fleet) startWorker(s ServicePlan, w spec.Worker) error {
	worker := standin.NewUpstream(standin.UpstreamConfig{ID: w.ID, Slots: w.Slots, Time: s.Time, WarmStart: f.options.WarmStart})
	f.workers[w.ID] = worker
	f.placed[w.ID] = placed{service: s.Name, hall: w.Hall, address: w.Address}
	server := &http.Server{Handler: worker.Handler(), ConnState: worker.ConnState}
	f.stops[w.ID] = server
	return f.serve(w.Address, server)
}

func (f *Fleet) serve(address string, s *http.Server) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "fleet")
	}
	s.ErrorLog = log.New(io.Discard, "", 0)
	s.ReadHeaderTimeout = time.Minute
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(l) }()
	return nil
}

// StartVM starts the daemon of a VM of the plan, also again after StopVM.
func (f *Fleet) StartVM(id string) error {
	f.mu.Lock()
	h, ok := f.hosts[id]
	f.mu.Unlock()
	if !ok {
		return errors.Newf("fleet: no VM %q", id)
	}
	cfg := daemon.Config{
		Fleet: f.plan.Name, Hall: h.VM.Hall, VM: id, Entry: h.VM.Entry, Peer: h.VM.Peer, Operator: h.Operator,
		Platform: f.PlatformAddress(), Token: Token, Log: f.options.Log,
		TrustedCallers: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
		ReportInterval: 500 * time.Millisecond, ControlInterval: 200 * time.Millisecond, PollInterval: 500 * time.Millisecond,
		DialPeer: f.network.Dialer(h.VM.Hall), DialUpstream: f.network.Dialer(h.VM.Hall), DialPlatform: f.network.Dialer(h.VM.Hall),
	}
	if f.options.ProductIntervals {
		cfg.ReportInterval, cfg.ControlInterval, cfg.PollInterval = 0, 0, 0
	}
	if f.options.Daemon != nil {
		f.options.Daemon(&cfg)
	}
	d, err := daemon.New(cfg)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.daemon = d
	h.done = make(chan error, 1)
	go func() { h.done <- d.Run(ctx) }()
	return nil
}

// KillVM ends the daemon of a VM at once, as if its process were killed: all its
// connections close. It returns how long that took.
func (f *Fleet) KillVM(id string) (time.Duration, error) {
	h := f.hosts[id]
	began := time.Now()
	h.daemon.Kill()
	err := <-h.done
	h.done <- err
	return time.Since(began), err
}

// LeastGeneration returns the lowest generation in force at any daemon.
func (f *Fleet) LeastGeneration() uint64 {
	least := ^uint64(0)
	for _, h := range f.hosts {
		least = min(least, h.daemon.Generation())
	}
	return least
}

// WorkerAddress returns the IP:port of a worker.
func (f *Fleet) WorkerAddress(id string) string { return f.placed[id].address }

// StopVM begins the planned stop of a VM and waits for its end. It returns how
// long that took.
func (f *Fleet) StopVM(id string) (time.Duration, error) {
	f.mu.Lock()
	h := f.hosts[id]
	f.mu.Unlock()
	began := time.Now()
	h.cancel()
	err := <-h.done
	h.done <- err
	return time.Since(began), err
}

func (f *Fleet) waitReady(ctx context.Context) error {
	for _, id := range f.order {
		for !ready(ctx, f.hosts[id].Operator) {
			if !pause(ctx, 20*time.Millisecond) {
				return errors.Newf("fleet: VM %s is not ready in time", id)
			}
		}
	}
	return nil
}

func ready(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Close ends everything at once.
func (f *Fleet) Close() {
	f.network.Heal()
	var wg sync.WaitGroup
	for _, h := range f.hosts {
		if h.cancel == nil {
			continue
		}
		wg.Go(func() {
			h.cancel()
			h.done <- <-h.done
		})
	}
	wg.Wait()
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// KillWorker ends a worker at once, with all its connections.
func (f *Fleet) KillWorker(id string) { _ = f.stops[id].Close() }

// Network returns the network between the fleet's places.
func (f *Fleet) Network() *Network { return f.network }

// Platform returns the platform's stand-in.
func (f *Fleet) Platform() *standin.Platform { return f.platform }

// PlatformAddress returns the platform's IP:port.
func (f *Fleet) PlatformAddress() string {
	return fmt.Sprintf("%s:%d", f.address(kindPlatform, 0), platformPort)
}

// Worker returns the stand-in of a worker, or nil.
func (f *Fleet) Worker(id string) *standin.Upstream { return f.workers[id] }

// Workers returns every worker.
func (f *Fleet) Workers() map[string]*standin.Upstream { return f.workers }

// VMs returns the ids of all VMs in the order of the halls.
func (f *Fleet) VMs() []string { return f.order }

// Host returns a VM.
func (f *Fleet) Host(id string) *Host { return f.hosts[id] }

// Entries returns the entry addresses of all VMs, those of a hall first.
func (f *Fleet) Entries(first string) []string {
	var near, far []string
	for _, id := range f.order {
		if h := f.hosts[id]; h.VM.Hall == first {
			near = append(near, h.VM.Entry)
		} else {
			far = append(far, h.VM.Entry)
		}
	}
	return append(near, far...)
}

// Halls returns the names of the halls in order.
func (f *Fleet) Halls() []string {
	var names []string
	for _, h := range f.plan.halls() {
		names = append(names, h.name)
	}
	return names
}

// ClientHTTP returns an HTTP client for the clients of a hall's region.
func (f *Fleet) ClientHTTP(hallName string) *http.Client {
	dial := f.network.Dialer("client/" + f.plan.regionOf(hallName))
	return loadgen.NewHTTP(func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) })
}
