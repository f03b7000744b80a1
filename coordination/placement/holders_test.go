// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package placement_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ryehill/ryehill/coordination/placement"
	"github.com/ryehill/ryehill/coordination/steer"
	"github.com/ryehill/ryehill/state/holders"
	"github.com/ryehill/ryehill/state/worker"
)

// newFixtureWithHolders returns a fixture whose placer uses the returned holder table.
func newFixtureWithHolders(counts map[string]int, change func(*worker.Worker)) (*fixture, *holders.Table) {
	f, table := newFixture(counts, change), holders.NewTable()
	cold := placement.NewColdLimiter(placement.ColdLimiterConfig{VM: "vm", Region: "north", Peers: singleVM{}, Now: f.clock.Now})
	f.placer = placement.New(placement.Config{
		Hall: "north-a", Region: "north", Loads: f.loads, ColdLimiter: cold, Steerer: steer.New(steer.Config{Hall: "north-a"}),
		Now: f.clock.Now, Holders: table,
	})
	return f, table
}

func TestHolderTable(t *testing.T) {
	Convey("With a holder table", t, func() {
		f, table := newFixtureWithHolders(map[string]int{"north": 8, "south": 8, "east": 8}, nil)
		hashed, _ := f.placer.Place(f.snapshot, request(7))
		setHolder := func(id string) { table.Apply(holders.Changes{holders.KeyOf("read", "north", 7): id}) }
		place := func() placement.Choice {
			c, refusal := f.placer.Place(f.snapshot, request(7))
			So(refusal, ShouldEqual, placement.RefusalNone)
			return c
		}
		Convey("a key goes to its holder, unless that is in another region", func() {
			setHolder("north-3")
			So(place().Worker().ID, ShouldEqual, "north-3")
			setHolder("south-3")
			So(place().Worker().ID, ShouldEqual, hashed.Worker().ID)
		})
		Convey("a holder that is unknown, in a closed hall or was tried is skipped", func() {
			setHolder("north-99")
			So(place().Worker().ID, ShouldEqual, hashed.Worker().ID)
			setHolder("north-3")
			r := request(7)
			r.Tried = []string{"north-3"}
			c, _ := f.placer.Place(f.snapshot, r)
			So(c.Worker().ID, ShouldNotEqual, "north-3")
			f.snapshot.Closed = map[string]bool{"north-b": true}
			So(place().Worker().Hall, ShouldEqual, "north-a")
		})
		Convey("a request without a key ignores the table", func() {
			setHolder("north-3")
			r := request(7)
			r.Keyed = false
			ids := make(map[string]bool)
			for range 20 {
				c, _ := f.placer.Place(f.snapshot, r)
				ids[c.Worker().ID] = true
				c.Load().End()
			}
			So(len(ids), ShouldBeGreaterThan, 3)
		})
	})
}
