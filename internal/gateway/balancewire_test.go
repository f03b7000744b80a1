// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/protocol/peerpb"
)

// Guards against peer messages that panic the decoder or name unlisted workers or other regions.
func FuzzDecodeBalanceMessages(f *testing.F) {
	addSeed := func(m proto.Message) {
		raw, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	addSeed(&peerpb.Balanced{Epoch: 1, Full: true, At: 3, Workers: []string{"", "w1"}, Keys: []uint64{1, 2, 3}, Holders: []uint32{1, 7}})
	addSeed(&peerpb.Balance{Region: "north", Demands: []*peerpb.ServiceDemand{{Service: "s", Keys: []uint64{1, 2}, Requests: []uint32{4}}}})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var table peerpb.Balanced
		if proto.Unmarshal(raw, &table) == nil {
			listed := map[string]bool{}
			for _, w := range table.GetWorkers() {
				listed[w] = true
			}
			for key, worker := range gateway.FromBalanced(&table).Holders {
				if !listed[worker] {
					t.Errorf("key %d is held by %q, which the message does not list", key, worker)
				}
			}
		}
		var report peerpb.Balance
		if proto.Unmarshal(raw, &report) == nil {
			for key := range gateway.FromBalance(&report).Keys {
				if key.Region != report.GetRegion() {
					t.Errorf("a key of region %q in a report of %q", key.Region, report.GetRegion())
				}
			}
		}
	})
}
