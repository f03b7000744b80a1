// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package program

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"github.com/ryehill/ryehill/internal/demo"
	"github.com/ryehill/ryehill/internal/fleet"
	"github.com/ryehill/ryehill/internal/logs"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole fleet in this process through load, a shift, a drain and failures, and check every promise",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "fleet", Usage: "kelani or tazrout", Value: "kelani"},
			&cli.DurationFlag{Name: "duration", Usage: "how long the load runs, 25s to 10m", Value: demo.DefaultDuration},
			&cli.StringFlag{Name: "log", Usage: "file for the daemons' logs; none if empty"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	plans := map[string]fleet.Plan{"kelani": fleet.Kelani(), "tazrout": fleet.Tazrout()}
	plan, ok := plans[c.String("fleet")]
	if !ok {
		return withCode(exitUsage, errors.Newf("fleet=%q: allowed are kelani and tazrout", c.String("fleet")))
	}
	cfg := demo.Config{Plan: plan, Duration: c.Duration("duration"), Log: logr.Discard(), Progress: c.Root().ErrWriter}
	if name := c.String("log"); name != "" {
		file, err := os.Create(name)
		if err != nil {
			return withCode(exitUsage, err)
		}
		defer func() { _ = file.Close() }()
		cfg.Log = logs.New(file, false)
	}
	ctx, stop := stopSignal(ctx)
	defer stop()
	report, err := demo.Run(ctx, cfg)
	if err != nil {
		return withCode(exitFailed, err)
	}
	if c.String("output") == outputJSON {
		err = json.NewEncoder(c.Root().Writer).Encode(report)
	} else {
		err = printDemo(c.Root().Writer, &report)
	}
	if err == nil && report.Broken() > 0 {
		err = errors.Newf("%d promises were broken", report.Broken())
	}
	return withCode(exitFailed, err)
}

func printDemo(w io.Writer, r *demo.Report) error {
	table := newTable(w)
	printf(table, "\nLATENCY OF %s, FROM THE CLIENT'S SIDE\tSENT\tANSWERED\tNOT RUN\tUNKNOWN\tP50 MS\tP95 MS\tP99 MS\n", r.Fleet)
	for _, name := range sortedKeys(r.Latency) {
		s := r.Latency[name]
		printf(table, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\n", name, s.Sent, s.Answered, s.NotRun, s.Unknown, s.P50, s.P95, s.P99)
	}
	printf(table, "\nHEADROOM OF THE SERVICE WITH LEAST\tLEAST DURING SHIFT\tDURING DRAIN\tAFTER\n")
	for _, h := range r.Headroom {
		printf(table, "%s\t%.0f%%\t%.0f%%\t%.0f%%\n", h.Region, 100*h.Shift, 100*h.Drain, 100*h.After)
	}
	printf(table, "\nTIMES\tSECONDS\n")
	printf(table, "drain of a hall, confirm to empty\t%.1f\n", r.DrainSeconds)
	printf(table, "planned stop of a VM with slow uploads\t%.1f\n", r.StopSeconds)
	printf(table, "configuration, accepted to in force everywhere\t%.2f\n", r.InForce)
	printf(table, "\nPROMISE\tTRIED\tBROKEN\tHOW\n")
	for _, p := range r.Promises {
		printf(table, "%s\t%d\t%d\t%s\n", p.Name, p.Tried, p.Broken, p.How)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	printList(w, "fault", r.Faults)
	return nil
}
