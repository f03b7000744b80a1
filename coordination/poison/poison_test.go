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
	return quarantine.ComputeFingerprint(quarantine.Identity{Target: name})
}

// step is a crash of a worker with requests in flight, some time after the previous one.
type step struct {
	after    time.Duration
	worker   string
	requests []string
	answered string
}

func replay(d *poison.Detector, clock *clockwork.FakeClock, steps []step) (found []string) {
	decide := func() {
		for _, e := range d.Detect() {
			found = append(found, e.Subject)
		}
	}
	for _, s := range steps {
		clock.Advance(s.after)
		for _, name := range s.requests {
			d.Add(poison.HangUp{Fingerprint: request(name), Subject: name, Worker: s.worker, At: clock.Now()})
		}
		if s.answered != "" {
			d.RecordAnswer(request(s.answered))
		}
		decide()
	}
	for range 3 { // lets tieDelay and answerDelay pass
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
		"three crashes": {steps: []step{{gap, "w1", bad, ""}, {gap, "w2", bad, ""}, {gap, "w3", bad, ""}}, want: bad},
		"two crashes":   {steps: []step{{gap, "w1", bad, ""}, {gap, "w2", bad, ""}}},
		"one crash reported three times": {steps: []step{
			{gap, "w1", bad, ""}, {50 * time.Millisecond, "w1", bad, ""}, {50 * time.Millisecond, "w1", bad, ""},
		}},
		"a worker that restarts under its id": {steps: []step{{gap, "w1", bad, ""}, {gap, "w1", bad, ""}, {gap, "w1", bad, ""}}, want: bad},
		"crashes at one moment, answered right after": {steps: []step{
			{gap, "w1", bad, ""}, {100 * time.Millisecond, "w2", bad, ""}, {250 * time.Millisecond, "w3", bad, ""}, {300 * time.Millisecond, "w4", other[1:], "bad"},
		}},
		"crashes at one moment, never answered": {steps: []step{
			{gap, "w1", bad, ""}, {100 * time.Millisecond, "w2", bad, ""}, {250 * time.Millisecond, "w3", bad, ""},
		}, want: bad},
		"many crashes at one moment": {steps: []step{
			{gap, "w1", bad, ""},
			{10 * time.Millisecond, "w2", bad, ""},
			{10 * time.Millisecond, "w3", bad, ""},
			{10 * time.Millisecond, "w4", bad, ""},
			{10 * time.Millisecond, "w5", bad, ""},
			{10 * time.Millisecond, "w6", nil, "bad"},
		}, want: bad},
		"answered in between": {steps: []step{
			{gap, "w1", bad, ""}, {gap, "w2", bad, "bad"}, {gap, "w3", bad, ""}, {gap, "w4", bad, ""},
		}},
		"another request in flight at all but one crash": {steps: []step{
			{gap, "w1", other, ""}, {gap, "w2", other, ""}, {gap, "w3", other, ""}, {gap, "w4", bad, ""},
		}, want: bad},
		"another request in flight at later crashes": {steps: []step{
			{gap, "w1", bad, ""}, {gap, "w2", bad, ""}, {gap, "w3", bad, ""}, {gap, "w4", other, ""}, {gap, "w5", other, ""}, {gap, "w6", other, ""},
		}, want: bad},
		"two requests at the same crashes": {steps: []step{
			{gap, "w1", other, ""}, {gap, "w2", other, ""}, {gap, "w3", other, ""},
		}, want: []string{"any"}},
		"two poison requests": {steps: []step{
			{gap, "w1", bad, ""},
			{gap, "w2", []string{"worse"}, ""},
			{gap, "w3", bad, ""},
			{gap, "w4", []string{"worse"}, ""},
			{gap, "w5", bad, ""},
			{gap, "w6", []string{"worse"}, ""},
		}, want: []string{"bad", "worse"}},
		"a crash too long ago": {steps: []step{{gap, "w1", bad, ""}, {gap, "w2", bad, ""}, {11 * time.Minute, "w3", bad, ""}}},
	}
	for name, c := range cases {
		Convey("With "+name, t, func() {
			clock := clockwork.NewFakeClock()
			found := replay(poison.New(poison.Config{Now: clock.Now}), clock, c.steps)
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

// Guards against a request with an earlier entry needing as many crashes as the first time.
func TestRepeatDetectionNeedsOneCrash(t *testing.T) {
	Convey("After its term", t, func() {
		clock := clockwork.NewFakeClock()
		table := quarantine.NewTable()
		d := poison.New(poison.Config{Known: table.Get, Now: clock.Now})
		crashWorker := func() []quarantine.Entry {
			d.Add(poison.HangUp{Fingerprint: request("bad"), Worker: "w", At: clock.Now()})
			entries := d.Detect()
			for _, e := range entries {
				table.Merge(e)
			}
			clock.Advance(time.Second)
			return entries
		}
		crashWorker()
		crashWorker()
		first := crashWorker()
		So(first, ShouldHaveLength, 1)
		So(crashWorker(), ShouldBeEmpty) // a request in flight when the entry was made
		clock.Advance(11 * time.Minute)
		second := crashWorker()
		So(second, ShouldHaveLength, 1)
		So(second[0].Times, ShouldEqual, 2)
		So(second[0].Until.Sub(second[0].Since), ShouldBeGreaterThan, first[0].Until.Sub(first[0].Since))
		Convey("but not after a release", func() {
			table.Release(request("bad"))
			d.Release(request("bad"))
			So(crashWorker(), ShouldBeEmpty)
		})
	})
}

// Guards against detection depending on the order or the repetition of hang-ups.
func TestDetectionIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		d := poison.New(poison.Config{Now: clock.Now})
		crashes := rapid.IntRange(1, 6).Draw(t, "ends")
		var hangUps []poison.HangUp
		for i := range crashes {
			h := poison.HangUp{Fingerprint: request("bad"), Worker: fmt.Sprint("w", i), At: clock.Now().Add(time.Duration(i) * time.Second)}
			for range rapid.IntRange(1, 3).Draw(t, "copies") {
				hangUps = append(hangUps, h)
			}
		}
		clock.Advance(time.Duration(crashes) * time.Second)
		for _, h := range rapid.Permutation(hangUps).Draw(t, "order") {
			d.Add(h)
		}
		if found := d.Detect(); (len(found) == 1) != (crashes >= 3) {
			t.Fatalf("%d found with %d crashes", len(found), crashes)
		}
	})
}

// Guards against quarantining harmless requests that were in flight at unrelated crashes.
func TestUnrelatedCrashesRarelyQuarantineRequests(t *testing.T) {
	const days, crashes, slots, popular, tries = 200, 60, 9, 40, 4
	cases := map[string]struct {
		crashRate float64
		maxFound  int
	}{"crashes far apart": {0.0005, 0}, "frequent crashes": {0.05, 250}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock, found := clockwork.NewFakeClock(), 0
			for day := range uint64(days) {
				random := rand.New(rand.NewPCG(day, 1))
				d, memory := poison.New(poison.Config{Now: clock.Now}), poison.NewHistory(clock.Now)
				hangUp := func(name, worker string) {
					if f := request(name); memory.RecordHangUp(f) {
						d.Add(poison.HangUp{Fingerprint: f, Subject: name, Worker: worker, At: clock.Now()})
					}
				}
				for crash := range crashes {
					clock.Advance(time.Duration(random.IntN(2000)) * time.Millisecond)
					for p := range popular {
						if f := request(fmt.Sprint("popular", p)); memory.RecordAnswer(f) {
							d.RecordAnswer(f)
						}
					}
					for slot := range slots {
						if random.IntN(2) == 0 {
							hangUp(fmt.Sprint("popular", random.IntN(popular)), fmt.Sprint("w", crash))
							continue
						}
						rare := fmt.Sprintf("rare %d %d", crash, slot)
						hangUp(rare, fmt.Sprint("w", crash))
						for try := 1; try < tries && random.Float64() < c.crashRate; try++ {
							hangUp(rare, fmt.Sprintf("w%d-%d-%d", crash, slot, try))
						}
					}
					found += len(d.Detect())
				}
			}
			if found > c.maxFound {
				t.Errorf("%d of %d requests found, want at most %d", found, days*crashes*slots, c.maxFound)
			}
		})
	}
}
