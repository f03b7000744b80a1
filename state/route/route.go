// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package route holds the routes of one version of the configuration and finds the route of
// a request.
//
// A Table is immutable: any number of goroutines may use one while the next is built.
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

// Route says how requests with a host and a path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string
	// Repeatable is set if a request may run more than once.
	Repeatable bool
	// Timeout bounds the time that a request may take; 0 means no bound.
	Timeout time.Duration
	// Objective is the response time up to which a response is fully useful.
	Objective time.Duration
	// Priority is the rank of the requests; 0 is served before 1.
	Priority int
	// MaxAttempts bounds the workers that one request is sent to; it is at least 1.
	MaxAttempts int
	// Affinity is set if requests with the same key should go to the same worker.
	Affinity bool
	// Homes are the only regions in which requests may run; an empty list allows all
	// regions.
	Homes []string
	// Public is set if requests need no API key even where other routes require one.
	Public bool
	// Targets are the services that share the requests by weight.
	Targets []Target
}

// Target is a service with its weight.
type Target struct {
	Service string
	Weight  float64
}

// AllowsRegion reports whether requests of the route may run in a region.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.Homes) == 0 || slices.Contains(r.Homes, region)
}

// Service holds the settings of a service that routes refer to.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that a worker accepts from all VMs
	// together.
	MaxConnections int
	// ColdStart is how long a worker counts as cold after its start.
	ColdStart time.Duration
	// ColdRate is the rate that a cold worker can handle, in requests per second.
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
	// Workspaces are the workspaces that are served. Nil serves all clients.
	Workspaces *workspace.Directory
}

// Table finds routes. It is safe for concurrent use.
type Table struct {
	version  uint64
	limits   Limits
	hosts    map[string]map[string]*Route // by host, then by prefix
	services map[string]Service
	// ranks contains the ranks of requests by service, in ascending order.
	ranks map[string][]rank
	// workspaces is nil if all clients are served.
	workspaces *workspace.Directory
}

// NewTable returns a table. Of several routes with the same host and prefix it uses the
// first.
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
	t.ranks = t.collectRanks()
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits on what clients may send.
func (t *Table) Limits() Limits { return t.limits }

// Workspaces returns the workspaces that are served; nil means all clients.
func (t *Table) Workspaces() *workspace.Directory { return t.workspaces }

// Service returns the service with a name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Match returns the route of the host with the longest matching path prefix. The host may
// include a port. The path is compared as it stands in the request, without decoding.
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

// HostRoutes returns the routes of a host, in no particular order.
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
