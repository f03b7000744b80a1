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

// answerOf returns an answer with a delta of one kind, and with its age.
func answerOf(kind string, bytes int) *peerpb.Synced {
	return &peerpb.Synced{
		Deltas:    []*peerpb.Delta{{Kind: kind, Events: []*peerpb.ObjectEvent{{Spec: make([]byte, bytes)}}}},
		AgeMillis: map[string]uint32{kind: 1},
	}
}

// Only two large parts are under way at a time, and an answer that lacks its part
// confirms nothing.
func TestLargePartsOfAnswersAreBounded(t *testing.T) {
	const small, large, tooLarge = 1 << 10, 100 << 10, 1 << 20
	bound, _ := gateway.BoundCopies()
	told := func(bytes int) (bool, func()) {
		answer := answerOf(kindWorkers, bytes)
		sent := bound(answer)
		_, aged := answer.GetAgeMillis()[kindWorkers]
		if aged != (len(answer.GetDeltas()) == 1) {
			t.Errorf("%d deltas, and age told: %t", len(answer.GetDeltas()), aged)
		}
		return aged, sent
	}
	if ok, _ := told(tooLarge); ok {
		t.Error("told a part that is too large for any answer")
	}
	first, sent := told(large)
	second, _ := told(large)
	third, _ := told(large)
	if !first || !second || third {
		t.Errorf("large parts told: %t, %t, %t, want the first two", first, second, third)
	}
	if ok, _ := told(small); !ok {
		t.Error("a small part waits for large ones")
	}
	sent()
	if ok, _ := told(large); !ok {
		t.Error("an answer that has been sent still counts")
	}
}

// The same bound holds for the table of holders.
func TestLargeTablesAreBounded(t *testing.T) {
	_, bound := gateway.BoundCopies()
	tables := 0
	for range 3 {
		answer := &peerpb.Synced{Balanced: &peerpb.Balanced{Keys: make([]uint64, 4096)}}
		bound(answer)
		if answer.GetBalanced() != nil {
			tables++
		}
	}
	if tables != 2 {
		t.Errorf("%d large tables under way, want 2", tables)
	}
}

// A VM of an older version does not know listed deltas, and is told everything.
func TestOlderVMsAreToldEverything(t *testing.T) {
	f, vms := threeVMs(t)
	f.worker("w2", "s", "north-a")
	for name, takes := range map[string]bool{"older": false, "newer": true} {
		t.Run(name, func(t *testing.T) {
			ask := &peerpb.Sync{Since: map[string]uint64{kindWorkers: 1}, TakesListed: takes}
			if d, ok := vms[0].Lacks(ask, kindWorkers); !ok || d.Full == takes || d.Listed != takes {
				t.Errorf("told %+v", d)
			}
		})
	}
}

// A VM that a peer shows to lack an object reads the kind from the store.
func TestDoubtedKindIsReadFromTheStore(t *testing.T) {
	f, vms := threeVMs(t)
	_, others := watcherOf(t, vms)
	v := others[0]
	before := v.door.count("list " + kindWorkers)
	at := f.store.atRevision()
	v.Hear(object.Delta{
		Kind: kindWorkers, Listed: true, UpTo: at + 1, Events: []object.Event{},
		Listing: []object.Ref{{Name: "never-heard-of", Revision: at}},
	})
	f.within(time.Second, "the list", func() bool { return v.door.count("list "+kindWorkers) > before })
}

// Peers that wait for a large part are told as soon as a place is free, not only
// when their question has been held for long enough.
func TestLargePartsFollowEachOther(t *testing.T) {
	f := newFleet(t)
	const workers, entry, askers = 400, 300, 24 // 120 KB and more.
	for i := range workers {
		f.store.put(kindWorkers, fmt.Sprintf("w%d", i), worker.Worker{Service: "s", Hall: "north-a", Slots: 4, Address: strings.Repeat("1", entry)})
	}
	v := f.start("a", "north-a", nil)
	f.until("it serves", v.ready)
	// The askers lack nothing but the workers.
	others := make(map[string]uint64)
	for _, kind := range []string{kindConfig, kindClosed, kindMembers, kindTraffic} {
		others[kind] = f.store.atRevision() + 1
	}
	var told atomic.Int64
	var asking sync.WaitGroup
	begun := time.Now()
	for range askers {
		asking.Go(func() {
			for time.Since(begun) < patience {
				answer, sent := v.TellSlowly(context.Background(), &peerpb.Sync{HoldMillis: 350, Since: others})
				whole := slices.ContainsFunc(answer.GetDeltas(), func(d *peerpb.Delta) bool { return d.GetKind() == kindWorkers })
				time.Sleep(10 * time.Millisecond)
				sent()
				if whole {
					told.Add(1)
					return
				}
			}
		})
	}
	asking.Wait()
	if took := time.Since(begun); told.Load() != askers || took > time.Second {
		t.Errorf("%d of %d told after %s, want all within a second", told.Load(), askers, took)
	}
}

// Peers that ask for large answers and stop reading give their places back soon,
// also if they have closed their streams: others wait for the places.
func TestPeersThatDoNotReadHoldNoPlaceForLong(t *testing.T) {
	cases := map[string]func(*peer.Stream){
		"they have given up": func(s *peer.Stream) { s.Close() },
		"they are frozen":    func(*peer.Stream) {},
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			// Two parts of 0.4 MB are more than the 0.5 MB that are sent unread.
			const workers, entry, other = 600, 600, 400 << 10
			for i := range workers {
				f.store.put(kindWorkers, fmt.Sprintf("w%d", i), worker.Worker{Service: "s", Hall: "north-a", Slots: 4, Address: strings.Repeat("1", entry)})
			}
			f.store.put(kindTraffic, "other", strings.Repeat("1", other))
			v := f.start("a", "north-a", nil)
			f.until("it serves", v.ready)
			others := peer.New(peer.Config{
				Self:    peer.Identity{Fleet: "test", Hall: "north-a", VM: "slow", Start: 1},
				Handler: func(context.Context, peer.Identity, *peer.Stream, *peerpb.Envelope) {}, Log: logr.Discard(),
			})
			defer others.Close()
			ask := &peerpb.Envelope{Kind: &peerpb.Envelope_Sync{Sync: &peerpb.Sync{}}}
			for range 2 {
				s, err := others.Open(context.Background(), peer.Target{VM: "a", Address: f.seeds[0]}, ask)
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(500 * time.Millisecond) // The answer is under way.
				end(s)
			}
			f.within(2*time.Second, "another VM is told all workers", func() bool {
				answer := v.Tell(context.Background(), &peerpb.Sync{})
				return slices.ContainsFunc(answer.GetDeltas(), func(d *peerpb.Delta) bool { return d.GetKind() == kindWorkers })
			})
		})
	}
}
