// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package poison_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/ryehill/ryehill/coordination/poison"
	"github.com/ryehill/ryehill/state/quarantine"
)

// request returns the fingerprint of a request by its name.
func request(name string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(quarantine.Identity{Target: name})
}

// step is a hang-up of a worker on requests, some time after the one before.
type step struct {
	after    time.Duration
	worker   string
	requests []string
	answered string
}

func play(d *poison.Detector, clock *clockwork.FakeClock, steps []step) (found []string) {
	decide := func() {
		for _, e := range d.Decide() {
			found = append(found, e.Subject)
		}
	}
	for _, s := range steps {
		clock.Advance(s.after)
		for _, name := range s.requests {
			d.Add(poison.HangUp{Fingerprint: request(name), Subject: name, Worker: s.worker, At: clock.Now()})
		}
		if s.answered != "" {
			d.Answered(request(s.answered))
		}
		decide()
	}
	for range 3 { // What is undecided is decided within that time.
		clock.Advance(time.Second)
		decide()
	}
	return found
}

func TestDetector(t *testing.T) {
	const gap = 500 * time.Millisecond
	bad, other := []string{"bad"}, []string{"bad", "other"}
	cases := map[string]struct {
		steps []step
		want  []string
	}{
		"three ends": {steps: []step{{gap, "w1", bad, ""}, {gap, "w2", bad, ""}, {gap, "w3", bad, ""}}, want: bad},
		"two ends":   {steps: []step{{gap, "w1", bad, ""}, {gap, "w2", bad, ""}}},
		"one end, heard of three times": {steps: []step{
			{gap, "w1", bad, ""}, {50 * time.Millisecond, "w1", bad, ""}, {50 * time.Millisecond, "w1", bad, ""},
		}},
		"a worker that starts again under its id": {steps: []step{{gap, "w1", bad, ""}, {gap, "w1", bad, ""}, {gap, "w1", bad, ""}}, want: bad},
		"answered in between": {steps: []step{
			{gap, "w1", bad, ""}, {gap, "w2", bad, "bad"}, {gap, "w3", bad, ""}, {gap, "w4", bad, ""},
		}},
		"another one beside it at all but one end": {steps: []step{
			{gap, "w1", other, ""}, {gap, "w2", other, ""}, {gap, "w3", other, ""}, {gap, "w4", bad, ""},
		}, want: bad},
		"another one that joins it later": {steps: []step{
			{gap, "w1", bad, ""}, {gap, "w2", bad, ""}, {gap, "w3", bad, ""}, {gap, "w4", other, ""}, {gap, "w5", other, ""}, {gap, "w6", other, ""},
		}, want: bad},
		"two that cannot be told apart": {steps: []step{
			{gap, "w1", other, ""}, {gap, "w2", other, ""}, {gap, "w3", other, ""},
		}, want: []string{"any"}},
		"two of them": {steps: []step{
			{gap, "w1", bad, ""},
			{gap, "w2", []string{"worse"}, ""},
			{gap, "w3", bad, ""},
			{gap, "w4", []string{"worse"}, ""},
			{gap, "w5", bad, ""},
			{gap, "w6", []string{"worse"}, ""},
		}, want: []string{"bad", "worse"}},
		"too long ago": {steps: []step{{gap, "w1", bad, ""}, {gap, "w2", bad, ""}, {11 * time.Minute, "w3", bad, ""}}},
	}
	for name, c := range cases {
		Convey("With "+name, t, func() {
			clock := clockwork.NewFakeClock()
			found := play(poison.New(poison.Config{Now: clock.Now}), clock, c.steps)
			switch {
			case len(c.want) == 1 && c.want[0] == "any":
				So(found, ShouldHaveLength, 1)
			case c.want == nil:
				So(found, ShouldBeEmpty)
			default:
				So(found, ShouldResemble, c.want)
			}
		})
	}
}

// A request that was held before is held again by one end, for longer.
func TestFoundAgain(t *testing.T) {
	Convey("After its term", t, func() {
		clock := clockwork.NewFakeClock()
		table := quarantine.NewTable()
		d := poison.New(poison.Config{Known: table.Get, Now: clock.Now})
		end := func() []quarantine.Entry {
			d.Add(poison.HangUp{Fingerprint: request("bad"), Worker: "w", At: clock.Now()})
			entries := d.Decide()
			for _, e := range entries {
				table.Hear(e)
			}
			clock.Advance(time.Second)
			return entries
		}
		end()
		end()
		first := end()
		So(first, ShouldHaveLength, 1)
		So(end(), ShouldBeEmpty) // One that was under way.
		clock.Advance(11 * time.Minute)
		second := end()
		So(second, ShouldHaveLength, 1)
		So(second[0].Times, ShouldEqual, 2)
		So(second[0].Until.Sub(second[0].Since), ShouldBeGreaterThan, first[0].Until.Sub(first[0].Since))
		Convey("but not once it was released", func() {
			table.Release(request("bad"))
			d.Release(request("bad"))
			So(end(), ShouldBeEmpty)
		})
	})
}

// Whatever order hang-ups come in and however often each, the same requests are found.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		d := poison.New(poison.Config{Now: clock.Now})
		ends := rapid.IntRange(1, 6).Draw(t, "ends")
		var told []poison.HangUp
		for i := range ends {
			h := poison.HangUp{Fingerprint: request("bad"), Worker: fmt.Sprint("w", i), At: clock.Now().Add(time.Duration(i) * time.Second)}
			for range rapid.IntRange(1, 3).Draw(t, "copies") {
				told = append(told, h)
			}
		}
		clock.Advance(time.Duration(ends) * time.Second)
		for _, h := range rapid.Permutation(told).Draw(t, "order") {
			d.Add(h)
		}
		if found := d.Decide(); (len(found) == 1) != (ends >= 3) {
			t.Fatalf("%d found of %d ends", len(found), ends)
		}
	})
}

// Workers that end for other reasons, 60 on a day, each with nine requests under way: no
// popular request is found, since those are answered all the time, and of rare ones,
// which are tried up to four times, only such as meet three ends. With 200 workers and
// runs of 0.1 s a try meets one with a probability of 0.0005, so that one of four million
// requests under way at an end is found wrongly; with 0.05 it is one of 400.
func TestInnocentsWhenWorkersEnd(t *testing.T) {
	const days, ends, slots, popular, tries = 200, 60, 9, 40, 4
	cases := map[string]struct {
		meets float64
		most  int
	}{"on a day": {0.0005, 0}, "where one end follows the other": {0.05, 250}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock, found := clockwork.NewFakeClock(), 0
			for day := range uint64(days) {
				random := rand.New(rand.NewPCG(day, 1))
				d, memory := poison.New(poison.Config{Now: clock.Now}), poison.NewMemory(clock.Now)
				hangUp := func(name, worker string) {
					if f := request(name); memory.HungUp(f) {
						d.Add(poison.HangUp{Fingerprint: f, Subject: name, Worker: worker, At: clock.Now()})
					}
				}
				for end := range ends {
					clock.Advance(time.Duration(random.IntN(2000)) * time.Millisecond)
					for p := range popular {
						if f := request(fmt.Sprint("popular", p)); memory.Answered(f) {
							d.Answered(f)
						}
					}
					for slot := range slots {
						if random.IntN(2) == 0 {
							hangUp(fmt.Sprint("popular", random.IntN(popular)), fmt.Sprint("w", end))
							continue
						}
						rare := fmt.Sprintf("rare %d %d", end, slot)
						hangUp(rare, fmt.Sprint("w", end))
						for try := 1; try < tries && random.Float64() < c.meets; try++ {
							hangUp(rare, fmt.Sprintf("w%d-%d-%d", end, slot, try))
						}
					}
					found += len(d.Decide())
				}
			}
			if found > c.most {
				t.Errorf("%d of %d requests found, want at most %d", found, days*ends*slots, c.most)
			}
		})
	}
}
