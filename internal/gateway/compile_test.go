// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/spec"
)

// countingCodec counts how often the list of VMs is read.
type countingCodec struct {
	codec
	lists *atomic.Int64
}

func (c countingCodec) Members(objects []object.Object) []spec.VM {
	c.lists.Add(1)
	return c.codec.Members(objects)
}

// A change of a worker costs a VM nothing that grows with the number of VMs: the list of
// them is read when it has changed.
func TestListOfVMsIsReadWhenItChanges(t *testing.T) {
	const changes = 30
	f := newFleet(t)
	f.worker("w", "s", "north-a")
	lists := new(atomic.Int64)
	v := f.start("a", "north-a", func(c *gateway.Config, _ *door) { c.Codec = countingCodec{lists: lists} })
	f.until("serving", v.Ready)
	f.until("the list is known", func() bool { return v.ListedVMs() == 1 })
	before := lists.Load()
	for i := range changes {
		id := fmt.Sprintf("x%d", i)
		f.worker(id, "s", "north-a")
		f.until(id+" is known", func() bool { return v.Knows(id) })
	}
	if read := lists.Load() - before; read > 2 {
		t.Errorf("%d changes of workers had the list of VMs read %d times", changes, read)
	}
}

// However long a snapshot takes to make, and however many changes there are, a VM spends a
// twentieth of its time on that.
func TestSnapshotsLeaveTimeForRequests(t *testing.T) {
	const most = 1.0 / 20
	for _, took := range []time.Duration{50 * time.Microsecond, 3 * time.Millisecond, 20 * time.Millisecond} {
		if part := float64(took) / float64(took+gateway.PauseAfter(took)); part > most {
			t.Errorf("snapshots of %s take %.2f of the time", took, part)
		}
	}
	if pause := gateway.PauseAfter(time.Minute); pause > time.Second {
		t.Errorf("after one that took a minute a change waits for %s", pause)
	}
}

// News is gathered for as long as the time allows within which a change must be in force: the
// more VMs, the longer their operators allow, and the fewer messages a second each of them
// gets while workers come and go.
func TestNewsIsGatheredAsLongAsBoundsAllow(t *testing.T) {
	const most = 1.0 / 20
	for _, within := range []time.Duration{time.Second, 2500 * time.Millisecond, 5 * time.Second, 14 * time.Second} {
		gather := gateway.Gather(within)
		if part := gather.Seconds() / within.Seconds(); part > most {
			t.Errorf("news waits for %s where a change must be in force within %s", gather, within)
		}
		if twice := gateway.Gather(2 * within); twice != 2*gather {
			t.Errorf("news waits for %s and %s where a change may take twice as long", gather, twice)
		}
	}
}
