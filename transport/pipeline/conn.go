// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/internal/socket"
)

const (
	// hangUpInterval is the interval at which a connection is checked for its end while no
	// more of it may be read.
	hangUpInterval = 100 * time.Millisecond
	// lingerTimeout is how long a connection is still read after its last response. If it
	// were closed with unread bytes, the client's system could drop the response.
	lingerTimeout = 500 * time.Millisecond
	// discardTimeout is the time for the rest of a body that the handler has not read.
	discardTimeout = 500 * time.Millisecond
	// drainHeaderTimeout is the time for the rest of a header while the connection drains.
	drainHeaderTimeout = time.Second
	// lateReadTimeout is the time to read what has arrived before a deadline.
	lateReadTimeout = 500 * time.Millisecond
	// maxLingerBytes bounds the bytes that are read for that.
	maxLingerBytes = 256 << 10
	// maxKeptHeadBuffer is the largest buffer for headers that an idle connection keeps.
	maxKeptHeadBuffer = 4 << 10
)

// errEnded is returned for reads from a connection that is not read any further.
var errEnded = errors.New("pipeline: the connection is not read any further")

// Reasons for the end of connections, as counted in metrics.
const (
	reasonClientLeft = "client-left"
	reasonMalformed  = "malformed"
	reasonStalled    = "stalled"
	reasonAborted    = "aborted"
	reasonEvicted    = "evicted"
	reasonRejected   = "rejected"
	// reasonUnread counts connections that this side closed with unread bytes.
	reasonUnread = "unread"
	// reasonNotBegun counts connections with a request that was read and did not begin,
	// since a response before it closed the connection.
	reasonNotBegun = "not-begun"
)

// phase is what the reading goroutine of a connection does.
type phase int

const (
	// phaseIdle waits for the first byte of a request.
	phaseIdle phase = iota
	phaseHeader
	// phaseBody waits until the handler has read the body.
	phaseBody
	// phaseTurn waits until the last request that was read may begin.
	phaseTurn
	// phaseWatch waits until no request is left.
	phaseWatch
)

// pastDeadline ends a pending read.
var pastDeadline = time.Unix(1, 0)

// conn is a connection of a client. Its serve method reads requests; each request has a
// goroutine of its own, which also sends the response.
type conn struct {
	server *Server
	nc     net.Conn
	in     *lookahead
	br     *bufio.Reader
	// bw is used by the goroutine of the first request in queue.
	bw      *bufio.Writer
	headBuf []byte
	ctx     context.Context
	cancel  context.CancelFunc
	// interrupted has a value after interruptRead.
	interrupted chan struct{}

	mu sync.Mutex
	// popped is notified whenever a request is removed from queue.
	popped sync.Cond
	// queue contains the requests that have begun and whose responses are not sent yet,
	// oldest first.
	queue []*response
	phase phase
	// deadline is the read deadline, and extended is set if extendDeadline has put it off.
	deadline time.Time
	extended bool
	// restsSince is when queue last became empty.
	restsSince time.Time
	// draining is set once the connection is to end after the requests that have arrived.
	draining bool
	// ended is set once no further request may begin. The response to the last one that has
	// begun tells the client, or the connection has none and nothing unread.
	ended bool
	// broken is set once nothing more can be sent.
	broken bool
	// lingers is set if the client may still send while the last response is on its way.
	lingers bool
	// held is the number of bytes of the responses that wait for their turn, and collected of
	// those that are kept until they are whole.
	held, collected int
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, nc: nc, interrupted: make(chan struct{}, 1), restsSince: time.Now()}
	c.in = &lookahead{source: nc, limit: s.cfg.ReadAhead, extend: c.extendDeadline}
	c.br = bufio.NewReader(c.in)
	c.bw = bufio.NewWriter(stallWriter{c})
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.popped.L = &c.mu
	return c
}

// serve reads requests until the connection ends, and returns once all that have begun are
// finished.
func (c *conn) serve() {
	defer c.close()
	for {
		req, err := c.nextRequest()
		if err != nil {
			c.endReading(err)
			break
		}
		if !c.begin(req) {
			break
		}
	}
	c.watch()
	c.awaitResponses()
}

// watch waits for the end of the last requests, or for that of the connection, which is not
// read any further otherwise.
func (c *conn) watch() {
	for c.enterWatch() {
		if err := c.readAhead(); err != nil {
			c.clientLeft()
			return
		}
	}
}

// enterWatch begins phaseWatch, and reports whether any request is left in queue.
func (c *conn) enterWatch() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseWatch
	c.setReadDeadline()
	return len(c.queue) > 0
}

// nextRequest reads the header of the next request.
func (c *conn) nextRequest() (*http.Request, error) {
	if err := c.awaitFirstByte(); err != nil {
		return nil, err
	}
	if !c.headIsBuffered() && !c.enter(phaseHeader) {
		return nil, errEnded
	}
	head, err := readHead(c.br, c.headBuf[:0], c.server.cfg.MaxHeaderBytes)
	if cap(head) <= maxKeptHeadBuffer {
		c.headBuf = head
	}
	if isTimeout(err) {
		err = &statusError{status: http.StatusRequestTimeout, reason: "the header is incomplete"}
	}
	if err != nil {
		return nil, err
	}
	return parseHead(head)
}

// awaitFirstByte waits for the first byte of the next request.
func (c *conn) awaitFirstByte() error {
	for {
		if !c.enter(phaseIdle) || c.isDrained() {
			return errEnded
		}
		_, err := c.br.Peek(1)
		if err == nil || !isTimeout(err) {
			return err
		}
		if c.idleTooLong() {
			return err
		}
	}
}

// isDrained reports, in phaseIdle, whether the connection is draining and nothing of the client
// is left to be read or answered.
func (c *conn) isDrained() bool {
	c.mu.Lock()
	drained := c.draining && len(c.queue) == 0
	c.mu.Unlock()
	return drained && c.br.Buffered() == 0 && c.in.empty() && !socket.IsReadable(c.nc)
}

// headIsBuffered reports whether the whole header has arrived with its first byte.
func (c *conn) headIsBuffered() bool {
	buffered, err := c.br.Peek(c.br.Buffered())
	return err == nil && bytes.Contains(bytes.TrimLeft(buffered, "\r\n"), []byte("\r\n\r\n"))
}

// enter begins a phase of reading, with its deadline, and reports whether the connection may
// still be read.
func (c *conn) enter(p phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.phase = p
	c.setReadDeadline()
	return true
}

// setReadDeadline sets the deadline of the current phase. While a client waits for each
// response, the deadline is set once per idle timeout: one that is reached too early only
// leads to another look at idleTooLong. mu is held.
func (c *conn) setReadDeadline() {
	switch c.phase {
	case phaseIdle:
		if c.draining {
			c.setDeadline(time.Time{}) // The end of the last response interrupts the read.
			return
		}
		if c.deadline.IsZero() || c.deadline.Equal(pastDeadline) {
			c.setDeadline(c.restsSince.Add(c.server.cfg.IdleTimeout))
		}
	case phaseHeader:
		timeout := c.server.cfg.HeaderTimeout
		if c.draining {
			timeout = min(timeout, drainHeaderTimeout)
		}
		c.setDeadline(time.Now().Add(timeout))
	case phaseBody, phaseTurn, phaseWatch:
		// The deadline of an earlier phase would end each read once it has passed.
		if !c.deadline.IsZero() {
			c.setDeadline(time.Time{})
		}
	}
}

// extendDeadline puts off the deadline of a header, or of the rest of a body, once if bytes lie
// unread: they may have arrived in time, and the process lags.
func (c *conn) extendDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	reads := c.phase == phaseHeader && !c.ended || c.phase == phaseBody
	if !reads || c.extended || !socket.IsReadable(c.nc) {
		return false
	}
	c.setDeadline(time.Now().Add(lateReadTimeout))
	c.extended = true
	return true
}

// setDeadline sets the read deadline, where the zero time means none. mu is held.
func (c *conn) setDeadline(t time.Time) {
	c.deadline, c.extended = t, false
	_ = c.nc.SetReadDeadline(t) // Fails only for a closed connection, as the read does.
}

// idleTooLong reports, after a read deadline in phaseIdle, whether the connection has been
// without requests for the idle timeout. If the process lags, bytes may have arrived by then
// that are not read yet.
func (c *conn) idleTooLong() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = pastDeadline
	if len(c.queue) > 0 || socket.IsReadable(c.nc) {
		c.restsSince = time.Now()
	}
	return time.Since(c.restsSince) >= c.server.cfg.IdleTimeout
}

// begin runs a request once its turn to begin has come. It returns false if the connection
// is not read any further.
func (c *conn) begin(req *http.Request) bool {
	r := newResponse(c, req)
	r.body = newBody(req, c.br, r.sendContinue)
	if expect := req.Header.Get("Expect"); expect != "" && !strings.EqualFold(expect, "100-continue") {
		c.reject(req, &statusError{status: http.StatusExpectationFailed, reason: "the expectation is unknown"})
		return false
	}
	// A response to HTTP/1.0 may have no length, so that only the end of the connection ends it.
	r.concurrent = r.body == nil && !req.Close && req.ProtoAtLeast(1, 1) && c.server.cfg.MaxDepth > 1 && c.server.cfg.Concurrent(req)
	if !c.awaitTurn(r) {
		c.noteNotBegun()
		return false
	}
	if r.body == nil {
		c.server.workers.run(r)
		return true
	}
	req.Body = r.body
	c.server.workers.run(r)
	<-r.body.released
	return true
}

// awaitTurn waits until a request may begin and adds it to queue. It returns false if the
// request must not begin, since the connection ends or the client has left.
func (c *conn) awaitTurn(r *response) bool {
	for {
		begins, ended := c.tryBegin(r)
		if begins || ended {
			return begins
		}
		if err := c.readAhead(); err != nil {
			c.clientLeft()
			return false
		}
	}
}

// tryBegin adds a request to queue if it may begin. Otherwise it prepares a wait: whatever
// changes queue ends a pending read then.
func (c *conn) tryBegin(r *response) (begins, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ended:
		return false, true
	case c.mayBegin(r):
		c.push(r)
		if c.phase = phaseBody; r.body != nil {
			c.setReadDeadline()
		}
		return true, false
	}
	c.phase = phaseTurn
	c.setReadDeadline()
	return false, false
}

// readAhead reads further bytes of the client, so that its leaving is noticed, until queue
// changes. It returns an error if the client has left.
func (c *conn) readAhead() error {
	if !c.in.full() {
		if err := c.in.readAhead(); err != nil && !isTimeout(err) {
			return err
		}
		return nil
	}
	timer := time.NewTimer(hangUpInterval)
	defer timer.Stop()
	select {
	case <-c.interrupted:
		return nil
	case <-timer.C:
	}
	if socket.HungUp(c.nc) {
		return io.EOF
	}
	return nil
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
