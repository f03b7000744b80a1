// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// errAllInUse reports that all connections that Config.MaxOpen allows are in use.
var errAllInUse = errors.New("all connections are in use")

// isExhausted reports whether an error of a dial shows that this machine lacks
// descriptors, ports or memory, which says nothing of the upstream.
func isExhausted(err error) bool {
	for _, code := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, code) {
			return true
		}
	}
	return false
}

// OpenConnections returns the number of connections to all upstreams, including those that
// are being established.
func (c *Client) OpenConnections() int { return int(c.openConns.Load()) }

// reserve counts a new connection to any upstream, and closes idle ones until Config.MaxOpen
// allows it. It returns false if all are in use. A connection that is refused is not counted
// meanwhile, so that it takes the room of no other.
func (c *Client) reserve() bool {
	limit := int64(c.cfg.MaxOpen)
	for {
		n := c.openConns.Load()
		switch {
		case limit <= 0 || n < limit:
			if c.openConns.CompareAndSwap(n, n+1) {
				return true
			}
		case !c.closeOldestIdle() && c.openConns.Load() >= limit:
			return false
		}
	}
}

// dial opens a connection. If this machine lacks what that takes, it closes an idle
// connection and tries once more.
func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	raw, err := c.cfg.Dial(ctx, address)
	if err != nil && isExhausted(err) && c.closeOldestIdle() {
		raw, err = c.cfg.Dial(ctx, address)
	}
	return raw, err
}

// closeOldestIdle closes the least recently used idle connection to any upstream. It
// returns false if there is none.
func (c *Client) closeOldestIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var oldest *conn
	var from *pool
	var since time.Time
	for _, p := range c.pools {
		p.mu.Lock()
		if len(p.idle) > 0 && (oldest == nil || p.idle[0].idleSince.Before(since)) {
			oldest, from, since = p.idle[0], p, p.idle[0].idleSince
		}
		p.mu.Unlock()
	}
	if oldest == nil {
		return false
	}
	from.mu.Lock()
	// It may have been taken for a request meanwhile.
	found := len(from.idle) > 0 && from.idle[0] == oldest
	if found {
		from.idle = from.idle[1:]
	}
	from.mu.Unlock()
	if found {
		oldest.close()
	}
	return true
}
