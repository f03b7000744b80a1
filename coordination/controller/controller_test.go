// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package controller_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/ryehill/ryehill/coordination/controller"
	"github.com/ryehill/ryehill/state/load"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/share"
	"github.com/ryehill/ryehill/state/spec"
)

var now = time.Unix(1_800_000_000, 0)

func facts(target load.ServiceStatus) controller.Facts {
	status := func(hall string, s load.ServiceStatus) load.HallStatus {
		return load.HallStatus{Hall: hall, At: now.UnixMilli(), Generation: 9, VMs: 2, Services: map[string]load.ServiceStatus{"lookup": s}}
	}
	return controller.Facts{
		Fleet: &spec.Fleet{Halls: []spec.Hall{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}}},
		Traffic: spec.Traffic{Moves: []spec.Move{{
			ID: "m", Service: "lookup", From: "a", Targets: []spec.Target{{Hall: "b", Weight: 1}},
			Goal: 50 * share.Percent, Cap: 40 * share.Percent, Step: 5 * share.Percent, Share: 10 * share.Percent,
			State: spec.MoveMoving, ChangedAt: now.Add(-time.Minute).UnixMilli(),
		}}},
		Version: object.Version{Revision: 9}, Now: now,
		Halls: map[string]load.HallStatus{"a": status("a", load.ServiceStatus{Usable: 20, Busy: 10}), "b": status("b", target)},
	}
}

func TestRules(t *testing.T) {
	idle := load.ServiceStatus{Usable: 20}
	cases := map[string]struct {
		change func(*controller.Facts)
		target load.ServiceStatus
		rule   controller.Rule
		share  share.PPM
		state  spec.MoveState
	}{
		"steps":                {target: idle, rule: controller.RuleStep, share: 150_000, state: spec.MoveMoving},
		"short of headroom":    {target: load.ServiceStatus{Usable: 20, InUse: 19}, rule: controller.RuleHeadroom, share: 100_000, state: spec.MovePaused},
		"full":                 {target: load.ServiceStatus{Usable: 20, InUse: 20}, rule: controller.RuleStepBack, share: 50_000, state: spec.MoveMoving},
		"below half its slots": {target: load.ServiceStatus{Usable: 5, InUse: 9}, rule: controller.RuleStepBack, share: 50_000, state: spec.MoveMoving},
		"requests wait":        {target: load.ServiceStatus{Usable: 20, Waiting: 1}, rule: controller.RuleWaiting, share: 100_000, state: spec.MovePaused},
		"limited spare slots":  {target: load.ServiceStatus{Usable: 20, Busy: 17.5}, rule: controller.RuleStep, share: 125_000, state: spec.MoveMoving},
		"stale source": {target: idle, rule: controller.RuleStale, share: 100_000, state: spec.MovePaused, change: func(f *controller.Facts) {
			h := f.Halls["a"]
			h.At -= 16_000
			f.Halls["a"] = h
		}},
		"target has no status": {target: idle, rule: controller.RuleStale, share: 100_000, state: spec.MovePaused, change: func(f *controller.Facts) {
			delete(f.Halls, "b")
		}},
		"not in force at all VMs":  {target: idle, share: 100_000, state: spec.MoveMoving, change: func(f *controller.Facts) { f.Version.Revision = 10 }},
		"not in force in this era": {target: idle, share: 100_000, state: spec.MoveMoving, change: func(f *controller.Facts) { f.Version = object.Version{Era: 1, Revision: 3} }},
		"interval not elapsed": {target: idle, share: 100_000, state: spec.MoveMoving, change: func(f *controller.Facts) {
			f.Traffic.Moves[0].ChangedAt = now.UnixMilli()
		}},
		"at the cap": {target: idle, rule: controller.RuleFinish, share: 400_000, state: spec.MoveDone, change: func(f *controller.Facts) {
			f.Traffic.Moves[0].Share = 40 * share.Percent
		}},
		"stopped": {target: idle, share: 100_000, state: spec.MoveStopped, change: func(f *controller.Facts) {
			f.Traffic.Moves[0].State = spec.MoveStopped
		}},
	}
	for name, c := range cases {
		Convey("A move, "+name, t, func() {
			f := facts(c.target)
			if c.change != nil {
				c.change(&f)
			}
			next, actions := controller.Next(f)
			if c.rule == "" {
				So(actions, ShouldBeEmpty)
			} else {
				So(actions, ShouldHaveLength, 1)
				So(actions[0].Rule, ShouldEqual, c.rule)
			}
			So(next.Moves[0].Share, ShouldEqual, c.share)
			So(next.Moves[0].State, ShouldEqual, c.state)
		})
	}
}

// A share must stay within its cap, goal and step size, and change only with a
// reason.
func TestSharesStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := facts(load.ServiceStatus{})
		for range 40 {
			h := f.Halls["b"]
			h.At = now.Add(-time.Duration(rapid.IntRange(0, 20).Draw(t, "age")) * time.Second).UnixMilli()
			usable := rapid.IntRange(0, 30).Draw(t, "usable")
			h.Services = map[string]load.ServiceStatus{"lookup": {
				Usable: usable, InUse: rapid.IntRange(0, 30).Draw(t, "in use"), Busy: float64(rapid.IntRange(0, 30).Draw(t, "busy")),
				Waiting: rapid.SampledFrom([]int{0, 0, 0, 3}).Draw(t, "waiting"),
			}}
			f.Halls["b"] = h
			f.Traffic.Moves[0].ChangedAt = now.Add(-time.Minute).UnixMilli()
			before := f.Traffic.Moves[0]
			next, actions := controller.Next(f)
			after := next.Moves[0]
			if after.Share > after.Cap || after.Share > after.Goal || after.Share > before.Share+before.Step {
				t.Fatalf("from %s to %s; cap %s, step %s", before.Share, after.Share, after.Cap, after.Step)
			}
			if after.Share != before.Share && (len(actions) != 1 || actions[0].Reason == "") {
				t.Fatal("the share changed without a reason")
			}
			f.Traffic = next
		}
	})
}

func TestLeaseExpiresByObserverClock(t *testing.T) {
	var o controller.LeaseObserver
	held := controller.Lease{Holder: "a1", Start: 1, Renewal: 4}
	at := now
	if o.Expired(held, at) || o.Expired(held, at.Add(controller.LeaseDuration-1)) {
		t.Fatal("expired before the lease duration")
	}
	held.Renewal++
	if o.Expired(held, at.Add(controller.LeaseDuration)) {
		t.Fatal("expired right after a renewal")
	}
	if !o.Expired(held, at.Add(2*controller.LeaseDuration)) {
		t.Fatal("did not expire")
	}
}
