// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package route holds the routes of one version of the configuration and finds
// the one of a request.
//
// A Table is never changed once made, so that any number of goroutines may use
// one while the next is built.
//
// # Usage
//
//	table := route.NewTable(route.Config{Version: 4, Routes: routes, Services: services})
//	r, ok := table.Match("shop.example", "/orders/17")
package route

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/ryehill/ryehill/state/workspace"
)

// Route says how requests of one host and path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins the path of the requests. It begins and ends with a
	// slash.
	Prefix string
	// Repeatable is set if a request may run more than once.
	Repeatable bool
	// Timeout is the longest that a request is held; 0 is no bound.
	Timeout time.Duration
	// Objective is the time within which an answer is of full use.
	Objective time.Duration
	// Priority is the rank: 0 goes before 1.
	Priority int
	// MaxAttempts bounds the workers that one request is sent to; at least 1.
	MaxAttempts int
	// Affinity is set if requests with one key are best kept together.
	Affinity bool
	// Homes are the only regions in which requests may run; none is all.
	Homes []string
	// Public is set if requests need no API key where others do.
	Public bool
	// Targets are the services that share the requests by weight.
	Targets []Target
}

// Target is a service and its weight.
type Target struct {
	Service string
	Weight  float64
}

// AllowsRegion reports whether requests of the route may run in a region.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.Homes) == 0 || slices.Contains(r.Homes, region)
}

// Service is a service that routes name.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what a worker accepts from all VMs together.
	MaxConnections int
	// ColdStart is how long a worker stays cold after its start.
	ColdStart time.Duration
	// ColdRate is how many requests a second a cold worker bears.
	ColdRate float64
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is the content of a Table.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Workspaces says whose requests are served. Nil serves everybody.
	Workspaces *workspace.Directory
}

// Table finds routes. It is safe for concurrent use.
type Table struct {
	version  uint64
	limits   Limits
	hosts    map[string]map[string]*Route // by host, then by prefix
	services map[string]Service
	// workspaces is nil if everybody is served.
	workspaces *workspace.Directory
}

// NewTable returns a table. Of two routes with one host and prefix the first is
// taken.
func NewTable(cfg Config) *Table {
	t := &Table{
		version: cfg.Version, limits: cfg.Limits,
		hosts:    make(map[string]map[string]*Route),
		services: make(map[string]Service, len(cfg.Services)), workspaces: cfg.Workspaces,
	}
	for _, s := range cfg.Services {
		t.services[s.Name] = s
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		r.MaxAttempts = max(r.MaxAttempts, 1)
		host := strings.ToLower(r.Host)
		prefixes, ok := t.hosts[host]
		if !ok {
			prefixes = make(map[string]*Route)
			t.hosts[host] = prefixes
		}
		if _, taken := prefixes[r.Prefix]; !taken {
			prefixes[r.Prefix] = r
		}
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.version }

// Limits returns what clients may send.
func (t *Table) Limits() Limits { return t.limits }

// Workspaces returns whose requests are served; nil stands for everybody's.
func (t *Table) Workspaces() *workspace.Directory { return t.workspaces }

// Service returns a service by its name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Match returns the route of the host with the longest prefix of the path. The
// host may have a port. The path is taken as it stands in the request.
func (t *Table) Match(host, path string) (*Route, bool) {
	prefixes, ok := t.hosts[hostName(host)]
	if !ok {
		return nil, false
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			break
		}
		if r, ok := prefixes[path[:slash+1]]; ok {
			return r, true
		}
		end = slash
	}
	return nil, false
}

// HostRoutes returns the routes of a host, in no order.
func (t *Table) HostRoutes(host string) []*Route {
	prefixes := t.hosts[hostName(host)]
	routes := make([]*Route, 0, len(prefixes))
	for _, r := range prefixes {
		routes = append(routes, r)
	}
	return routes
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
