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
	// deadline is the read deadline.
	deadline time.Time
	// restsSince is when queue last became empty.
	restsSince time.Time
	// ended is set once no further request may begin.
	ended bool
	// broken is set once nothing more can be sent.
	broken bool
	// lingers is set if the client may still send while the last response is on its way.
	lingers bool
	// held is the number of bytes of the responses that wait for their turn.
	held int
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, nc: nc, in: &lookahead{source: nc, limit: s.cfg.ReadAhead}, interrupted: make(chan struct{}, 1), restsSince: time.Now()}
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
		if !c.enter(phaseIdle) {
			return errEnded
		}
		_, err := c.br.Peek(1)
		if err == nil || !isTimeout(err) || c.idleTooLong() {
			return err
		}
	}
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
		if c.deadline.IsZero() || c.deadline.Equal(pastDeadline) {
			c.setDeadline(c.restsSince.Add(c.server.cfg.IdleTimeout))
		}
	case phaseHeader:
		c.setDeadline(time.Now().Add(c.server.cfg.HeaderTimeout))
	case phaseBody, phaseTurn, phaseWatch:
		// The deadline of an earlier phase would end each read once it has passed.
		if !c.deadline.IsZero() {
			c.setDeadline(time.Time{})
		}
	}
}

// setDeadline sets the read deadline, where the zero time means none. mu is held.
func (c *conn) setDeadline(t time.Time) {
	c.deadline = t
	_ = c.nc.SetReadDeadline(t) // Fails only for a closed connection, as the read does.
}

// idleTooLong reports, after a read deadline in phaseIdle, whether the connection has been
// without requests for the idle timeout.
func (c *conn) idleTooLong() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = pastDeadline
	if len(c.queue) > 0 {
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

// mayBegin reports whether a request may begin now, and takes its unit of the shared limit
// if it begins behind others. mu is held.
func (c *conn) mayBegin(r *response) bool {
	n := len(c.queue)
	switch {
	case n == 0:
		return true
	case !r.concurrent || !c.queue[0].concurrent || n >= c.server.cfg.MaxDepth:
		return false
	}
	r.countsBehind = c.server.behind.take(n-1, 1)
	return r.countsBehind
}

// push adds a request to queue. mu is held.
func (c *conn) push(r *response) {
	r.position = Position{Ahead: len(c.queue), Waited: time.Since(r.receivedAt)}
	if len(c.queue) == 0 {
		r.turn = closedChannel
	} else {
		r.turn = make(chan struct{})
		c.server.cfg.Metrics.PipelinedRequest(len(c.queue))
	}
	r.ctx, r.cancel = context.WithCancel(context.WithValue(c.ctx, responseKey{}, r))
	c.queue = append(c.queue, r)
	c.ended = c.ended || r.req.Close
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
	if hungUp(c.nc) {
		return io.EOF
	}
	return nil
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

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

// run runs a request and sends its response when its turn has come.
func (c *conn) run(r *response) {
	completed := r.serve()
	r.cancel()
	heldSince := c.markReturned(r, completed)
	if !completed {
		c.cancelBehind(r)
	}
	<-r.turn
	sent := completed && r.finish() == nil
	if !sent && !c.isBroken() {
		_ = c.bw.Flush() // Responses before this one may still be buffered. The connection ends anyway.
	}
	if !completed && c.ctx.Err() == nil {
		c.server.cfg.Metrics.ConnectionEnded(reasonAborted)
	}
	if !sent {
		c.breakOff()
	}
	if r.body != nil {
		c.limitDiscard(r.body)
		if !r.body.finish(sent && !r.awaitsContinue()) {
			c.stopReadingBody() // Before the release: what follows is no request.
			r.body.release()
		}
	}
	if !heldSince.IsZero() {
		held := time.Since(heldSince)
		c.server.cfg.Metrics.ResponseHeld(held)
		if sent {
			r.onSent(held)
		}
	}
	c.pop(r)
}

// markReturned marks a response whose handler has returned. It returns the time if the turn
// of the response has not come yet, else the zero time.
func (c *conn) markReturned(r *response, completed bool) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.ready = completed
	if c.queue[0] == r {
		return time.Time{}
	}
	return time.Now()
}

// limitDiscard bounds the time for what is left of a body, which also ends a read of it that
// the handler has left pending.
func (c *conn) limitDiscard(b *body) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseBody && !b.isReleased() {
		c.setDeadline(time.Now().Add(discardTimeout))
	}
}

// nextIsReady reports whether the response behind the first one is complete, so that both
// can be sent together.
func (c *conn) nextIsReady() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 1 && c.queue[1].ready
}

// cancelBehind cancels the requests behind an aborted one, whose responses can't be sent.
func (c *conn) cancelBehind(r *response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
	behind := false
	for _, other := range c.queue {
		if behind {
			other.cancel()
		}
		behind = behind || other == r
	}
}

// pop removes the first request from queue and lets the next one send its response.
func (c *conn) pop(r *response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue[0] = nil
	if c.queue = c.queue[1:]; len(c.queue) > 0 {
		close(c.queue[0].turn)
	}
	if r.countsBehind {
		c.server.behind.release(1)
	}
	c.releaseHeld(r)
	c.popped.Broadcast()
	if len(c.queue) == 0 {
		c.restsSince = time.Now()
	}
	if c.phase == phaseTurn && !c.ended || c.phase == phaseWatch && len(c.queue) == 0 {
		c.interruptRead()
	}
}

// hold accounts for bytes of a response that waits for its turn, if the limits allow it.
func (c *conn) hold(r *response, n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held+n > c.server.cfg.MaxHeld || !c.server.held.take(c.held, n) {
		return false
	}
	c.held += n
	r.heldBytes += n
	c.server.cfg.Metrics.HeldBytes(c.server.held.inUse())
	return true
}

// releaseHeld returns what a response has taken by hold. mu is held.
func (c *conn) releaseHeld(r *response) {
	if r.heldBytes == 0 {
		return
	}
	c.held -= r.heldBytes
	c.server.held.release(r.heldBytes)
	r.heldBytes = 0
	c.server.cfg.Metrics.HeldBytes(c.server.held.inUse())
}

// closesWith reports whether a response, whose turn has come, is the last one of the
// connection. If closes is set, nothing further is read.
func (c *conn) closesWith(closes bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if closes {
		c.end()
	}
	last := c.ended && len(c.queue) == 1
	c.lingers = c.lingers || last
	return last
}

// stopReading reads no further request. Those that have begun are answered.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
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

// breakOff closes the connection at once, so that an incomplete response does not look
// complete.
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

// awaitResponses waits until no request is left in queue.
func (c *conn) awaitResponses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) > 0 {
		c.popped.Wait()
	}
}

// close closes the connection after its last response.
func (c *conn) close() {
	c.mu.Lock()
	lingers := c.lingers && !c.broken
	c.mu.Unlock()
	c.cancel()
	if half, ok := c.nc.(interface{ CloseWrite() error }); ok && lingers && half.CloseWrite() == nil {
		_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))          // Fails only for a closed connection.
		_, _ = io.Copy(io.Discard, io.LimitReader(c.nc, maxLingerBytes)) // Any error ends the lingering.
	}
	_ = c.nc.Close() // There is nothing left to be lost.
}

// maxWrite is the number of bytes that must be accepted within the stall timeout.
const maxWrite = 32 << 10

// stallWriter writes to the connection and breaks it off if the client accepts nothing.
type stallWriter struct{ c *conn }

// Write implements io.Writer.
func (w stallWriter) Write(p []byte) (int, error) {
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
