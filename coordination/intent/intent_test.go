// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package intent_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/coordination/intent"
	"github.com/ryehill/ryehill/state/load"
	"github.com/ryehill/ryehill/state/share"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/state/view"
)

var now = time.Unix(1_800_000_000, 0)

// facts describes two halls: a with 20 slots and 16 busy, b with 20 and 10.
func facts() intent.Facts {
	v, err := view.Compile(1, []spec.Object{
		spec.Encode(spec.Key{Kind: spec.KindFleet, Name: spec.SingletonName}, &spec.Fleet{
			Halls: []spec.Hall{{Name: "a", Region: "east"}, {Name: "b", Region: "west"}},
			Links: []spec.Link{{From: "a", To: "b", BytesPerSecond: 1000}},
		}),
		spec.Encode(spec.Key{Kind: spec.KindService, Name: "lookup"}, &spec.Service{
			Workers: []spec.Worker{{ID: "w1", Hall: "a", Address: "10.0.0.1:80", Slots: 20}},
		}),
	}, nil)
	if err != nil {
		panic(err)
	}
	hall := func(name string, busy float64) load.HallStatus {
		return load.HallStatus{Hall: name, At: now.UnixMilli(), Services: map[string]load.ServiceStatus{
			"lookup": {Usable: 20, Busy: busy, Offered: 100, Bytes: 2000},
		}}
	}
	return intent.Facts{ID: "p1", View: v, Now: now, Halls: map[string]load.HallStatus{"a": hall("a", 16), "b": hall("b", 10)}}
}

func ExampleMakePlan() {
	plan, err := intent.MakePlan(intent.Shift{Service: "lookup", From: "a", To: "b", Share: 20 * share.Percent}, facts())
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Printf("%d steps, %.1f of %d slots left in b\n", len(plan.Steps), plan.Halls[1].Headroom, plan.Halls[1].Usable)
	// Output: 4 steps, 6.8 of 20 slots left in b
}

func TestRefusalsHaveNumbers(t *testing.T) {
	cases := map[string]struct {
		in     intent.Intent
		change func(*intent.Facts)
		want   string
	}{
		"no room": {
			in:   intent.Shift{Service: "lookup", From: "a", To: "b", Share: 60 * share.Percent},
			want: "hall b has 20 usable slots of lookup, 10.0 in use; 9.6 more would leave less than the headroom of 10% (room for 8.0)",
		},
		"link": {
			in:   intent.Shift{Service: "lookup", From: "a", To: "b", Share: 48 * share.Percent},
			want: "link a to b would carry 960 bytes/s, more than 90% of its limit 1000",
			change: func(f *intent.Facts) {
				h := f.Halls["b"]
				h.Services["lookup"] = load.ServiceStatus{Usable: 40}
				f.Halls["b"] = h
			},
		},
		"no status": {
			in:     intent.Shift{Service: "lookup", From: "a", To: "b", Share: share.Percent},
			want:   "hall b has sent no status within 15s, so its headroom is unknown",
			change: func(f *intent.Facts) { delete(f.Halls, "b") },
		},
		"drain": {
			in:   intent.DrainHall{Hall: "a"},
			want: "draining hall a needs 16.0 slots for lookup, and the other halls have 8.0 to spare within their headroom",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := facts()
			if c.change != nil {
				c.change(&f)
			}
			_, err := intent.MakePlan(c.in, f)
			var refusal *intent.Refusal
			if !errors.As(err, &refusal) || refusal.Reason != c.want {
				t.Fatalf("got %v", err)
			}
		})
	}
}

func TestPlanIsRejectedAfterAnotherEdit(t *testing.T) {
	plan, err := intent.MakePlan(intent.Cap{Limit: 10 * share.Percent}, facts())
	if err != nil {
		t.Fatal(err)
	}
	first, err := intent.Apply(plan, spec.Traffic{}, now)
	if err != nil || len(first.Caps) != 1 {
		t.Fatal(first, err)
	}
	if _, err := intent.Apply(plan, first, now); !errors.Is(err, intent.ErrStalePlan) {
		t.Fatalf("got %v", err)
	}
}

func TestIntentsRoundTripJSON(t *testing.T) {
	limit := 5 * share.Percent
	for _, in := range []intent.Intent{
		intent.Shift{Service: "s", From: "a", To: "b", Share: share.Percent, Cap: &limit},
		intent.DrainHall{Hall: "a"},
		intent.DrainUpstream{Upstream: "w"},
		intent.Cap{Limit: limit},
	} {
		raw, err := json.Marshal(intent.Envelope{Intent: in})
		if err != nil {
			t.Fatal(err)
		}
		var e intent.Envelope
		if err := json.Unmarshal(raw, &e); err != nil || fmt.Sprintf("%T", e.Intent) != fmt.Sprintf("%T", in) {
			t.Fatalf("%s decoded to %T, %v", raw, e.Intent, err)
		}
	}
	var e intent.Envelope
	for _, bad := range []string{`{"kind":"jump","spec":{}}`, `{"kind":"cap","spec":{"colour":1}}`, `{}`, `[]`} {
		if err := json.Unmarshal([]byte(bad), &e); err == nil {
			t.Errorf("%s was accepted", bad)
		}
	}
}
