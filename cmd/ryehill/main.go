// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Command ryehill is the operators' command line.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/ryehill/ryehill/internal/program"
)

func main() {
	if err := program.Operator().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "ryehill:", err)
		os.Exit(program.ExitCode(err))
	}
}
