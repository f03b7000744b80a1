// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/membership"
	rolling "github.com/ryehill/ryehill/coordination/rollout"
	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/rollout"
	"github.com/ryehill/ryehill/state/worker"
	"github.com/ryehill/ryehill/transport/peer"
)

const (
	// rolloutInterval is the time between two rounds in which the VM that decides asks
	// all others what they have seen; a VM's permission outlasts six.
	rolloutInterval = 300 * time.Millisecond
	// shiftInterval is the same from the shift on.
	shiftInterval = 100 * time.Millisecond
	// orderLook is the time between two looks for an order while there is none.
	orderLook = time.Second
	// hallTimeout bounds the answer of one VM for its hall, vmTimeout that of a VM there.
	hallTimeout = 500 * time.Millisecond
	vmTimeout   = 300 * time.Millisecond
	// hallTries is how many VMs of a hall are asked in turn.
	hallTries = 2
	// rolloutHold is how long the store holds a watch of orders: no time is promised
	// within which an order is heard of, only within which it is carried out.
	rolloutHold = 5 * time.Second
)

// sight is what VMs have seen of the orders under way, by service.
type sight map[string]*rollout.Report

// join adds a report, if it is of the version that is looked at.
func (s sight) join(service string, r rollout.Report) {
	sum, ok := s[service]
	if !ok {
		empty := rollout.NewReport()
		sum = &empty
		s[service] = sum
	}
	sum.Merge(r)
}

// rolloutWatchLoop keeps the orders for new versions known, while this VM watches for
// others or knows none.
func (g *Gateway) rolloutWatchLoop(ctx context.Context) {
	kind := g.cfg.Codec.RolloutKind()
	g.waitForPeers(ctx, kind)
	forgotten := false
	for ctx.Err() == nil {
		if _, known := g.replica.CompleteUpTo(kind); known && !g.watchesStore() && !forgotten {
			select {
			case <-ctx.Done():
			case <-g.watchRequested():
			}
			continue
		}
		g.storeBackoff.wait(ctx, g.maxStoreBackoff())
		_, err := g.refresh(ctx, kind, rolloutHold, forgotten)
		forgotten = errors.Is(err, ErrHistoryGone)
		g.storeBackoff.recordResult(err)
		g.knowledge.recordStoreCall(kind, err)
	}
}

// rolloutLoop carries orders out while this VM is the one that decides, as it steps the
// operators' moves: two VMs that both take themselves for it do each other no harm, since
// phases only go forward and the store is written on the condition that nobody else has.
func (g *Gateway) rolloutLoop(ctx context.Context) {
	wait := rolloutInterval
	for ctx.Err() == nil {
		sleep(ctx, wait)
		wait = rolloutInterval
		open := g.rollouts.underWay()
		if len(open) == 0 {
			wait = orderLook
			continue
		}
		if !g.Ready() || !g.settled() || !g.isController() {
			continue
		}
		seen := g.askRollouts(ctx, g.rolloutSteps(open))
		for _, o := range open {
			wait = min(wait, g.decideRollout(ctx, o, seen[o.service]))
		}
	}
}

// decideRollout moves one order on, and returns after what time to look again.
func (g *Gateway) decideRollout(ctx context.Context, o *order, seen *rollout.Report) time.Duration {
	now := clock.Now()
	if seen == nil {
		return rolloutInterval
	}
	held, end := g.rollouts.state(o)
	if o.decider == nil {
		o.decider = rolling.NewDecider(rolling.DeciderConfig{Order: held})
	}
	before, left := o.decider.Phase(), end.Sub(now)
	step := o.decider.Decide(rolling.Inputs{
		Now: now, TimeLeft: left, Report: *seen, VMs: len(g.liveMembers()), Slots: g.usableSlots(o.service, worker.TrackNew), OldSlots: g.usableSlots(o.service, worker.TrackStable),
	})
	if step.Phase != before {
		g.log.Info("rollout: "+step.Phase.String(), "service", o.service, "version", o.name, "reason", step.Reason,
			"left_ms", left.Milliseconds(), "vms", seen.VMsAtLeast(rollout.PhaseOrdered))
		g.cfg.Metrics.RolloutPhase(o.service, int(step.Phase))
	}
	g.rollouts.note(o, step.Reason, true)
	if step.Phase == before && now.Sub(o.logged) >= time.Second {
		o.logged = now
		g.log.Info("rollout: goes on", "service", o.service, "phase", step.Phase.String(), "reason", step.Reason, "left_ms", left.Milliseconds(),
			"under_way_old", seen.InFlightOld, "under_way_new", seen.InFlightNew, "vms", seen.VMsAtLeast(rollout.PhaseOrdered))
	}
	if step.Phase > rollout.PhaseOrdered && held.Phase != stored(step.Phase) {
		go g.writeRollout(ctx, o, stored(step.Phase))
	}
	if step.Phase == rollout.PhaseCompleted {
		return shiftInterval // It is so once it is written; until then all goes on as it was.
	}
	o.share.Apply(step)
	switch {
	case step.Phase != before:
		return 0
	case step.Phase >= rollout.PhaseShift:
		return shiftInterval
	}
	return rolloutInterval
}

// stored returns the phase as the store has it, which does not tell those under way apart.
func stored(p rollout.Phase) rollout.Phase {
	if p.Final() {
		return p
	}
	return rollout.PhaseTrial
}

// note keeps why an order is where it is, and whether this VM decides.
func (r *rollouts) note(o *order, reason string, decides bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o.reason, o.decides = reason, decides
}

// usableSlots returns the slots of the workers of a track that can be used.
func (g *Gateway) usableSlots(service string, track worker.Track) int {
	s := g.snapshot.Load()
	if s == nil {
		return 0
	}
	now, slots := clock.Now(), 0
	brought := track == worker.TrackNew
	for _, w := range s.Workers.Track(service, track) {
		if _, ready := g.loads.Availability(w, now).(worker.Ready); ready && w.New == brought && !g.placer.IsCold(s, w) {
			slots += w.Slots
		}
	}
	return slots
}

// writeRollout writes how far an order has come. If anybody else has changed the order, its
// new state is taken in, and the next round writes again.
func (g *Gateway) writeRollout(ctx context.Context, o *order, phase rollout.Phase) {
	next, fresh := g.rollouts.toWrite(o, phase)
	if !fresh {
		return
	}
	defer g.rollouts.written(o)
	status, err := g.cfg.Codec.EncodeRollout(next)
	if err != nil {
		g.log.Error(err, "rollout: status", "service", next.Service)
		return
	}
	g.storeBackoff.wait(ctx, maxBackoff)
	revision, err := g.cfg.Store.ReplaceStatus(ctx, g.cfg.Codec.RolloutKind(), next.Service, next.Revision, status)
	if errors.Is(err, ErrConflict) {
		g.storeBackoff.recordResult(nil) // The store answers.
	} else {
		g.storeBackoff.recordResult(err)
	}
	if err != nil {
		g.log.Info("rollout: status not written", "service", next.Service, "state", phase.String(), "error", err.Error())
		g.readRollout(ctx, o)
		return
	}
	next.Revision = revision
	g.rollouts.wrote(o, next)
	g.log.Info("rollout: status written", "service", next.Service, "version", next.Name, "state", phase.String(), "revision", revision)
}

// toWrite returns an order with a phase, and false while another write is under way.
func (r *rollouts) toWrite(o *order, phase rollout.Phase) (rollout.Order, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := o.stored
	if o.writing || next.Phase.Final() {
		return next, false
	}
	o.writing = true
	next.Phase = phase
	if next.Since.IsZero() {
		next.Since = o.heard
	}
	return next, true
}

func (r *rollouts) written(o *order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o.writing = false
}

// wrote notes what the store has of an order.
func (r *rollouts) wrote(o *order, stored rollout.Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if stored.Version != o.version || stored.Revision < o.stored.Revision {
		return
	}
	o.stored = stored
	if stored.Phase.Final() {
		o.share.Apply(rolling.Step{Phase: stored.Phase})
	}
}

// state returns an order as the store has it, and when it is to be done.
func (r *rollouts) state(o *order) (rollout.Order, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return o.stored, o.end
}

// readRollout reads an order whose write failed: the answer may have been lost, or the
// order may have been changed.
func (g *Gateway) readRollout(ctx context.Context, o *order) {
	object, err := g.cfg.Store.Get(ctx, g.cfg.Codec.RolloutKind(), o.service)
	if err != nil {
		g.log.V(1).Info("rollout: order not read", "service", o.service, "error", err.Error())
		return
	}
	if held, err := g.cfg.Codec.Rollout(object); err == nil {
		g.rollouts.wrote(o, held)
	}
}

// rolloutSteps returns how far orders have come, as it is told to all VMs.
func (g *Gateway) rolloutSteps(open []*order) *peerpb.Rollouts {
	now := clock.Now()
	message := &peerpb.Rollouts{ForHall: true}
	for _, o := range open {
		message.Steps = append(message.Steps, g.toStep(o, now))
	}
	return message
}

// askRollouts tells all VMs how far orders have come, and asks what they have seen: one VM
// of each hall does so for its hall. With 985 VMs in nine halls that is 8 calls here, and
// some 110 at one VM of each hall.
func (g *Gateway) askRollouts(ctx context.Context, message *peerpb.Rollouts) sight {
	seen := make(sight)
	var mu sync.Mutex
	var asked sync.WaitGroup
	for hall := range g.cfg.Halls {
		asked.Go(func() {
			reports := g.askHall(ctx, hall, message)
			mu.Lock()
			defer mu.Unlock()
			for _, r := range reports {
				if o, ok := g.rollouts.find(r.GetService(), rollout.Version(r.GetVersion())); ok {
					seen.join(o.service, fromReport(r))
				}
			}
		})
	}
	asked.Wait()
	return seen
}

// askHall asks the VMs of one hall. Those that are not reached are missing in the sum.
func (g *Gateway) askHall(ctx context.Context, hall string, message *peerpb.Rollouts) []*peerpb.RolloutReport {
	if hall == g.cfg.Hall {
		return g.hearRollouts(ctx, g.cfg.VM, message).GetReports()
	}
	vms := g.inHall(hall)
	for _, m := range vms[:min(len(vms), hallTries)] {
		reply, err := g.callOfRollouts(ctx, m, message, hallTimeout)
		if err == nil {
			return reply
		}
		g.log.Info("rollout: a hall was not asked", "peer", m.ID, "hall", hall, "error", err.Error())
	}
	return nil
}

func (g *Gateway) callOfRollouts(ctx context.Context, m membership.Member, message *peerpb.Rollouts, timeout time.Duration) ([]*peerpb.RolloutReport, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := g.peers.Call(ctx, peer.Target{VM: m.ID, Address: m.Peer}, &peerpb.Envelope{Kind: &peerpb.Envelope_Rollouts{Rollouts: message}})
	g.cfg.Metrics.PeerCall("rollouts", err)
	return reply.GetRolloutReports().GetReports(), err
}

// hearRollouts takes in how far orders have come, and returns what this VM has seen, or
// all VMs of its hall.
func (g *Gateway) hearRollouts(ctx context.Context, from string, message *peerpb.Rollouts) *peerpb.RolloutReports {
	for _, step := range message.GetSteps() {
		g.hearStep(from, step)
	}
	seen := make(map[*order]*rollout.Report)
	for _, o := range g.rollouts.underWay() {
		own := g.rolloutReport(o)
		seen[o] = &own
	}
	if message.GetForHall() {
		g.askNeighbors(ctx, &peerpb.Rollouts{Steps: message.GetSteps()}, seen)
	}
	reply := &peerpb.RolloutReports{}
	for o, r := range seen {
		reply.Reports = append(reply.Reports, toReport(o, r))
	}
	return reply
}

// askNeighbors adds what the other VMs of this VM's hall have seen.
func (g *Gateway) askNeighbors(ctx context.Context, message *peerpb.Rollouts, seen map[*order]*rollout.Report) {
	var mu sync.Mutex
	var asked sync.WaitGroup
	places := make(chan struct{}, maxConcurrentReports)
	for _, m := range g.inHall(g.cfg.Hall) {
		places <- struct{}{}
		asked.Go(func() {
			defer func() { <-places }()
			reports, err := g.callOfRollouts(ctx, m, message, vmTimeout)
			if err != nil {
				g.log.V(1).Info("rollout: a VM was not asked", "peer", m.ID, "error", err.Error())
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, r := range reports {
				if o, ok := g.rollouts.find(r.GetService(), rollout.Version(r.GetVersion())); ok && seen[o] != nil {
					seen[o].Merge(fromReport(r))
				}
			}
		})
	}
	asked.Wait()
}

// hearStep takes in how far one order has come. One that this VM has not heard of yet is
// left for the next time: until then it sends nothing to the new version.
func (g *Gateway) hearStep(from string, message *peerpb.RolloutStep) {
	o, ok := g.rollouts.find(message.GetService(), rollout.Version(message.GetVersion()))
	if !ok || from == g.cfg.VM {
		return
	}
	step, err := fromStep(message)
	if err != nil {
		g.log.Info("rollout: a step that cannot be read", "peer", from, "service", o.service, "error", err.Error())
		return
	}
	if o.share.Apply(step) {
		g.log.V(1).Info("rollout: another VM has decided", "service", o.service, "version", o.name, "phase", step.Phase.String(), "peer", from)
	}
	g.rollouts.note(o, step.Reason, false)
	g.rollouts.until(o, clock.Now().Add(time.Duration(message.GetLeftMillis())*time.Millisecond))
}

// until notes when an order is to be done, if another VM has heard of it earlier.
func (r *rollouts) until(o *order, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.Before(o.end) {
		o.end = until
	}
}

// rolloutReport returns what this VM has seen of one order.
func (g *Gateway) rolloutReport(o *order) rollout.Report {
	r := o.share.Report()
	s := g.snapshot.Load()
	if s == nil {
		return r
	}
	r.InFlightOld = g.underWay(s.Workers.Service(o.service))
	r.InFlightNew = g.underWay(s.Workers.Track(o.service, worker.TrackNew))
	return r
}

// underWay returns how many requests of this VM workers have.
func (g *Gateway) underWay(workers []*worker.Worker) int {
	n := 0
	for _, w := range workers {
		if load, ok := g.loads.Lookup(w.Incarnation()); ok {
			n += load.InFlight()
		}
	}
	return n
}
