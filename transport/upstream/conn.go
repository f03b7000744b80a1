// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"bufio"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// conn is one connection to an upstream.
type conn struct {
	raw    net.Conn
	reader *bufio.Reader
	pool   *pool
	since  time.Time // when it was last put aside
	once   sync.Once

	// While the connection rests, a goroutine waits for the upstream to
	// close it or to send what nobody asked for.
	resting chan struct{}
	spoilt  bool
}

func newConn(raw net.Conn, p *pool) *conn {
	return &conn{raw: raw, reader: bufio.NewReader(raw), pool: p}
}

func (c *conn) close() {
	c.once.Do(func() {
		_ = c.raw.Close()
		if c.pool != nil {
			c.pool.released()
		}
	})
}

// rest watches a connection that is put aside.
func (c *conn) rest() {
	c.since = time.Now()
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
