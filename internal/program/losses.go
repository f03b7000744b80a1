// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package program

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/ryehill/ryehill/transport/ingress"
)

// lossLine is a line in which a VM sums what was lost.
type lossLine struct {
	Time     time.Time      `json:"time"`
	Message  string         `json:"msg"`
	Requests int            `json:"requests"`
	Lost     []ingress.Loss `json:"lost"`
}

// lossMessage begins such a line.
const lossMessage = "ingress: losses"

// lossSums adds up the lines of all VMs.
type lossSums struct {
	requests int
	lost     int
	causes   map[string]int
	services map[string]int // by "service: cause"
	seconds  map[time.Time]int
}

func lossesCommand() *cli.Command {
	return &cli.Command{
		Name: "losses", Usage: "sum from saved logs of several VMs what was late, refused or failed, and why",
		ArgsUsage: "FILE...",
		Description: "Each file is what one VM, or several, wrote. Counted are the two-second sums that each VM\n" +
			"writes while it loses anything, so no request is missing. \"key new to the worker\" is the slow\n" +
			"first run of a key, which no choice avoids while the key is new; \"busy\" is a refusal while all\n" +
			"workers of the region were full, \"busy-room-elsewhere\" one while another had a free slot.",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return withCode(exitUsage, errors.New("give one file or more"))
			}
			sums := &lossSums{causes: make(map[string]int), services: make(map[string]int), seconds: make(map[time.Time]int)}
			for _, name := range c.Args().Slice() {
				if err := sums.readFile(name); err != nil {
					return withCode(exitUsage, errors.Wrap(err, name))
				}
			}
			sums.print(c.Root().Writer)
			return nil
		},
	}
}

func (s *lossSums) readFile(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return s.read(f)
}

// read adds the lines of one log. Text before the JSON of a line is passed over,
// and so are lines without JSON.
func (s *lossSums) read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		begin := strings.IndexByte(text, '{')
		if begin < 0 || !strings.Contains(text, lossMessage) {
			continue
		}
		var line lossLine
		if json.Unmarshal([]byte(text[begin:]), &line) == nil && line.Message == lossMessage {
			s.add(line)
		}
	}
	return scanner.Err()
}

func (s *lossSums) add(line lossLine) {
	s.requests += line.Requests
	for _, l := range line.Lost {
		s.lost += l.Count
		s.causes[l.Cause] += l.Count
		s.services[l.Service+": "+l.Cause] += l.Count
		s.seconds[line.Time.Truncate(time.Second)] += l.Count
	}
}

// print writes the sums, the largest first, and the seconds in order.
func (s *lossSums) print(w io.Writer) {
	printf(w, "%d requests in the seconds with losses, %d lost\n", s.requests, s.lost)
	s.printLargest(w, "by cause", s.causes)
	s.printLargest(w, "by service and cause", s.services)
	printf(w, "\nby second\n")
	for _, at := range slices.SortedFunc(maps.Keys(s.seconds), time.Time.Compare) {
		printf(w, "%8d  %s\n", s.seconds[at], at.UTC().Format("15:04:05"))
	}
}

func (s *lossSums) printLargest(w io.Writer, title string, counts map[string]int) {
	printf(w, "\n%s\n", title)
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	for _, name := range names {
		printf(w, "%8d  %s\n", counts[name], name)
	}
}
