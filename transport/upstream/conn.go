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

	"github.com/ryehill/ryehill/internal/socket"
)

// conn is one connection to an upstream.
type conn struct {
	// opened is the time when the connection was established.
	opened time.Time
	raw    net.Conn
	// received bounds what reader takes from raw.
	received     *boundedReader
	reader       *bufio.Reader
	pool         *pool
	idleSince    time.Time // when the last exchange on it ended
	processStart uint64    // Worker.Start of the process it was opened to
	// reconnected is set during the first exchange if the connection was opened
	// because the upstream had closed the idle ones.
	reconnected bool
	// idleTimeout is how long the connection may stay idle: Config.IdleTimeout, or
	// less by the upstream's Keep-Alive header.
	idleTimeout time.Duration
	closeOnce   sync.Once
	// transmission describes what was sent. It is nil where the connection has a user timeout
	// instead, or where the system does not tell.
	transmission func() (transmission, error)

	// watchDone is closed when the goroutine that watches the idle connection
	// ends; unusable is valid from then on.
	watchDone chan struct{}
	unusable  bool
}

func newConn(raw net.Conn, p *pool, idleTimeout time.Duration) *conn {
	received := &boundedReader{source: raw, left: unbounded}
	return &conn{raw: raw, received: received, reader: bufio.NewReader(received), pool: p, idleTimeout: idleTimeout}
}

// applyKeepAlive lowers the idle timeout to that of the upstream's Keep-Alive
// header, such as "timeout=5". It subtracts a margin, since the upstream started
// to count earlier.
func (c *conn) applyKeepAlive(header string) {
	const marginDivisor = 5
	for param := range strings.SplitSeq(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(param), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			limit := time.Duration(seconds) * time.Second
			c.idleTimeout = min(c.idleTimeout, limit-limit/marginDivisor)
		}
	}
}

func (c *conn) close() {
	c.closeOnce.Do(func() {
		_ = c.raw.Close()
		if c.pool != nil {
			c.pool.release()
		}
	})
}

// abort closes a connection during an exchange and discards unsent data.
// Otherwise the operating system would keep sending it, and a canceled request
// could reach its worker after a network partition ends.
func (c *conn) abort() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Fails only if the connection is already closed.
	}
	c.close()
}

// watchIdle starts to watch an idle connection for data or a close by the upstream.
func (c *conn) watchIdle(now time.Time) {
	c.idleSince = now
	c.watchDone = make(chan struct{})
	_ = c.raw.SetDeadline(time.Time{})
	go func() {
		defer close(c.watchDone)
		_, err := c.reader.Peek(1)
		// Unsolicited data makes the connection as unusable as a close. Only
		// the deadline set by stopWatch leaves it usable.
		c.unusable = !errors.Is(err, os.ErrDeadlineExceeded)
	}()
}

// stopWatch ends the watch and reports whether the connection is usable. A process that lags
// may not have noticed yet what the upstream has sent, or that it has closed the connection.
func (c *conn) stopWatch() bool {
	_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	<-c.watchDone
	_ = c.raw.SetReadDeadline(time.Time{})
	return !c.unusable && !socket.IsReadable(c.raw)
}
