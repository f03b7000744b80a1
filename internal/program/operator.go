// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package program

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/ryehill/ryehill/coordination/intent"
	"github.com/ryehill/ryehill/internal/settings"
	"github.com/ryehill/ryehill/state/share"
	"github.com/ryehill/ryehill/state/spec"
	"github.com/ryehill/ryehill/state/view"
	"github.com/ryehill/ryehill/transport/entry"
	"github.com/ryehill/ryehill/transport/operator"
)

const (
	outputTable = "table"
	outputJSON  = "json"
)

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Usage: "table or json", Value: outputTable, Validator: func(s string) error {
		if s != outputTable && s != outputJSON {
			return errors.Newf("output=%q: allowed are table and json", s)
		}
		return nil
	}}
}

// Operator returns the command line of ryehill.
func Operator() *cli.Command {
	return &cli.Command{
		Name:  "ryehill",
		Usage: "steer traffic: state an intent, read the plan, confirm it, ask why",
		Description: "An intent changes nothing: it is answered with a plan that names its id. Confirming that id\n" +
			"carries it out, unless another operator changed the traffic meanwhile.\n\n" +
			"Exit codes: 0 done, 1 failed, 2 faulty flag or file, 3 refused with the numbers,\n" +
			"4 another operator was faster, 5 not known whether it took effect, 6 cannot be reached.",
		Flags: append(settings.OperatorFlags(), outputFlag()),
		Commands: []*cli.Command{
			shiftCommand(), drainCommand(), capCommand(), confirmCommand(), stopCommand(),
			statusCommand(), explainCommand(), quarantineCommand(), rolloutsCommand(), releaseCommand(), logsCommand(), lossesCommand(), lookupCommand(), configCommand(), demoCommand(),
		},
	}
}

func shareFlag(name, usage, value string, required bool) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage, Value: value, Required: required}
}

func readShare(c *cli.Command, name string) (share.PPM, error) {
	text := c.String(name)
	if text == "" {
		return 0, nil
	}
	p, err := share.Parse(text)
	return p, withCode(exitUsage, errors.Wrap(err, name))
}

func shiftCommand() *cli.Command {
	return &cli.Command{
		Name:      "shift",
		Usage:     "plan to move a share of a service's requests from one hall to another",
		UsageText: "ryehill shift --service lookup --from colombo-1 --to kandy-1 --share 20% --cap 10%",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Required: true},
			&cli.StringFlag{Name: "from", Usage: "hall", Required: true},
			&cli.StringFlag{Name: "to", Usage: "hall", Required: true},
			shareFlag("share", "share to reach", "", true),
			shareFlag("cap", "share never to pass; the share if empty", "", false),
			shareFlag("step", "most that one step adds", intent.DefaultShiftStep.String(), false),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			goal, err := readShare(c, "share")
			if err != nil {
				return err
			}
			step, err := readShare(c, "step")
			if err != nil {
				return err
			}
			in := intent.Shift{Service: c.String("service"), From: c.String("from"), To: c.String("to"), Share: goal, Step: step}
			if c.String("cap") != "" {
				limit, err := readShare(c, "cap")
				if err != nil {
					return err
				}
				in.Cap = &limit
			}
			return plan(ctx, c, in)
		},
	}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "plan to empty a hall, or one upstream",
		UsageText: "ryehill drain --hall kandy-1\nryehill drain --upstream lookup-7",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "hall"},
			&cli.StringFlag{Name: "upstream"},
			shareFlag("step", "most that one step adds, for a hall", intent.DefaultDrainStep.String(), false),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			hall, upstream := c.String("hall"), c.String("upstream")
			if (hall == "") == (upstream == "") {
				return withCode(exitUsage, errors.New("drain: give either --hall or --upstream"))
			}
			if upstream != "" {
				return plan(ctx, c, intent.DrainUpstream{Upstream: upstream})
			}
			step, err := readShare(c, "step")
			if err != nil {
				return err
			}
			return plan(ctx, c, intent.DrainHall{Hall: hall, Step: step})
		},
	}
}

func capCommand() *cli.Command {
	return &cli.Command{
		Name:      "cap",
		Usage:     "plan to limit all moves together, of one service and hall or of each",
		UsageText: "ryehill cap --limit 10% --from colombo-1",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Usage: "all if empty"},
			&cli.StringFlag{Name: "from", Usage: "hall; all if empty"},
			shareFlag("limit", "share never to pass", "", true),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			limit, err := readShare(c, "limit")
			if err != nil {
				return err
			}
			return plan(ctx, c, intent.Cap{Service: c.String("service"), From: c.String("from"), Limit: limit})
		},
	}
}

func plan(ctx context.Context, c *cli.Command, in intent.Intent) error {
	var p intent.Plan
	if err := newAPI(c).call(ctx, http.MethodPost, "/v1/plans", intent.Envelope{Intent: in}, &p); err != nil {
		return err
	}
	return show(c, p, func() error { return printPlan(c.Root().Writer, &p) })
}

func oneArgument(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", withCode(exitUsage, errors.Newf("%s: give one %s", c.Name, what))
	}
	return c.Args().First(), nil
}

func changeCommand(name, usage, path, suffix string) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "ID",
		Action: func(ctx context.Context, c *cli.Command) error {
			id, err := oneArgument(c, "id")
			if err != nil {
				return err
			}
			var accepted operator.Accepted
			if err := newAPI(c).call(ctx, http.MethodPost, path+url.PathEscape(id)+suffix, nil, &accepted); err != nil {
				return err
			}
			return show(c, accepted, func() error {
				printf(c.Root().Writer, "%s accepted at version %d\n", accepted.ID, accepted.Version)
				return nil
			})
		},
	}
}

func confirmCommand() *cli.Command {
	return changeCommand("confirm", "carry out a plan", "/v1/plans/", "/confirm")
}

func stopCommand() *cli.Command {
	return changeCommand("stop", "end an intent: its moves go back to 0%, its cap or drained upstream is released", "/v1/intents/", "/stop")
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show halls, moves, caps and VMs",
		Action: func(ctx context.Context, c *cli.Command) error {
			var s operator.Status
			if err := newAPI(c).call(ctx, http.MethodGet, "/v1/status", nil, &s); err != nil {
				return err
			}
			return show(c, s, func() error { return printStatus(c.Root().Writer, &s) })
		},
	}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show why a request ran where it did, or the history of a move",
		ArgsUsage:   "ID",
		Description: "ID is the Ryehill-Decision header of an answer, the id of a move or, at a gateway, that of a request.",
		Action: func(ctx context.Context, c *cli.Command) error {
			id, err := oneArgument(c, "id")
			if err != nil {
				return err
			}
			var e operator.Explanation
			if err := newAPI(c).call(ctx, http.MethodGet, "/v1/decisions/"+url.PathEscape(id), nil, &e); err != nil {
				return err
			}
			return show(c, e, func() error { return printExplanation(c.Root().Writer, &e) })
		},
	}
}

func lookupCommand() *cli.Command {
	return &cli.Command{
		Name: "lookup", Usage: "ask which VMs a client should use",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Usage: "IP:port of any VM's entry", Required: true},
			&cli.StringFlag{Name: "service", Required: true},
			&cli.StringFlag{Name: "client", Usage: "address of the client", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			query := url.Values{"service": {c.String("service")}, "client": {c.String("client")}}
			api := apiClient{bases: []string{"http://" + c.String("entry")}}
			var a entry.LookupResponse
			if err := api.call(ctx, http.MethodGet, "/v1/lookup?"+query.Encode(), nil, &a); err != nil {
				return err
			}
			return show(c, a, func() error { return printLookup(c.Root().Writer, &a) })
		},
	}
}

func configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "check and apply configuration objects",
		Commands: []*cli.Command{
			{
				Name: "validate", Usage: "check a file without a daemon", ArgsUsage: "FILE",
				Action: func(_ context.Context, c *cli.Command) error {
					set, err := configFile(c)
					if err != nil {
						return err
					}
					printf(c.Root().Writer, "%d objects are good\n", len(set.Objects))
					return nil
				},
			},
			{
				Name: "apply", Usage: "check a file and write the objects that differ", ArgsUsage: "FILE",
				Action: func(ctx context.Context, c *cli.Command) error {
					set, err := configFile(c)
					if err != nil {
						return err
					}
					var applied operator.Applied
					if err := newAPI(c).call(ctx, http.MethodPut, "/v1/config", set, &applied); err != nil {
						return err
					}
					return show(c, applied, func() error {
						for _, o := range applied.Objects {
							printf(c.Root().Writer, "%s\tversion %d\tchanged %t\n", o.Key, o.Version, o.Changed)
						}
						return nil
					})
				},
			},
		},
	}
}

func configFile(c *cli.Command) (spec.Set, error) {
	name, err := oneArgument(c, "file")
	if err != nil {
		return spec.Set{}, err
	}
	set, err := readSet(name)
	if err != nil {
		return set, withCode(exitUsage, err)
	}
	v, err := view.Compile(0, set.Objects, nil)
	if err != nil {
		return set, withCode(exitUsage, err)
	}
	// A file may hold only some objects; halls can be checked if it has them.
	if len(v.Fleet().Halls) > 0 {
		err = v.CheckReferences()
	}
	return set, withCode(exitUsage, err)
}

func show(c *cli.Command, v any, table func() error) error {
	if c.String("output") != outputJSON {
		return table()
	}
	encoder := json.NewEncoder(c.Root().Writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
