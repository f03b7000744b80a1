// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package placement_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/state/share"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/state/view"
)

// setTraffic sets the moves and caps in force.
func (f *fixture) setTraffic(t spec.Traffic) {
	f.snapshot.Traffic = view.Empty().WithTraffic(&t)
}

// shareByHall returns the fraction of requests placed in each hall.
func (f *fixture) shareByHall() map[string]float64 {
	const requests = 6_000
	shares := make(map[string]float64)
	for key := range uint64(requests) {
		c, refusal := f.placer.Place(f.snapshot, request(key%500))
		if refusal == placement.RefusalNone {
			shares[c.Worker().Hall] += 1 / float64(requests)
			c.Load().End()
		}
	}
	return shares
}

func newMove(to string, moveShare, limit share.PPM) spec.Move {
	return spec.Move{
		ID: "m-north-a", Service: "read", From: "north-a", Targets: []spec.Target{{Hall: to, Weight: 1}},
		Goal: moveShare, Share: moveShare, Cap: limit, State: spec.MoveMoving,
	}
}

func TestMoves(t *testing.T) {
	Convey("With four workers in each of two halls", t, func() {
		f := newFixture(map[string]int{"north": 8}, nil)
		before := f.shareByHall()
		So(before["north-a"], ShouldBeBetween, 0.3, 0.7)
		Convey("a move sends its share of the requests of one hall to the other", func() {
			f.setTraffic(spec.Traffic{Moves: []spec.Move{newMove("north-b", 40*share.Percent, share.Whole)}})
			after := f.shareByHall()
			So(after["north-a"], ShouldAlmostEqual, 0.6*before["north-a"], 0.05)
			So(after["north-a"]+after["north-b"], ShouldAlmostEqual, 1, 1e-9)
		})
		Convey("a move never exceeds its cap", func() {
			f.setTraffic(spec.Traffic{Moves: []spec.Move{newMove("north-b", 60*share.Percent, 10*share.Percent)}})
			after := f.shareByHall()
			So(before["north-a"]-after["north-a"], ShouldBeLessThanOrEqualTo, 0.1*before["north-a"]+1e-9)
			So(before["north-a"]-after["north-a"], ShouldBeGreaterThan, 0.05*before["north-a"])
		})
		Convey("a cap limits all moves out of a hall", func() {
			f.setTraffic(spec.Traffic{
				Moves: []spec.Move{newMove("north-b", share.Whole, share.Whole)},
				Caps:  []spec.Cap{{ID: "c", From: "north-a", Limit: 5 * share.Percent}},
			})
			So(before["north-a"]-f.shareByHall()["north-a"], ShouldBeLessThanOrEqualTo, 0.05*before["north-a"]+1e-9)
		})
		Convey("a move of all requests empties the hall, and the choice explains it", func() {
			f.setTraffic(spec.Traffic{Moves: []spec.Move{newMove("north-b", share.Whole, share.Whole)}})
			So(f.shareByHall()["north-a"], ShouldBeLessThan, 0.001)
			reported := false
			for key := range uint64(50) {
				c, _ := f.placer.Place(f.snapshot, request(key))
				reported = reported || c.SteeringReason() == "move m-north-a: from north-a to north-b"
				c.Load().End()
			}
			So(reported, ShouldBeTrue)
		})
		Convey("a move to a hall without workers has no effect", func() {
			f.setTraffic(spec.Traffic{Moves: []spec.Move{newMove("south-a", share.Whole, share.Whole)}})
			So(f.shareByHall()["north-a"], ShouldAlmostEqual, before["north-a"], 1e-9)
		})
		Convey("a drained hall gets no requests, even if the target is full", func() {
			m := newMove("north-b", share.Whole, share.Whole)
			m.Drain, m.State = true, spec.MoveDone
			f.setTraffic(spec.Traffic{Moves: []spec.Move{m}})
			refused := 0
			for key := range uint64(300) { // Requests do not end, so all workers fill up.
				c, refusal := f.placer.Place(f.snapshot, request(key))
				if refusal != placement.RefusalNone {
					refused++
					continue
				}
				So(c.Worker().Hall, ShouldEqual, "north-b")
			}
			So(refused, ShouldBeGreaterThan, 0)
		})
		Convey("requests outside a move stay on their workers", func() {
			workers := make(map[uint64]string)
			for key := range uint64(500) {
				c, _ := f.placer.Place(f.snapshot, request(key))
				workers[key] = c.Worker().ID
				c.Load().End()
			}
			f.setTraffic(spec.Traffic{Moves: []spec.Move{newMove("north-b", 30*share.Percent, share.Whole)}})
			for key := range uint64(500) {
				c, _ := f.placer.Place(f.snapshot, request(key))
				if c.SteeringReason() == "" {
					So(c.Worker().ID, ShouldEqual, workers[key])
				}
				c.Load().End()
			}
		})
	})
}

func TestCapsLimitTheBalance(t *testing.T) {
	counts := map[string]int{"north": 2, "south": 12, "east": 10}
	shareAway := func(f *fixture) float64 {
		shares := f.shareByHall()
		return 1 - shares["north-a"] - shares["north-b"]
	}
	Convey("A region with a quarter of its fair share of slots sends away three quarters", t, func() {
		f := newFixture(counts, nil)
		So(shareAway(f), ShouldAlmostEqual, 0.75, 0.05)
		Convey("but no more than a cap on all its halls allows", func() {
			f.setTraffic(spec.Traffic{Caps: []spec.Cap{{ID: "c", Limit: 20 * share.Percent}}})
			So(shareAway(f), ShouldBeLessThanOrEqualTo, 0.2)
			So(shareAway(f), ShouldBeGreaterThan, 0.1)
		})
		Convey("and a cap on one of its two halls does not limit the other", func() {
			f.setTraffic(spec.Traffic{Caps: []spec.Cap{{ID: "c", From: "north-a", Limit: 20 * share.Percent}}})
			So(shareAway(f), ShouldBeBetween, 0.4, 0.55)
		})
		Convey("but nothing with a cap of 0, and the choice explains it", func() {
			f.setTraffic(spec.Traffic{Caps: []spec.Cap{{ID: "c", Limit: 0}}})
			So(shareAway(f), ShouldAlmostEqual, 0, 1e-9)
			reported := false
			for key := range uint64(50) {
				c, _ := f.placer.Place(f.snapshot, request(key))
				reported = reported || c.SteeringReason() == "balance: kept in north by a cap of 0%"
				c.Load().End()
			}
			So(reported, ShouldBeTrue)
		})
		Convey("and a cap on a hall of another region has no effect", func() {
			f.setTraffic(spec.Traffic{Caps: []spec.Cap{{ID: "c", From: "south-a", Limit: 0}}})
			So(shareAway(f), ShouldAlmostEqual, 0.75, 0.05)
		})
	})
	Convey("A region without workers sends everything away, regardless of caps", t, func() {
		f := newFixture(map[string]int{"south": 6}, nil)
		f.setTraffic(spec.Traffic{Caps: []spec.Cap{{ID: "c", Limit: 0}}})
		So(shareAway(f), ShouldAlmostEqual, 1, 1e-9)
	})
}
