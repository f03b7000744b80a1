// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// pool holds the connections to one address.
type pool struct {
	mu        sync.Mutex
	openCount int
	// total counts the connections of all pools.
	total *atomic.Int64
	// newestStart is the greatest Worker.Start seen for the address.
	newestStart uint64
	idle        []*conn // in order of use, most recent last
}

// closeOlderThan closes all idle connections if start is that of a newer process
// than any seen before.
func (p *pool) closeOlderThan(start uint64) {
	p.mu.Lock()
	var earlier []*conn
	if start > p.newestStart {
		p.newestStart, earlier, p.idle = start, p.idle, nil
	}
	p.mu.Unlock()
	for _, c := range earlier {
		c.close()
	}
}

// popIdle removes and returns the most recently used idle connection, or nil if
// it has been idle for idleLimit or longer. Expired connections are closed.
func (p *pool) popIdle(idleLimit time.Duration, now time.Time) *conn {
	p.mu.Lock()
	expired := p.popExpired(now)
	var found *conn
	if n := len(p.idle); n > 0 && now.Sub(p.idle[n-1].idleSince) < idleLimit {
		found = p.idle[n-1]
		p.idle = p.idle[:n-1]
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
	return found
}

// popExpired removes and returns the connections whose idle timeout has passed.
// Only the front is checked, since connections are in order of use. The caller
// holds p.mu.
func (p *pool) popExpired(now time.Time) []*conn {
	n := 0
	for n < len(p.idle) && now.Sub(p.idle[n].idleSince) >= p.idle[n].idleTimeout {
		n++
	}
	expired := slices.Clone(p.idle[:n])
	p.idle = p.idle[n:]
	return expired
}

// reserve counts a new connection, for this pool only, and reports whether the limit
// allows it. At the limit it closes the least recently used idle connection to make room.
func (p *pool) reserve(limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && p.openCount >= limit {
		if len(p.idle) == 0 {
			return false
		}
		oldest := p.idle[0]
		p.idle = p.idle[1:]
		p.openCount--
		p.total.Add(-1)
		oldest.pool = nil
		oldest.close()
	}
	p.openCount++
	return true
}

// releaseUnopened undoes reserve.
func (p *pool) releaseUnopened() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openCount--
}

// release undoes the reserve of the pool and that of the client.
func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openCount--
	p.total.Add(-1)
}

// putIdle returns a connection to the pool after a complete exchange. It closes
// the connection if the pool is full or a newer process serves at the address.
func (p *pool) putIdle(c *conn, now time.Time) {
	c.watchIdle(now)
	p.mu.Lock()
	if len(p.idle) < maxIdleConns && c.processStart >= p.newestStart {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	c.close()
}
