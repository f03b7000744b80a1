// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/ryehill/ryehill/coordination/traffic"
	"github.com/ryehill/ryehill/state/load"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/transport/operator"
)

// operatorHandler serves metrics and, to holders of the token, intents, status and
// explanations.
func (g *Gateway) operatorHandler() http.Handler {
	return operator.NewGateway(operator.GatewayConfig{
		Token: g.cfg.Token, Metrics: g.cfg.Metrics, Ready: g.Ready, FindDecision: g.decisions.Find,
		Status: g.status, Traffic: g.traffic,
		Quarantine: operator.QuarantineConfig{All: g.quarantines.table.All, Release: g.releaseQuarantined},
		Rollouts:   operator.RolloutsConfig{All: g.rolloutStatuses, Stop: g.stopRollout},
		Intents: operator.IntentsConfig{
			VM: g.cfg.VM, Log: g.log, Store: trafficStore{g}, View: g.planView,
			OnChange: func(traffic.Result) {}, // The store applies what it has written.
		},
	})
}

// status returns this VM's view of the fleet.
func (g *Gateway) status(ctx context.Context) operator.Status {
	s := operator.Status{
		VM: g.cfg.VM, Hall: g.cfg.Hall, Generation: g.trafficVersion().Revision, Platform: "up",
		Members: []operator.MemberStatus{operator.NewMemberStatus(g.members.Self())},
	}
	switch age, known := g.maxReplicaAge(); {
	case !known:
		s.Platform = "away: not heard of yet"
	case age > g.cfg.StaleAfter+outageMargin:
		s.Platform = "away: not heard of for " + age.Round(time.Millisecond).String()
	}
	for _, m := range g.members.Others() {
		s.Members = append(s.Members, operator.NewMemberStatus(m))
	}
	for _, h := range g.hallStatuses(ctx) {
		s.Halls = append(s.Halls, h)
	}
	slices.SortFunc(s.Halls, func(a, b load.HallStatus) int { return strings.Compare(a.Hall, b.Hall) })
	heldBack := g.heldBack()
	s.Unused, s.HeldBack = g.unused.list(), heldBack[:min(len(heldBack), maxHeldBack)]
	t := g.traffic()
	s.Moves, s.Caps, s.Leaving = t.Moves, t.Caps, t.Leaving
	return s
}

// traffic returns the operators' current moves and caps.
func (g *Gateway) traffic() *spec.Traffic {
	if s := g.snapshot.Load(); s != nil && s.Traffic != nil {
		return s.Traffic.Traffic()
	}
	return &spec.Traffic{}
}
