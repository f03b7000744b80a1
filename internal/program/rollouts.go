// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package program

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/ryehill/ryehill/transport/operator"
)

func rolloutsCommand() *cli.Command {
	return &cli.Command{
		Name: "rollouts", Usage: "show the new versions of services that are being brought in (at a gateway)",
		Action: func(ctx context.Context, c *cli.Command) error {
			var orders []operator.RolloutStatus
			if err := newAPI(c).call(ctx, http.MethodGet, "/v1/rollouts", nil, &orders); err != nil {
				return err
			}
			return show(c, orders, func() error { return printRollouts(c.Root().Writer, orders) })
		},
		Commands: []*cli.Command{{
			Name: "stop", Usage: "roll a new version back", ArgsUsage: "SERVICE",
			Action: func(ctx context.Context, c *cli.Command) error {
				service, err := oneArgument(c, "service")
				if err != nil {
					return err
				}
				var stopped operator.RolloutStopped
				if err := newAPI(c).call(ctx, http.MethodPost, "/v1/rollouts/"+url.PathEscape(service)+"/stop", nil, &stopped); err != nil {
					return err
				}
				return show(c, stopped, func() error {
					printf(c.Root().Writer, "the new version of %s is rolled back\n", stopped.Service)
					return nil
				})
			},
		}},
	}
}

func printRollouts(w io.Writer, orders []operator.RolloutStatus) error {
	if len(orders) == 0 {
		printf(w, "no new version is ordered\n")
		return nil
	}
	table := newTable(w)
	printf(table, "SERVICE\tVERSION\tPHASE\tTIME LEFT\tSENT\tWHY\n")
	for _, o := range orders {
		left := time.Duration(o.LeftMillis) * time.Millisecond
		printf(table, "%s\t%s\t%s\t%s\t%d of %d\t%s\n", o.Service, o.Version, o.Phase, left.Round(time.Second), o.Sent, o.Requests, o.Reason)
	}
	for _, o := range orders {
		for _, r := range o.Routes {
			printf(table, "%s %s\told: %d failed, %d slow of %d\tnew: %d failed, %d slow of %d\n", o.Service, r.Route,
				r.Old.Failed, r.Old.Slow, r.Old.Ended, r.New.Failed, r.New.Slow, r.New.Ended)
		}
	}
	return table.Flush()
}
