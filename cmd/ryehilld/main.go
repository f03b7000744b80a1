// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Command ryehilld is the daemon on each entry VM.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/ryehill/ryehill/internal/program"
)

func main() {
	if err := program.Daemon().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "ryehilld:", err)
		os.Exit(program.ExitCode(err))
	}
}
