// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package program

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/ryehill/ryehill/state/quarantine"
	"github.com/ryehill/ryehill/transport/operator"
)

func quarantineCommand() *cli.Command {
	return &cli.Command{
		Name: "quarantine", Usage: "show the requests that workers do not get, since they end them (at a gateway)",
		Action: func(ctx context.Context, c *cli.Command) error {
			var entries []quarantine.Entry
			if err := newAPI(c).call(ctx, http.MethodGet, "/v1/quarantine", nil, &entries); err != nil {
				return err
			}
			return show(c, entries, func() error { return printQuarantine(c.Root().Writer, entries, time.Now()) })
		},
	}
}

func releaseCommand() *cli.Command {
	return &cli.Command{
		Name: "release", Usage: "let a request run again that was held since it ended workers (at a gateway)",
		ArgsUsage: "FINGERPRINT",
		Action: func(ctx context.Context, c *cli.Command) error {
			f, err := oneArgument(c, "fingerprint")
			if err != nil {
				return err
			}
			var released operator.Released
			if err := newAPI(c).call(ctx, http.MethodPost, "/v1/quarantine/"+url.PathEscape(f)+"/release", nil, &released); err != nil {
				return err
			}
			return show(c, released, func() error {
				printf(c.Root().Writer, "%s may run again\n", released.Fingerprint)
				return nil
			})
		},
	}
}

func printQuarantine(w io.Writer, entries []quarantine.Entry, now time.Time) error {
	if len(entries) == 0 {
		printf(w, "no request is held\n")
		return nil
	}
	table := newTable(w)
	printf(table, "FINGERPRINT\tREQUEST\tSERVICE\tTIMES\tHELD FOR\tWORKERS THAT ENDED\n")
	for _, e := range entries {
		held := "over"
		if e.Active(now) {
			held = e.Until.Sub(now).Round(time.Second).String()
		}
		printf(table, "%s\t%s\t%s\t%d\t%s\t%s\n", e.Fingerprint, e.Subject, e.Service, e.Times, held, strings.Join(e.Workers, " "))
	}
	return table.Flush()
}
