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

// Guards against a stopping VM notifying so many peers that it can't finish its requests.
func TestLeavingVMNotifiesBoundedPeers(t *testing.T) {
	regions := map[string]string{"a1": "a", "a2": "a", "b1": "b"}
	members := func(n int) (list []membership.Member) {
		for i := range n {
			hall := []string{"a1", "a2", "b1"}[i%3]
			list = append(list, membership.Member{VM: spec.VM{ID: fmt.Sprint("vm", i), Hall: hall}, Start: 1})
		}
		return list
	}
	Convey("In a small fleet all VMs are notified", t, func() {
		So(gateway.LeavingRecipients(members(11), "a1", regions), ShouldHaveLength, 11)
	})
	Convey("In a large fleet a bounded number is notified, those of the same hall first, then of the region", t, func() {
		for _, n := range []int{90, 985, 1970} {
			recipients := gateway.LeavingRecipients(members(n), "a1", regions)
			So(recipients, ShouldHaveLength, 64)
			for i, m := range recipients {
				if i < min(n/3, 64) {
					So(m.Hall, ShouldEqual, "a1")
				} else if i < min(2*n/3, 64) {
					So(m.Hall, ShouldEqual, "a2")
				}
			}
		}
	})
	Convey("VMs that are gone or leaving are not notified", t, func() {
		list := members(4)
		list[1].State, list[2].State = membership.StateGone, membership.StateLeaving
		So(gateway.LeavingRecipients(list, "a1", regions), ShouldHaveLength, 2)
	})
}
