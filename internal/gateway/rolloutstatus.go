// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"maps"
	"slices"
	"strings"

	rolling "github.com/ryehill/ryehill/coordination/rollout"
	"github.com/ryehill/ryehill/internal/clock"
	"github.com/ryehill/ryehill/state/rollout"
	"github.com/ryehill/ryehill/transport/operator"
)

// rolloutStatuses returns the status of all known orders, sorted by service, for
// operators.
func (g *Gateway) rolloutStatuses() []operator.RolloutStatus {
	g.rollouts.mu.Lock()
	orders := slices.Collect(maps.Values(g.rollouts.orders))
	g.rollouts.mu.Unlock()
	statuses := make([]operator.RolloutStatus, 0, len(orders))
	for _, o := range orders {
		statuses = append(statuses, g.rolloutStatus(o))
	}
	slices.SortFunc(statuses, func(a, b operator.RolloutStatus) int { return strings.Compare(a.Service, b.Service) })
	return statuses
}

func (g *Gateway) rolloutStatus(o *order) operator.RolloutStatus {
	report := o.splitter.Report()
	g.rollouts.mu.Lock()
	defer g.rollouts.mu.Unlock()
	s := operator.RolloutStatus{
		Service: o.service, Version: o.name, Phase: o.splitter.Phase().String(), Reason: o.reason,
		LeftMillis: o.deadline.Sub(clock.Now()).Milliseconds(), Decides: o.isDecider,
	}
	s.Requests, s.Sent = o.splitter.Counts()
	newByRoute := report.NewByRoute()
	for _, route := range slices.Sorted(maps.Keys(report.Old)) {
		s.Routes = append(s.Routes, operator.RolloutRoute{Route: route, Old: report.Old[route], New: newByRoute[route]})
	}
	return s
}

// stopRollout rolls an order back on an operator's request. This VM's next report carries
// the rollback, and the deciding VM adopts it. It returns false if there is no active
// order.
func (g *Gateway) stopRollout(service string) bool {
	o, ok := g.rollouts.byService(service)
	if !ok || o.splitter.Phase().Final() {
		return false
	}
	g.log.Info("rollout: stopped by an operator", "service", service, "version", o.name)
	const reason = "an operator has stopped it"
	o.splitter.Apply(rolling.Step{Phase: rollout.PhaseRolledBack, Reason: reason})
	g.rollouts.recordReason(o, reason, false)
	return true
}

// byService returns the order of a service.
func (r *rollouts) byService(service string) (*order, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.orders[service]
	return o, ok
}
