// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package program

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/ryehill/ryehill/internal/gateway"
	"github.com/ryehill/ryehill/internal/logs"
	"github.com/ryehill/ryehill/internal/metrics"
	"github.com/ryehill/ryehill/internal/settings"
	"github.com/ryehill/ryehill/platform"
	"github.com/ryehill/ryehill/state/object"
)

// gatewayCommand returns the command line of ryehilld gateway.
func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "serve clients by host and path on the users' platform",
		Description: "Every flag can be set by an environment variable: RYEHILL_ and the flag's name in capitals,\n" +
			"with underscores. SIGTERM begins a planned stop; SIGHUP changes nothing and cuts nothing.",
		Flags:  settings.GatewayFlags(),
		Action: runGateway,
	}
}

func runGateway(ctx context.Context, c *cli.Command) error {
	cfg, err := settings.Gateway(c)
	if err != nil {
		return withCode(exitUsage, err)
	}
	if c.Bool("check") {
		_, err := fmt.Fprintln(c.Root().Writer, "settings are good")
		return err
	}
	signal.Ignore(syscall.SIGHUP)
	cfg.Log = logs.New(logs.NewQueue(os.Stdout), c.Bool("verbose"))
	cfg.Metrics = metrics.New()
	cfg.StoreCalls = &gateway.StoreCalls{}
	called := func(call, kind string, err error) {
		cfg.Metrics.PlatformCall(call+" "+kind, err)
		cfg.StoreCalls.Note(call, kind, err)
	}
	cfg.Store = storeAdapter{platform.NewStore(platform.StoreConfig{Address: c.String("platform"), OnCall: called})}
	cfg.Codec = platform.Codec{}
	cfg.Dialect = platform.Headers{}
	cfg.EntryHandler = func(g *gateway.Gateway) http.Handler { return platform.NewEntryHandler(g) }
	g, err := gateway.New(cfg)
	if err != nil {
		return withCode(exitFailed, err)
	}
	ctx, stop := stopSignal(ctx)
	defer stop()
	return withCode(exitFailed, g.Run(ctx))
}

// storeAdapter gives the platform's errors the gateway's meaning.
type storeAdapter struct{ *platform.Store }

// Watch implements gateway.Store.
func (s storeAdapter) Watch(ctx context.Context, kind string, since object.Version, hold time.Duration) ([]object.Event, object.Version, error) {
	events, at, err := s.Store.Watch(ctx, kind, since, hold)
	return events, at, meant(err)
}

// Get implements gateway.Store.
func (s storeAdapter) Get(ctx context.Context, kind, name string) (object.Object, error) {
	o, err := s.Store.Get(ctx, kind, name)
	return o, meant(err)
}

// ReplaceStatus implements gateway.Store.
func (s storeAdapter) ReplaceStatus(ctx context.Context, kind, name string, condition object.Version, status []byte) (object.Version, error) {
	written, err := s.Store.ReplaceStatus(ctx, kind, name, condition, status)
	return written, meant(err)
}

// Replace implements gateway.Store.
func (s storeAdapter) Replace(ctx context.Context, kind, name string, condition object.Version, spec []byte) (object.Version, error) {
	written, err := s.Store.Replace(ctx, kind, name, condition, spec)
	return written, meant(err)
}

// meant marks an error of the platform with what it means to a gateway.
func meant(err error) error {
	switch {
	case errors.Is(err, platform.ErrHistoryExpired):
		return errors.Mark(err, gateway.ErrHistoryExpired)
	case errors.Is(err, platform.ErrNotFound):
		return errors.Mark(err, gateway.ErrNotFound)
	case errors.Is(err, platform.ErrConflict):
		return errors.Mark(err, gateway.ErrConflict)
	}
	return err
}
