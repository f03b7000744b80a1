// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ryehill/ryehill/protocol/httpcheck"
)

// Request describes a request to an upstream.
type Request struct {
	Method string
	// Target is the request target: path and query.
	Target string
	Host   string
	Header http.Header
	// Body is read once, to its end. Nil means no body.
	Body io.Reader
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int64
	// ResponseHeaderTimeout limits the time from the end of sending to the response header.
	// 0 means no limit.
	ResponseHeaderTimeout time.Duration
	// AtMostOnce is set for a request that must not be run more than once.
	AtMostOnce bool
	// ReuseOnly is set if no new connection may be opened.
	ReuseOnly bool
}

// Response is the response of an upstream. Close must be called.
type Response struct {
	reconnected bool
	opened      time.Time
	status      int
	header      http.Header
	length      int64
	body        io.ReadCloser
}

// Status returns the HTTP status.
func (r *Response) Status() int { return r.status }

// Reconnected reports whether a new connection was opened because the upstream had
// closed every idle connection that could have been reused.
func (r *Response) Reconnected() bool { return r.reconnected }

// ConnectionOpened returns when the connection of the exchange was opened.
func (r *Response) ConnectionOpened() time.Time { return r.opened }

// Header returns the header fields.
func (r *Response) Header() http.Header { return r.header }

// Length returns the length of the body in bytes, or -1 if unknown.
func (r *Response) Length() int64 { return r.length }

// Body returns the body. It ends with io.EOF only if it is complete.
func (r *Response) Body() io.Reader { return r.body }

// Close ends the exchange. The connection is reused only if the body was read to
// its end and the request was sent completely.
func (r *Response) Close() { _ = r.body.Close() }

// exchange is one request and its response on one connection.
type exchange struct {
	client  *Client
	conn    *conn
	worker  Worker
	req     *Request
	begunAt time.Time
	// deadline is that of the context, zero if it has none.
	deadline time.Time
	// writeStarted is set before the first byte is written to the connection.
	writeStarted atomic.Bool
	sendDone     chan struct{}
	sendErr      error
	bodyErr      error
	// stopMu is held while stopped and the deadline of writes change together.
	stopMu  sync.Mutex
	stopped atomic.Bool
	// writing is held during each write to the connection, and guards writeErr, the error of
	// the last one.
	writing       sync.Mutex
	writeErr      error
	detachContext func() bool
	silence       *silenceWatch // nil if there is none
}

// Do sends a request and returns the response once its header has been read.
// Every error is an *Error. Canceling ctx at any time, even while the response
// body is read, closes the connection, so that the upstream can stop its work.
func (c *Client) Do(ctx context.Context, w Worker, req *Request) (*Response, error) {
	conn, err := c.connect(ctx, w, req)
	if err != nil {
		return nil, err
	}
	x := &exchange{client: c, conn: conn, worker: w, req: req, begunAt: c.cfg.Now(), sendDone: make(chan struct{})}
	x.deadline, _ = ctx.Deadline()
	x.detachContext = context.AfterFunc(ctx, conn.abort)
	x.startSilenceWatch()
	go x.send()
	res, err := x.readHead() //nolint:bodyclose // Response.Close ends the exchange with its connection.
	if err != nil {
		return nil, x.abortWithError(ctx, err)
	}
	c.cfg.Observer.Responded(w, conn.opened)
	if refused := x.refusal(res); refused != nil {
		x.releaseRefused(res)
		return nil, refused
	}
	x.conn.applyKeepAlive(res.Header.Get("Keep-Alive"))
	return x.response(res)
}

func (x *exchange) abortWithError(ctx context.Context, err error) error {
	x.conn.abort()
	x.release(false)
	<-x.sendDone
	err = x.failureCause(err)
	e := &Error{kind: KindBroken, reconnected: x.conn.reconnected, notRun: !x.writeStarted.Load(), step: "read head", worker: x.worker.ID, cause: err}
	switch {
	case x.bodyErr != nil:
		e.kind, e.step, e.cause = KindRequestBody, "read the caller's body", x.bodyErr
	case ctx.Err() != nil:
		e.cause = ctx.Err()
	case x.sendErr != nil:
		e.step = "send"
		e.peerClosed = !e.notRun && isPeerClosed(err)
	default:
		e.peerClosed = isPeerClosed(err)
	}
	x.observeFailure(ctx, err)
	return e
}

// unansweredAfter is how long a worker must not have answered for Observer.Unanswered.
const unansweredAfter = 800 * time.Millisecond

// observeFailure tells the observer of an exchange that ended before the response header.
func (x *exchange) observeFailure(ctx context.Context, err error) {
	switch {
	case x.bodyErr != nil:
	case ctx.Err() == nil && isConnectionFailure(err):
		x.client.cfg.Observer.Broken(x.worker, x.begunAt, err)
	case ctx.Err() != nil && x.client.cfg.Now().Sub(x.begunAt) >= unansweredAfter:
		x.client.cfg.Observer.Unanswered(x.worker)
	}
}

// isPeerClosed reports whether a connection failed because the peer closed or
// reset it.
func isPeerClosed(err error) bool {
	return errors.Is(err, errClosed) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// progressDeadline returns when the write or read that begins now fails. A worker that pauses is
// not broken off before the deadline of the request.
func (x *exchange) progressDeadline() time.Time {
	due := time.Now().Add(x.client.cfg.ProgressTimeout)
	if x.deadline.After(due) {
		return x.deadline
	}
	return due
}

// failureCause returns why the connection failed, given the error of a read. An error of a
// socket is reported once: if a write got it, a read sees the end of the stream, as if the
// upstream had closed the connection.
func (x *exchange) failureCause(readErr error) error {
	switch {
	case x.silence.found():
		return errPeerSilent
	case x.sendEnded() && isConnectionFailure(x.sendErr) && !isPeerClosed(x.sendErr):
		return x.sendErr
	}
	return readErr
}

// endOfStream returns io.EOF if the upstream has closed the connection in order, else the error
// with which it ended. A write that got the error of a reset leaves a read the end of the stream.
func (x *exchange) endOfStream() error {
	err := x.stopSending()
	// The system reports EPIPE first if the upstream had closed in order before the reset.
	if isConnectionFailure(err) && !errors.Is(err, syscall.EPIPE) {
		return err
	}
	return io.EOF
}

// sendEnded reports whether send has returned.
func (x *exchange) sendEnded() bool {
	select {
	case <-x.sendDone:
		return true
	default:
		return false
	}
}

func (x *exchange) release(reuse bool) {
	x.stopped.Store(true)
	x.silence.stop()
	if x.detachContext() && reuse && !x.silence.found() {
		x.conn.pool.putIdle(x.conn, x.client.cfg.Now())
		return
	}
	x.conn.close()
}

// refusal returns an error if the response declares that the request was not
// run, else nil.
func (x *exchange) refusal(res *http.Response) *Error {
	kind, ok := x.client.cfg.Dialect.Refused(res)
	if !ok {
		return nil
	}
	return &Error{kind: kind, notRun: true, step: "upstream's answer", worker: x.worker.ID, header: res.Header, status: res.StatusCode}
}

func (x *exchange) response(res *http.Response) (*Response, error) {
	closeDelimited := res.ContentLength < 0 && len(res.TransferEncoding) == 0 && res.Body != http.NoBody
	if closeDelimited && !x.client.cfg.Dialect.AllowsCloseDelimited() {
		x.release(false)
		return nil, &Error{kind: KindBroken, step: "answer has neither length nor chunks", worker: x.worker.ID}
	}
	body := &responseBody{exchange: x, source: res, closeDelimited: closeDelimited, reusable: !res.Close && !closeDelimited}
	reconnected := x.conn.reconnected
	x.conn.reconnected = false
	return &Response{reconnected: reconnected, opened: x.conn.opened, status: res.StatusCode, header: res.Header, length: res.ContentLength, body: body}, nil
}

// releaseRefused ends an exchange that the upstream refused. The connection is
// reused if both sides completed the exchange.
func (x *exchange) releaseRefused(res *http.Response) {
	// A 421 response does not identify its request, so a late duplicate of it
	// could be taken for the response to the next request.
	unmatched := !x.client.cfg.Dialect.MatchesRequest(x.req, res) || res.StatusCode == http.StatusMisdirectedRequest
	reuse := !unmatched && x.fullySent() && !res.Close && x.discardRefusal(res) == nil && x.conn.reader.Buffered() == 0
	x.conn.applyKeepAlive(res.Header.Get("Keep-Alive"))
	x.release(reuse)
}

// discardTimeout is the time for the rest of a refusal. The request may go to another worker
// meanwhile, so the connection is given up instead.
const discardTimeout = 50 * time.Millisecond

// discardRefusal is discardResponse with a limit of time. The request must have been sent
// completely, as send sets the same deadline.
func (x *exchange) discardRefusal(res *http.Response) error {
	_ = x.conn.raw.SetReadDeadline(time.Now().Add(discardTimeout)) // Fails only for a closed connection.
	return discardResponse(res)
}

// fullySent reports whether the request was sent completely. The response can
// arrive before send has returned, so it waits briefly for that.
func (x *exchange) fullySent() bool {
	const grace = 5 * time.Millisecond
	select {
	case <-x.sendDone:
		return x.sendErr == nil
	case <-time.After(grace):
		return false
	}
}

// responseBody is the body of a response. Closing it releases the connection.
type responseBody struct {
	exchange *exchange
	source   *http.Response
	// closeDelimited is set if the end of the connection ends the body.
	closeDelimited bool
	reusable       bool
	complete       bool
	closeOnce      sync.Once
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	_ = b.exchange.conn.raw.SetReadDeadline(b.exchange.progressDeadline())
	n, err := b.source.Body.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.end()
	}
	switch {
	case errors.Is(err, io.EOF):
		b.complete = true
	case err != nil:
		err = b.exchange.failureCause(err)
		if isConnectionFailure(err) || errors.Is(err, io.ErrUnexpectedEOF) {
			b.exchange.client.cfg.Observer.Broken(b.exchange.worker, b.exchange.begunAt, err)
		}
		err = &Error{kind: KindBroken, step: "read body", worker: b.exchange.worker.ID, cause: err}
	}
	return n, err
}

// end returns io.EOF if a body that was read to its end is complete, else why it is not.
func (b *responseBody) end() error {
	if b.closeDelimited {
		return b.exchange.endOfStream()
	}
	if err := httpcheck.Fields(b.source.Trailer); err != nil {
		return err
	}
	return io.EOF
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	b.closeOnce.Do(func() {
		reuse := b.reusable && b.complete && b.exchange.fullySent()
		b.exchange.release(reuse && b.exchange.conn.reader.Buffered() == 0)
	})
	return nil
}
