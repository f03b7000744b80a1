// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

// Package logs makes the structured logger of every program: JSON lines with
// short messages that begin with the part they come from, such as "peer: ".
package logs

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// New returns a logger that writes JSON lines. A verbose one also writes what
// is of use only while looking for a fault.
func New(w io.Writer, verbose bool) logr.Logger {
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	return logr.FromSlogHandler(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}
