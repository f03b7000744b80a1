// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package program

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// maxLogLine bounds, in bytes, one line of a saved log.
const maxLogLine = 1 << 20

// logLine is one line of a saved log that belongs to a request.
type logLine struct {
	at     time.Time
	source string
	fields map[string]any
}

func logsCommand() *cli.Command {
	return &cli.Command{
		Name: "logs", Usage: "print a request's way from saved logs of several VMs, in order of time",
		ArgsUsage:   "ID FILE...",
		Description: "ID is the request's id. Each file is what one VM wrote. A file that cannot be read ends with exit code 2.",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return withCode(exitUsage, errors.New("give the request's id and one file or more"))
			}
			lines, err := readLogs(c.Args().First(), c.Args().Tail())
			if err != nil {
				return withCode(exitUsage, err)
			}
			if len(lines) == 0 {
				return withCode(exitFailed, errors.Newf("no line of request %q: it was answered in time, or the line was left out", c.Args().First()))
			}
			printLogs(c.Root().Writer, lines)
			return nil
		},
	}
}

func readLogs(id string, files []string) ([]logLine, error) {
	var lines []logLine
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		found, err := scanLog(f, id, strings.TrimSuffix(filepath.Base(name), ".log"))
		_ = f.Close()
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	return lines, nil
}

// scanLog returns the lines of a request. Text before the JSON of a line, such
// as the name of a VM, is passed over, and so are lines without JSON.
func scanLog(in io.Reader, id, source string) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		begin := strings.IndexByte(text, '{')
		if begin < 0 || !strings.Contains(text, id) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(text[begin:]), &fields) != nil || fields["request"] != id {
			continue
		}
		at, _ := time.Parse(time.RFC3339Nano, asText(fields["time"]))
		if name := strings.TrimSpace(text[:begin]); name != "" {
			source = name
		}
		lines = append(lines, logLine{at: at, source: source, fields: fields})
	}
	return lines, scanner.Err()
}

func asText(v any) string {
	text, _ := v.(string)
	return text
}

// printLogs prints each line with its fields, one below the other.
func printLogs(w io.Writer, lines []logLine) {
	for _, l := range lines {
		printf(w, "%s  %s  %s\n", l.at.UTC().Format("15:04:05.000"), l.source, asText(l.fields["msg"]))
		names := make([]string, 0, len(l.fields))
		for name := range l.fields {
			if !slices.Contains([]string{"time", "level", "msg", "request"}, name) {
				names = append(names, name)
			}
		}
		slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(fieldRank(a), fieldRank(b)), cmp.Compare(a, b)) })
		for _, name := range names {
			printf(w, "  %s: %v\n", name, l.fields[name])
		}
	}
}

// fieldRank orders the fields as the request went: outcome, choices and tries.
func fieldRank(name string) int {
	for rank, prefix := range []string{"reason", "result", "subject", "choice", "try", "another"} {
		if strings.HasPrefix(name, prefix) {
			return rank
		}
	}
	return len(name) + 10
}
