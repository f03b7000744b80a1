// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/rollout"
	"github.com/ryehill/ryehill/state/worker"
)

// stallingCodec holds the decoding of some workers until it is released.
type stallingCodec struct {
	codec
	// stalled receives the name of each worker whose decoding is held until it can send to
	// release.
	stalled, release chan string
}

func (c stallingCodec) Worker(o object.Object) (worker.Worker, time.Duration, error) {
	if strings.HasPrefix(o.Name, "stall") {
		c.stalled <- o.Name
		<-c.release
	}
	return c.codec.Worker(o)
}

// Guards against requests to old workers between the end of an order and the next snapshot.
func TestNoRequestToOldWorkersBeforeNextSnapshot(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	s := &versionedService{f: f, servers: make(map[rollout.Version][]*httptest.Server), arrivals: make(map[rollout.Version][]time.Time)}
	s.startAll(1)
	stalling := stallingCodec{stalled: make(chan string), release: make(chan string)}
	v := f.startVM("v0", "north-a", func(c *gateway.Config, _ *storeClient) {
		c.Bounds.RolloutShare, c.Codec = rolloutShare, stalling
	})
	f.waitFor("ready", v.Ready)
	s.startAll(2)
	f.putRolloutOrder()
	f.waitFor("the order is known", func() bool { return v.RolloutProgress("s") >= rollout.PhaseTrial })

	stall := worker.Worker{Service: "other", Hall: "north-a", Slots: 1, Address: "127.0.0.1:1"}
	f.store.put(kindWorkers, "stall-1", stall)
	<-stalling.stalled // The next snapshot has both of the following changes.
	f.store.put(kindRollouts, "s", rollout.Order{Service: "s", Version: 2, Name: "v2", Duration: rolloutWithin, Phase: rollout.PhaseCompleted})
	f.store.put(kindWorkers, "stall-2", stall)
	f.waitFor("both changes have arrived", func() bool {
		_, hasWorker := v.ReplicaObject(kindWorkers, "stall-2")
		stored, _ := v.ReplicaObject(kindRollouts, "s")
		order, _ := codec{}.Rollout(stored)
		return hasWorker && order.Phase == rollout.PhaseCompleted
	})
	stalling.release <- ""
	for <-stalling.stalled != "stall-2" {
		stalling.release <- ""
	}
	for range 20 {
		if status, id := v.sendRequest("/"); status != http.StatusOK || !strings.HasPrefix(id, "w2-") {
			t.Errorf("status %d of %s after the order was completed", status, id)
			break
		}
	}
	stalling.release <- ""
}
