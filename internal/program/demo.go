// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package program

import "github.com/urfave/cli/v3"

func demoCommand() *cli.Command { return &cli.Command{Name: "demo", Hidden: true} }
