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

// call calls the operators' API of a VM and returns the status.
func (v *vm) call(t *testing.T, method, path string, in, out any) int {
	t.Helper()
	body, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	ip, _, _ := net.SplitHostPort(v.front)
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

// fleetOfIntents has two VMs and two workers in each of two halls.
func fleetOfIntents(t *testing.T) (*fleet, []*vm) {
	f := newFleet(t)
	for _, id := range []string{"a1", "a2"} {
		f.worker(id, "s", "north-a")
	}
	for _, id := range []string{"b1", "b2"} {
		f.worker(id, "s", "north-b")
	}
	withToken := func(c *gateway.Config, _ *door) { c.Token = token }
	vms := []*vm{f.start("a", "north-a", withToken), f.start("b", "north-b", withToken)}
	for _, v := range vms {
		f.until(v.name+" knows all", func() bool { return len(f.addresses(v, "north")) == 2 })
	}
	return f, vms
}

// inHall counts the requests of many that a hall's workers answered.
func (v *vm) inHall(prefix byte, requests int) int {
	n := 0
	for range requests {
		if status, id := v.ask("/"); status == http.StatusOK && id[0] == prefix {
			n++
		}
	}
	return n
}

func drain(t *testing.T, v *vm, hall string) intent.Plan {
	t.Helper()
	var p intent.Plan
	in := intent.Envelope{Intent: intent.DrainHall{Hall: hall, Step: share.Whole}}
	if status := v.call(t, http.MethodPost, "/v1/plans", in, &p); status != http.StatusCreated {
		t.Fatalf("status %d", status)
	}
	return p
}

// A plan changes nothing; confirmed at another VM it empties the hall at every
// VM, step by step, and says why; stopped it gives everything back.
func TestDrainOfAHall(t *testing.T) {
	f, vms := fleetOfIntents(t)
	p := drain(t, vms[0], "north-a")
	if len(p.Changes) != 1 || p.Changes[0].Targets[0].Hall != "north-b" {
		t.Fatalf("planned %+v", p.Changes)
	}
	if vms[0].inHall('a', 60) == 0 {
		t.Fatal("the plan alone has emptied the hall")
	}
	var accepted operator.Accepted
	if status := vms[1].call(t, http.MethodPost, "/v1/plans/"+p.ID+"/confirm", nil, &accepted); status != http.StatusOK {
		t.Fatalf("confirm: status %d", status)
	}
	for _, v := range vms {
		f.until(v.name+" sends nothing to the hall", func() bool { return v.inHall('a', 30) == 0 })
	}
	var e operator.Explanation
	f.until("the move says that it is done", func() bool {
		return vms[0].call(t, http.MethodGet, "/v1/decisions/"+p.Changes[0].ID, nil, &e) == http.StatusOK && e.Move.State == spec.MoveDone
	})
	if e.Move.Share != share.Whole || len(e.Move.History) < 2 {
		t.Errorf("share %s, history %v", e.Move.Share, e.Move.History)
	}
	var s operator.Status
	vms[1].call(t, http.MethodGet, "/v1/status", nil, &s)
	if len(s.Moves) != 1 || len(s.Halls) != len(halls) {
		t.Errorf("status has %d moves and %d halls", len(s.Moves), len(s.Halls))
	}
	if status := vms[0].call(t, http.MethodPost, "/v1/intents/"+p.ID+"/stop", nil, nil); status != http.StatusOK {
		t.Fatalf("stop: status %d", status)
	}
	for _, v := range vms {
		f.until(v.name+" sends to the hall again", func() bool { return v.inHall('a', 60) > 5 })
	}
}

// Of two operators with plans from the same state one wins; the other must plan
// again.
func TestOperatorsRace(t *testing.T) {
	_, vms := fleetOfIntents(t)
	first, second := drain(t, vms[0], "north-a"), drain(t, vms[1], "north-b")
	if status := vms[0].call(t, http.MethodPost, "/v1/plans/"+first.ID+"/confirm", nil, nil); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	if status := vms[1].call(t, http.MethodPost, "/v1/plans/"+second.ID+"/confirm", nil, nil); status != http.StatusConflict {
		t.Errorf("the second has status %d, want %d", status, http.StatusConflict)
	}
}

// Whether the answer to a write is lost before or after it was done, the operator
// is told the truth, and it is done once.
func TestLostAnswersToIntents(t *testing.T) {
	cases := map[string]struct {
		lose   int
		before bool
		want   int
	}{
		"lost after the write":   {1, false, http.StatusOK},
		"lost before the write":  {2, true, http.StatusOK},
		"never known to be done": {100, true, http.StatusGatewayTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, vms := fleetOfIntents(t)
			p := drain(t, vms[0], "north-a")
			vms[0].door.loseWrites(c.lose, c.before)
			status := vms[0].call(t, http.MethodPost, "/v1/plans/"+p.ID+"/confirm", nil, nil)
			if (status == http.StatusOK) != (c.want == http.StatusOK) {
				t.Fatalf("status %d, want %d", status, c.want)
			}
			if status != http.StatusOK {
				return
			}
			vms[0].door.loseWrites(0, false)
			var s operator.Status
			f.until("the other VM knows of it", func() bool {
				vms[1].call(t, http.MethodGet, "/v1/status", nil, &s)
				return len(s.Moves) == 1
			})
			if again := vms[1].call(t, http.MethodPost, "/v1/plans/"+p.ID+"/confirm", nil, nil); again != http.StatusOK {
				t.Errorf("confirmed again: status %d", again)
			}
			vms[1].call(t, http.MethodGet, "/v1/status", nil, &s)
			if len(s.Moves) != 1 {
				t.Errorf("%d moves", len(s.Moves))
			}
		})
	}
}

// A stop whose answer is lost after it was done is known to be done: asked again
// it would be refused, since nothing is in force any more.
func TestLostAnswerToAStop(t *testing.T) {
	_, vms := fleetOfIntents(t)
	p := drain(t, vms[0], "north-a")
	for _, path := range []string{"/v1/plans/" + p.ID + "/confirm", "/v1/intents/" + p.ID + "/stop"} {
		vms[0].door.loseWrites(1, false)
		if status := vms[0].call(t, http.MethodPost, path, nil, nil); status != http.StatusOK {
			t.Fatalf("%s: status %d", path, status)
		}
	}
	if status := vms[0].call(t, http.MethodPost, "/v1/intents/"+p.ID+"/stop", nil, nil); status != http.StatusBadRequest {
		t.Errorf("stopped again: status %d", status)
	}
}

// A worker that an operator drains gets nothing; a VM that starts later knows.
func TestDrainOfAWorker(t *testing.T) {
	f, vms := fleetOfIntents(t)
	var p intent.Plan
	vms[0].call(t, http.MethodPost, "/v1/plans", intent.Envelope{Intent: intent.DrainUpstream{Upstream: "a1"}}, &p)
	if status := vms[0].call(t, http.MethodPost, "/v1/plans/"+p.ID+"/confirm", nil, nil); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	late := f.start("c", "north-a", nil)
	f.until("it serves", late.ready)
	for _, v := range append(vms, late) {
		f.within(5*time.Second, v.name+" sends it nothing", func() bool {
			for range 40 {
				if _, id := v.ask("/"); id == "a1" {
					return false
				}
			}
			return true
		})
	}
}

// Without the operators' token nothing but metrics and health is to be had.
func TestIntentsNeedTheToken(t *testing.T) {
	f := newFleet(t)
	f.worker("w", "s", "north-a")
	cases := map[string]struct {
		token string
		want  int
	}{
		"another token":     {"other", http.StatusUnauthorized},
		"no token is known": {"", http.StatusNotFound},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := f.start("v"+time.Now().Format("150405"), "north-a", func(cfg *gateway.Config, _ *door) { cfg.Token = c.token })
			if status := v.call(t, http.MethodGet, "/v1/status", nil, nil); status != c.want {
				t.Errorf("status %d, want %d", status, c.want)
			}
		})
	}
}
