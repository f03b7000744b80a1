// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ryehill/ryehill/coordination/membership"
	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/state/spec"
)

// A VM that leaves tells no more others in a large fleet than in one of 64, and all of a
// small one. Told at once, 984 kept a VM with 0.16 of a core busy for two seconds, in which
// requests that it had read were cut off.
func TestVMThatLeavesTellsFew(t *testing.T) {
	regions := map[string]string{"a1": "a", "a2": "a", "b1": "b"}
	members := func(n int) (list []membership.Member) {
		for i := range n {
			hall := []string{"a1", "a2", "b1"}[i%3]
			list = append(list, membership.Member{VM: spec.VM{ID: fmt.Sprint("vm", i), Hall: hall}, Start: 1})
		}
		return list
	}
	Convey("Of a small fleet all are told", t, func() {
		So(gateway.TellsLeaving(members(11), "a1", regions), ShouldHaveLength, 11)
	})
	Convey("Of a large one a bounded number, those of its hall first, then of its region", t, func() {
		for _, n := range []int{90, 985, 1970} {
			told := gateway.TellsLeaving(members(n), "a1", regions)
			So(told, ShouldHaveLength, 64)
			for i, m := range told {
				if i < min(n/3, 64) {
					So(m.Hall, ShouldEqual, "a1")
				} else if i < min(2*n/3, 64) {
					So(m.Hall, ShouldEqual, "a2")
				}
			}
		}
	})
	Convey("Those that are gone or leave themselves are not told", t, func() {
		list := members(4)
		list[1].State, list[2].State = membership.StateGone, membership.StateLeaving
		So(gateway.TellsLeaving(list, "a1", regions), ShouldHaveLength, 2)
	})
}
