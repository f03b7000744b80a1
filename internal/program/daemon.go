// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package program holds the command lines of ryehill's programs.
package program

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/ryehill/ryehill/internal/daemon"
	"github.com/ryehill/ryehill/internal/logs"
	"github.com/ryehill/ryehill/internal/settings"
)

// Daemon returns the command line of ryehilld.
func Daemon() *cli.Command {
	return &cli.Command{
		Name:  "ryehilld",
		Usage: "steer client traffic from one entry VM",
		Description: "Every flag can be set by an environment variable: RYEHILL_ and the flag's name in capitals,\n" +
			"with underscores. SIGTERM begins a planned stop, which cuts off no request; a second one ends at once.",
		Flags:    settings.DaemonFlags(),
		Action:   runDaemon,
		Commands: []*cli.Command{gatewayCommand()},
	}
}

// gcPercent trades a little processor time for memory: control has 32 MB at the
// target size and processor time to spare (docs/CAPACITY.md).
const gcPercent = 40

func runDaemon(ctx context.Context, c *cli.Command) error {
	cfg, err := settings.Daemon(c)
	if err != nil {
		return withCode(exitUsage, err)
	}
	if c.Bool("check") {
		_, err := fmt.Fprintln(c.Root().Writer, "settings are good")
		return err
	}
	cfg.Log = logs.New(os.Stderr, c.Bool("verbose"))
	debug.SetGCPercent(gcPercent)
	d, err := daemon.New(cfg)
	if err != nil {
		return withCode(exitFailed, err)
	}
	ctx, stop := stopSignal(ctx)
	defer stop()
	return withCode(exitFailed, d.Run(ctx))
}

// stopSignal ends the context at the first SIGTERM or SIGINT; the second one
// ends the process, as no handler is left.
func stopSignal(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}

func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}
