// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"fmt"
	"time"

	"github.com/ryehill/ryehill/coordination/capacity"
	"github.com/ryehill/ryehill/coordination/steer"
	"github.com/ryehill/ryehill/state/decision"
)

// RuleFailover sends a request to another hall because its own hall has no usable
// upstream of the service. It is no move by an operator, so no cap limits it; the
// receiver's grants do.
const RuleFailover steer.Rule = "failover"

// route is the destination of an attempt: localRoute, waitRoute or hallRoute.
type route interface{ describe() string }

// localRoute runs the request in this hall: at an upstream of this VM, or of
// another VM of the hall if all slots of this one are in use.
type localRoute struct{}

// waitRoute waits for a slot of this VM's upstreams.
type waitRoute struct{}

// hallRoute runs the request in another hall under a grant.
type hallRoute struct {
	hall string
	use  *capacity.GrantUse
	// refund returns what the move charged to its cap, or is nil.
	refund func()
}

func (localRoute) describe() string { return "own hall" }

func (waitRoute) describe() string { return "own upstreams, waiting" }

func (r hallRoute) describe() string {
	return "hall " + r.hall + " at VM " + r.use.Grant().Lender
}

// firstRoute chooses between this hall and the target of a move. The cap is
// charged last, since the earlier checks can be undone without a refund.
func (e *Engine) firstRoute(r *Request, c steer.Candidate, d *decision.Record) route {
	rule := c.Rule()
	if rule != steer.RuleMove {
		d.Rule = string(rule)
		return localRoute{}
	}
	total, moved := e.cfg.Steerer.Counts(c.Move().ID)
	d.Inputs = append(d.Inputs,
		decision.Input{Name: "move " + c.Move().ID, Value: fmt.Sprintf("share %s, cap %s", c.Move().Share, c.Move().Cap)},
		decision.Input{Name: "counted at this VM", Value: fmt.Sprintf("%d requests, %d moved", total, moved)},
	)
	use := e.cfg.Holder.AcquireSlot(capacity.Source{Service: r.Service, Hall: c.Target()})
	switch {
	case use == nil:
		rule = steer.RuleNoGrant
	case !e.cfg.Links.Admit(c.Target()):
		rule = steer.RuleLink
	case !c.Spend():
		rule = steer.RuleCap
	default:
		d.Rule = string(steer.RuleMove)
		d.Inputs = append(d.Inputs, grantInput(use.Grant()))
		return hallRoute{hall: c.Target(), use: use, refund: c.Refund}
	}
	if use != nil {
		use.Done()
	}
	d.Rule = string(rule)
	return localRoute{}
}

// failover returns a route to the nearest hall that has granted a slot, or false.
// For each hall without one, the next renewal of grants requests a slot.
func (e *Engine) failover(r *Request, d *decision.Record) (route, bool) {
	for _, hall := range e.cfg.View().NearestHalls(e.cfg.Self.Hall, r.Service) {
		use := e.cfg.Holder.AcquireSlot(capacity.Source{Service: r.Service, Hall: hall})
		if use == nil {
			continue
		}
		if !e.cfg.Links.Admit(hall) {
			use.Done()
			continue
		}
		d.Rule = string(RuleFailover)
		d.Inputs = append(d.Inputs, grantInput(use.Grant()))
		return hallRoute{hall: hall, use: use}, true
	}
	return nil, false
}

func grantInput(g capacity.HeldGrant) decision.Input {
	return decision.Input{
		Name:  "grant",
		Value: fmt.Sprintf("%d slots from VM %s, %s left", g.Slots, g.Lender, time.Until(g.ExpiresAt).Round(time.Millisecond)),
	}
}
