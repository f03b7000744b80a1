// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package reach_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/ryehill/ryehill/coordination/reach"
)

// manualClock is a clock that a test advances.
type manualClock struct{ now time.Time }

func newClock() *manualClock { return &manualClock{now: time.Unix(1000, 0)} }

func (c *manualClock) Now() time.Time { return c.now }

func (c *manualClock) advance(d time.Duration) { c.now = c.now.Add(d) }

// settled is longer than a failure needs to be verified by a response.
const settled = 200 * time.Millisecond

// failAt fails connections to n workers.
func failAt(m *reach.Monitor, n int) {
	for i := range n {
		m.RecordBroken(fmt.Sprintf("w%d", i), time.Time{})
	}
}

// isolate makes a monitor isolated.
func isolate(t *testing.T, m *reach.Monitor, c *manualClock) reach.BecameIsolated {
	t.Helper()
	failAt(m, 3)
	c.advance(settled)
	change, ok := m.RecordCheck(reach.Check{StartedAt: c.Now(), Failed: []string{"w8", "w9"}, Workers: 10}).(reach.BecameIsolated)
	if !ok || !m.Isolated() {
		t.Fatal("the VM is not isolated")
	}
	return change
}

// Guards against telling other VMs of failed connections that were this VM's fault.
func TestFailuresAreVerified(t *testing.T) {
	cases := map[string]struct {
		fail     func(m *reach.Monitor)
		then     func(m *reach.Monitor, c *manualClock)
		sound    bool // whether the failures are verified
		isolated bool
	}{
		"a response long enough after a broken connection": {
			fail: func(m *reach.Monitor) { m.RecordBroken("w1", time.Time{}) },
			then: func(m *reach.Monitor, c *manualClock) {
				c.advance(settled)
				m.RecordResponse(time.Time{})
			},
			sound: true,
		},
		"a response that may have been received before": {
			fail: func(m *reach.Monitor) { m.RecordBroken("w1", time.Time{}) },
			then: func(m *reach.Monitor, _ *manualClock) { m.RecordResponse(time.Time{}) },
		},
		"a response on an old connection after a refused one": {
			fail: func(m *reach.Monitor) { m.RecordOpenFailed("w1") },
			then: func(m *reach.Monitor, c *manualClock) {
				c.advance(settled)
				m.RecordResponse(time.Time{})
			},
		},
		"a response on a connection opened after a refused one": {
			fail: func(m *reach.Monitor) { m.RecordOpenFailed("w1") },
			then: func(m *reach.Monitor, c *manualClock) {
				c.advance(settled)
				m.RecordResponse(c.Now())
			},
			sound: true,
		},
		"a check that reaches one of three workers": {
			fail: func(m *reach.Monitor) { failAt(m, 5) },
			then: func(m *reach.Monitor, c *manualClock) {
				c.advance(settled)
				m.RecordCheck(reach.Check{StartedAt: c.Now(), Reached: 1, Failed: []string{"w8", "w9"}, Workers: 10})
			},
			sound: true,
		},
		"a check that reaches none": {
			fail: func(m *reach.Monitor) { failAt(m, 1) },
			then: func(m *reach.Monitor, c *manualClock) {
				c.advance(settled)
				m.RecordCheck(reach.Check{StartedAt: c.Now(), Failed: []string{"w8", "w9"}, Workers: 10})
			},
			isolated: true,
		},
		"a check of the failed workers alone": {
			fail: func(m *reach.Monitor) { failAt(m, 2) },
			then: func(m *reach.Monitor, c *manualClock) {
				c.advance(settled)
				m.RecordCheck(reach.Check{StartedAt: c.Now(), Failed: []string{"w0", "w1"}, Workers: 10})
			},
		},
		"a check where there are two workers": {
			fail: func(m *reach.Monitor) { failAt(m, 1) },
			then: func(m *reach.Monitor, c *manualClock) {
				c.advance(settled)
				m.RecordCheck(reach.Check{StartedAt: c.Now(), Failed: []string{"w1"}, Workers: 2})
			},
			isolated: true,
		},
		"a check where there is one worker": {
			fail: func(m *reach.Monitor) { failAt(m, 1) },
			then: func(m *reach.Monitor, c *manualClock) {
				c.advance(settled)
				m.RecordCheck(reach.Check{StartedAt: c.Now(), Failed: []string{"w0"}, Workers: 1})
			},
			sound: true,
		},
		"a check that began before the failure": {
			fail: func(m *reach.Monitor) { failAt(m, 1) },
			then: func(m *reach.Monitor, c *manualClock) {
				m.RecordCheck(reach.Check{StartedAt: c.Now().Add(-settled), Reached: 3, Workers: 10})
			},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := newClock()
			m := reach.New(reach.Config{Now: clock.Now})
			failedAt := clock.Now()
			c.fail(m)
			var verdicts []bool
			m.WhenVerified(func(verified bool) { verdicts = append(verdicts, verified) })
			if m.VerifiedUntil().After(failedAt) || len(verdicts) > 0 {
				t.Fatal("the failure counts as verified at once")
			}
			c.then(m, clock)
			if got := len(verdicts) == 1 && verdicts[0]; got != c.sound {
				t.Errorf("verdicts %v, want verified %v", verdicts, c.sound)
			}
			if got := m.VerifiedUntil().After(failedAt); got != c.sound || m.Verified() != c.sound {
				t.Errorf("verified until after the failure: %v, want %v", got, c.sound)
			}
			if m.Isolated() != c.isolated || c.isolated && (len(verdicts) != 1 || verdicts[0]) {
				t.Errorf("isolated: %v, want %v; verdicts %v", m.Isolated(), c.isolated, verdicts)
			}
			if _, needed := m.CheckDelay(); needed == c.sound {
				t.Errorf("a check is needed: %v", needed)
			}
		})
	}
}

// Guards against holding what failed before the path came back against workers.
func TestFailuresOfAnIsolatedVMProveNothing(t *testing.T) {
	clock := newClock()
	m := reach.New(reach.Config{Now: clock.Now})
	begun := clock.Now()
	change := isolate(t, m, clock)
	if !change.Since.Equal(begun) {
		t.Errorf("isolated since %s, want the first failure at %s", change.Since, begun)
	}
	if m.Conclusive(clock.Now()) {
		t.Error("failures are conclusive during the isolation")
	}
	recoverAfter(t, m, clock, 2)
	if m.Conclusive(begun) || !m.Conclusive(clock.Now()) {
		t.Error("want failures to be conclusive only of exchanges that began after the recovery")
	}
}

// recoverAfter checks that the isolation ends with the given successful check.
func recoverAfter(t *testing.T, m *reach.Monitor, clock *manualClock, checks int) {
	t.Helper()
	for i := 1; ; i++ {
		delay, _ := m.CheckDelay()
		clock.advance(max(delay, 0))
		change, ended := m.RecordCheck(reach.Check{StartedAt: clock.Now(), Reached: 1, Failed: []string{"w9"}, Workers: 10}).(reach.Recovered)
		if !ended {
			continue
		}
		if i != checks || change.Checks != checks || m.Isolated() {
			t.Fatalf("recovered after %d checks (reported %d), want %d", i, change.Checks, checks)
		}
		return
	}
}

// Guards against flapping while a path comes and goes.
func TestRelapsesNeedMoreChecks(t *testing.T) {
	clock := newClock()
	m := reach.New(reach.Config{Now: clock.Now})
	for _, checks := range []int{2, 4, 8, 8} {
		isolate(t, m, clock)
		recoverAfter(t, m, clock, checks)
	}
	clock.advance(time.Minute)
	isolate(t, m, clock)
	m.RecordCheck(reach.Check{StartedAt: clock.Now(), Reached: 1, Workers: 10})
	m.RecordCheck(reach.Check{StartedAt: clock.Now(), Failed: []string{"w1"}, Workers: 10})
	recoverAfter(t, m, clock, 2)
}

// Guards against checking without end at a high rate, or not at all.
func TestIsolatedVMChecksAtABoundedRate(t *testing.T) {
	clock := newClock()
	m := reach.New(reach.Config{Now: clock.Now})
	isolate(t, m, clock)
	checks := 0
	for end := clock.Now().Add(time.Minute); clock.Now().Before(end); checks++ {
		delay, needed := m.CheckDelay()
		if !needed || delay > time.Second {
			t.Fatalf("next check after %s, needed: %v", delay, needed)
		}
		clock.advance(max(delay, time.Millisecond))
		m.RecordCheck(reach.Check{StartedAt: clock.Now(), Failed: []string{"w1"}, Workers: 10})
	}
	if checks > 80 {
		t.Errorf("%d checks in a minute", checks)
	}
}

// Guards against giving up connections that outlive the loss of new ones.
func TestOpenConnectionsThatWorkAreKnown(t *testing.T) {
	clock := newClock()
	m := reach.New(reach.Config{Now: clock.Now})
	for i := range 3 {
		m.RecordOpenFailed(fmt.Sprintf("w%d", i))
	}
	clock.advance(settled)
	m.RecordResponse(time.Time{})
	change, ok := m.RecordCheck(reach.Check{StartedAt: clock.Now(), Failed: []string{"w8"}, Workers: 10}).(reach.BecameIsolated)
	if !ok || !change.OpenConnectionsWork || !m.OpenConnectionsWork() {
		t.Fatal("open connections do not count as working")
	}
	m.RecordBroken("w1", time.Time{})
	if m.OpenConnectionsWork() {
		t.Error("open connections count as working after one has failed")
	}
	m.RecordResponse(time.Time{})
	clock.advance(2 * time.Second)
	if m.OpenConnectionsWork() {
		t.Error("open connections count as working without a response")
	}
}

func proxies(regions ...string) []reach.Proxy {
	list := make([]reach.Proxy, len(regions))
	for i, region := range regions {
		list[i] = reach.Proxy{ID: fmt.Sprintf("%s-%d", region, i), Region: region}
	}
	return list
}

// Guards against choosing a far proxy, one that may not have the request, or one that is avoided.
func TestProxyIsNearAndAllowed(t *testing.T) {
	only := func(allowed string) func(string) bool {
		return func(region string) bool { return region == allowed }
	}
	cases := map[string]struct {
		proxies []reach.Proxy
		demand  reach.Demand
		avoid   string
		want    string // region, "" for none
	}{
		"own region first":              {proxies("north", "south", "west"), reach.Demand{Region: "north", IsolatedThere: 1, WorkerRegion: "south"}, "", "north"},
		"then that of the worker":       {proxies("south", "west", "west"), reach.Demand{Region: "north", IsolatedThere: 1, WorkerRegion: "south"}, "", "south"},
		"then any":                      {proxies("west"), reach.Demand{Region: "north", IsolatedThere: 1, WorkerRegion: "south"}, "", "west"},
		"only in an allowed region":     {proxies("north", "south", "west"), reach.Demand{Region: "north", IsolatedThere: 1, WorkerRegion: "south", Allows: only("west")}, "", "west"},
		"none in an allowed region":     {proxies("north", "south"), reach.Demand{Region: "north", IsolatedThere: 1, WorkerRegion: "south", Allows: only("west")}, "", ""},
		"one that is avoided is not":    {proxies("north", "south"), reach.Demand{Region: "north", IsolatedThere: 1, WorkerRegion: "south"}, "north-0", "south"},
		"no proxies":                    {nil, reach.Demand{Region: "north", IsolatedThere: 1}, "", ""},
		"worker in the VM's own region": {proxies("west"), reach.Demand{Region: "north", IsolatedThere: 1, WorkerRegion: "north"}, "", "west"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := reach.NewProxies("vm", newClock().Now)
			if c.avoid != "" {
				p.Avoid(c.avoid, time.Second)
			}
			chosen, _ := p.Acquire(c.proxies, c.demand)
			if chosen.Region != c.want {
				t.Errorf("chose %q, want one in %q", chosen.ID, c.want)
			}
		})
	}
}

// Guards against one proxy that gets the requests of a whole region.
func TestProxiesShareTheLoad(t *testing.T) {
	const requests, isolated = 3000, 3
	p := reach.NewProxies("vm", newClock().Now)
	list := proxies("north", "south", "south", "south")
	counts := make(map[string]int)
	for range requests {
		chosen, ok := p.Acquire(list, reach.Demand{Region: "north", IsolatedThere: isolated, WorkerRegion: "south"})
		if !ok {
			t.Fatal("no proxy")
		}
		counts[chosen.ID]++
		p.Release(chosen.ID)
	}
	if n := counts["north-0"]; n < requests/isolated*9/10 || n > requests/isolated*11/10 {
		t.Errorf("the only proxy of the region got %d of %d requests, want a third", n, requests)
	}
	limited := 0
	for {
		if _, ok := p.Acquire(list, reach.Demand{Region: "north", IsolatedThere: isolated, WorkerRegion: "south"}); !ok {
			break
		}
		limited++
	}
	if limited != len(list)*64 {
		t.Errorf("%d requests in flight at %d proxies", limited, len(list))
	}
}

// Guards against sending bodies by way of a VM with a narrow link while others are idle.
func TestProxiesWithWideLinksGetMore(t *testing.T) {
	p := reach.NewProxies("vm", newClock().Now)
	list := []reach.Proxy{{ID: "narrow", Region: "north", LinkMbps: 10}, {ID: "wide", Region: "north", LinkMbps: 1000}}
	counts := make(map[string]int)
	for range 40 {
		chosen, _ := p.Acquire(list, reach.Demand{Region: "north", IsolatedThere: 1})
		counts[chosen.ID]++
	}
	if counts["narrow"] >= counts["wide"]/2 {
		t.Errorf("requests in flight: %v", counts)
	}
}

// Guards against sessions of each isolated VM with all others of a large region, and against a
// few proxies that serve all isolated VMs.
func TestVMChoosesAmongFewProxies(t *testing.T) {
	const proxyCount, isolated, requests, most = 300, 100, 50, 8
	list := make([]reach.Proxy, proxyCount)
	for i := range list {
		list[i] = reach.Proxy{ID: fmt.Sprintf("p%d", i), Region: "north"}
	}
	usedByAll := make(map[string]bool)
	for vm := range isolated {
		p, used := reach.NewProxies(fmt.Sprintf("vm%d", vm), newClock().Now), make(map[string]bool)
		for range requests {
			chosen, _ := p.Acquire(list, reach.Demand{Region: "north", IsolatedThere: isolated})
			used[chosen.ID], usedByAll[chosen.ID] = true, true
		}
		if len(used) > most {
			t.Fatalf("one VM used %d proxies", len(used))
		}
	}
	if len(usedByAll) < proxyCount*8/10 {
		t.Errorf("%d VMs used %d of %d proxies", isolated, len(usedByAll), proxyCount)
	}
}

// Guards against blaming workers, and requests, for connections that a path loses at one
// moment, if it works again before the next check.
func TestBurstIsVerifiedByItsWorkers(t *testing.T) {
	checked := func(alive, ended int) func(m *reach.Monitor, c *manualClock) reach.Change {
		return func(m *reach.Monitor, c *manualClock) reach.Change {
			return m.RecordCheck(reach.Check{StartedAt: c.Now(), Reached: 3, Alive: alive, Ended: ended, Workers: 10})
		}
	}
	respond := func(m *reach.Monitor, _ *manualClock) reach.Change {
		m.RecordResponse(time.Time{})
		return reach.Unchanged{}
	}
	const (
		waits = iota
		sound
		void
	)
	cases := map[string]struct {
		workers int
		// apart is the time between two failures.
		apart time.Duration
		// responses is set if other workers respond between the failures.
		responses bool
		// inSequence is set if each exchange begins after the last failure.
		inSequence bool
		then       func(m *reach.Monitor, c *manualClock) reach.Change
		want       int
	}{
		"a response after a burst":                {workers: 5, then: respond, want: waits},
		"a burst of workers that live":            {workers: 5, then: checked(5, 0), want: void},
		"a burst with responses in between":       {workers: 5, responses: true, then: checked(5, 0), want: void},
		"a burst of workers, half of which ended": {workers: 6, then: checked(3, 3), want: void},
		"a burst of workers, most of which ended": {workers: 5, then: checked(2, 3), want: sound},
		"a response after tries in sequence":      {workers: 5, inSequence: true, then: respond, want: sound},
		"a response after two failures":           {workers: 2, then: respond, want: sound},
		"a response after failures far apart":     {workers: 5, apart: 100 * time.Millisecond, then: respond, want: sound},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := newClock()
			m := reach.New(reach.Config{Now: clock.Now})
			var verdicts []bool
			failedAt := clock.Now()
			for i := range c.workers {
				begun := failedAt.Add(-time.Second)
				if c.inSequence {
					begun = clock.Now()
					clock.advance(time.Millisecond)
				}
				m.RecordBroken(fmt.Sprintf("w%d", i), begun)
				m.WhenVerified(func(verified bool) { verdicts = append(verdicts, verified) })
				if c.responses {
					m.RecordResponse(time.Time{})
				}
				clock.advance(c.apart)
			}
			if got := len(m.Burst()) == c.workers; got != (c.workers >= 3 && c.apart == 0 && !c.inSequence) {
				t.Errorf("all failures are a burst: %v", got)
			}
			clock.advance(settled)
			if change, ok := c.then(m, clock).(reach.PathReturned); ok {
				if c.want != void || !change.Since.Equal(failedAt) || m.Verified() || len(verdicts) > 0 {
					t.Errorf("the path returned since %s, verdicts %v before Discard", change.Since, verdicts)
				}
				m.Discard(change)
			}
			if c.want == waits {
				if len(verdicts) > 0 || m.Verified() {
					t.Errorf("verdicts %v, want none", verdicts)
				}
				return
			}
			checkVerdicts(t, m, verdicts, c.workers, c.want == sound)
		})
	}
}

// checkVerdicts checks that a number of conclusions got the same verdict, and nothing waits for
// one.
func checkVerdicts(t *testing.T, m *reach.Monitor, verdicts []bool, number int, want bool) {
	t.Helper()
	if len(verdicts) != number || !m.Verified() || len(m.Burst()) > 0 {
		t.Fatalf("%d verdicts, want %d; all verified: %v", len(verdicts), number, m.Verified())
	}
	for _, verified := range verdicts {
		if verified != want {
			t.Errorf("verdict %v, want %v", verified, want)
		}
	}
}
