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

// workersDelta is a delta of some workers as the users' store describes them.
func workersDelta(n int) object.Delta {
	random := rand.New(rand.NewPCG(1, 2))
	d := object.Delta{Kind: kindWorkers, UpTo: uint64(n)}
	for i := range n {
		spec := fmt.Sprintf(`{"service":"lookup","address":"10.2.%d.%d:8045","hall":"north-b","slots":9,"state":"ready","cold":"0ms","sequence":%d}`,
			random.IntN(250), random.IntN(250), random.IntN(9))
		o := object.Object{Name: fmt.Sprintf("i-%08x", random.Uint32()), Revision: uint64(i), Spec: []byte(spec)}
		d.Events = append(d.Events, object.Event{Object: o})
	}
	return d
}

// A large delta is told at once, packed to those who understand that, and holds the
// same for both.
func TestLargeDeltasArePacked(t *testing.T) {
	f := newFleet(t)
	v := f.start("a", "north-a", nil)
	f.until("it serves", v.ready)
	since := make(map[string]uint64)
	for _, kind := range []string{kindConfig, kindClosed, kindMembers, kindTraffic, kindWorkers} {
		since[kind] = f.store.atRevision()
	}
	changes := workersDelta(400)
	for _, e := range changes.Events {
		f.store.putRaw(kindWorkers, e.Object)
	}
	last := changes.Events[len(changes.Events)-1].Name
	f.until("it knows all", func() bool { return v.Knows(last) })
	told := make(map[bool][]*peerpb.ObjectEvent)
	for _, packed := range []bool{false, true} {
		begun := time.Now()
		answer := v.Tell(context.Background(), &peerpb.Sync{HoldMillis: 350, Since: since, TakesListed: true, TakesPacked: packed})
		if took := time.Since(begun); took > 200*time.Millisecond {
			t.Errorf("packed %t: told after %s", packed, took)
		}
		for _, d := range answer.GetDeltas() {
			if d.GetKind() != kindWorkers {
				continue
			}
			if (len(d.GetPacked()) > 0) != packed {
				t.Errorf("packed %t: %d packed bytes", packed, len(d.GetPacked()))
			}
			whole, err := gateway.Unpack(d)
			if err != nil {
				t.Fatal(err)
			}
			told[packed] = whole.GetEvents()
		}
	}
	if len(told[true]) != len(changes.Events) || len(told[false]) != len(told[true]) {
		t.Fatalf("%d and %d events, want %d", len(told[false]), len(told[true]), len(changes.Events))
	}
	for i, e := range told[true] {
		if !bytes.Equal(e.GetSpec(), told[false][i].GetSpec()) {
			t.Fatalf("event %d differs", i)
		}
	}
}

// What is packed but cannot be read is an error.
func TestPackedDeltaThatCannotBeRead(t *testing.T) {
	cases := map[string][]byte{"no deflate": []byte("abc"), "cut off": gateway.Packed(workersDelta(400))[:300]}
	for name, packed := range cases {
		t.Run(name, func(t *testing.T) {
			if d, err := gateway.Unpack(&peerpb.Delta{Kind: kindWorkers, Packed: packed}); err == nil {
				t.Errorf("read as %d events", len(d.GetEvents()))
			}
		})
	}
}

// BenchmarkPackedCopy tells how many bytes a copy of 1,617 workers takes: 231 KB
// before deltas were packed, 28 KB packed.
func BenchmarkPackedCopy(b *testing.B) {
	d := workersDelta(1617)
	d.Full = true
	plain := proto.Size(gateway.Unpacked(d))
	packed := 0
	for b.Loop() {
		packed = len(gateway.Packed(d))
	}
	b.ReportMetric(float64(plain), "plain-bytes")
	b.ReportMetric(float64(packed), "packed-bytes")
}
