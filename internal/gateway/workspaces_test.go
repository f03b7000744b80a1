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
	"github.com/ryehill/ryehill/state/object"
	"github.com/ryehill/ryehill/state/route"
	"github.com/ryehill/ryehill/state/workspace"
)

// putWorkspaces writes a configuration with workspaces, a route that needs a key and a
// public route.
func (f *fleet) putWorkspaces(version uint64, list ...workspace.Config) {
	target := []route.Target{{Service: "s", Weight: 1}}
	f.store.put(kindConfig, "main", workspaceConfig{
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

// statusWithKey sends a request with an API key, if not empty, and returns the status, or 0
// on an error.
func (v *vm) statusWithKey(path, key string) int {
	req, _ := http.NewRequest(http.MethodGet, "http://"+v.ingressAddr+path, nil)
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

// startWorkspaceFleet starts VMs that serve a workspace with one key.
func startWorkspaceFleet(t *testing.T, vms int, change func(*gateway.Config, *storeClient)) *fleet {
	f := newFleet(t)
	f.putWorkspaces(2, workspace.Config{Name: "schools", Keys: []string{"old"}})
	f.startWorker("w1", "s", "north-a")
	for i := range vms {
		f.startVM(fmt.Sprint("vm-", i), []string{"north-a", "north-b"}[i%2], change)
	}
	for _, v := range f.vms {
		f.waitFor("a key is served at "+v.name, func() bool { return v.statusWithKey("/", "old") == http.StatusOK })
	}
	return f
}

// Guards against a revoked key staying valid on VMs that can't reach the store.
func TestRevokedKeysEnd(t *testing.T) {
	f := startWorkspaceFleet(t, 3, nil)
	f.waitFor("all VMs know each other", func() bool {
		return f.vms[0].ListedVMCount() == 3 && f.vms[1].ListedVMCount() == 3 && f.vms[2].ListedVMCount() == 3
	})
	f.vms[1].storeClient.setFailure(false, true)
	f.vms[2].storeClient.setFailure(true, false)
	f.putWorkspaces(3, workspace.Config{Name: "schools", Keys: []string{"new"}})
	f.waitWithin(applyWithin, "all VMs reject the old key", func() bool {
		for _, v := range f.vms {
			if v.statusWithKey("/", "old") != http.StatusUnauthorized {
				return false
			}
		}
		return true
	})
	for _, v := range f.vms {
		if got := v.statusWithKey("/", "new"); got != http.StatusOK {
			t.Errorf("%s answers %d to the new key", v.name, got)
		}
	}
}

// Guards against strict revocation serving keyed requests, or blocking public routes, in an outage.
func TestStrictRevocation(t *testing.T) {
	for name, strict := range map[string]bool{"strict": true, "not strict": false} {
		t.Run(name, func(t *testing.T) {
			f := startWorkspaceFleet(t, 1, func(c *gateway.Config, _ *storeClient) {
				c.Bounds.StrictRevocation, c.Bounds.RevokeWithin = strict, 1500*time.Millisecond
			})
			v := f.vms[0]
			v.storeClient.setFailure(true, false)
			want := map[bool]int{true: http.StatusServiceUnavailable, false: http.StatusOK}[strict]
			time.Sleep(2 * time.Second) // Wait until the state is older than RevokeWithin.
			if got := v.statusWithKey("/", "old"); got != want || v.Ready() == strict {
				t.Errorf("answers %d, ready %t; want %d, %t", got, v.Ready(), want, !strict)
			}
			if got := v.statusWithKey("/public/", ""); got != http.StatusOK {
				t.Errorf("answers %d on a public route", got)
			}
			v.storeClient.setFailure(false, false)
			f.waitFor("the VM is ready again", func() bool { return v.statusWithKey("/", "old") == http.StatusOK && v.Ready() })
		})
	}
}

// slowRoutes takes a while to decode every configuration but the first.
type slowRoutes struct{ codec }

func (c slowRoutes) Routes(o object.Object) (route.Config, error) {
	cfg, err := c.codec.Routes(o)
	if cfg.Version > 2 {
		time.Sleep(slowDecode)
	}
	return cfg, err
}

// Guards against serving a revoked key, or rejecting a new one, before its configuration is compiled.
func TestKeysOfConfigurationBeingCompiled(t *testing.T) {
	f := startWorkspaceFleet(t, 1, func(c *gateway.Config, _ *storeClient) {
		c.Codec = slowRoutes{}
		c.Bounds.StrictRevocation, c.Bounds.RevokeWithin = true, 1500*time.Millisecond
	})
	v := f.vms[0]
	v.storeClient.setFailure(true, false)
	f.waitFor("the state is older than RevokeWithin", func() bool { return v.statusWithKey("/", "old") == http.StatusServiceUnavailable })
	time.Sleep(applyWithin)
	f.putWorkspaces(3, workspace.Config{Name: "schools", Keys: []string{"new"}})
	v.storeClient.setFailure(false, false)
	f.waitFor("the new key is served", func() bool {
		if got := v.statusWithKey("/", "old"); got == http.StatusOK {
			t.Fatal("a revoked key is served")
		}
		got := v.statusWithKey("/", "new")
		if got == http.StatusUnauthorized {
			t.Fatal("a new key is rejected")
		}
		return got == http.StatusOK
	})
}

// Guards against unknown keys causing an unbounded rate of key fetches.
func TestUnknownKeysAreRateLimited(t *testing.T) {
	fetches, now, queries := gateway.NewKeyFetches(), time.Now(), 0
	const tries, span = 5000, 10 * time.Second
	for i := range tries {
		if fetches.BeginsFetch(workspace.DigestOf(fmt.Sprint("bad", i)), now.Add(time.Duration(i)*span/tries)) {
			queries++
		}
	}
	if queries < 30 || queries > 41 {
		t.Errorf("%d fetches in %s, want four a second", queries, span)
	}
	if fetches.BeginsFetch(workspace.DigestOf("again"), now.Add(2*span)) && fetches.BeginsFetch(workspace.DigestOf("again"), now.Add(2*span+500*time.Millisecond)) {
		t.Error("two fetches within a second for one key")
	}
}

// Guards against applying an invalid configuration in part, and against keys in the log.
func TestInvalidWorkspacesAreRejectedWhole(t *testing.T) {
	var mu sync.Mutex
	var lines strings.Builder
	log := funcr.New(func(prefix, args string) {
		mu.Lock()
		defer mu.Unlock()
		lines.WriteString(prefix + args + "\n")
	}, funcr.Options{Verbosity: 9})
	f := startWorkspaceFleet(t, 1, func(c *gateway.Config, _ *storeClient) { c.Log = log })
	v := f.vms[0]
	f.putWorkspaces(3, workspace.Config{Name: "schools", Keys: []string{"twokeys"}}, workspace.Config{Name: "offices", Keys: []string{"twokeys"}})
	f.waitFor("the error is logged", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return strings.Contains(lines.String(), "config: not taken")
	})
	for key, want := range map[string]int{"old": http.StatusOK, "twokeys": http.StatusUnauthorized, "strangerskey": http.StatusUnauthorized} {
		if got := v.statusWithKey("/", key); got != want {
			t.Errorf("answers %d to %q, want %d", got, key, want)
		}
	}
	f.putWorkspaces(4, workspace.Config{Name: "schools", Keys: []string{"twokeys"}})
	f.waitFor("the next configuration applies", func() bool { return v.statusWithKey("/", "twokeys") == http.StatusOK })
	mu.Lock()
	defer mu.Unlock()
	for _, key := range []string{"twokeys", "strangerskey"} {
		if strings.Contains(lines.String(), key) {
			t.Errorf("a key is in the log: %s", lines.String())
		}
	}
}

// Guards against a quota limited to one VM's share, or exceeded by all VMs together.
func TestVMsShareQuotas(t *testing.T) {
	const rate, burst, slack = 12, 12, 4
	quota := func(c *gateway.Config, _ *storeClient) {
		c.Bounds.Quota.Window, c.Bounds.Quota.Overage, c.Bounds.Quota.Slack = 2*time.Second, 0.1, slack
	}
	f := startWorkspaceFleet(t, 3, quota)
	f.putWorkspaces(3, workspace.Config{Name: "schools", Keys: []string{"old"}, Rate: rate, Burst: burst})
	f.waitFor("one VM has all lenders", func() bool {
		for _, v := range f.vms {
			if v.QuotaLenderCount() == 3 {
				return true
			}
		}
		return false
	})
	time.Sleep(2 * time.Second) // Wait until the shares have filled up.
	servedInWindow := func(vms []*vm) (passed int) {
		for start := time.Now(); time.Since(start) < 1900*time.Millisecond; time.Sleep(10 * time.Millisecond) {
			for _, v := range vms {
				switch got := v.statusWithKey("/", "old"); got {
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
	const maxServed = int((rate*2+burst)*11/10 + slack)
	if one := servedInWindow(f.vms[:1]); one < 18 || one > maxServed {
		t.Errorf("%d pass at one VM, want more than its share of 14 and at most %d", one, maxServed)
	}
	time.Sleep(2 * time.Second)
	if all := servedInWindow(f.vms); all < 22 || all > maxServed {
		t.Errorf("%d pass at all VMs, want about 36 and at most %d", all, maxServed)
	}
}

// Guards against a starting VM dividing quotas by a wrong number of VMs.
func TestStartingVMLearnsQuotaVMCount(t *testing.T) {
	f := startWorkspaceFleet(t, 2, nil)
	f.waitFor("both are listed", func() bool { return f.vms[0].ListedVMCount() == 2 })
	if listed := f.vms[0].SyncReply(context.Background(), &peerpb.Sync{}).GetListedVms(); listed != 2 {
		t.Errorf("the answer lists %d VMs, want 2", listed)
	}
	f.seeds = nil
	v := f.startVM("late", "north-a", func(_ *gateway.Config, d *storeClient) { d.setFailure(true, false) })
	if n := v.ListedVMCount(); n != 0 {
		t.Fatalf("quotas are divided among %d VMs before any state is known", n)
	}
	v.RecordListedVMCount(7)
	if n := v.ListedVMCount(); n != 7 {
		t.Errorf("quotas are divided among %d VMs, a peer sent 7", n)
	}
	v.storeClient.setFailure(false, false)
	f.waitFor("the VM's own list takes precedence", func() bool { return v.ListedVMCount() == 3 })
}
