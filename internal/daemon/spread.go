// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"context"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/assign"
	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/coordination/spread"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/state/view"
	"github.com/ryehill/ryehill/transport/peer"
)

const (
	// watchersPerHall is how many VMs of a hall hold a watch on the platform
	// and pass changes on, and how many of them talk to other halls.
	watchersPerHall = 2
	// listInterval is how often a watcher reads the VM list.
	listInterval = 2 * time.Second
	// aloneAfter is how long without a peer's answer a VM that is no watcher
	// waits before it asks the platform itself.
	aloneAfter = 10 * time.Second
	// aloneInterval is how often it then asks.
	aloneInterval = 5 * time.Second
	// pushFanout is how many VMs of the hall are told of a change at once.
	pushFanout = 3
	// acrossEvery is how many probe intervals pass between two probes of
	// another hall by a watcher.
	acrossEvery  = 2
	probeTimeout = time.Second
	// acrossTimeout allows for the way between regions.
	acrossTimeout = 2 * time.Second
	pullTimeout   = 5 * time.Second
	maxPulls      = 64
	longestWait   = 2 * time.Second
)

var configKinds = []spec.Kind{spec.KindFleet, spec.KindBlocks, spec.KindService, spec.KindTraffic}

func ids(members []membership.Member) []string {
	list := make([]string, 0, len(members))
	for _, m := range members {
		list = append(list, m.ID)
	}
	return list
}

func contains(list []string, id string) bool {
	for _, other := range list {
		if other == id {
			return true
		}
	}
	return false
}

// watchersOf returns the VMs of a hall that watch the platform. Every VM works
// this out alone; two that differ for a moment only watch once too often.
func (d *Daemon) watchersOf(hall string) []string {
	return assign.Top("watcher/"+hall, ids(d.members.UsableInHall(hall)), watchersPerHall)
}

func (d *Daemon) isWatcher() bool { return contains(d.watchersOf(d.cfg.Hall), d.cfg.VM) }

// alone reports whether the VM must ask the platform although it is no watcher.
func (d *Daemon) alone() bool {
	revision, _ := d.store.Revisions()
	return revision == 0 || d.now().Sub(time.UnixMilli(d.heard.Load())) > aloneAfter
}

// watchLoop hears of configuration from the platform.
func (d *Daemon) watchLoop(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		watcher := d.isWatcher()
		if !watcher && !d.alone() {
			sleep(ctx, time.Second)
			continue
		}
		revision, _ := d.store.Revisions()
		hold := d.cfg.WatchHold
		if !watcher || revision == 0 {
			hold = 0
		}
		changes, err := d.platform.Watch(ctx, revision, hold, configKinds...)
		d.metrics.PlatformCall("watch", err)
		if err != nil {
			failures++
			sleep(ctx, wait(failures))
			continue
		}
		failures = 0
		d.apply(ctx, changes)
		if !watcher {
			sleep(ctx, aloneInterval)
		}
	}
}

// listLoop hears of VMs from the platform.
func (d *Daemon) listLoop(ctx context.Context) {
	every(ctx, listInterval, func() {
		if !d.isWatcher() && !d.alone() {
			return
		}
		_, known := d.store.Revisions()
		list, changed, err := d.platform.VMs(ctx, known)
		d.metrics.PlatformCall("vms", err)
		if err == nil && changed {
			d.store.ApplyVMs(list)
		}
	})
}

// wait grows with the failures in a row and is spread, so that VMs do not come
// back together.
func wait(failures int) time.Duration {
	const first = 100 * time.Millisecond
	longest := min(first<<min(failures, 8), longestWait)
	return longest/2 + rand.N(longest/2)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// apply takes in changes from whatever side, and tells some VMs of the hall at
// once if they were news.
func (d *Daemon) apply(ctx context.Context, c spread.Changes) {
	if !d.store.Apply(c) || len(c.Objects) == 0 {
		return
	}
	peers := d.members.UsableInHall(d.cfg.Hall)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	told := 0
	for _, m := range peers {
		if m.ID != d.cfg.VM && told < pushFanout {
			told++
			go d.probe(ctx, m, probeTimeout)
		}
	}
}

// probeLoop probes members and moves their states on.
func (d *Daemon) probeLoop(ctx context.Context) {
	number := 0
	every(ctx, membership.ProbeInterval, func() {
		if d.members.Tick() {
			d.log.Info("membership: this VM was frozen; its terms are void")
			d.signal(d.pollNow)
		}
		for _, m := range d.members.NextProbes() {
			go d.probe(ctx, m, probeTimeout)
		}
		number++
		if number%acrossEvery == 0 && d.isWatcher() {
			d.probeAcross(ctx)
		}
	})
}

// probeAcross probes a watcher of another hall, chosen at random, so that news
// passes between halls also while the platform is away.
func (d *Daemon) probeAcross(ctx context.Context) {
	halls := make(map[string]bool)
	for _, m := range d.members.Others() {
		if m.Hall != d.cfg.Hall && m.Usable() {
			halls[m.Hall] = true
		}
	}
	for hall := range halls { // The order of a map is random enough.
		watchers := d.watchersOf(hall)
		if len(watchers) == 0 {
			continue
		}
		if m, ok := d.members.Member(watchers[rand.IntN(len(watchers))]); ok {
			go d.probe(ctx, m, acrossTimeout)
		}
		return
	}
}

func (d *Daemon) probe(ctx context.Context, m membership.Member, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	message := &peerpb.Envelope{Kind: &peerpb.Envelope_Probe{Probe: d.probeMessage(m.ID, m.Hall)}}
	reply, err := d.peers.Call(ctx, peer.Target{VM: m.ID, Address: m.Peer}, message)
	d.metrics.PeerCall("probe", err)
	if err != nil {
		if m.Hall == d.cfg.Hall {
			d.members.ProbeFailed(m.ID)
		}
		return
	}
	if p := reply.GetProbe(); p != nil {
		d.hear(m.ID, p)
	}
}

func (d *Daemon) probeMessage(to, hall string) *peerpb.Probe {
	revision, list := d.store.Revisions()
	p := &peerpb.Probe{Revision: revision, VmList: list}
	for _, m := range d.members.Updates(to) {
		p.News = append(p.News, peer.EncodeMember(m))
	}
	if hall == d.cfg.Hall {
		p.Free = d.free()
		p.Leaving = d.leavers.all()
	}
	return p
}

// free returns the free slots of owned upstreams.
func (d *Daemon) free() map[string]uint32 {
	free := make(map[string]uint32)
	for _, service := range d.view.Load().Services() {
		s := d.pools.Get(service).Status()
		if s.Slots > 0 {
			free[service] = uint32(s.Free)
		}
	}
	return free
}

// hear takes in a probe or the reply to one.
func (d *Daemon) hear(from string, p *peerpb.Probe) {
	d.heard.Store(d.now().UnixMilli())
	d.members.ApplyUpdates(peer.DecodeMembers(p.GetNews()))
	now := d.now()
	for service, free := range p.GetFree() {
		if _, ok := d.view.Load().Service(service); ok {
			d.neighbors.Update(from, service, int(free), now)
		}
	}
	if d.leavers.learn(p.GetLeaving()) {
		d.signal(d.reassign)
	}
	revision, list := d.store.Revisions()
	if p.GetRevision() > revision || p.GetVmList() > list {
		go d.pull(from)
	}
}

// pull fetches what a peer has and this VM has not. One pull at a time is
// enough: the next probe asks for whatever is still missing.
func (d *Daemon) pull(from string) {
	if !d.pulling.TryLock() {
		return
	}
	defer d.pulling.Unlock()
	member, ok := d.members.Member(from)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	for range maxPulls {
		revision, list := d.store.Revisions()
		message := &peerpb.Envelope{Kind: &peerpb.Envelope_Pull{Pull: &peerpb.Pull{Revision: revision, VmList: list}}}
		reply, err := d.peers.Call(ctx, peer.Target{VM: from, Address: member.Peer}, message)
		d.metrics.PeerCall("pull", err)
		if err != nil || reply.GetChanges() == nil {
			return
		}
		changes, err := d.takeChanges(reply.GetChanges())
		if err != nil {
			d.log.Info("config: bad changes from a peer", "peer", from, "error", err.Error())
			return
		}
		d.apply(context.WithoutCancel(ctx), changes)
		if after, _ := d.store.Revisions(); after <= revision || len(changes.Objects) == 0 {
			return
		}
	}
}

// viewLoop compiles what the store holds whenever that has changed.
func (d *Daemon) viewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		changed := d.store.Changed()
		d.compile()
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func (d *Daemon) compile() {
	generation, objects := d.store.Snapshot()
	newest := uint64(0)
	for _, o := range objects {
		newest = max(newest, o.Version)
	}
	d.members.SetList(d.store.VMs())
	old := d.view.Load()
	if newest == d.lastTable && newest != 0 {
		d.view.Store(old.WithGeneration(generation))
		return
	}
	d.lastTable = newest
	v, err := view.Compile(generation, objects, old)
	if err != nil {
		d.log.Error(err, "config: some objects are faulty and left out")
	}
	d.view.Store(v)
	d.steerer.Forget(v)
	d.metrics.Generation(generation)
	d.signal(d.reassign)
	if v.Table() != old.Table() {
		// Reading hundreds of thousands of blocks leaves several times their
		// size behind; an idle daemon would keep it for minutes.
		debug.FreeOSMemory()
	}
}

func (d *Daemon) signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// askStart asks a VM for its start number by probing it.
func (d *Daemon) askStart(ctx context.Context, m membership.Member) (uint64, error) {
	const patience = 300 * time.Millisecond
	d.probe(ctx, m, patience)
	known, ok := d.members.Member(m.ID)
	if !ok || known.Start == 0 {
		return 0, errors.Newf("VM %s does not answer", m.ID)
	}
	return known.Start, nil
}
