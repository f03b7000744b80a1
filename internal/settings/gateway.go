// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package settings

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/ryehill/ryehill/coordination/ratelimit"
	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/transport/pipeline"
)

// GatewayFlags are the flags of ryehilld gateway.
func GatewayFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "fleet", Value: "main", Usage: "name of the fleet; VMs of other fleets are refused", Sources: env("fleet")},
		text("vm", "id of this VM"),
		text("hall", "hall that this VM is in"),
		text("halls", "region of every hall, as a JSON object"),
		text("ingress", "IP:port for clients"),
		text("ready", "IP:port for checks of readiness"),
		text("directory", "IP:port for clients that ask where to go"),
		text("peer", "IP:port for other VMs"),
		text("metrics", "IP:port for operators: metrics and explanations"),
		&cli.FloatFlag{Name: "link", Usage: "width of this VM's link, in Mbit/s; 0 is unknown", Sources: env("link")},
		number("descriptors", "files and sockets that this VM may have open; 0 is unknown", 0),
		text("token", "bearer token that operators must show; without one there are no intents, status and explanations"),
		text("platform", "IP:port of the platform's store"),
		text("seeds", "addresses of peers to ask while the store is away at the start, with commas between"),
		&cli.BoolFlag{Name: "first-start", Usage: "the whole fleet starts for the first time", Sources: env("first-start")},
		duration("grace", "time from SIGTERM to SIGKILL", 10*time.Second),
		duration("max-ttl", "longest time that the directory's answers may hold", 5*time.Second),
		&cli.FloatFlag{Name: "retry-ratio", Value: 0.1, Usage: "part of the requests that all VMs together may send again", Sources: env("retry-ratio")},
		duration("apply-within", "time within which an acknowledged change of the routes must be in force", 2500*time.Millisecond),
		duration("leave-within", "time within which a worker that leaves must get nothing more", 2500*time.Millisecond),
		duration("revoke-within", "time within which an API key that was taken away must be refused", gateway.DefaultRevokeWithin),
		&cli.BoolFlag{Name: "strict-revocation", Usage: "refuse requests with API keys while what is known of keys is older than that", Sources: env("strict-revocation")},
		&cli.FloatFlag{Name: "rollout-share", Usage: "part of a service's requests that a new version may get until it is proved; 0 knows no roll-outs", Sources: env("rollout-share")},
		duration("quota-window", "time over which the limits of workspaces hold", gateway.DefaultQuotaWindow),
		&cli.FloatFlag{Name: "quota-overage", Value: 0.1, Usage: "part by which a workspace may pass its limit in a window", Sources: env("quota-overage")},
		&cli.FloatFlag{Name: "quota-slack", Value: 20, Usage: "requests by which it may pass it beside", Sources: env("quota-slack")},
		&cli.BoolFlag{Name: "admission-by-rank", Usage: "let requests compete for the room of full workers by the priorities of their workspaces and routes", Sources: env("admission-by-rank")},
		number("pipeline-depth", "requests of a connection that run at a time, if its client sends them ahead; 1 runs one after the other", pipeline.DefaultMaxDepth),
		number("pipeline-behind", "requests of all connections that run behind another one", pipeline.DefaultMaxBehind),
		number("pipeline-held", "bytes of a connection's answers that wait for earlier ones", pipeline.DefaultMaxHeld),
		number("pipeline-collected-total", "bytes of all answers that are kept until they are whole, since requests behind them run", pipeline.DefaultMaxCollectedTotal),
		number("pipeline-held-total", "bytes of all connections' answers that wait for earlier ones", pipeline.DefaultMaxHeldTotal),
		number("pipeline-read-ahead", "bytes that are read of a connection beyond its next request", pipeline.DefaultReadAhead),
		duration("pipeline-stall", "time after which a connection is closed whose client accepts nothing", pipeline.DefaultStallTimeout),
		duration("probe-interval", "time between two probes of other VMs", gateway.DefaultProbeInterval),
		&cli.BoolFlag{Name: "verbose", Usage: "log what helps to find a fault", Sources: env("verbose")},
		&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
	}
}

// Gateway reads the settings of ryehilld gateway. The fields that are no
// settings are for the caller to set. Faults are found by gateway.Config.Check,
// but for those that only show while a value is parsed.
func Gateway(c *cli.Command) (gateway.Config, error) {
	cfg := gateway.Config{
		Fleet: c.String("fleet"), VM: c.String("vm"), Hall: c.String("hall"),
		Ingress: c.String("ingress"), Ready: c.String("ready"), Directory: c.String("directory"),
		Peer: c.String("peer"), MetricsAddress: c.String("metrics"), Token: c.String("token"),
		LinkMbps:   int(c.Float("link")),
		FirstStart: c.Bool("first-start"), Descriptors: c.Int("descriptors"), AdmissionByRank: c.Bool("admission-by-rank"),
		Bounds: gateway.Bounds{
			Grace: c.Duration("grace"), MaxTTL: c.Duration("max-ttl"), RetryRatio: c.Float("retry-ratio"),
			ApplyWithin:  min(c.Duration("apply-within"), c.Duration("leave-within")),
			RevokeWithin: c.Duration("revoke-within"), StrictRevocation: c.Bool("strict-revocation"),
			RolloutShare: c.Float("rollout-share"),
			Quota: ratelimit.Bounds{
				Window: c.Duration("quota-window"), Overage: c.Float("quota-overage"), Slack: c.Float("quota-slack"),
			},
		},
		Pipeline: gateway.Pipeline{
			MaxDepth: c.Int("pipeline-depth"), MaxBehind: c.Int("pipeline-behind"),
			MaxHeld: c.Int("pipeline-held"), MaxHeldTotal: c.Int("pipeline-held-total"), MaxCollectedTotal: c.Int("pipeline-collected-total"),
			ReadAhead: c.Int("pipeline-read-ahead"), StallTimeout: c.Duration("pipeline-stall"),
		},
		ProbeInterval: c.Duration("probe-interval"),
	}
	for seed := range strings.SplitSeq(c.String("seeds"), ",") {
		if seed = strings.TrimSpace(seed); seed != "" {
			cfg.Seeds = append(cfg.Seeds, seed)
		}
	}
	if err := json.Unmarshal([]byte(c.String("halls")), &cfg.Halls); err != nil {
		return cfg, errors.Wrap(gateway.ErrConfig, "halls: want a JSON object of hall and region: "+err.Error())
	}
	return cfg, cfg.Validate()
}
