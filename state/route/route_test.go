// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package route_test

import (
	"testing"

	"github.com/ryehill/ryehill/state/route"
	"github.com/ryehill/ryehill/state/workspace"
)

func TestMatch(t *testing.T) {
	table := route.NewTable(route.Config{Version: 3, Routes: []route.Route{
		{Name: "root", Host: "shop.example", Prefix: "/"},
		{Name: "orders", Host: "shop.example", Prefix: "/orders/"},
		{Name: "open", Host: "Shop.Example", Prefix: "/orders/open/"},
		{Name: "other", Host: "help.example", Prefix: "/orders/"},
	}})
	cases := map[string]struct{ host, path, want string }{
		"longest prefix":            {"shop.example", "/orders/open/7", "open"},
		"shorter prefix":            {"shop.example", "/orders/7", "orders"},
		"prefix itself":             {"shop.example", "/orders/", "orders"},
		"no slash after the prefix": {"shop.example", "/orders", "root"},
		"prefix inside a segment":   {"shop.example", "/ordersopen/7", "root"},
		"host with port and case":   {"SHOP.example:8080", "/orders/7", "orders"},
		"other host":                {"help.example", "/orders/open/7", "other"},
		"no route of the host":      {"help.example", "/", ""},
		"unknown host":              {"none.example", "/orders/7", ""},
		"encoded slash":             {"help.example", "/orders%2f7", ""},
		"not a path":                {"shop.example", "*", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r, ok := table.Match(c.host, c.path)
			got := ""
			if ok {
				got = r.Name
			}
			if got != c.want {
				t.Errorf("%s%s matches route %q, want %q", c.host, c.path, got, c.want)
			}
		})
	}
}

func TestAllowsRegion(t *testing.T) {
	cases := map[string]struct {
		homes  []string
		region string
		want   bool
	}{
		"no homes":  {nil, "north", true},
		"home":      {[]string{"north", "south"}, "south", true},
		"other":     {[]string{"north"}, "south", false},
		"no region": {[]string{"north"}, "", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := route.Route{Homes: c.homes}
			if got := r.AllowsRegion(c.region); got != c.want {
				t.Errorf("%v in %q: %v", c.homes, c.region, got)
			}
		})
	}
}

// Ranks must count by workspace before route, and differ only where requests of one service
// may have different ones.
func TestRank(t *testing.T) {
	toS := []route.Target{{Service: "s", Weight: 1}}
	pay := route.Route{Name: "pay", Host: "h", Prefix: "/pay/", Priority: 0, Targets: toS}
	read := route.Route{Name: "read", Host: "h", Prefix: "/read/", Priority: 2, Targets: toS}
	alone := route.Route{Name: "alone", Host: "h", Prefix: "/alone/", Priority: 1, Targets: []route.Target{{Service: "t", Weight: 1}}}
	unused := route.Route{Name: "unused", Host: "h", Prefix: "/unused/", Priority: 1, Targets: []route.Target{{Service: "s"}, {Service: "t", Weight: 1}}}
	public := route.Route{Name: "public", Host: "h", Prefix: "/public/", Priority: 1, Public: true, Targets: toS}
	one := []workspace.Config{{Name: "first"}, {Name: "also", Priority: 0}}
	two := []workspace.Config{{Name: "first"}, {Name: "last", Priority: 3}}
	cases := map[string]struct {
		routes      []route.Route
		workspaces  []workspace.Config
		service     string
		request     route.Route
		workspace   string
		rank, ranks int
	}{
		"one route":                            {[]route.Route{read, alone}, nil, "s", read, "", 0, 1},
		"two routes, first":                    {[]route.Route{read, pay}, nil, "s", pay, "", 0, 2},
		"two routes, second":                   {[]route.Route{read, pay}, nil, "s", read, "", 1, 2},
		"routes to other services":             {[]route.Route{read, pay, alone}, nil, "t", alone, "", 0, 1},
		"route without weight":                 {[]route.Route{read, unused}, nil, "s", read, "", 0, 1},
		"workspaces of one priority":           {[]route.Route{read}, one, "s", read, "also", 0, 1},
		"workspaces of one priority, routes":   {[]route.Route{read, pay}, one, "s", read, "also", 1, 2},
		"workspace goes before":                {[]route.Route{read, pay}, two, "s", read, "first", 1, 4},
		"workspace goes after":                 {[]route.Route{read, pay}, two, "s", pay, "last", 2, 4},
		"one route, two workspaces":            {[]route.Route{read}, two, "s", read, "last", 1, 2},
		"public, without a workspace":          {[]route.Route{public}, two, "s", public, "", 1, 3},
		"service without routes":               {[]route.Route{read}, two, "t", read, "last", 0, 0},
		"route that the table does not have":   {[]route.Route{pay}, nil, "s", read, "", 0, 1},
		"two hosts share a service, same rank": {[]route.Route{read, {Name: "r", Host: "i", Prefix: "/", Priority: 2, Targets: toS}}, nil, "s", read, "", 0, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var directory *workspace.Directory
			if c.workspaces != nil {
				var err error
				if directory, err = workspace.NewDirectory(c.workspaces); err != nil {
					t.Fatal(err)
				}
			}
			table := route.NewTable(route.Config{Routes: c.routes, Workspaces: directory})
			w, _ := directory.FindByName(c.workspace)
			if rank, ranks := table.Rank(c.service, &c.request, w); rank != c.rank || ranks != c.ranks {
				t.Errorf("rank %d of %d, want %d of %d", rank, ranks, c.rank, c.ranks)
			}
		})
	}
}
