// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package route_test

import (
	"testing"

	"github.com/ryehill/ryehill/state/route"
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
