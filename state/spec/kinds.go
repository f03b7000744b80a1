// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package spec

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/ryehill/ryehill/state/share"
)

// Upper bounds on the lists and values of one object.
const (
	MaxHalls    = 256
	MaxLinks    = 4096
	MaxWorkers  = 4096
	MaxMoves    = 256
	MaxCaps     = 256
	MaxTargets  = 32
	maxSlots    = 10_000
	maxLinkRate = 1 << 40
)

// Duration is a time span written as text such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// OrDefault returns the duration, or the fallback if the duration is zero.
func (d Duration) OrDefault(fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return time.Duration(d)
}

// Fleet describes the halls and the links between them.
type Fleet struct {
	Halls []Hall `json:"halls"`
	Links []Link `json:"links,omitempty"`
	// LookupTTL is how long a caller may cache a lookup. Default 5 s.
	LookupTTL Duration `json:"lookup_ttl,omitempty"`
	// StepInterval is the minimum time between two steps of a move. Default twice
	// the lookup TTL.
	StepInterval Duration `json:"step_interval,omitempty"`
	// MinHeadroom is the fraction of a hall's slots that moves must leave free.
	// Default 10%.
	MinHeadroom *share.PPM `json:"least_headroom,omitempty"`
}

// Hall is one hall of a region.
type Hall struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Link limits the bytes per second that one hall may send to another, counting
// request and response bodies together.
type Link struct {
	From           string `json:"from"`
	To             string `json:"to"`
	BytesPerSecond int64  `json:"bytes_per_second"`
}

// Defaults of Fleet.
const (
	DefaultLookupTTL   = 5 * time.Second
	DefaultMinHeadroom = 10 * share.Percent
)

// TTL returns how long a caller may cache a lookup.
func (f *Fleet) TTL() time.Duration { return f.LookupTTL.OrDefault(DefaultLookupTTL) }

// Interval returns the minimum time between two steps of a move.
func (f *Fleet) Interval() time.Duration { return f.StepInterval.OrDefault(2 * f.TTL()) }

// Headroom returns the fraction of a hall's slots that moves must leave free.
func (f *Fleet) Headroom() share.PPM {
	if f.MinHeadroom == nil {
		return DefaultMinHeadroom
	}
	return *f.MinHeadroom
}

// Region returns the region of a hall, or "" if the hall is unknown.
func (f *Fleet) Region(hall string) string {
	for _, h := range f.Halls {
		if h.Name == hall {
			return h.Region
		}
	}
	return ""
}

func (f *Fleet) check(out *violations) {
	out.checkRange("halls", int64(len(f.Halls)), 1, MaxHalls)
	out.checkRange("links", int64(len(f.Links)), 0, MaxLinks)
	known := make(map[string]bool, len(f.Halls))
	for i, h := range f.Halls {
		field := "halls[" + strconv.Itoa(i) + "]"
		out.checkName(field+".name", h.Name)
		out.checkName(field+".region", h.Region)
		if known[h.Name] {
			out.addf(field, "hall %q is listed twice", h.Name)
		}
		known[h.Name] = true
	}
	for i, l := range f.Links {
		field := "links[" + strconv.Itoa(i) + "]"
		if !known[l.From] || !known[l.To] || l.From == l.To {
			out.addf(field, "from %q to %q: want two different halls of the fleet", l.From, l.To)
		}
		out.checkRange(field+".bytes_per_second", l.BytesPerSecond, 1, maxLinkRate)
	}
	out.checkRange("lookup_ttl", int64(f.TTL()), int64(50*time.Millisecond), int64(time.Hour))
	out.checkRange("step_interval", int64(f.Interval()), int64(50*time.Millisecond), int64(time.Hour))
	out.checkRange("least_headroom", int64(f.Headroom()), 0, int64(share.Whole))
}

// Blocks assigns client address prefixes to halls.
type Blocks struct {
	Halls map[string][]netip.Prefix `json:"halls"`
}

func (b *Blocks) check(out *violations) {
	for hall, prefixes := range b.Halls {
		out.checkName("halls", hall)
		for _, p := range prefixes {
			if !p.IsValid() {
				out.addf("halls."+hall, "invalid prefix")
			}
		}
	}
}

// Service describes one service and its upstreams.
type Service struct {
	// Name is taken from the object's name.
	Name    string   `json:"-"`
	Workers []Worker `json:"workers"`
	// AtMostOnceMethods lists the HTTP methods whose requests must run at most once. Default
	// POST and PATCH.
	AtMostOnceMethods []string `json:"once,omitempty"`
	// Timeout bounds the time from the arrival of a request to the response header,
	// excluding the time spent on the request body. Default 10 s.
	Timeout Duration `json:"timeout,omitempty"`
	// ColdAnswers is how many responses a restarted worker must give before it
	// counts as warm; until then it gets fewer slots. Default 20.
	ColdAnswers int `json:"cold_answers,omitempty"`
	// Essential marks a service whose requests are refused last when a hall is
	// full.
	Essential bool `json:"essential,omitempty"`
}

// Worker is one upstream process of a service.
type Worker struct {
	ID      string `json:"id"`
	Hall    string `json:"hall"`
	Address string `json:"address"`
	// Slots is how many requests the worker runs concurrently.
	Slots int `json:"slots"`
	// Connections bounds the connections opened to the worker. Default 130.
	Connections int `json:"connections,omitempty"`
}

// Defaults of Service and Worker.
const (
	DefaultTimeout     = 10 * time.Second
	DefaultColdAnswers = 20
	DefaultConnections = 130
)

// AtMostOnce reports whether a request with this method must run at most once.
func (s *Service) AtMostOnce(method string) bool {
	if len(s.AtMostOnceMethods) == 0 {
		return method == "POST" || method == "PATCH"
	}
	for _, m := range s.AtMostOnceMethods {
		if m == method {
			return true
		}
	}
	return false
}

// Slots returns the total slots of the service's workers in a hall.
func (s *Service) Slots(hall string) int {
	total := 0
	for _, w := range s.Workers {
		if w.Hall == hall {
			total += w.Slots
		}
	}
	return total
}

func (s *Service) check(out *violations) {
	out.checkRange("workers", int64(len(s.Workers)), 0, MaxWorkers)
	known := make(map[string]bool, len(s.Workers))
	for i, w := range s.Workers {
		field := "workers[" + strconv.Itoa(i) + "]"
		out.checkName(field+".id", w.ID)
		out.checkName(field+".hall", w.Hall)
		if known[w.ID] {
			out.addf(field, "worker %q is listed twice", w.ID)
		}
		known[w.ID] = true
		if _, err := netip.ParseAddrPort(w.Address); err != nil {
			out.addf(field+".address", "%q: want IP:port", w.Address)
		}
		out.checkRange(field+".slots", int64(w.Slots), 1, maxSlots)
		out.checkRange(field+".connections", int64(w.Connections), 0, maxSlots)
	}
	out.checkRange("timeout", int64(s.Timeout), 0, int64(time.Hour))
	out.checkRange("cold_answers", int64(s.ColdAnswers), 0, maxSlots)
}
