// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package outlier_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/ryehill/ryehill/coordination/outlier"
	"github.com/ryehill/ryehill/state/worker"
)

// play sends a worker perSecond requests for some seconds, of which a part
// fails, while it is not spared. It returns for what part of the time it was.
func play(judge *outlier.Judge, clock *clockwork.FakeClock, perSecond, seconds int, part float64) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	spared := 0
	steps := perSecond * seconds
	for range steps {
		clock.Advance(time.Second / time.Duration(perSecond))
		if judge.Spared()["w"] > 0 {
			spared++
			continue
		}
		o := worker.Outcomes{Answered: 1}
		if random.Float64() < part {
			o = worker.Outcomes{Failed: 1}
		}
		judge.Add(map[string]worker.Outcomes{"w": o})
	}
	return float64(spared) / float64(steps)
}

func TestWhoIsSpared(t *testing.T) {
	cases := map[string]struct {
		perSecond   int
		part        float64
		least, most float64
	}{
		"a sound worker":                      {20, 0, 0, 0},
		"one with failures of its own":        {20, 0.01, 0, 0},
		"a busy one with failures of its own": {200, 0.02, 0, 0},
		"one that fails two in five":          {10, 0.4, 0.6, 0.95},
		"one that fails all":                  {10, 1, 0.7, 0.98},
		"a slow one that fails all":           {2, 1, 0.4, 0.95},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			got := play(outlier.New(outlier.Config{Now: clock.Now}), clock, c.perSecond, 30, c.part)
			if got < c.least || got > c.most {
				t.Errorf("spared for %.2f of the time, want %.2f to %.2f", got, c.least, c.most)
			}
		})
	}
}

func TestRecoveredWorkerIsTakenBack(t *testing.T) {
	clock := clockwork.NewFakeClock()
	judge := outlier.New(outlier.Config{Now: clock.Now})
	if play(judge, clock, 10, 10, 0.5) == 0 {
		t.Fatal("it was not spared while it failed")
	}
	clock.Advance(16 * time.Second)
	if part := play(judge, clock, 10, 20, 0); part > 0 {
		t.Errorf("spared for %.2f of the time after it recovered", part)
	}
}

// Several VMs that each see too little find a worker together.
func TestVMsAddUpWhatTheySee(t *testing.T) {
	clock := clockwork.NewFakeClock()
	judge := outlier.New(outlier.Config{Now: clock.Now})
	for range 6 {
		alone := outlier.New(outlier.Config{Now: clock.Now})
		seen := map[string]worker.Outcomes{"w": {Answered: 1, Failed: 1}}
		alone.Add(seen)
		judge.Add(seen)
		if len(alone.Spared()) > 0 {
			t.Fatal("one failure of two is enough for one VM")
		}
	}
	if judge.Spared()["w"] == 0 {
		t.Error("six failures of twelve are not enough for all")
	}
}

func TestTableIsBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	judge := outlier.New(outlier.Config{Now: clock.Now})
	for i := range 40_000 {
		judge.Add(map[string]worker.Outcomes{fmt.Sprint(i): {Failed: 9}})
	}
	if n := len(judge.Spared()); n > 16384 {
		t.Errorf("%d workers are remembered", n)
	}
}
