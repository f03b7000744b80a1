// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package worker_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ryehill/ryehill/state/worker"
)

func TestTracks(t *testing.T) {
	Convey("With 60 old workers and 60 new ones in two regions", t, func() {
		var all []worker.Worker
		for i := range 120 {
			all = append(all, worker.Worker{
				ID: fmt.Sprintf("w%03d", i), Service: "s", Region: []string{"north", "south"}[i%2], New: i >= 60,
			})
		}
		set := worker.NewSet(all)
		Convey("each track has its own workers, and the set contains all", func() {
			So(set.Service("s"), ShouldHaveLength, 60)
			So(set.Track("s", worker.TrackStable), ShouldResemble, set.Service("s"))
			So(set.Track("s", worker.TrackNew), ShouldHaveLength, 60)
			So(set.Len(), ShouldEqual, 120)
		})
		Convey("each region has a canary, and all sets select the same ones", func() {
			canaries := set.Track("s", worker.TrackCanary)
			So(canaries, ShouldHaveLength, 2)
			So(canaries[0].Region, ShouldNotEqual, canaries[1].Region)
			So(worker.NewSet(all[60:]).Track("s", worker.TrackCanary)[0].ID, ShouldEqual, canaries[0].ID)
		})
		Convey("without old workers, the stable track has the new ones", func() {
			So(worker.NewSet(all[60:]).Track("s", worker.TrackStable), ShouldHaveLength, 60)
		})
	})
}
