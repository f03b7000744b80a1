// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/worker"
	"github.com/ryehill/ryehill/transport/peer"
)

// deltaReply returns a reply that holds a delta of one kind and the age of that kind.
func deltaReply(kind string, bytes int) *peerpb.Synced {
	return &peerpb.Synced{
		Deltas:    []*peerpb.Delta{{Kind: kind, Events: []*peerpb.ObjectEvent{{Spec: make([]byte, bytes)}}}},
		AgeMillis: map[string]uint32{kind: 1},
	}
}

// Guards against more than two large deltas in flight, and against an age sent without its delta.
func TestLargePartsOfRepliesAreBounded(t *testing.T) {
	const small, large, tooLarge = 1 << 10, 100 << 10, 1 << 20
	bound, _ := gateway.NewLargePartLimits()
	limitReply := func(bytes int) (bool, func()) {
		reply := deltaReply(kindWorkers, bytes)
		sent := bound(reply)
		_, hasAge := reply.GetAgeMillis()[kindWorkers]
		if hasAge != (len(reply.GetDeltas()) == 1) {
			t.Errorf("%d deltas, age sent: %t", len(reply.GetDeltas()), hasAge)
		}
		return hasAge, sent
	}
	if ok, _ := limitReply(tooLarge); ok {
		t.Error("sent a delta that is too large for any reply")
	}
	firstSent, sent := limitReply(large)
	secondSent, _ := limitReply(large)
	thirdSent, _ := limitReply(large)
	if !firstSent || !secondSent || thirdSent {
		t.Errorf("large deltas sent: %t, %t, %t, want the first two", firstSent, secondSent, thirdSent)
	}
	if ok, _ := limitReply(small); !ok {
		t.Error("a small delta waits for large ones")
	}
	sent()
	if ok, _ := limitReply(large); !ok {
		t.Error("a reply that has been sent still holds a slot")
	}
}

// Guards against more than two large holder tables in flight.
func TestLargeTablesAreBounded(t *testing.T) {
	_, bound := gateway.NewLargePartLimits()
	tables := 0
	for range 3 {
		reply := &peerpb.Synced{Balanced: &peerpb.Balanced{Keys: make([]uint64, 4096)}}
		bound(reply)
		if reply.GetBalanced() != nil {
			tables++
		}
	}
	if tables != 2 {
		t.Errorf("%d large tables in flight, want 2", tables)
	}
}

// Guards against sending listed deltas to VMs whose version doesn't support them.
func TestOlderVMsGetFullDeltas(t *testing.T) {
	f, vms := startThreeVMs(t)
	f.startWorker("w2", "s", "north-a")
	for name, takesListed := range map[string]bool{"older": false, "newer": true} {
		t.Run(name, func(t *testing.T) {
			request := &peerpb.Sync{Since: map[string]uint64{kindWorkers: 1}, TakesListed: takesListed}
			if d, ok := vms[0].DeltaFor(request, kindWorkers); !ok || d.Full == takesListed || d.Listed != takesListed {
				t.Errorf("sent %+v", d)
			}
		})
	}
}

// Guards against a missing object, revealed by a peer's listing, not being read from the store.
func TestInconsistentKindIsListed(t *testing.T) {
	f, vms := startThreeVMs(t)
	_, others := watcherOf(t, vms)
	v := others[0]
	before := v.storeClient.callCount("list " + kindWorkers)
	at := f.store.currentRevision()
	v.MergeDelta(object.Delta{
		Kind: kindWorkers, Listed: true, UpTo: object.Version{Revision: at + 1}, Events: []object.Event{},
		Listing: []object.Ref{{Name: "never-heard-of", Revision: at}},
	})
	f.waitWithin(time.Second, "listing the workers", func() bool { return v.storeClient.callCount("list "+kindWorkers) > before })
}

// Guards against peers waiting out their hold time although a large-delta slot is free.
func TestLargePartsFollowEachOther(t *testing.T) {
	f := newFleet(t)
	const workers, entryBytes, askers = 400, 300, 24 // 120 KB and more.
	for i := range workers {
		f.store.put(kindWorkers, fmt.Sprintf("w%d", i), worker.Worker{Service: "s", Hall: "north-a", Slots: 4, Address: strings.Repeat("1", entryBytes)})
	}
	v := f.startVM("a", "north-a", nil)
	f.waitFor("the VM is ready", v.ready)
	// The requests lack only the workers.
	others := make(map[string]uint64)
	for _, kind := range []string{kindConfig, kindClosed, kindMembers, kindTraffic} {
		others[kind] = f.store.currentRevision() + 1
	}
	var complete atomic.Int64
	var requests sync.WaitGroup
	start := time.Now()
	for range askers {
		requests.Go(func() {
			for time.Since(start) < waitTimeout {
				reply, onSent := v.HandleSync(context.Background(), &peerpb.Sync{HoldMillis: 350, Since: others})
				hasWorkers := slices.ContainsFunc(reply.GetDeltas(), func(d *peerpb.Delta) bool { return d.GetKind() == kindWorkers })
				time.Sleep(10 * time.Millisecond)
				onSent()
				if hasWorkers {
					complete.Add(1)
					return
				}
			}
		})
	}
	requests.Wait()
	if took := time.Since(start); complete.Load() != askers || took > time.Second {
		t.Errorf("%d of %d got the workers after %s, want all within a second", complete.Load(), askers, took)
	}
}

// Guards against peers that stop reading, or close their streams, keeping large-delta slots.
func TestPeersThatDoNotReadReleaseSlots(t *testing.T) {
	cases := map[string]func(*peer.Stream){
		"streams closed": func(s *peer.Stream) { s.Close() },
		"reads stopped":  func(*peer.Stream) {},
	}
	for name, abandon := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			// Two deltas of 0.4 MB exceed the 0.5 MB that may be sent unread.
			const workers, entryBytes, otherBytes = 600, 600, 400 << 10
			for i := range workers {
				f.store.put(kindWorkers, fmt.Sprintf("w%d", i), worker.Worker{Service: "s", Hall: "north-a", Slots: 4, Address: strings.Repeat("1", entryBytes)})
			}
			f.store.put(kindTraffic, "other", strings.Repeat("1", otherBytes))
			v := f.startVM("a", "north-a", nil)
			f.waitFor("the VM is ready", v.ready)
			peers := peer.New(peer.Config{
				Self:    peer.Identity{Fleet: "test", Hall: "north-a", VM: "slow", Start: 1},
				Handler: func(context.Context, peer.Identity, *peer.Stream, *peerpb.Envelope) {}, Log: logr.Discard(),
			})
			defer peers.Close()
			request := &peerpb.Envelope{Kind: &peerpb.Envelope_Sync{Sync: &peerpb.Sync{}}}
			for range 2 {
				s, err := peers.Open(context.Background(), peer.Target{VM: "a", Address: f.seeds[0]}, request)
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(500 * time.Millisecond) // Wait until the reply is in flight.
				abandon(s)
			}
			f.waitWithin(2*time.Second, "another VM gets all workers", func() bool {
				reply := v.SyncReply(context.Background(), &peerpb.Sync{})
				return slices.ContainsFunc(reply.GetDeltas(), func(d *peerpb.Delta) bool { return d.GetKind() == kindWorkers })
			})
		})
	}
}
