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
	// rolloutInterval is the time between two rounds in which the deciding VM collects
	// reports from all others. The permission that a step gives a VM outlasts six of
	// them.
	rolloutInterval = 300 * time.Millisecond
	// shiftInterval replaces rolloutInterval from the shift phase on.
	shiftInterval = 100 * time.Millisecond
	// orderPollInterval is the poll interval while no order is active.
	orderPollInterval = time.Second
	// hallTimeout bounds a call for the reports of a whole hall, vmTimeout one for a
	// single VM's.
	hallTimeout = 500 * time.Millisecond
	vmTimeout   = 300 * time.Millisecond
	// maxHallAttempts is the number of VMs of a hall that are tried in turn.
	maxHallAttempts = 2
	// rolloutWatchHold is how long the store holds a watch for orders open. How soon a
	// new order is noticed is not bounded, only how long it takes to carry out.
	rolloutWatchHold = 5 * time.Second
)

// reportsByService holds the merged reports on active orders, by service.
type reportsByService map[string]*rollout.Report

// merge adds a report to that of its service. The caller has checked the version.
func (s reportsByService) merge(service string, r rollout.Report) {
	sum, ok := s[service]
	if !ok {
		empty := rollout.NewReport()
		sum = &empty
		s[service] = sum
	}
	sum.Merge(r)
}

// rolloutWatchLoop keeps the rollout orders in the replica up to date while this VM
// watches the store for others or has not read any orders yet.
func (g *Gateway) rolloutWatchLoop(ctx context.Context) {
	kind := g.cfg.Codec.RolloutKind()
	g.waitForPeers(ctx, kind)
	historyExpired := false
	for ctx.Err() == nil {
		if _, known := g.replica.CompleteUpTo(kind); known && !g.watchesStore() && !historyExpired {
			select {
			case <-ctx.Done():
			case <-g.watchRequested():
			}
			continue
		}
		g.storeBackoff.wait(ctx, g.maxStoreBackoff())
		_, err := g.refresh(ctx, kind, rolloutWatchHold, historyExpired)
		historyExpired = errors.Is(err, ErrHistoryExpired)
		g.storeBackoff.recordResult(err)
		g.knowledge.recordStoreCall(kind, err)
	}
}

// rolloutLoop advances orders while this VM is the controller. Two VMs that both consider
// themselves the controller do not conflict: phases only advance, and writes to the store
// are conditional on the revision.
func (g *Gateway) rolloutLoop(ctx context.Context) {
	wait := rolloutInterval
	for ctx.Err() == nil {
		sleep(ctx, wait)
		wait = rolloutInterval
		active := g.rollouts.active()
		if len(active) == 0 {
			wait = orderPollInterval
			continue
		}
		if !g.Ready() || !g.settled() || !g.isController() {
			continue
		}
		begun := clock.Now()
		reports := g.collectRolloutReports(ctx, g.rolloutSteps(active))
		took := clock.Since(begun)
		for _, o := range active {
			wait = min(wait, g.decideRollout(ctx, o, reports[o.service], took))
		}
	}
}

// decideRollout advances one order, given how long its reports took to collect, and returns
// when to check it again.
func (g *Gateway) decideRollout(ctx context.Context, o *order, report *rollout.Report, roundTime time.Duration) time.Duration {
	now := clock.Now()
	if report == nil {
		return rolloutInterval
	}
	held, deadline := g.rollouts.storedAndDeadline(o)
	if o.decider == nil {
		o.decider = rolling.NewDecider(rolling.DeciderConfig{Order: held})
	}
	previous, timeLeft := o.decider.Phase(), deadline.Sub(now)
	live := g.liveMembers()
	step := o.decider.Decide(rolling.Inputs{
		Now: now, TimeLeft: timeLeft, Report: *report, VMs: len(live), Isolated: countIsolated(live), Slots: g.usableSlots(o.service, worker.TrackNew), OldSlots: g.usableSlots(o.service, worker.TrackStable),
		CanarySlots: g.usableSlots(o.service, worker.TrackCanary), RoundTime: roundTime,
	})
	if step.Phase != previous {
		g.log.Info("rollout: "+step.Phase.String(), "service", o.service, "version", o.name, "reason", step.Reason,
			"left_ms", timeLeft.Milliseconds(), "vms", report.VMsAtLeast(rollout.PhaseOrdered))
		g.cfg.Metrics.RolloutPhase(o.service, int(step.Phase))
	}
	g.rollouts.recordReason(o, step.Reason, true)
	if step.Phase == previous && now.Sub(o.loggedAt) >= time.Second {
		o.loggedAt = now
		g.log.Info("rollout: in progress", "service", o.service, "phase", step.Phase.String(), "reason", step.Reason, "left_ms", timeLeft.Milliseconds(),
			"under_way_old", report.InFlightOld, "under_way_new", report.InFlightNew, "vms", report.VMsAtLeast(rollout.PhaseOrdered))
	}
	if step.Phase > rollout.PhaseOrdered && held.Phase != storedPhase(step.Phase) {
		go g.writeRollout(ctx, o, storedPhase(step.Phase))
	}
	if step.Phase == rollout.PhaseCompleted {
		return shiftInterval // The completion takes effect once it is stored.
	}
	o.splitter.Apply(step)
	switch {
	case step.Phase != previous:
		return 0
	case step.Phase >= rollout.PhaseShift:
		return shiftInterval
	}
	return rolloutInterval
}

// storedPhase maps a phase to the one that is stored: all active phases are stored as
// PhaseTrial.
func storedPhase(p rollout.Phase) rollout.Phase {
	if p.Final() {
		return p
	}
	return rollout.PhaseTrial
}

// recordReason records why an order is in its phase and whether this VM decides on it.
func (r *rollouts) recordReason(o *order, reason string, decides bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o.reason, o.isDecider = reason, decides
}

// usableSlots returns the number of slots of the track's ready and warm workers.
func (g *Gateway) usableSlots(service string, track worker.Track) int {
	s := g.snapshot.Load()
	if s == nil {
		return 0
	}
	now, slots := clock.Now(), 0
	isNew := track != worker.TrackStable
	for _, w := range s.Workers.Track(service, track) {
		if _, ready := g.loads.Availability(w, now).(worker.Ready); ready && w.New == isNew && !g.placer.IsCold(s, w) {
			slots += w.Slots
		}
	}
	return slots
}

// writeRollout stores the phase of an order. On a conflict it reads the stored order, and
// the next round writes again.
func (g *Gateway) writeRollout(ctx context.Context, o *order, phase rollout.Phase) {
	next, ok := g.rollouts.beginWrite(o, phase)
	if !ok {
		return
	}
	defer g.rollouts.endWrite(o)
	status, err := g.cfg.Codec.EncodeRollout(next)
	if err != nil {
		g.log.Error(err, "rollout: encode status", "service", next.Service)
		return
	}
	g.storeBackoff.wait(ctx, maxBackoff)
	written, err := g.cfg.Store.ReplaceStatus(ctx, g.cfg.Codec.RolloutKind(), next.Service, next.Entry, status)
	if errors.Is(err, ErrConflict) {
		g.storeBackoff.recordResult(nil) // A conflict is a response of the store.
	} else {
		g.storeBackoff.recordResult(err)
	}
	if err != nil {
		g.log.Info("rollout: status not written", "service", next.Service, "state", phase.String(), "error", err.Error())
		g.readRollout(ctx, o)
		return
	}
	if written.Era != next.Entry.Era {
		// The condition may have matched the order of another era.
		g.readRollout(ctx, o)
		return
	}
	next.Entry = written
	g.rollouts.recordStored(o, next)
	g.log.Info("rollout: status written", "service", next.Service, "version", next.Name, "state", phase.String(), "revision", written.Revision)
}

// beginWrite returns the order with the new phase. It returns false if another write is
// in progress or the stored phase is final.
func (r *rollouts) beginWrite(o *order, phase rollout.Phase) (rollout.Order, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := o.stored
	if o.writing || next.Phase.Final() {
		return next, false
	}
	o.writing = true
	next.Phase = phase
	if next.Since.IsZero() {
		next.Since = o.firstSeenAt
	}
	return next, true
}

func (r *rollouts) endWrite(o *order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o.writing = false
}

// recordStored records the stored state of an order unless it is older than the known
// one.
func (r *rollouts) recordStored(o *order, stored rollout.Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if stored.Version != o.version || stored.Entry.Before(o.stored.Entry) {
		return
	}
	o.stored = withKnownPhase(stored, o.stored)
	if stored.Phase.Final() {
		o.splitter.Apply(rolling.Step{Phase: stored.Phase})
	}
}

// storedAndDeadline returns the stored order and its deadline.
func (r *rollouts) storedAndDeadline(o *order) (rollout.Order, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return o.stored, o.deadline
}

// readRollout reads an order after a failed write: the write may have succeeded with its
// response lost, or the order may have changed.
func (g *Gateway) readRollout(ctx context.Context, o *order) {
	object, err := g.cfg.Store.Get(ctx, g.cfg.Codec.RolloutKind(), o.service)
	if err != nil {
		g.log.V(1).Info("rollout: order not read", "service", o.service, "error", err.Error())
		return
	}
	if held, err := g.cfg.Codec.Rollout(object); err == nil {
		g.rollouts.recordStored(o, held)
	}
}

// rolloutSteps encodes the current steps of orders for all VMs.
func (g *Gateway) rolloutSteps(active []*order) *peerpb.Rollouts {
	now := clock.Now()
	message := &peerpb.Rollouts{ForHall: true}
	for _, o := range active {
		message.Steps = append(message.Steps, g.toStep(o, now))
	}
	return message
}

// collectRolloutReports sends the steps of all orders to all VMs and merges their reports. It
// calls one VM of each hall, which collects the reports of its hall.
func (g *Gateway) collectRolloutReports(ctx context.Context, message *peerpb.Rollouts) reportsByService {
	merged := make(reportsByService)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for hall := range g.cfg.Halls {
		wg.Go(func() {
			reports := g.collectHallReports(ctx, hall, message)
			mu.Lock()
			defer mu.Unlock()
			for _, r := range reports {
				if o, ok := g.rollouts.find(r.GetService(), rollout.Version(r.GetVersion())); ok {
					merged.merge(o.service, fromReport(r))
				}
			}
		})
	}
	wg.Wait()
	return merged
}

// collectHallReports returns the reports of one hall. VMs that cannot be reached are
// missing from the sum.
func (g *Gateway) collectHallReports(ctx context.Context, hall string, message *peerpb.Rollouts) []*peerpb.RolloutReport {
	if hall == g.cfg.Hall {
		return g.handleRollouts(ctx, g.cfg.VM, message).GetReports()
	}
	vms := g.hallPeers(hall)
	for _, m := range vms[:min(len(vms), maxHallAttempts)] {
		reply, err := g.callRollouts(ctx, m, message, hallTimeout)
		if err == nil {
			return reply
		}
		g.log.Info("rollout: no reports from hall", "peer", m.ID, "hall", hall, "error", err.Error())
	}
	return nil
}

func (g *Gateway) callRollouts(ctx context.Context, m membership.Member, message *peerpb.Rollouts, timeout time.Duration) ([]*peerpb.RolloutReport, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := g.peers.Call(ctx, peer.Target{VM: m.ID, Address: m.Peer}, &peerpb.Envelope{Kind: &peerpb.Envelope_Rollouts{Rollouts: message}})
	g.cfg.Metrics.PeerCall("rollouts", err)
	return reply.GetRolloutReports().GetReports(), err
}

// handleRollouts applies the steps it is sent and returns this VM's reports, merged with
// those of the other VMs of its hall if the message requests that.
func (g *Gateway) handleRollouts(ctx context.Context, from string, message *peerpb.Rollouts) *peerpb.RolloutReports {
	for _, step := range message.GetSteps() {
		g.applyStep(from, step)
	}
	reports := make(map[*order]*rollout.Report)
	for _, o := range g.rollouts.active() {
		own := g.rolloutReport(o)
		reports[o] = &own
	}
	if message.GetForHall() {
		g.mergeHallReports(ctx, &peerpb.Rollouts{Steps: message.GetSteps()}, reports)
	}
	reply := &peerpb.RolloutReports{}
	for o, r := range reports {
		reply.Reports = append(reply.Reports, toReport(o, r))
	}
	return reply
}

// mergeHallReports merges the reports of the other VMs of this VM's hall.
func (g *Gateway) mergeHallReports(ctx context.Context, message *peerpb.Rollouts, merged map[*order]*rollout.Report) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentReports)
	for _, m := range g.hallPeers(g.cfg.Hall) {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			reports, err := g.callRollouts(ctx, m, message, vmTimeout)
			if err != nil {
				g.log.V(1).Info("rollout: no reports from VM", "peer", m.ID, "error", err.Error())
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, r := range reports {
				if o, ok := g.rollouts.find(r.GetService(), rollout.Version(r.GetVersion())); ok && merged[o] != nil {
					merged[o].Merge(fromReport(r))
				}
			}
		})
	}
	wg.Wait()
}

// applyStep applies the step of one order. A step of an unknown order is ignored: this VM
// sends nothing to the new version until it has read the order.
func (g *Gateway) applyStep(from string, message *peerpb.RolloutStep) {
	o, ok := g.rollouts.find(message.GetService(), rollout.Version(message.GetVersion()))
	if !ok || from == g.cfg.VM {
		return
	}
	step, err := fromStep(message)
	if err != nil {
		g.log.Info("rollout: step rejected", "peer", from, "service", o.service, "error", err.Error())
		return
	}
	if o.splitter.Apply(step) {
		g.log.V(1).Info("rollout: phase set by another VM", "service", o.service, "version", o.name, "phase", step.Phase.String(), "peer", from)
	}
	g.rollouts.recordReason(o, step.Reason, false)
	g.rollouts.lowerDeadline(o, clock.Now().Add(time.Duration(message.GetLeftMillis())*time.Millisecond))
}

// lowerDeadline moves the deadline forward if another VM saw the order earlier.
func (r *rollouts) lowerDeadline(o *order, deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if deadline.Before(o.deadline) {
		o.deadline = deadline
	}
}

// rolloutReport returns this VM's report on one order.
func (g *Gateway) rolloutReport(o *order) rollout.Report {
	r := o.splitter.Report()
	s := g.snapshot.Load()
	if s == nil {
		return r
	}
	if s.Splitters[o.service] != o.splitter {
		// This VM's requests do not follow the order yet.
		r.VMs = rollout.NewReport().VMs
		r.VMs[rollout.PhaseOrdered] = 1
	}
	r.InFlightOld += g.inFlightRequests(s.Workers.Service(o.service))
	r.InFlightNew = g.inFlightRequests(s.Workers.Track(o.service, worker.TrackNew))
	return r
}

// inFlightRequests returns the number of this VM's requests in flight at workers.
func (g *Gateway) inFlightRequests(workers []*worker.Worker) int {
	n := 0
	for _, w := range workers {
		if load, ok := g.loads.Lookup(w.Incarnation()); ok {
			n += load.InFlight()
		}
	}
	return n
}
