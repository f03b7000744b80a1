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

// simulate sends a worker requests of which a fraction fails, except while it is ejected.
// It returns the fraction of requests that fell into an ejection.
func simulate(detector *outlier.Detector, clock *clockwork.FakeClock, perSecond, seconds int, failing float64) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	ejected := 0
	steps := perSecond * seconds
	for range steps {
		clock.Advance(time.Second / time.Duration(perSecond))
		if detector.Ejected()["w"] > 0 {
			ejected++
			continue
		}
		o := worker.Outcomes{Succeeded: 1}
		if random.Float64() < failing {
			o = worker.Outcomes{Failed: 1}
		}
		detector.AddOutcomes(map[string]worker.Outcomes{"w": o})
	}
	return float64(ejected) / float64(steps)
}

func TestFailingWorkersAreEjected(t *testing.T) {
	cases := map[string]struct {
		perSecond   int
		failing     float64
		least, most float64
	}{
		"a healthy worker":                    {20, 0, 0, 0},
		"application failures":                {20, 0.01, 0, 0},
		"application failures at a high rate": {200, 0.02, 0, 0},
		"fails two in five":                   {10, 0.4, 0.6, 0.95},
		"fails all":                           {10, 1, 0.7, 0.98},
		"fails all at a low rate":             {2, 1, 0.4, 0.95},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			got := simulate(outlier.New(outlier.Config{Now: clock.Now}), clock, c.perSecond, 30, c.failing)
			if got < c.least || got > c.most {
				t.Errorf("ejected for %.2f of the time, want %.2f to %.2f", got, c.least, c.most)
			}
		})
	}
}

func TestRecoveredWorkerIsUsedAgain(t *testing.T) {
	clock := clockwork.NewFakeClock()
	detector := outlier.New(outlier.Config{Now: clock.Now})
	if simulate(detector, clock, 10, 10, 0.5) == 0 {
		t.Fatal("the worker was not ejected while it failed")
	}
	clock.Advance(16 * time.Second)
	if fraction := simulate(detector, clock, 10, 20, 0); fraction > 0 {
		t.Errorf("ejected for %.2f of the time after it recovered", fraction)
	}
}

// Guards against missing a failing worker of which each VM sees too few requests.
func TestOutcomesOfVMsAreAggregated(t *testing.T) {
	clock := clockwork.NewFakeClock()
	detector := outlier.New(outlier.Config{Now: clock.Now})
	for range 6 {
		alone := outlier.New(outlier.Config{Now: clock.Now})
		seen := map[string]worker.Outcomes{"w": {Succeeded: 1, Failed: 1}}
		alone.AddOutcomes(seen)
		detector.AddOutcomes(seen)
		if len(alone.Ejected()) > 0 {
			t.Fatal("one failure of two exchanges ejects a worker")
		}
	}
	if detector.Ejected()["w"] == 0 {
		t.Error("six failures of twelve exchanges do not eject a worker")
	}
}

func TestTableIsBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	detector := outlier.New(outlier.Config{Now: clock.Now})
	for i := range 40_000 {
		detector.AddOutcomes(map[string]worker.Outcomes{fmt.Sprint(i): {Failed: 9}})
	}
	if n := len(detector.Ejected()); n > 16384 {
		t.Errorf("%d workers are tracked", n)
	}
}
