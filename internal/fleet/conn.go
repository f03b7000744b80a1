// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// pieceBytes and maxPieces bound what is on its way in one direction.
	pieceBytes = 16 << 10
	maxPieces  = 256
	// longestDrain bounds how long a closed connection still sends: an end
	// that reads nothing must not keep the other one from closing.
	longestDrain = time.Second
)

// conn delays what passes in both directions, keeping its order.
type conn struct {
	net.Conn
	network  *Network
	from, to string
	delay    time.Duration
	done     chan struct{}
	once     sync.Once

	out   chan piece
	in    chan piece
	ready chan piece // pieces whose time has come

	mu       sync.Mutex
	rest     []byte
	readErr  error
	deadline time.Time
	moved    chan struct{} // closed when the read deadline moves
}

type piece struct {
	data []byte
	due  time.Time
	err  error
}

func newConn(raw net.Conn, n *Network, from, to string, delay time.Duration) *conn {
	c := &conn{
		Conn: raw, network: n, from: from, to: to, delay: delay,
		done: make(chan struct{}), out: make(chan piece, maxPieces), in: make(chan piece, maxPieces),
		ready: make(chan piece), moved: make(chan struct{}),
	}
	go c.sendLoop()
	go c.deliverLoop()
	go c.receiveLoop()
	return c
}

func (c *conn) sendLoop() {
	for {
		select {
		case p := <-c.out:
			if !c.wait(p.due) {
				return
			}
			c.network.count(c.from, c.to, len(p.data))
			if _, err := c.Conn.Write(p.data); err != nil {
				_ = c.Close()
				return
			}
		case <-c.done:
			return
		}
	}
}

// wait passes the time until a piece is due, and then any cut.
func (c *conn) wait(due time.Time) bool {
	if d := time.Until(due); d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-c.done:
			return false
		}
	}
	return c.network.passable(c.from, c.to, c.done)
}

func (c *conn) receiveLoop() {
	for {
		buffer := make([]byte, pieceBytes)
		n, err := c.Conn.Read(buffer)
		c.network.count(c.from, c.to, n)
		p := piece{data: buffer[:n], due: time.Now().Add(c.delay), err: err}
		select {
		case c.in <- p:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
	}
}

func (c *conn) deliverLoop() {
	for {
		select {
		case p := <-c.in:
			if !c.wait(p.due) {
				return
			}
			select {
			case c.ready <- p:
			case <-c.done:
				return
			}
		case <-c.done:
			return
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	sent := 0
	for sent < len(b) {
		part := append([]byte(nil), b[sent:min(sent+pieceBytes, len(b))]...)
		select {
		case c.out <- piece{data: part, due: time.Now().Add(c.delay)}:
			sent += len(part)
		case <-c.done:
			return sent, net.ErrClosed
		}
	}
	return sent, nil
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	for {
		c.mu.Lock()
		if len(c.rest) > 0 {
			n := copy(b, c.rest)
			c.rest = c.rest[n:]
			c.mu.Unlock()
			return n, nil
		}
		err, deadline, moved := c.readErr, c.deadline, c.moved
		c.mu.Unlock()
		if err != nil {
			return 0, err
		}
		if err := c.fill(deadline, moved); err != nil {
			return 0, err
		}
	}
}

// fill waits for the next piece, the deadline, or a change of the deadline.
func (c *conn) fill(deadline time.Time, moved chan struct{}) error {
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case p := <-c.ready:
		c.mu.Lock()
		c.rest, c.readErr = p.data, p.err
		c.mu.Unlock()
		return nil
	case <-moved:
		return nil
	case <-expired:
		return os.ErrDeadlineExceeded
	case <-c.done:
		return io.EOF
	}
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	close(c.moved)
	c.moved = make(chan struct{})
	return nil
}

// SetDeadline implements net.Conn. Writes are never blocked for long, so only
// reads heed it.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// Close implements net.Conn. What is on its way out still arrives, as it does
// in TCP, unless a cut holds it up.
func (c *conn) Close() error {
	c.once.Do(func() {
		go func() {
			for end := time.Now().Add(longestDrain); len(c.out) > 0 && time.Now().Before(end); {
				time.Sleep(c.delay/2 + time.Millisecond)
				if c.network.isCut(c.from, c.to) {
					break
				}
			}
			close(c.done)
			_ = c.Conn.Close()
		}()
	})
	return nil
}

func (n *Network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[pair(a, b)]
}
