// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/ryehill/ryehill/state/route"
	"github.com/ryehill/ryehill/state/workspace"
)

// maxStretch is how much later a change may apply at VMs that the store turns away.
const maxStretch = 6 * time.Second

// Guards against VMs that the store turns away missing changes while it serves the others.
func TestStoreTurnsSomeVMsAway(t *testing.T) {
	const vms, rounds = 6, 2
	// turnAway sets which VMs are served; refusals, resets and rate limits all fail a call at
	// once, and silence fails it by its timeout.
	turnAway := func(f *fleet, silent bool, isAway func(i int) bool) {
		for i, v := range f.vms {
			v.storeClient.setFailure(isAway(i) && !silent, isAway(i) && silent)
		}
	}
	cases := map[string]struct {
		silent bool
		isAway func(round, vm int) bool
	}{
		"a changing third, errors":   {false, func(round, vm int) bool { return vm%3 == round%3 }},
		"a changing third, silence":  {true, func(round, vm int) bool { return vm%3 == round%3 }},
		"all but one, errors":        {false, func(round, vm int) bool { return vm != (round+1)%vms }},
		"all but one, silence":       {true, func(round, vm int) bool { return vm != (round+1)%vms }},
		"one hall, errors":           {false, func(_, vm int) bool { return vm%2 == 0 }},
		"one hall, silence":          {true, func(_, vm int) bool { return vm%2 == 0 }},
		"whoever watches, by errors": {false, func(round, vm int) bool { return vm/2 == round%3 }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startWorkspaceFleet(t, vms, nil)
			f.startWorker("o1", "other", "north-b")
			for _, v := range f.vms {
				f.waitFor(v.name+" knows all VMs", func() bool { return v.ListedVMCount() == vms })
			}
			for round := range rounds {
				turnAway(f, c.silent, func(vm int) bool { return c.isAway(round, vm) })
				time.Sleep(staleAfter / 2)
				version, key := uint64(3+round), fmt.Sprint("key", round)
				service := []string{"other", "s"}[round%2]
				if round == 1 { // The others hear of it without events.
					f.store.dropHistory(func() { f.putKeyAndService(version, key, service) })
				} else {
					f.putKeyAndService(version, key, service)
				}
				inForce := func(v *vm) bool {
					if v.statusWithKey("/", "old") == http.StatusOK || v.statusWithKey("/", key) != http.StatusOK {
						return false
					}
					_, id := v.sendRequest("/public/")
					return (id == "o1") == (service == "other")
				}
				var served, away []*vm
				for i, v := range f.vms {
					if c.isAway(round, i) {
						away = append(away, v)
					} else {
						served = append(served, v)
					}
				}
				changed := time.Now()
				for _, v := range served {
					f.waitWithin(applyWithin, fmt.Sprintf("change %d at %s, which the store serves,", round, v.name), func() bool { return inForce(v) })
				}
				for _, v := range away {
					f.waitFor(fmt.Sprintf("change %d is in force at %s", round, v.name), func() bool { return inForce(v) })
				}
				if took := time.Since(changed); took > applyWithin+maxStretch {
					t.Errorf("change %d was in force everywhere after %s, want %s", round, took, applyWithin+maxStretch)
				}
				f.closeHallAndOpen()
			}
		})
	}
}

// putKeyAndService writes a configuration with one key and one service for all routes.
func (f *fleet) putKeyAndService(version uint64, key, service string) {
	target := []route.Target{{Service: service, Weight: 1}}
	f.store.put(kindConfig, "main", workspaceConfig{
		Config: route.Config{
			Version: version, Services: []route.Service{{Name: "s"}, {Name: "other"}},
			Routes: []route.Route{
				{Name: "r", Host: "h", Prefix: "/", Timeout: 5 * time.Second, MaxAttempts: 2, Targets: target},
				{Name: "p", Host: "h", Prefix: "/public/", Public: true, Timeout: 5 * time.Second, MaxAttempts: 2, Targets: target},
			},
		},
		Spaces: []workspace.Config{{Name: "schools", Keys: []string{key}}},
	})
}

// closeHallAndOpen closes the hall of all workers of service s, and opens it again.
func (f *fleet) closeHallAndOpen() {
	f.t.Helper()
	f.store.put(kindClosed, "north-a", struct{}{})
	allHave := func(closed bool) func() bool {
		return func() bool {
			return !slices.ContainsFunc(f.vms, func(v *vm) bool { return v.IsClosed("north-a") != closed })
		}
	}
	f.waitWithin(applyWithin+maxStretch, "all VMs know of the closed hall", allHave(true))
	f.store.remove(kindClosed, "north-a")
	f.waitWithin(applyWithin+maxStretch, "all VMs know of the open hall", allHave(false))
}
