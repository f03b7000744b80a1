// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Command ryehill-standin runs stand-ins for the platform and for upstreams.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/ryehill/ryehill/internal/program"
)

func main() {
	if err := program.Standin().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "ryehill-standin:", err)
		os.Exit(program.ExitCode(err))
	}
}
