// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/ryehill/ryehill/coordination/reach"
	"github.com/ryehill/ryehill/internal/metrics"
	"github.com/ryehill/ryehill/transport/upstream"
)

const (
	// connectionLogInterval is the interval of the log lines on failed connections.
	connectionLogInterval = 2 * time.Second
	// resultOpened is the result of a connection that was opened.
	resultOpened = "opened"
	// resultBroken precedes the result of a connection that failed during an exchange.
	resultBroken = "broken: "
	// resultUnanswered is the result of a connection on which a worker did not answer.
	resultUnanswered = "unanswered"
	// maxCountedWorkers bounds the workers that are told apart in one log line.
	maxCountedWorkers = 16384
)

// connections counts what the connections to workers show, for metrics and logs, and passes
// it on to the monitor of this VM's reach. It implements upstream.Observer.
type connections struct {
	metrics *metrics.Set
	reach   *reach.Monitor

	mu sync.Mutex
	// results counts connections by result since the last log line. answered and failed
	// hold the workers that answered, and those with failed connections.
	results          map[string]int
	answered, failed map[string]struct{}
}

func newConnections(set *metrics.Set, monitor *reach.Monitor) *connections {
	return &connections{metrics: set, reach: monitor, results: make(map[string]int), answered: make(map[string]struct{}), failed: make(map[string]struct{})}
}

// Opened implements upstream.Observer.
func (c *connections) Opened(upstream.Worker) { c.count(resultOpened) }

// OpenFailed implements upstream.Observer.
func (c *connections) OpenFailed(w upstream.Worker, err error) {
	c.count(upstream.ConnectionResult(err))
	c.mark(c.failed, w)
	c.reach.RecordOpenFailed(w.ID)
}

// Responded implements upstream.Observer.
func (c *connections) Responded(w upstream.Worker, opened time.Time) {
	c.mark(c.answered, w)
	c.reach.RecordResponse(opened)
}

// Broken implements upstream.Observer.
func (c *connections) Broken(w upstream.Worker, begun time.Time, err error) {
	c.count(resultBroken + upstream.ConnectionResult(err))
	c.mark(c.failed, w)
	c.reach.RecordBroken(w.ID, begun)
}

// Unanswered implements upstream.Observer.
func (c *connections) Unanswered(w upstream.Worker) {
	c.count(resultUnanswered)
	c.mark(c.failed, w)
	c.reach.RecordUnanswered(w.ID)
}

func (c *connections) count(result string) {
	c.metrics.Connection(result)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results[result]++
}

func (c *connections) mark(set map[string]struct{}, w upstream.Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(set) < maxCountedWorkers {
		set[w.ID] = struct{}{}
	}
}

// logLoop logs the connections of each interval in which one failed.
func (c *connections) logLoop(ctx context.Context, log logr.Logger) {
	ticker := time.NewTicker(connectionLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if results, answered, failed := c.drain(); failed > 0 {
			log.Info("workers: connections failed", "results", results, "workers_answered", answered, "workers_failed", failed)
		}
	}
}

// drain returns and resets the counts, and how many workers answered and failed.
func (c *connections) drain() (results map[string]int, answered, failed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	results, answered, failed = c.results, len(c.answered), len(c.failed)
	c.results = make(map[string]int)
	clear(c.answered)
	clear(c.failed)
	return results, answered, failed
}
