// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package program

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/ryehill/ryehill/internal/standin"
	"github.com/ryehill/ryehill/state/spec"
)

// Standin returns the command line of ryehill-standin.
func Standin() *cli.Command {
	return &cli.Command{
		Name:  "ryehill-standin",
		Usage: "stand in for the platform or an upstream, for trials and tests",
		Commands: []*cli.Command{
			{
				Name:  "platform",
				Usage: "serve the object API and the VM list from memory",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "listen", Usage: "IP:port", Required: true},
					&cli.StringFlag{Name: "config", Usage: "file of objects to begin with"},
					&cli.StringFlag{Name: "vms", Usage: "file with the VM list"},
				},
				Action: runPlatform,
			},
			{
				Name:  "upstream",
				Usage: "serve as a worker with slots, a cold cache, drain and shedding",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "listen", Usage: "IP:port", Required: true},
					&cli.StringFlag{Name: "id", Usage: "worker id", Value: "worker"},
					&cli.IntFlag{Name: "slots", Usage: "requests at once", Value: 5},
					&cli.DurationFlag{Name: "time", Usage: "time of one request when warm", Value: 5 * time.Millisecond},
					&cli.FloatFlag{Name: "cold-factor", Usage: "how much slower a cold cache is", Value: 4},
					&cli.BoolFlag{Name: "warm", Usage: "begin with a warm cache"},
				},
				Action: runUpstream,
			},
		},
	}
}

func runPlatform(ctx context.Context, c *cli.Command) error {
	p := standin.NewPlatform(standin.PlatformConfig{})
	if name := c.String("config"); name != "" {
		set, err := readSet(name)
		if err != nil {
			return withCode(exitUsage, err)
		}
		p.Seed(set.Objects...)
	}
	if name := c.String("vms"); name != "" {
		body, err := os.ReadFile(name)
		if err != nil {
			return withCode(exitUsage, err)
		}
		list, err := spec.DecodeVMList(body)
		if err != nil {
			return withCode(exitUsage, errors.Wrap(err, name))
		}
		p.SetVMs(list.VMs, list.Leaving)
	}
	return listenAndServe(ctx, c.String("listen"), &http.Server{Handler: p.Handler(), ReadHeaderTimeout: time.Minute})
}

func runUpstream(ctx context.Context, c *cli.Command) error {
	u := standin.NewUpstream(standin.UpstreamConfig{
		ID: c.String("id"), Slots: c.Int("slots"), Time: c.Duration("time"),
		ColdFactor: c.Float("cold-factor"), WarmStart: c.Bool("warm"),
	})
	return listenAndServe(ctx, c.String("listen"), &http.Server{
		Handler: u.Handler(), ConnState: u.ConnState, ReadHeaderTimeout: time.Minute,
	})
}

func listenAndServe(ctx context.Context, address string, s *http.Server) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return withCode(exitFailed, err)
	}
	ctx, stop := stopSignal(ctx)
	defer stop()
	context.AfterFunc(ctx, func() { _ = s.Close() })
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return withCode(exitFailed, err)
	}
	return nil
}

func readSet(name string) (spec.Set, error) {
	body, err := os.ReadFile(name)
	if err != nil {
		return spec.Set{}, err
	}
	set, err := spec.DecodeSet(body)
	return set, errors.Wrap(err, name)
}
