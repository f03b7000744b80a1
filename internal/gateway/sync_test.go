// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/object"
)

// Guards against counting the time to build a reply as hold time, which makes state look fresher.
func TestTimeToBuildAReplyIsNotHeld(t *testing.T) {
	f := newFleet(t)
	v := f.startVM("a", "north-a", nil)
	f.waitFor("the VM is ready", v.ready)
	const objects = 60_000
	at := object.Version{Revision: f.store.currentRevision() + 1_000_000}
	events := make([]object.Event, objects)
	for i := range events {
		events[i].Name, events[i].Version = fmt.Sprintf("c%d", i), at
	}
	v.MergeDelta(object.Delta{Kind: kindTraffic, Full: true, UpTo: at, Events: events})
	for range 100 {
		confirmed := v.Confirmed(kindConfig)
		start := time.Now()
		reply := v.SyncReply(context.Background(), &peerpb.Sync{})
		took := time.Since(start)
		if v.Confirmed(kindConfig) != confirmed {
			continue // The store confirmed the state in the meantime.
		}
		if took < 5*time.Millisecond {
			t.Fatalf("the reply took only %s, too little for the check", took)
		}
		held := time.Duration(reply.GetHeldMillis()) * time.Millisecond
		age := time.Duration(reply.GetAgeMillis()[kindConfig]) * time.Millisecond
		// A pause before the VM reads its state counts in both held and age.
		if apparent := start.Add(held - age); apparent.After(confirmed.Add(time.Millisecond)) {
			t.Errorf("state confirmed %s before the request appears %s younger than it is: held %s, age %s, took %s",
				start.Sub(confirmed), apparent.Sub(confirmed), held, age, took)
		}
		t.Logf("held %s, age %s, took %s", held, age, took)
		return
	}
	t.Fatal("the store confirmed the state during each of 100 replies")
}
