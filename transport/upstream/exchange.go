// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Request is one request to an upstream.
type Request struct {
	Method string
	// Target is path and query.
	Target string
	Host   string
	Header http.Header
	// Body is read once, to its end; nil is no body.
	Body io.Reader
	// Length of the body in bytes, or -1 if unknown.
	Length int64
	// HeadBy is how long the head of the answer may take after the last byte
	// of the body was sent.
	HeadBy time.Duration
	// Once is set for a request that may not be repeated.
	Once bool
}

// Answer is the answer of an upstream. Close must be called.
type Answer struct {
	renewed bool
	opened  time.Time
	status  int
	header  http.Header
	length  int64
	body    *answerBody
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.status }

// Renewed reports whether the upstream had closed all kept connections that were good
// still, so that a new one was opened.
func (a *Answer) Renewed() bool { return a.renewed }

// Opened returns when the connection was opened over which the answer came.
func (a *Answer) Opened() time.Time { return a.opened }

// Header returns the header fields.
func (a *Answer) Header() http.Header { return a.header }

// Length returns the length of the body in bytes, or -1 if unknown.
func (a *Answer) Length() int64 { return a.length }

// Body returns the body. It ends with io.EOF only if it is complete.
func (a *Answer) Body() io.Reader { return a.body }

// Close ends the exchange. The connection is kept only if the body was read to
// its end and the request had been sent in full.
func (a *Answer) Close() { a.body.close() }

// exchange is one request on one connection.
type exchange struct {
	client *Client
	conn   *conn
	worker Worker
	req    *Request
	// given is set once the first byte was handed to the connection.
	given    atomic.Bool
	sendDone chan struct{}
	sendErr  error
	bodyErr  error
	stopped  atomic.Bool
	detach   func() bool
}

// Do sends a request and returns the answer once its head has come. Every
// error is an *Error. Ending ctx at any time, also while the answer's body is
// read, closes the connection, by which the upstream learns of it.
func (c *Client) Do(ctx context.Context, w Worker, req *Request) (*Answer, error) {
	conn, err := c.connect(ctx, w, req.Once)
	if err != nil {
		return nil, err
	}
	x := &exchange{client: c, conn: conn, worker: w, req: req, sendDone: make(chan struct{})}
	x.detach = context.AfterFunc(ctx, conn.abandon)
	go x.send()
	res, err := x.readHead() //nolint:bodyclose // Answer.Close ends the exchange with its connection.
	if err != nil {
		return nil, x.fail(ctx, err)
	}
	if refusal := x.refused(res); refusal != nil {
		x.endRefused(res)
		return nil, refusal
	}
	x.conn.announced(res.Header.Get("Keep-Alive"))
	return x.answer(res)
}

func (x *exchange) fail(ctx context.Context, err error) error {
	x.conn.abandon()
	x.end(false)
	<-x.sendDone
	e := &Error{kind: KindBroken, renewed: x.conn.renewed, notRun: !x.given.Load(), step: "read head", worker: x.worker.ID, cause: err}
	switch {
	case x.bodyErr != nil:
		e.kind, e.step, e.cause = KindBody, "read the caller's body", x.bodyErr
	case ctx.Err() != nil:
		e.cause = ctx.Err()
	case x.sendErr != nil:
		e.step = "send"
		e.hungUp = !e.notRun && hungUp(err)
	default:
		e.hungUp = hungUp(err)
	}
	return e
}

// hungUp reports whether a connection failed because the other side ended it.
func hungUp(err error) bool {
	return errors.Is(err, errClosed) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func (x *exchange) end(keep bool) {
	x.stopped.Store(true)
	if x.detach() && keep {
		x.conn.pool.keep(x.conn, x.client.cfg.Now())
		return
	}
	x.conn.close()
}

// refused returns an error for an upstream's word that it did not run the
// request.
func (x *exchange) refused(res *http.Response) *Error {
	kind, ok := x.client.cfg.Dialect.Refused(res)
	if !ok {
		return nil
	}
	return &Error{kind: kind, notRun: true, step: "upstream's answer", worker: x.worker.ID, header: res.Header, status: res.StatusCode}
}

func (x *exchange) answer(res *http.Response) (*Answer, error) {
	lengthless := res.ContentLength < 0 && len(res.TransferEncoding) == 0 && res.Body != http.NoBody
	if lengthless && !x.client.cfg.Dialect.WithoutLength() {
		x.end(false)
		return nil, &Error{kind: KindBroken, step: "answer has neither length nor chunks", worker: x.worker.ID}
	}
	body := &answerBody{exchange: x, in: res.Body, keep: !res.Close && !lengthless}
	renewed := x.conn.renewed
	x.conn.renewed = false
	return &Answer{renewed: renewed, opened: x.conn.opened, status: res.StatusCode, header: res.Header, length: res.ContentLength, body: body}, nil
}

// readHead reads up to the final head, passing over informational ones and, on
// a connection that was used before, over late answers to earlier requests.
func (x *exchange) readHead() (*http.Response, error) {
	late := 0
	for {
		res, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.req.Method})
		if err != nil {
			if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
				err = errClosed
			}
			return nil, err
		}
		if res.StatusCode < http.StatusOK && res.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if x.client.cfg.Dialect.Belongs(x.req, res) {
			return res, nil
		}
		late++
		if late > maxLate || passOver(res) != nil {
			return nil, errForeign
		}
	}
}

// maxLate bounds the late answers that are passed over before one's own.
const maxLate = 2

// maxDiscard bounds, in bytes, what is read of a body that nobody wants.
const maxDiscard = 64 << 10

var errForeign = errors.New("the answer belongs to another request")

// passOver reads an answer that belongs to another request to its end.
func passOver(res *http.Response) error {
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return errForeign
	}
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxDiscard))
	if err == nil && n == maxDiscard {
		return errForeign
	}
	return err
}

// endRefused ends an exchange that the upstream refused. The connection is kept
// if both sides ended in full.
func (x *exchange) endRefused(res *http.Response) {
	// An answer that another worker has the address bears no sign of the
	// request it belongs to, so no other request may wait behind it.
	nameless := !x.client.cfg.Dialect.Belongs(x.req, res) || res.StatusCode == http.StatusMisdirectedRequest
	keep := !nameless && x.sent() && !res.Close && passOver(res) == nil && x.conn.reader.Buffered() == 0
	x.conn.announced(res.Header.Get("Keep-Alive"))
	x.end(keep)
}

// sent reports whether the request was sent in full. An answer can be here
// before the sender has noticed that its last write is done, so that gets a
// moment.
func (x *exchange) sent() bool {
	const moment = 5 * time.Millisecond
	select {
	case <-x.sendDone:
		return x.sendErr == nil
	case <-time.After(moment):
		return false
	}
}

// send writes the request. It runs beside readHead, since an upstream may
// answer before it has read the whole body.
func (x *exchange) send() {
	defer close(x.sendDone)
	out := bufio.NewWriterSize(&givenWriter{x}, 32<<10)
	err := x.writeHead(out)
	if err == nil && x.req.Body != nil {
		err = x.writeBody(out)
	}
	if err == nil {
		err = out.Flush()
	}
	x.sendErr = err
	if err != nil && !x.stopped.Load() {
		if x.bodyErr != nil || !x.given.Load() {
			x.conn.close() // Nothing can come back; wake readHead.
			return
		}
		// The upstream may have answered early and closed: let readHead see.
		_ = x.conn.raw.SetReadDeadline(time.Now().Add(time.Second))
		return
	}
	if x.req.HeadBy > 0 && !x.stopped.Load() {
		_ = x.conn.raw.SetReadDeadline(time.Now().Add(x.req.HeadBy))
	}
}

func (x *exchange) writeHead(out *bufio.Writer) error {
	r := x.req
	_, _ = out.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(out); err != nil {
		return err
	}
	switch {
	case r.Body != nil && r.Length < 0:
		_, _ = out.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Body != nil || r.Method == http.MethodPost || r.Method == http.MethodPut:
		_, _ = out.WriteString("Content-Length: " + strconv.FormatInt(max(r.Length, 0), 10) + "\r\n")
	}
	_, err := out.WriteString("\r\n")
	return err
}

func (x *exchange) writeBody(out *bufio.Writer) error {
	// The head goes out at once: the upstream may refuse before the body.
	if x.req.Length < 0 || x.req.Length > int64(out.Available()) {
		if err := out.Flush(); err != nil {
			return err
		}
	}
	var to io.Writer = out
	var chunked io.WriteCloser
	if x.req.Length < 0 {
		chunked = httputil.NewChunkedWriter(out)
		to = chunked
	}
	n, err := io.Copy(to, &bodyReader{x})
	if err == nil && x.req.Length >= 0 && n != x.req.Length {
		x.bodyErr = io.ErrUnexpectedEOF
		return x.bodyErr
	}
	if err != nil || chunked == nil {
		return err
	}
	if err := chunked.Close(); err != nil {
		return err
	}
	_, err = out.WriteString("\r\n")
	return err
}

// bodyReader notes errors of the caller's side, apart from the upstream's.
type bodyReader struct{ x *exchange }

func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.x.req.Body.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.x.bodyErr = err
	}
	return n, err
}

// givenWriter notes the first byte that is handed to the connection and bounds
// each write by the time that progress may take.
type givenWriter struct{ x *exchange }

func (w *givenWriter) Write(p []byte) (int, error) {
	if w.x.stopped.Load() {
		return 0, errClosed
	}
	_ = w.x.conn.raw.SetWriteDeadline(time.Now().Add(w.x.client.cfg.Progress))
	w.x.given.Store(true)
	return w.x.conn.raw.Write(p)
}

// answerBody reads the body of an answer, and gives the connection back.
type answerBody struct {
	exchange *exchange
	in       io.ReadCloser
	keep     bool
	ended    bool
	once     sync.Once
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	_ = b.exchange.conn.raw.SetReadDeadline(time.Now().Add(b.exchange.client.cfg.Progress))
	n, err := b.in.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.ended = true
	case err != nil:
		err = &Error{kind: KindBroken, step: "read body", worker: b.exchange.worker.ID, cause: err}
	}
	return n, err
}

func (b *answerBody) close() {
	b.once.Do(func() {
		keep := b.keep && b.ended && b.exchange.sent()
		b.exchange.end(keep && b.exchange.conn.reader.Buffered() == 0)
	})
}
