// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package workspace_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/state/workspace"
)

func TestDirectoryFindsTheHolderOfAKey(t *testing.T) {
	d, err := workspace.NewDirectory([]workspace.Config{
		{Name: "schools", Keys: []string{"k1", "k2"}, Priority: 1, Rate: 5, Burst: 2, Homes: []string{"north"}},
		{Name: "offices", Keys: nil},
		{Name: "parents", Keys: []string{"k3"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]string{"k1": "schools", "k2": "schools", "k3": "parents", "k4": "", "": ""} {
		w, ok := d.FindByKey(workspace.DigestOf(key))
		if w.Name() != want || ok != (want != "") {
			t.Errorf("key %q finds workspace %q, want %q", key, w.Name(), want)
		}
	}
	w, _ := d.FindByKey(workspace.DigestOf("k1"))
	if w.Limit() != (workspace.Limit{Rate: 5, Burst: 2}) || w.Priority() != 1 || !w.AllowsRegion("north") || w.AllowsRegion("south") {
		t.Errorf("got %+v", w)
	}
	if _, ok := (*workspace.Directory)(nil).FindByKey(workspace.DigestOf("k1")); ok {
		t.Error("a nil directory finds a key")
	}
}

// An invalid list must be rejected as a whole, with an error that shows no key.
func TestInvalidListsAreRefused(t *testing.T) {
	const key = "secretsecretsecret"
	cases := map[string][]workspace.Config{
		"empty name":               {{Keys: []string{key}}},
		"duplicate name":           {{Name: "a"}, {Name: "a"}},
		"key of two workspaces":    {{Name: "a", Keys: []string{"x", key}}, {Name: "b", Keys: []string{key}}},
		"empty key":                {{Name: "a", Keys: []string{key, ""}}},
		"negative rate":            {{Name: "a", Rate: -1}},
		"negative burst":           {{Name: "a", Burst: -1}},
		"negative priority":        {{Name: "a", Priority: -1}},
		"only the last is invalid": {{Name: "a"}, {Name: "b"}, {Name: "c", Rate: -0.5}},
	}
	for name, list := range cases {
		t.Run(name, func(t *testing.T) {
			d, err := workspace.NewDirectory(list)
			if d != nil || !errors.Is(err, workspace.ErrInvalid) {
				t.Fatalf("got %v, %v", d, err)
			}
			if strings.Contains(err.Error(), key) {
				t.Errorf("the error shows a key: %v", err)
			}
		})
	}
}

// manyConfigs returns 50,000 workspaces with one key each.
func manyConfigs() []workspace.Config {
	list := make([]workspace.Config, 50_000)
	for i := range list {
		list[i] = workspace.Config{Name: fmt.Sprint("w", i), Keys: []string{fmt.Sprint("key-of-some-length-", i)}}
	}
	return list
}

// BenchmarkNewDirectory builds a directory of 50,000 workspaces.
func BenchmarkNewDirectory(b *testing.B) {
	list := manyConfigs()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := workspace.NewDirectory(list); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkFind looks up keys among 50,000 workspaces.
func BenchmarkFind(b *testing.B) {
	list := manyConfigs()
	d, err := workspace.NewDirectory(list)
	if err != nil {
		b.Fatal(err)
	}
	for i := 0; b.Loop(); i++ {
		if _, ok := d.FindByKey(workspace.DigestOf(list[i%len(list)].Keys[0])); !ok {
			b.Fatal("key not found")
		}
	}
}

// A wrong share would misestimate the load that is tied to a region.
func TestHomeShares(t *testing.T) {
	d, err := workspace.NewDirectory([]workspace.Config{
		{Name: "a", Rate: 60},
		{Name: "b", Rate: 10, Homes: []string{"north"}},
		{Name: "c", Rate: 30, Homes: []string{"north", "south"}},
		{Name: "d", Homes: []string{"east"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if shares := d.HomeShares(); len(shares) != 2 || shares["north"] != 0.25 || shares["south"] != 0.15 {
		t.Errorf("got %v", shares)
	}
	if shares := (*workspace.Directory)(nil).HomeShares(); len(shares) != 0 {
		t.Errorf("got %v for a nil directory", shares)
	}
}
