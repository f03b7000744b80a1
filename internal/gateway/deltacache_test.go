// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/object"
)

// workersDelta returns a delta of n workers with specs of realistic size.
func workersDelta(n int) object.Delta {
	random := rand.New(rand.NewPCG(1, 2))
	d := object.Delta{Kind: kindWorkers, UpTo: object.Version{Revision: uint64(n)}}
	for i := range n {
		spec := fmt.Sprintf(`{"service":"lookup","address":"10.2.%d.%d:8045","hall":"north-b","slots":9,"state":"ready","cold":"0ms","sequence":%d}`,
			random.IntN(250), random.IntN(250), random.IntN(9))
		o := object.Object{Name: fmt.Sprintf("i-%08x", random.Uint32()), Version: object.Version{Revision: uint64(i)}, Spec: []byte(spec)}
		d.Events = append(d.Events, object.Event{Object: o})
	}
	return d
}

// Guards against large deltas being delayed, sent unpacked to VMs that unpack, or altered by packing.
func TestLargeDeltasArePacked(t *testing.T) {
	f := newFleet(t)
	v := f.startVM("a", "north-a", nil)
	f.waitFor("the VM is ready", v.ready)
	since := make(map[string]uint64)
	for _, kind := range []string{kindConfig, kindClosed, kindMembers, kindTraffic, kindWorkers} {
		since[kind] = f.store.currentRevision()
	}
	changes := workersDelta(400)
	for _, e := range changes.Events {
		f.store.putRaw(kindWorkers, e.Object)
	}
	last := changes.Events[len(changes.Events)-1].Name
	f.waitFor("the VM knows all workers", func() bool { return v.KnowsWorker(last) })
	eventsByPacked := make(map[bool][]*peerpb.ObjectEvent)
	for _, packed := range []bool{false, true} {
		start := time.Now()
		answer := v.SyncReply(context.Background(), &peerpb.Sync{HoldMillis: 350, Since: since, TakesListed: true, TakesPacked: packed})
		if took := time.Since(start); took > 200*time.Millisecond {
			t.Errorf("packed %t: answered after %s", packed, took)
		}
		for _, d := range answer.GetDeltas() {
			if d.GetKind() != kindWorkers {
				continue
			}
			if (len(d.GetPacked()) > 0) != packed {
				t.Errorf("packed %t: %d packed bytes", packed, len(d.GetPacked()))
			}
			unpacked, err := gateway.Unpack(d)
			if err != nil {
				t.Fatal(err)
			}
			eventsByPacked[packed] = unpacked.GetEvents()
		}
	}
	if len(eventsByPacked[true]) != len(changes.Events) || len(eventsByPacked[false]) != len(eventsByPacked[true]) {
		t.Fatalf("%d and %d events, want %d", len(eventsByPacked[false]), len(eventsByPacked[true]), len(changes.Events))
	}
	for i, e := range eventsByPacked[true] {
		if !bytes.Equal(e.GetSpec(), eventsByPacked[false][i].GetSpec()) {
			t.Fatalf("event %d differs", i)
		}
	}
}

// Guards against accepting a corrupt packed delta.
func TestInvalidPackedDelta(t *testing.T) {
	cases := map[string][]byte{"not deflate data": []byte("abc"), "truncated": gateway.PackDelta(workersDelta(400))[:300]}
	for name, packed := range cases {
		t.Run(name, func(t *testing.T) {
			if d, err := gateway.Unpack(&peerpb.Delta{Kind: kindWorkers, Packed: packed}); err == nil {
				t.Errorf("unpacked as %d events", len(d.GetEvents()))
			}
		})
	}
}

// BenchmarkPackedCopy measures packing a full copy of the workers, and reports its size
// before and after.
func BenchmarkPackedCopy(b *testing.B) {
	d := workersDelta(1617)
	d.Full = true
	plain := proto.Size(gateway.PlainDelta(d))
	packed := 0
	for b.Loop() {
		packed = len(gateway.PackDelta(d))
	}
	b.ReportMetric(float64(plain), "plain-bytes")
	b.ReportMetric(float64(packed), "packed-bytes")
}
