// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package settings reads the settings of the programs from flags and
// environment variables.
package settings

import (
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/ryehill/ryehill/internal/daemon"
	"github.com/ryehill/ryehill/internal/tlsfiles"
)

// EnvPrefix begins the name of every environment variable; the rest is the
// flag's name in capitals with underscores.
const EnvPrefix = "RYEHILL_"

func env(flag string) cli.ValueSourceChain {
	return cli.EnvVars(EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
}

func text(name, usage string) *cli.StringFlag {
	return &cli.StringFlag{Name: name, Usage: usage, Sources: env(name)}
}

func duration(name, usage string, value time.Duration) *cli.DurationFlag {
	return &cli.DurationFlag{Name: name, Usage: usage, Value: value, Sources: env(name)}
}

func number(name, usage string, value int) *cli.IntFlag {
	return &cli.IntFlag{Name: name, Usage: usage, Value: value, Sources: env(name)}
}

// DaemonFlags are the flags of ryehilld.
func DaemonFlags() []cli.Flag {
	flags := []cli.Flag{
		text("fleet", "name of the fleet; VMs of other fleets are refused"),
		text("hall", "hall that this VM is in"),
		text("vm", "id of this VM"),
		text("entry", "IP:port for callers"),
		text("peer", "IP:port for other VMs"),
		text("operator", "IP:port for operators, health checks and metrics"),
		text("platform", "IP:port of the platform's object API"),
		text("token", "bearer token that operators must show, 8 characters or more"),
		&cli.StringSliceFlag{Name: "seeds", Usage: "peers as VM=IP:port to ask if the platform is away at the start", Sources: env("seeds")},
		&cli.StringSliceFlag{Name: "trusted-callers", Usage: "prefixes whose callers may name a client in Ryehill-Client", Sources: env("trusted-callers")},
		duration("poll-interval", "time between two load polls of an upstream", daemon.DefaultPollInterval),
		duration("report-interval", "time between two statuses of a hall", daemon.DefaultReportInterval),
		duration("grant-interval", "time between two renewals of grants", daemon.DefaultGrantInterval),
		duration("control-interval", "time between two looks of the controller", daemon.DefaultControlInterval),
		duration("watch-hold", "time that the platform holds a watch", daemon.DefaultWatchHold),
		duration("queue-time", "longest wait of a request for a slot", 0),
		&cli.IntFlag{Name: "max-in-flight", Usage: "most requests of callers under way; 0 is the default", Sources: env("max-in-flight")},
		&cli.BoolFlag{Name: "verbose", Usage: "log what helps to find a fault", Sources: env("verbose")},
		&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
	}
	for _, listener := range []string{"entry", "peer", "operator"} {
		flags = append(flags,
			text(listener+"-tls-cert", "PEM certificate of the "+listener+" listener"),
			text(listener+"-tls-key", "PEM key of the "+listener+" listener"),
			text(listener+"-tls-ca", "PEM certificates that sign those who connect"),
		)
	}
	return flags
}

// Daemon reads the settings of ryehilld. Faults that only show while a value is
// parsed are returned; all others are found by daemon.Config.Check.
func Daemon(c *cli.Command) (daemon.Config, error) {
	var faults []string
	prefixes := c.StringSlice("trusted-callers")
	trusted := make([]netip.Prefix, 0, len(prefixes))
	for _, text := range prefixes {
		p, err := netip.ParsePrefix(text)
		if err != nil {
			faults = append(faults, "trusted-callers: \""+text+"\": want a prefix such as 10.0.0.0/8")
		}
		trusted = append(trusted, p)
	}
	files := func(listener string) tlsfiles.Files {
		return tlsfiles.Files{
			Cert: c.String(listener + "-tls-cert"), Key: c.String(listener + "-tls-key"), CA: c.String(listener + "-tls-ca"),
		}
	}
	cfg := daemon.Config{
		Fleet: c.String("fleet"), Hall: c.String("hall"), VM: c.String("vm"),
		Entry: c.String("entry"), Peer: c.String("peer"), Operator: c.String("operator"),
		Platform: c.String("platform"), Token: c.String("token"), Seeds: c.StringSlice("seeds"),
		TrustedCallers: trusted,
		EntryTLS:       files("entry"), PeerTLS: files("peer"), OperatorTLS: files("operator"),
		PollInterval: c.Duration("poll-interval"), ReportInterval: c.Duration("report-interval"),
		GrantInterval: c.Duration("grant-interval"), ControlInterval: c.Duration("control-interval"),
		WatchHold: c.Duration("watch-hold"), QueueTime: c.Duration("queue-time"),
		MaxInFlight: c.Int("max-in-flight"),
	}
	err := cfg.Check()
	if len(faults) > 0 {
		parsed := errors.Wrap(daemon.ErrConfig, strings.Join(faults, "; "))
		if err != nil {
			return cfg, errors.Newf("%v; %s", err, strings.Join(faults, "; "))
		}
		return cfg, parsed
	}
	return cfg, err
}
