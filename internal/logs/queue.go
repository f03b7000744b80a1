// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package logs

import (
	"fmt"
	"io"
	"slices"
	"sync/atomic"
)

// queueLength bounds, in lines, what waits to be written.
const queueLength = 1024

// Queue writes lines in the background and never holds its callers up: lines
// that find the queue full are left out, and their number is written once there
// is room. It is safe for concurrent use.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewQueue returns a queue before a writer.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueLength)}
	go q.write(out)
	return q
}

// Write implements io.Writer. One call is one line.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- slices.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

func (q *Queue) write(out io.Writer) {
	for line := range q.lines {
		_, _ = out.Write(line)
		if n := q.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(out, "{\"msg\":\"logs: lines left out\",\"count\":%d}\n", n)
		}
	}
}
