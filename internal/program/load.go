// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package program

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/ryehill/ryehill/internal/experiment"
	"github.com/ryehill/ryehill/internal/loadgen"
)

// Load returns the command line of ryehill-load.
func Load() *cli.Command {
	return &cli.Command{
		Name:  "ryehill-load",
		Usage: "send requests as clients do, check every answer, and measure",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "vms", Usage: "entry addresses of VMs"},
			&cli.StringSliceFlag{Name: "clients", Usage: "client addresses"},
			&cli.StringFlag{Name: "service", Usage: "service of the requests", Value: "lookup"},
			&cli.FloatFlag{Name: "lookups", Usage: "look-ups a second"},
			&cli.FloatFlag{Name: "reads", Usage: "reads a second", Value: 100},
			&cli.FloatFlag{Name: "payments", Usage: "payments a second"},
			&cli.FloatFlag{Name: "uploads", Usage: "uploads a second"},
			&cli.IntFlag{Name: "size", Usage: "bytes of an answer", Value: 2048},
			&cli.IntFlag{Name: "upload-size", Usage: "bytes of an upload", Value: 1 << 20},
			&cli.DurationFlag{Name: "upload-over", Usage: "time that a client takes to send an upload", Value: time.Second},
			&cli.DurationFlag{Name: "duration", Usage: "how long to send, at most 10m", Value: 10 * time.Second},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the arrivals", Value: 1},
			outputFlag(),
		},
		Action: runLoad,
		Commands: []*cli.Command{{
			Name: "experiment", Usage: "measure ryehill against its own baselines in one process", ArgsUsage: "NAME",
			Description: "Names: " + strings.Join(experiment.Names(), ", "),
			Action: func(ctx context.Context, c *cli.Command) error {
				name, err := oneArgument(c, "name of an experiment")
				if err != nil {
					return err
				}
				return withCode(exitFailed, experiment.Run(ctx, name, c.Root().Writer))
			},
		}},
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	const longest = 10 * time.Minute
	if d := c.Duration("duration"); d <= 0 || d > longest {
		return withCode(exitUsage, errors.Newf("duration=%s: allowed are above 0 to %s", d, longest))
	}
	if len(c.StringSlice("vms")) == 0 || len(c.StringSlice("clients")) == 0 {
		return withCode(exitUsage, errors.New("vms, clients: give at least one of each"))
	}
	load := loadgen.Load{
		VMs: c.StringSlice("vms"), HTTP: loadgen.NewHTTP(nil), Duration: c.Duration("duration"), Seed: c.Uint64("seed"),
	}
	for _, text := range c.StringSlice("clients") {
		address, err := netip.ParseAddr(text)
		if err != nil {
			return withCode(exitUsage, errors.Wrapf(err, "clients=%q", text))
		}
		load.Clients = append(load.Clients, address)
	}
	service := c.String("service")
	for _, s := range []loadgen.Stream{
		{Kind: loadgen.KindLookup, Service: service, Rate: c.Float("lookups")},
		{Kind: loadgen.KindRead, Service: service, Rate: c.Float("reads"), Size: c.Int("size")},
		{Kind: loadgen.KindPay, Service: service, Rate: c.Float("payments")},
		{Kind: loadgen.KindUpload, Service: service, Rate: c.Float("uploads"), Size: c.Int("upload-size"), Over: c.Duration("upload-over")},
	} {
		if s.Rate > 0 {
			load.Streams = append(load.Streams, s)
		}
	}
	report := loadgen.Run(ctx, load)
	return printReport(c, &report)
}

func printReport(c *cli.Command, r *loadgen.Report) error {
	out := c.Root().Writer
	if c.String("output") == outputJSON {
		return json.NewEncoder(out).Encode(r)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printf(table, "KIND\tSENT\tANSWERED\tNOT RUN\tUNKNOWN\tWRONG\tP50 MS\tP95 MS\tP99 MS\n")
	for _, name := range r.Names() {
		s := r.Kinds[name]
		printf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\n",
			name, s.Sent, s.Answered, s.NotRun, s.Unknown, s.Wrong, s.P50, s.P95, s.P99)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, fault := range r.Faults {
		printf(out, "wrong answer: %s\n", fault)
	}
	if len(r.Faults) > 0 {
		return withCode(exitFailed, errors.Newf("%d wrong answers", len(r.Faults)))
	}
	return nil
}
