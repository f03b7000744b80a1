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

// rolloutStatuses returns the orders that this VM knows, for operators.
func (g *Gateway) rolloutStatuses() []operator.RolloutStatus {
	g.rollouts.mu.Lock()
	orders := slices.Collect(maps.Values(g.rollouts.orders))
	g.rollouts.mu.Unlock()
	shown := make([]operator.RolloutStatus, 0, len(orders))
	for _, o := range orders {
		shown = append(shown, g.rolloutStatus(o))
	}
	slices.SortFunc(shown, func(a, b operator.RolloutStatus) int { return strings.Compare(a.Service, b.Service) })
	return shown
}

func (g *Gateway) rolloutStatus(o *order) operator.RolloutStatus {
	report := o.share.Report()
	g.rollouts.mu.Lock()
	defer g.rollouts.mu.Unlock()
	s := operator.RolloutStatus{
		Service: o.service, Version: o.name, Phase: o.share.Phase().String(), Reason: o.reason,
		LeftMillis: o.end.Sub(clock.Now()).Milliseconds(), Decides: o.decides,
	}
	s.Requests, s.Sent = o.share.Counts()
	brought := report.NewByRoute()
	for _, route := range slices.Sorted(maps.Keys(report.Old)) {
		s.Routes = append(s.Routes, operator.RolloutRoute{Route: route, Old: report.Old[route], New: brought[route]})
	}
	return s
}

// stopRollout rolls an order back. This VM says so in its next report, and the VM that
// decides takes that over.
func (g *Gateway) stopRollout(service string) bool {
	o, ok := g.rollouts.of(service)
	if !ok || o.share.Phase().Final() {
		return false
	}
	g.log.Info("rollout: stopped by an operator", "service", service, "version", o.name)
	const reason = "an operator has stopped it"
	o.share.Apply(rolling.Step{Phase: rollout.PhaseRolledBack, Reason: reason})
	g.rollouts.note(o, reason, false)
	return true
}

// of returns the order for a service.
func (r *rollouts) of(service string) (*order, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.orders[service]
	return o, ok
}
