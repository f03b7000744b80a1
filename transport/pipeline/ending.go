// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/internal/socket"
)

// endReading is called with the error that ended the reading of requests.
func (c *conn) endReading(err error) {
	var status *statusError
	switch {
	case errors.Is(err, errEnded), isTimeout(err):
		c.stopReading()
	case errors.As(err, &status):
		c.reject(&http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody}, status)
	default:
		c.clientLeft()
	}
}

// reject answers a request that no handler sees, after those before it, and ends the
// connection.
func (c *conn) reject(req *http.Request, cause *statusError) {
	r := newResponse(c, req)
	r.rejection = cause
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return
	}
	if n := len(c.queue); n > 0 && !c.queue[n-1].req.ProtoAtLeast(1, 1) {
		c.end() // Its response may have no length, so that nothing can follow it.
		c.mu.Unlock()
		return
	}
	c.push(r)
	c.ended, c.lingers = true, true
	c.mu.Unlock()
	c.server.cfg.Metrics.ConnectionEnded(reasonMalformed)
	c.server.workers.run(r)
}

// stopReading reads no further request. Those that have begun are answered.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
}

// drain ends the connection without the loss of a request: as soon as nothing of the client is
// left unread and the last response has told the client of the end, if there is one. What else
// the client sends ahead of that response is not begun.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.draining {
		return
	}
	c.draining = true
	if n := len(c.queue); n > 0 && !c.queue[n-1].keptOpen {
		c.end()
		return
	}
	switch c.phase {
	case phaseIdle:
		c.interruptRead()
	case phaseHeader:
		c.setReadDeadline()
	case phaseBody, phaseTurn, phaseWatch:
		// The request that is read next finds that the connection drains.
	}
}

// stopReadingBody is stopReading for a client that may still send a body.
func (c *conn) stopReadingBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
	c.lingers = true
}

// end lets no further request begin, and ends a pending read unless it is of a body. mu is
// held.
func (c *conn) end() {
	if c.ended {
		return
	}
	c.ended = true
	if c.phase != phaseBody {
		c.interruptRead()
	}
}

// interruptRead ends a pending read, or the wait that replaces it while no more may be read
// ahead. mu is held.
func (c *conn) interruptRead() {
	c.setDeadline(pastDeadline)
	select {
	case c.interrupted <- struct{}{}:
	default:
	}
}

// clientLeft cancels the requests of a client that has closed its connection. Responses
// that are complete are still sent.
func (c *conn) clientLeft() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
	if len(c.queue) > 0 && c.ctx.Err() == nil {
		c.server.cfg.Metrics.ConnectionEnded(reasonClientLeft)
	}
	c.cancel()
}

// endAfterIncomplete ends the connection after a response that could not be sent whole.
// Those before it may still be buffered, here or in the system.
func (c *conn) endAfterIncomplete(r *response) {
	if r.endsWithConnection() {
		if tcp, ok := c.nc.(interface{ SetLinger(sec int) error }); ok {
			_ = tcp.SetLinger(0) // Fails only for a closed connection.
		}
		c.breakOff()
		return
	}
	_ = c.bw.Flush() // An error breaks off the connection.
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
	c.broken, c.lingers = true, true
	c.cancel()
}

// breakOff closes the connection at once.
func (c *conn) breakOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
	c.broken = true
	c.cancel()
	_ = c.nc.Close() // Whether it was closed before does not matter.
}

func (c *conn) isBroken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

// close closes the connection after its last response.
func (c *conn) close() {
	c.mu.Lock()
	lingers := c.lingers
	c.mu.Unlock()
	c.noteUnread()
	c.cancel()
	if half, ok := c.nc.(interface{ CloseWrite() error }); ok && lingers && half.CloseWrite() == nil {
		_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))          // Fails only for a closed connection.
		_, _ = io.Copy(io.Discard, io.LimitReader(c.nc, maxLingerBytes)) // Any error ends the lingering.
	}
	_ = c.nc.Close() // There is nothing left to be lost.
}

// noteUnread counts a connection that is about to be closed with unread bytes, unless its
// client has left.
func (c *conn) noteUnread() {
	if c.ctx.Err() != nil || !socket.IsReadable(c.nc) || socket.HungUp(c.nc) {
		return
	}
	c.server.cfg.Metrics.ConnectionEnded(reasonUnread)
	if c.server.stopping.Load() {
		c.server.cfg.Log.Info("pipeline: connection closed with unread bytes", "client", c.nc.RemoteAddr().String())
	}
}

// noteNotBegun counts a request that was read and does not begin, unless its client has left.
func (c *conn) noteNotBegun() {
	if c.ctx.Err() == nil {
		c.server.cfg.Metrics.ConnectionEnded(reasonNotBegun)
	}
}

// maxWrite is the number of bytes that must be accepted within the stall timeout.
const maxWrite = 32 << 10

// stallWriter writes to the connection and breaks it off if the client accepts nothing.
type stallWriter struct{ c *conn }

// Write implements io.Writer. After an incomplete response it writes nothing: the client
// would take the bytes of a later response, whose handler may still run, for the missing ones.
func (w stallWriter) Write(p []byte) (int, error) {
	if w.c.isBroken() {
		return 0, errNotSent
	}
	written := 0
	for written < len(p) {
		part := p[written:min(written+maxWrite, len(p))]
		_ = w.c.nc.SetWriteDeadline(time.Now().Add(w.c.server.cfg.StallTimeout)) // Fails only for a closed connection.
		n, err := w.c.nc.Write(part)
		if written += n; err != nil {
			if isTimeout(err) {
				w.c.server.cfg.Metrics.ConnectionEnded(reasonStalled)
			}
			w.c.breakOff()
			return written, err
		}
	}
	return written, nil
}
