// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/ryehill/ryehill/coordination/assign"
	"github.com/ryehill/ryehill/coordination/traffic"
	"github.com/ryehill/ryehill/internal/clock"
)

// controlInterval is the time between two checks of the active moves.
const controlInterval = time.Second

// controlLoop advances the operators' moves while this VM is the controller. Two VMs
// that both consider themselves the controller do not conflict, because each step is a
// write conditional on an unchanged traffic object. No lease is needed, and an idle
// fleet makes no calls to the store.
func (g *Gateway) controlLoop(ctx context.Context) {
	for number := 1; ctx.Err() == nil; number++ {
		sleep(ctx, controlInterval)
		if !g.Ready() || !traffic.HasActiveMoves(g.traffic()) || !g.isController() {
			continue
		}
		g.step(ctx, "step-"+g.cfg.VM+"-"+strconv.FormatUint(g.self.Start, 36)+"-"+strconv.Itoa(number))
	}
}

// isController reports whether this VM is the controller among the live ones.
func (g *Gateway) isController() bool {
	var ids []string
	for _, m := range g.liveMembers() {
		ids = append(ids, m.ID)
	}
	controller := assign.Top("controller", ids, 1)
	return len(controller) > 0 && controller[0] == g.cfg.VM
}

func (g *Gateway) step(ctx context.Context, operation string) {
	written, actions, err := traffic.Step(ctx, traffic.StepConfig{
		Store: trafficStore{g}, Fleet: g.planView(g.traffic()).Fleet(), Now: clock.Now,
		Operation: func() string { return operation }, IsController: g.isController,
	})
	if err != nil {
		g.log.Info("controller: no step", "error", err.Error())
		return
	}
	if len(actions) == 0 {
		return
	}
	for _, a := range actions {
		g.cfg.Metrics.Stepped(string(a.Rule))
		g.log.Info("controller: "+string(a.Rule), "move", a.Move, "reason", a.Reason, "version", written.Version.Revision)
	}
}
