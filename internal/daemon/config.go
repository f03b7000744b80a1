// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package daemon puts the parts of ryehill together into the process that runs
// on each entry VM.
//
// # Usage
//
//	d, err := daemon.New(daemon.Config{VM: "a1", Hall: "colombo-1", ...})
//	err = d.Run(ctx) // returns after a planned stop once ctx has ended
package daemon

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/ryehill/ryehill/coordination/capacity"
	"github.com/ryehill/ryehill/coordination/retry"
	"github.com/ryehill/ryehill/internal/tlsfiles"
	"github.com/ryehill/ryehill/state/spec"
)

// Config sets up a daemon. Fleet, Hall, VM, the addresses and Token are
// required; zero values of the rest are useful.
type Config struct {
	Fleet string
	Hall  string
	VM    string
	// Entry, Peer and Operator are the IP:port of the three listeners.
	Entry, Peer, Operator string
	// Platform is the IP:port of the platform's object API.
	Platform string
	// Token is what operators show.
	Token string
	// Seeds are peers, as VM=IP:port, to ask while the platform is away and
	// no VM is known.
	Seeds []string
	// TrustedCallers may name a client in Ryehill-Client.
	TrustedCallers []netip.Prefix
	// EntryTLS, PeerTLS and OperatorTLS switch TLS on.
	EntryTLS, PeerTLS, OperatorTLS tlsfiles.Files

	// PollInterval is how often owned upstreams are asked for their load.
	PollInterval time.Duration
	// ReportInterval is how often a hall's status is written.
	ReportInterval time.Duration
	// GrantInterval is how often grants are renewed.
	GrantInterval time.Duration
	// ControlInterval is how often the controller looks at its moves.
	ControlInterval time.Duration
	// WatchHold is how long one watch is held by the platform.
	WatchHold time.Duration
	// QueueTime is how long a request may wait for a slot.
	QueueTime time.Duration
	// MaxInFlight bounds the requests of callers under way.
	MaxInFlight int
	// Retry sets the retry budget.
	Retry retry.Config
	// NoSpill keeps requests from other VMs of the hall.
	NoSpill bool
	// Choice says how a worker is chosen.
	Choice capacity.SelectionPolicy

	Log logr.Logger
	// DialPeer, DialUpstream and DialPlatform open connections.
	// Default: a net.Dialer.
	DialPeer, DialUpstream, DialPlatform func(ctx context.Context, address string) (net.Conn, error)
}

// Defaults of Config.
const (
	DefaultPollInterval    = time.Second
	DefaultReportInterval  = 3 * time.Second
	DefaultGrantInterval   = 500 * time.Millisecond
	DefaultControlInterval = time.Second
	DefaultWatchHold       = 30 * time.Second
)

// ErrConfig reports faulty settings; its text names all of them.
var ErrConfig = errors.New("daemon: faulty settings")

// Check returns ErrConfig with every fault: the setting, its value and what is
// allowed.
func (c *Config) Check() error {
	var faults []string
	add := func(format string, args ...any) { faults = append(faults, errors.Newf(format, args...).Error()) }
	for _, n := range []struct{ setting, value string }{{"fleet", c.Fleet}, {"hall", c.Hall}, {"vm", c.VM}} {
		if !spec.ValidName(n.value) {
			add("%s=%q: allowed are 1 to 63 lower-case letters, digits and inner hyphens", n.setting, n.value)
		}
	}
	for _, a := range []struct{ setting, value string }{
		{"entry", c.Entry}, {"peer", c.Peer}, {"operator", c.Operator}, {"platform", c.Platform},
	} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			add("%s=%q: want IP:port", a.setting, a.value)
		}
	}
	const leastToken = 8
	if len(c.Token) < leastToken {
		add("token: %d characters, want at least %d", len(c.Token), leastToken)
	}
	for _, seed := range c.Seeds {
		if _, _, err := parseSeed(seed); err != nil {
			add("seeds: %v", err)
		}
	}
	for _, d := range []struct {
		setting string
		value   time.Duration
	}{
		{"poll-interval", c.PollInterval},
		{"report-interval", c.ReportInterval},
		{"grant-interval", c.GrantInterval},
		{"control-interval", c.ControlInterval},
		{"watch-hold", c.WatchHold},
		{"queue-time", c.QueueTime},
	} {
		if d.value < 0 || d.value > time.Hour {
			add("%s=%s: allowed are 0 (default) to 1h", d.setting, d.value)
		}
	}
	if c.MaxInFlight < 0 {
		add("max-in-flight=%d: allowed are 0 (default) and above", c.MaxInFlight)
	}
	for _, f := range []struct {
		setting string
		files   tlsfiles.Files
		mutual  bool
	}{{"entry-tls", c.EntryTLS, false}, {"peer-tls", c.PeerTLS, true}, {"operator-tls", c.OperatorTLS, false}} {
		checkTLS(f.setting, f.files, f.mutual, add)
	}
	if len(faults) == 0 {
		return nil
	}
	return errors.Wrap(ErrConfig, strings.Join(faults, "; "))
}

func checkTLS(setting string, f tlsfiles.Files, mutual bool, add func(string, ...any)) {
	if !f.Set() {
		return
	}
	if mutual && f.CA == "" {
		add("%s-ca: required with the other files, since VMs check each other", setting)
		return
	}
	if _, err := tlsfiles.New(f); err != nil {
		add("%s: %v", setting, err)
	}
}

func parseSeed(seed string) (vm, address string, err error) {
	vm, address, ok := strings.Cut(seed, "=")
	if _, parseErr := netip.ParseAddrPort(address); !ok || !spec.ValidName(vm) || parseErr != nil {
		return "", "", errors.Newf("%q: want VM=IP:port", seed)
	}
	return vm, address, nil
}

func (c *Config) setDefaults() {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&c.PollInterval, DefaultPollInterval)
	set(&c.ReportInterval, DefaultReportInterval)
	set(&c.GrantInterval, DefaultGrantInterval)
	set(&c.ControlInterval, DefaultControlInterval)
	set(&c.WatchHold, DefaultWatchHold)
}
