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

// countingCodec counts how often the list of VMs is decoded.
type countingCodec struct {
	codec
	decodes *atomic.Int64
}

func (c countingCodec) Members(objects []object.Object) []spec.VM {
	c.decodes.Add(1)
	return c.codec.Members(objects)
}

// Guards against decoding the list of VMs again on each change of a worker.
func TestListOfVMsIsReadOnlyOnChange(t *testing.T) {
	const changes = 30
	f := newFleet(t)
	f.startWorker("w", "s", "north-a")
	decodes := new(atomic.Int64)
	v := f.startVM("a", "north-a", func(c *gateway.Config, _ *storeClient) { c.Codec = countingCodec{decodes: decodes} })
	f.waitFor("serving", v.Ready)
	f.waitFor("the list is known", func() bool { return v.ListedVMCount() == 1 })
	before := decodes.Load()
	for i := range changes {
		id := fmt.Sprintf("x%d", i)
		f.startWorker(id, "s", "north-a")
		f.waitFor(id+" is known", func() bool { return v.KnowsWorker(id) })
	}
	if n := decodes.Load() - before; n > 2 {
		t.Errorf("%d changes of workers decoded the list of VMs %d times", changes, n)
	}
}

// Guards against snapshot compilation taking more than a twentieth of a VM's time.
func TestSnapshotDutyCycle(t *testing.T) {
	const maxFraction = 1.0 / 20
	for _, took := range []time.Duration{50 * time.Microsecond, 3 * time.Millisecond, 20 * time.Millisecond} {
		if fraction := float64(took) / float64(took+gateway.CompilePause(took)); fraction > maxFraction {
			t.Errorf("snapshots of %s take %.2f of the time", took, fraction)
		}
	}
	if pause := gateway.CompilePause(time.Minute); pause > time.Second {
		t.Errorf("after a snapshot that took a minute, the next waits for %s", pause)
	}
}

// Guards against a batch delay that doesn't scale with the time allowed for applying a change.
func TestBatchDelayScalesWithApplyWithin(t *testing.T) {
	const maxFraction = 1.0 / 20
	for _, within := range []time.Duration{time.Second, 2500 * time.Millisecond, 5 * time.Second, 14 * time.Second} {
		delay := gateway.BatchDelay(within)
		if fraction := delay.Seconds() / within.Seconds(); fraction > maxFraction {
			t.Errorf("updates wait for %s where a change must apply within %s", delay, within)
		}
		if doubled := gateway.BatchDelay(2 * within); doubled != 2*delay {
			t.Errorf("updates wait for %s, and for %s with twice the bound", delay, doubled)
		}
	}
}
