// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Command plan answers an intent with a plan, or with why there is none.
package main

import (
	"fmt"
	"time"

	"github.com/ryehill/ryehill/coordination/intent"
	"github.com/ryehill/ryehill/state/load"
	"github.com/ryehill/ryehill/state/share"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/state/view"
)

func main() {
	config, err := view.Compile(1, []spec.Object{
		spec.Encode(spec.Key{Kind: spec.KindFleet, Name: spec.SingletonName}, &spec.Fleet{
			Halls: []spec.Hall{{Name: "a", Region: "east"}, {Name: "b", Region: "west"}},
		}),
		spec.Encode(spec.Key{Kind: spec.KindService, Name: "lookup"}, &spec.Service{}),
	}, nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Now()
	hall := func(name string, usable int, busy float64) load.HallStatus {
		return load.HallStatus{Hall: name, At: now.UnixMilli(), Services: map[string]load.ServiceStatus{"lookup": {Usable: usable, Busy: busy}}}
	}
	facts := intent.Facts{ID: "p1", View: config, Now: now, Halls: map[string]load.HallStatus{
		"a": hall("a", 20, 16), "b": hall("b", 20, 10),
	}}
	for _, part := range []share.PPM{20 * share.Percent, 80 * share.Percent} {
		plan, err := intent.MakePlan(intent.Shift{Service: "lookup", From: "a", To: "b", Share: part}, facts)
		if err != nil {
			fmt.Println(err)
			continue
		}
		fmt.Printf("%s in %d steps, %.1f slots left in b\n", part, len(plan.Steps), plan.Halls[1].Headroom)
	}
}
