// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/protocol/peerpb"
	"github.com/ryehill/ryehill/state/route"
	"github.com/ryehill/ryehill/state/workspace"
)

// keyed writes a configuration with workspaces: a route that needs a key, and a
// public one.
func (f *fleet) keyed(version uint64, list ...workspace.Config) {
	target := []route.Target{{Service: "s", Weight: 1}}
	f.store.put(kindConfig, "main", keyedConfig{
		Config: route.Config{
			Version: version, Services: []route.Service{{Name: "s"}},
			Routes: []route.Route{
				{Name: "r", Host: "h", Prefix: "/", Timeout: 5 * time.Second, MaxAttempts: 2, Targets: target},
				{Name: "p", Host: "h", Prefix: "/public/", Public: true, Timeout: 5 * time.Second, MaxAttempts: 2, Targets: target},
			},
		},
		Spaces: list,
	})
}

// status sends a request with a key to a VM and returns the status, 0 for none.
func (v *vm) status(path, key string) int {
	req, _ := http.NewRequest(http.MethodGet, "http://"+v.front+path, nil)
	req.Host = "h"
	req.Header.Set("Id", fmt.Sprint(time.Now().UnixNano()))
	req.Header.Set("Wait", "2000")
	if key != "" {
		req.Header.Set("Api-Key", key)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	return res.StatusCode
}

// keyedFleet starts VMs that serve a workspace with a key.
func keyedFleet(t *testing.T, vms int, change func(*gateway.Config, *door)) *fleet {
	f := newFleet(t)
	f.keyed(2, workspace.Config{Name: "schools", Keys: []string{"old"}})
	f.worker("w1", "s", "north-a")
	for i := range vms {
		f.start(fmt.Sprint("vm-", i), []string{"north-a", "north-b"}[i%2], change)
	}
	for _, v := range f.vms {
		f.until("a key is served at "+v.name, func() bool { return v.status("/", "old") == http.StatusOK })
	}
	return f
}

// A key that is taken away ends on all VMs in time, also on those that the store
// does not answer while others hear of it.
func TestRevokedKeysEnd(t *testing.T) {
	f := keyedFleet(t, 3, nil)
	f.until("all know each other", func() bool {
		return f.vms[0].ListedVMs() == 3 && f.vms[1].ListedVMs() == 3 && f.vms[2].ListedVMs() == 3
	})
	f.vms[1].door.set(false, true)
	f.vms[2].door.set(true, false)
	f.keyed(3, workspace.Config{Name: "schools", Keys: []string{"new"}})
	f.within(applyWithin, "the old key ends everywhere", func() bool {
		for _, v := range f.vms {
			if v.status("/", "old") != http.StatusUnauthorized {
				return false
			}
		}
		return true
	})
	for _, v := range f.vms {
		if got := v.status("/", "new"); got != http.StatusOK {
			t.Errorf("%s answers %d to the new key", v.name, got)
		}
	}
}

// With strict revocation, a VM that does not hear from the store refuses what needs a
// key and is not ready; without, it goes on. Public routes go on in both.
func TestStrictRevocation(t *testing.T) {
	for name, strict := range map[string]bool{"strict": true, "not strict": false} {
		t.Run(name, func(t *testing.T) {
			f := keyedFleet(t, 1, func(c *gateway.Config, _ *door) {
				c.Bounds.StrictRevocation, c.Bounds.RevokeWithin = strict, 1500*time.Millisecond
			})
			v := f.vms[0]
			v.door.set(true, false)
			want := map[bool]int{true: http.StatusServiceUnavailable, false: http.StatusOK}[strict]
			time.Sleep(2 * time.Second) // Nothing shows that time has passed for what is known.
			if got := v.status("/", "old"); got != want || v.Ready() == strict {
				t.Errorf("answers %d, ready %t; want %d, %t", got, v.Ready(), want, !strict)
			}
			if got := v.status("/public/", ""); got != http.StatusOK {
				t.Errorf("answers %d on a public route", got)
			}
			v.door.set(false, false)
			f.until("it serves again", func() bool { return v.status("/", "old") == http.StatusOK && v.Ready() })
		})
	}
}

// However many keys strangers try, a VM asks few questions for them.
func TestStrangersAreNoLever(t *testing.T) {
	k, now, asked := gateway.NewKeyQuestions(), time.Now(), 0
	const tries, span = 5000, 10 * time.Second
	for i := range tries {
		if k.Asks(workspace.DigestOf(fmt.Sprint("bad", i)), now.Add(time.Duration(i)*span/tries)) {
			asked++
		}
	}
	if asked < 30 || asked > 41 {
		t.Errorf("%d questions in %s, want four a second", asked, span)
	}
	if k.Asks(workspace.DigestOf("again"), now.Add(2*span)) && k.Asks(workspace.DigestOf("again"), now.Add(2*span+500*time.Millisecond)) {
		t.Error("asks twice in a second for one key")
	}
}

// A configuration that cannot be taken changes nothing, and no key is ever logged.
func TestFaultyWorkspacesAreRefusedWhole(t *testing.T) {
	var mu sync.Mutex
	var lines strings.Builder
	log := funcr.New(func(prefix, args string) {
		mu.Lock()
		defer mu.Unlock()
		lines.WriteString(prefix + args + "\n")
	}, funcr.Options{Verbosity: 9})
	f := keyedFleet(t, 1, func(c *gateway.Config, _ *door) { c.Log = log })
	v := f.vms[0]
	f.keyed(3, workspace.Config{Name: "schools", Keys: []string{"twokeys"}}, workspace.Config{Name: "offices", Keys: []string{"twokeys"}})
	f.until("the fault is logged", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return strings.Contains(lines.String(), "config: not taken")
	})
	for key, want := range map[string]int{"old": http.StatusOK, "twokeys": http.StatusUnauthorized, "strangerskey": http.StatusUnauthorized} {
		if got := v.status("/", key); got != want {
			t.Errorf("answers %d to %q, want %d", got, key, want)
		}
	}
	f.keyed(4, workspace.Config{Name: "schools", Keys: []string{"twokeys"}})
	f.until("the next one is in force", func() bool { return v.status("/", "twokeys") == http.StatusOK })
	mu.Lock()
	defer mu.Unlock()
	for _, key := range []string{"twokeys", "strangerskey"} {
		if strings.Contains(lines.String(), key) {
			t.Errorf("a key is in the log: %s", lines.String())
		}
	}
}

// The VMs of a region share a workspace's quota: what comes to one VM gets more than
// that VM's own part, and what comes to all never more than the limit.
func TestVMsShareQuotas(t *testing.T) {
	const rate, burst, slack = 12, 12, 4
	quota := func(c *gateway.Config, _ *door) {
		c.Bounds.Quota.Window, c.Bounds.Quota.Overage, c.Bounds.Quota.Slack = 2*time.Second, 0.1, slack
	}
	f := keyedFleet(t, 3, quota)
	f.keyed(3, workspace.Config{Name: "schools", Keys: []string{"old"}, Rate: rate, Burst: burst})
	f.until("all lend to one", func() bool {
		for _, v := range f.vms {
			if v.Lenders() == 3 {
				return true
			}
		}
		return false
	})
	time.Sleep(2 * time.Second) // The parts fill.
	window := func(vms []*vm) (passed int) {
		for begun := time.Now(); time.Since(begun) < 1900*time.Millisecond; time.Sleep(10 * time.Millisecond) {
			for _, v := range vms {
				switch got := v.status("/", "old"); got {
				case http.StatusOK:
					passed++
				case http.StatusTooManyRequests:
				default:
					t.Fatalf("status %d", got)
				}
			}
		}
		return passed
	}
	const most = int((rate*2+burst)*11/10 + slack)
	if one := window(f.vms[:1]); one < 18 || one > most {
		t.Errorf("%d pass at one VM, want more than its part of 14 and at most %d", one, most)
	}
	time.Sleep(2 * time.Second)
	if all := window(f.vms); all < 22 || all > most {
		t.Errorf("%d pass at all VMs, want about 36 and at most %d", all, most)
	}
}

// A VM that starts hears among how many VMs quotas are divided before it has the list
// of VMs, which is large. What it lists itself goes before that.
func TestStartingVMHearsHowManyShareQuotas(t *testing.T) {
	f := keyedFleet(t, 2, nil)
	f.until("both are listed", func() bool { return f.vms[0].ListedVMs() == 2 })
	if told := f.vms[0].Tell(context.Background(), &peerpb.Sync{}).GetListedVms(); told != 2 {
		t.Errorf("tells %d VMs, want 2", told)
	}
	f.seeds = nil
	v := f.start("late", "north-a", func(_ *gateway.Config, d *door) { d.set(true, false) })
	if n := v.ListedVMs(); n != 0 {
		t.Fatalf("takes %d VMs to share quotas before it knows anything", n)
	}
	v.HearListedVMs(7)
	if n := v.ListedVMs(); n != 7 {
		t.Errorf("takes %d VMs to share quotas, was told 7", n)
	}
	v.door.set(false, false)
	f.until("its own list goes first", func() bool { return v.ListedVMs() == 3 })
}
