// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// maxUnsized is the largest body that is held to find its length, if the handler has not
// set Content-Length. A larger one is sent in chunks.
const maxUnsized = 2 << 10

// errNotSent is returned for writes to a connection that is broken.
var errNotSent = errors.New("pipeline: the connection is broken")

// closedChannel is the turn of a request that is the first one in queue when it begins.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// response is a request and the response to it. It implements http.ResponseWriter and
// http.Flusher for the handler. Its fields belong to the goroutine of the request, unless
// their comments say otherwise.
type response struct {
	conn       *conn
	req        *http.Request
	body       *body
	receivedAt time.Time
	position   Position
	// onSent is the function registered with OnSent.
	onSent func(held time.Duration)
	// ctx is the context of the request, and cancel ends it. Both are set when it begins.
	ctx    context.Context
	cancel context.CancelFunc
	// concurrent is set if the request may run beside others.
	concurrent bool
	// rejection is the reason why the server itself answers the request, or nil.
	rejection *statusError
	// turn is closed when all responses before this one have been sent.
	turn chan struct{}
	// ready is set once the handler has returned without aborting. It is guarded by conn.mu.
	ready bool
	// sending is set once the last bytes are about to be sent. It is guarded by conn.mu.
	sending bool
	// keptOpen is set once the header is sent without "Connection: close". It is guarded by
	// conn.mu.
	keptOpen bool
	// countsBehind is set if the request has a unit of the limit of requests behind others.
	// It is guarded by conn.mu.
	countsBehind bool
	// heldBytes is what conn.hold has granted, and collectedBytes what conn.collect has. They
	// are guarded by conn.mu.
	heldBytes, collectedBytes int
	// streams is set while the response may be sent before it is whole. It is guarded by conn.mu.
	streams bool

	header http.Header
	status int
	// length is the length of the body in bytes, or -1 if the handler has not set it.
	length  int64
	written int64
	// incomplete is set if bytes of the body were dropped.
	incomplete bool
	// unsent holds the start of the body until the header is sent.
	unsent  []byte
	chunked bool

	// continueMu guards what follows, since another goroutine of the handler may read the body.
	continueMu   sync.Mutex
	headSent     bool
	continueSent bool
}

func newResponse(c *conn, req *http.Request) *response {
	return &response{conn: c, req: req, receivedAt: time.Now(), onSent: func(time.Duration) {}, header: make(http.Header), length: -1}
}

// serve calls the handler. It returns false if the handler has aborted the response.
func (r *response) serve() (completed bool) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		completed = false
		if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			r.conn.server.cfg.Log.Error(nil, "pipeline: handler panicked", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	if r.rejection != nil {
		r.header.Set("Connection", "close")
		http.Error(r, http.StatusText(r.rejection.status), r.rejection.status)
		return true
	}
	req := r.req.WithContext(r.ctx)
	req.RemoteAddr = r.conn.nc.RemoteAddr().String()
	r.conn.server.cfg.Handler.ServeHTTP(r, req)
	return true
}

// Header implements http.ResponseWriter.
func (r *response) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter. Informational statuses are dropped.
func (r *response) WriteHeader(status int) {
	if status < http.StatusOK || r.status != 0 {
		return
	}
	r.status = status
	if value := r.header.Get("Content-Length"); value != "" {
		n, err := strconv.ParseInt(value, 10, 64)
		if err == nil && n >= 0 {
			r.length = n
			return
		}
		r.conn.server.cfg.Log.Info("pipeline: the handler set an invalid length", "length", value)
		r.header.Del("Content-Length")
	}
}

// Write implements http.ResponseWriter. Before the response's turn it keeps the bytes, and
// waits for the turn if the limits allow no more.
func (r *response) Write(p []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if !bodyAllowed(r.status) {
		return 0, http.ErrBodyNotAllowed
	}
	if r.length >= 0 && r.written+int64(len(p)) > r.length {
		return 0, http.ErrContentLength
	}
	r.written += int64(len(p))
	if r.req.Method == http.MethodHead {
		return len(p), nil
	}
	if !r.hasTurn() && !r.conn.hold(r, len(p)) {
		select {
		case <-r.turn:
		case <-r.ctx.Done():
			r.incomplete = true
			return 0, errNotSent
		}
	}
	if !r.hasTurn() || !r.headSent && r.length < 0 && len(r.unsent)+len(p) <= maxUnsized {
		r.unsent = append(r.unsent, p...)
		return len(p), nil
	}
	if err := r.sendHead(); err != nil {
		return 0, err
	}
	return len(p), r.sendBody(p)
}

// Flush implements http.Flusher. It has no effect before the response's turn.
func (r *response) Flush() {
	if !r.hasTurn() {
		return
	}
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if r.sendHead() == nil {
		_ = r.conn.bw.Flush() // An error has broken off the connection, and later writes return it.
	}
}

func (r *response) hasTurn() bool {
	select {
	case <-r.turn:
		return true
	default:
		return false
	}
}

// finish sends what is left of a response whose turn has come.
func (r *response) finish() error {
	if r.incomplete || r.conn.isBroken() {
		return errNotSent
	}
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if !r.headSent && r.length < 0 && r.hasBody() {
		r.length = r.written
		r.header.Set("Content-Length", strconv.FormatInt(r.written, 10))
	}
	if err := r.sendHead(); err != nil {
		return err
	}
	if r.length >= 0 && r.written != r.length && r.hasBody() {
		return errors.Newf("pipeline: the handler wrote %d of %d bytes", r.written, r.length)
	}
	if r.chunked {
		if _, err := r.conn.bw.WriteString("0\r\n\r\n"); err != nil {
			return err
		}
	}
	if !r.conn.startSending(r) {
		if err := r.conn.bw.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// endsWithConnection reports whether only the end of the connection tells the client that
// the response is complete. To reset it is then the only way to show that it is not.
func (r *response) endsWithConnection() bool {
	return r.headSent && r.length < 0 && !r.chunked && r.hasBody()
}

// hasBody reports whether the response is sent with a body, which may be empty.
func (r *response) hasBody() bool {
	return r.req.Method != http.MethodHead && bodyAllowed(r.status)
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// sendHead sends the header and the bytes kept so far, unless that is done.
func (r *response) sendHead() error {
	if !r.markHeadSent() {
		return nil
	}
	r.chunked = r.length < 0 && r.hasBody() && r.req.ProtoAtLeast(1, 1)
	closes := r.req.Close || r.awaitsContinue() || r.body != nil && r.body.tooLong() || hasToken(r.header["Connection"], "close") ||
		r.length < 0 && r.hasBody() && !r.chunked
	r.header.Del("Connection")
	r.header.Del("Transfer-Encoding")
	if !bodyAllowed(r.status) {
		r.header.Del("Content-Length")
	}
	if r.conn.closesWith(closes) {
		r.header.Set("Connection", "close")
	} else if !r.req.ProtoAtLeast(1, 1) {
		r.header.Set("Connection", "keep-alive")
	}
	if r.chunked {
		r.header.Set("Transfer-Encoding", "chunked")
	}
	if _, ok := r.header["Date"]; !ok {
		r.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	if err := r.writeHead(r.conn.bw); err != nil {
		return err
	}
	unsent := r.unsent
	r.unsent = nil
	return r.sendBody(unsent)
}

// markHeadSent reports whether the header has not been sent before.
func (r *response) markHeadSent() bool {
	r.continueMu.Lock()
	defer r.continueMu.Unlock()
	first := !r.headSent
	r.headSent = true
	return first
}

func (r *response) writeHead(bw *bufio.Writer) error {
	line := append(bw.AvailableBuffer(), "HTTP/1."...)
	line = strconv.AppendInt(line, int64(min(r.req.ProtoMinor, 1)), 10)
	line = append(line, ' ')
	line = strconv.AppendInt(line, int64(r.status), 10)
	line = append(line, ' ')
	line = append(line, http.StatusText(r.status)...)
	line = append(line, "\r\n"...)
	if _, err := bw.Write(line); err != nil {
		return err
	}
	if err := r.header.Write(bw); err != nil {
		return err
	}
	_, err := bw.WriteString("\r\n")
	return err
}

// sendBody sends bytes of the body behind the header.
func (r *response) sendBody(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	bw := r.conn.bw
	if !r.chunked {
		_, err := bw.Write(p)
		return err
	}
	if _, err := fmt.Fprintf(bw, "%x\r\n", len(p)); err != nil {
		return err
	}
	if _, err := bw.Write(p); err != nil {
		return err
	}
	_, err := bw.WriteString("\r\n")
	return err
}

// sendContinue asks the client for the body if it waits for that.
func (r *response) sendContinue() {
	r.continueMu.Lock()
	defer r.continueMu.Unlock()
	if !r.expectsContinue() || r.headSent {
		return
	}
	r.continueSent = true
	_, _ = io.WriteString(r.conn.bw, "HTTP/1.1 100 Continue\r\n\r\n") // An error shows when the body is read.
	_ = r.conn.bw.Flush()                                             // Likewise.
}

func (r *response) expectsContinue() bool {
	return r.body != nil && r.req.ProtoAtLeast(1, 1) && strings.EqualFold(r.req.Header.Get("Expect"), "100-continue")
}

// awaitsContinue reports whether the client still waits to be asked for the body. It may
// send it or not, so the connection can't be used for another request.
func (r *response) awaitsContinue() bool {
	r.continueMu.Lock()
	defer r.continueMu.Unlock()
	return r.expectsContinue() && !r.continueSent
}

// hasToken reports whether a list header contains a token.
func hasToken(values []string, token string) bool {
	for _, value := range values {
		for part := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(textproto.TrimString(part), token) {
				return true
			}
		}
	}
	return false
}
