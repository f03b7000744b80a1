// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"bufio"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// conn is one connection to an upstream.
type conn struct {
	// opened is when the connection was opened.
	opened time.Time
	raw    net.Conn
	reader *bufio.Reader
	pool   *pool
	since  time.Time // when it was last put aside
	start  uint64    // of the process that it was opened to
	// renewed is set while it is used for the first time, if it was opened since the
	// upstream had closed all others.
	renewed bool
	// idleFor is how long it may be put aside: what the upstream announced,
	// less a margin, if it announced anything.
	idleFor time.Duration
	once    sync.Once

	// While the connection rests, a goroutine waits for the upstream to
	// close it or to send what nobody asked for.
	resting chan struct{}
	spoilt  bool
}

func newConn(raw net.Conn, p *pool, idleFor time.Duration) *conn {
	return &conn{raw: raw, reader: bufio.NewReader(raw), pool: p, idleFor: idleFor}
}

// announced takes in the upstream's Keep-Alive header, such as "timeout=5". A
// part of the time is kept as a margin, for the upstream's clock began earlier.
func (c *conn) announced(header string) {
	const margin = 5
	for part := range strings.SplitSeq(header, ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds >= 0 {
			limit := time.Duration(seconds) * time.Second
			c.idleFor = min(c.idleFor, limit-limit/margin)
		}
	}
}

func (c *conn) close() {
	c.once.Do(func() {
		_ = c.raw.Close()
		if c.pool != nil {
			c.pool.released()
		}
	})
}

// abandon closes a connection with a request under way, and leaves nothing of it for the
// system to send later: where a hall was cut off, a request that was given up would else
// reach its worker once the cut has healed.
func (c *conn) abandon() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // It fails only on a connection that is closed.
	}
	c.close()
}

// rest watches a connection that is put aside.
func (c *conn) rest(now time.Time) {
	c.since = now
	c.resting = make(chan struct{})
	_ = c.raw.SetDeadline(time.Time{})
	go func() {
		defer close(c.resting)
		_, err := c.reader.Peek(1)
		// A byte without a question is as bad as a closed connection; only
		// the deadline that wake sets leaves it good.
		c.spoilt = !errors.Is(err, os.ErrDeadlineExceeded)
	}()
}

// wake ends the watch and reports whether the connection may be used.
func (c *conn) wake() bool {
	_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	<-c.resting
	_ = c.raw.SetReadDeadline(time.Time{})
	return !c.spoilt
}
