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

// An asker takes what it is told to be as new as its question, the time that it
// was held and the age say. What passes while the answer is made, or while its VM
// stands still just then, must not make knowledge younger than it is.
func TestTimeSpentOnAnAnswerIsNotHeld(t *testing.T) {
	f := newFleet(t)
	v := f.start("a", "north-a", nil)
	f.until("it serves", v.ready)
	const objects = 60_000
	at := f.store.atRevision() + 1_000_000
	events := make([]object.Event, objects)
	for i := range events {
		events[i].Name, events[i].Revision = fmt.Sprintf("c%d", i), at
	}
	v.Hear(object.Delta{Kind: kindTraffic, Full: true, UpTo: at, Events: events})
	for range 100 {
		confirmed := v.Confirmed(kindConfig)
		begun := time.Now()
		answer := v.Tell(context.Background(), &peerpb.Sync{})
		took := time.Since(begun)
		if v.Confirmed(kindConfig) != confirmed {
			continue // The store confirmed it anew meanwhile.
		}
		if took < 5*time.Millisecond {
			t.Fatalf("the answer took only %s, too little to tell", took)
		}
		held := time.Duration(answer.GetHeldMillis()) * time.Millisecond
		age := time.Duration(answer.GetAgeMillis()[kindConfig]) * time.Millisecond
		// A stop before the VM looks at what it knows counts in both.
		if taken := begun.Add(held - age); taken.After(confirmed.Add(time.Millisecond)) {
			t.Errorf("what was confirmed %s before the question is taken to be %s younger than it is: held %s, age %s, took %s",
				begun.Sub(confirmed), taken.Sub(confirmed), held, age, took)
		}
		t.Logf("held %s, age %s, took %s", held, age, took)
		return
	}
	t.Fatal("the store confirmed what is known during each of 100 answers")
}
