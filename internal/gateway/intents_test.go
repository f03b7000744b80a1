// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/ryehill/ryehill/coordination/intent"
	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/state/share"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/transport/operator"
)

const token = "operators"

// callOperatorAPI calls a VM's operator API and returns the status.
func (v *vm) callOperatorAPI(t *testing.T, method, path string, in, out any) int {
	t.Helper()
	body, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	ip, _, _ := net.SplitHostPort(v.ingressAddr)
	req, _ := http.NewRequest(method, "http://"+ip+":8004"+path, bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+token)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if out != nil {
		_ = json.NewDecoder(res.Body).Decode(out)
	}
	return res.StatusCode
}

// startIntentFleet starts one VM and two workers in each of two halls.
func startIntentFleet(t *testing.T) (*fleet, []*vm) {
	f := newFleet(t)
	for _, id := range []string{"a1", "a2"} {
		f.startWorker(id, "s", "north-a")
	}
	for _, id := range []string{"b1", "b2"} {
		f.startWorker(id, "s", "north-b")
	}
	withToken := func(c *gateway.Config, _ *storeClient) { c.Token = token }
	vms := []*vm{f.startVM("a", "north-a", withToken), f.startVM("b", "north-b", withToken)}
	for _, v := range vms {
		f.waitFor(v.name+" knows all VMs", func() bool { return len(f.resolvedAddresses(v, "north")) == 2 })
	}
	return f, vms
}

// countServedByHall sends requests and counts those served by workers whose id starts with
// prefix.
func (v *vm) countServedByHall(prefix byte, requests int) int {
	n := 0
	for range requests {
		if status, id := v.sendRequest("/"); status == http.StatusOK && id[0] == prefix {
			n++
		}
	}
	return n
}

func planHallDrain(t *testing.T, v *vm, hall string) intent.Plan {
	t.Helper()
	var p intent.Plan
	in := intent.Envelope{Intent: intent.DrainHall{Hall: hall, Step: share.Whole}}
	if status := v.callOperatorAPI(t, http.MethodPost, "/v1/plans", in, &p); status != http.StatusCreated {
		t.Fatalf("status %d", status)
	}
	return p
}

// Guards against a drain that starts unconfirmed, misses a VM or can't be stopped.
func TestDrainOfAHall(t *testing.T) {
	f, vms := startIntentFleet(t)
	p := planHallDrain(t, vms[0], "north-a")
	if len(p.Changes) != 1 || p.Changes[0].Targets[0].Hall != "north-b" {
		t.Fatalf("planned %+v", p.Changes)
	}
	if vms[0].countServedByHall('a', 60) == 0 {
		t.Fatal("the unconfirmed plan emptied the hall")
	}
	var accepted operator.Accepted
	if status := vms[1].callOperatorAPI(t, http.MethodPost, "/v1/plans/"+p.ID+"/confirm", nil, &accepted); status != http.StatusOK {
		t.Fatalf("confirm: status %d", status)
	}
	for _, v := range vms {
		f.waitFor(v.name+" sends nothing to the hall", func() bool { return v.countServedByHall('a', 30) == 0 })
	}
	var e operator.Explanation
	f.waitFor("the move is done", func() bool {
		return vms[0].callOperatorAPI(t, http.MethodGet, "/v1/decisions/"+p.Changes[0].ID, nil, &e) == http.StatusOK && e.Move.State == spec.MoveDone
	})
	if e.Move.Share != share.Whole || len(e.Move.History) < 2 {
		t.Errorf("share %s, history %v", e.Move.Share, e.Move.History)
	}
	var s operator.Status
	vms[1].callOperatorAPI(t, http.MethodGet, "/v1/status", nil, &s)
	if len(s.Moves) != 1 || len(s.Halls) != len(regionOfHall) {
		t.Errorf("status has %d moves and %d halls", len(s.Moves), len(s.Halls))
	}
	if status := vms[0].callOperatorAPI(t, http.MethodPost, "/v1/intents/"+p.ID+"/stop", nil, nil); status != http.StatusOK {
		t.Fatalf("stop: status %d", status)
	}
	for _, v := range vms {
		f.waitFor(v.name+" sends to the hall again", func() bool { return v.countServedByHall('a', 60) > 5 })
	}
}

// Guards against confirming two plans that were made from the same state.
func TestConflictingPlans(t *testing.T) {
	_, vms := startIntentFleet(t)
	first, second := planHallDrain(t, vms[0], "north-a"), planHallDrain(t, vms[1], "north-b")
	if status := vms[0].callOperatorAPI(t, http.MethodPost, "/v1/plans/"+first.ID+"/confirm", nil, nil); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	if status := vms[1].callOperatorAPI(t, http.MethodPost, "/v1/plans/"+second.ID+"/confirm", nil, nil); status != http.StatusConflict {
		t.Errorf("second confirmation: status %d, want %d", status, http.StatusConflict)
	}
}

// Guards against a wrong status or a repeated change when the store's reply to a write is lost.
func TestLostAnswersToIntents(t *testing.T) {
	cases := map[string]struct {
		lose   int
		before bool
		want   int
	}{
		"lost after the write":  {1, false, http.StatusOK},
		"lost before the write": {2, true, http.StatusOK},
		"every write lost":      {100, true, http.StatusGatewayTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, vms := startIntentFleet(t)
			p := planHallDrain(t, vms[0], "north-a")
			vms[0].storeClient.loseWriteReplies(c.lose, c.before)
			status := vms[0].callOperatorAPI(t, http.MethodPost, "/v1/plans/"+p.ID+"/confirm", nil, nil)
			if (status == http.StatusOK) != (c.want == http.StatusOK) {
				t.Fatalf("status %d, want %d", status, c.want)
			}
			if status != http.StatusOK {
				return
			}
			vms[0].storeClient.loseWriteReplies(0, false)
			var s operator.Status
			f.waitFor("the other VM knows the move", func() bool {
				vms[1].callOperatorAPI(t, http.MethodGet, "/v1/status", nil, &s)
				return len(s.Moves) == 1
			})
			if again := vms[1].callOperatorAPI(t, http.MethodPost, "/v1/plans/"+p.ID+"/confirm", nil, nil); again != http.StatusOK {
				t.Errorf("confirmed again: status %d", again)
			}
			vms[1].callOperatorAPI(t, http.MethodGet, "/v1/status", nil, &s)
			if len(s.Moves) != 1 {
				t.Errorf("%d moves", len(s.Moves))
			}
		})
	}
}

// Guards against retrying a stop that was already done, which would fail with nothing to stop.
func TestLostAnswerToAStop(t *testing.T) {
	_, vms := startIntentFleet(t)
	p := planHallDrain(t, vms[0], "north-a")
	for _, path := range []string{"/v1/plans/" + p.ID + "/confirm", "/v1/intents/" + p.ID + "/stop"} {
		vms[0].storeClient.loseWriteReplies(1, false)
		if status := vms[0].callOperatorAPI(t, http.MethodPost, path, nil, nil); status != http.StatusOK {
			t.Fatalf("%s: status %d", path, status)
		}
	}
	if status := vms[0].callOperatorAPI(t, http.MethodPost, "/v1/intents/"+p.ID+"/stop", nil, nil); status != http.StatusBadRequest {
		t.Errorf("stopped again: status %d", status)
	}
}

// Guards against requests to a drained worker, also from a VM that starts later.
func TestDrainOfAWorker(t *testing.T) {
	f, vms := startIntentFleet(t)
	var p intent.Plan
	vms[0].callOperatorAPI(t, http.MethodPost, "/v1/plans", intent.Envelope{Intent: intent.DrainUpstream{Upstream: "a1"}}, &p)
	if status := vms[0].callOperatorAPI(t, http.MethodPost, "/v1/plans/"+p.ID+"/confirm", nil, nil); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	late := f.startVM("c", "north-a", nil)
	f.waitFor("the VM is ready", late.ready)
	for _, v := range append(vms, late) {
		f.waitWithin(5*time.Second, v.name+" sends the drained worker nothing", func() bool {
			for range 40 {
				if _, id := v.sendRequest("/"); id == "a1" {
					return false
				}
			}
			return true
		})
	}
}

// Guards against access to the operator API without the right token.
func TestIntentsNeedTheToken(t *testing.T) {
	f := newFleet(t)
	f.startWorker("w", "s", "north-a")
	cases := map[string]struct {
		token string
		want  int
	}{
		"another token":          {"other", http.StatusUnauthorized},
		"no token is configured": {"", http.StatusNotFound},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := f.startVM("v"+time.Now().Format("150405"), "north-a", func(cfg *gateway.Config, _ *storeClient) { cfg.Token = c.token })
			if status := v.callOperatorAPI(t, http.MethodGet, "/v1/status", nil, nil); status != c.want {
				t.Errorf("status %d, want %d", status, c.want)
			}
		})
	}
}
