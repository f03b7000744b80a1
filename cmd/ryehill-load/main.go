// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Command ryehill-load sends requests as clients do and checks every answer.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/ryehill/ryehill/internal/program"
)

func main() {
	if err := program.Load().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "ryehill-load:", err)
		os.Exit(program.ExitCode(err))
	}
}
