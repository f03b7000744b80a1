// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// send writes the request. It runs concurrently with readHead, since an upstream
// may respond before it has read the whole body.
func (x *exchange) send() {
	defer close(x.sendDone)
	out := bufio.NewWriterSize(&deadlineWriter{x}, 32<<10)
	err := x.req.writeHead(out)
	if err == nil && x.req.Body != nil {
		err = x.writeBody(out)
	}
	if err == nil {
		err = out.Flush()
	}
	x.sendErr = err
	if err != nil && !x.stopped.Load() {
		if x.bodyErr != nil || !x.writeStarted.Load() {
			x.conn.close() // No response can arrive; unblock readHead.
			return
		}
		// The upstream may have responded early and closed the connection:
		// give readHead time to read that response.
		_ = x.conn.raw.SetReadDeadline(time.Now().Add(time.Second))
		return
	}
	if x.req.ResponseHeaderTimeout > 0 && !x.stopped.Load() {
		_ = x.conn.raw.SetReadDeadline(time.Now().Add(x.req.ResponseHeaderTimeout))
	}
}

func (r *Request) writeHead(out *bufio.Writer) error {
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
	// Flush the header first: the upstream may refuse before it gets the body.
	if x.req.Length < 0 || x.req.Length > int64(out.Available()) {
		if err := out.Flush(); err != nil {
			return err
		}
	}
	var dst io.Writer = out
	var chunked io.WriteCloser
	if x.req.Length < 0 {
		chunked = httputil.NewChunkedWriter(out)
		dst = chunked
	}
	n, err := io.Copy(dst, &bodyReader{x})
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

// bodyReader reads the request body and records its read errors, to tell them
// from write errors of the connection.
type bodyReader struct{ x *exchange }

func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.x.req.Body.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.x.bodyErr = err
	}
	return n, err
}

// deadlineWriter writes to the connection with a deadline for each write and
// records that writing has started.
type deadlineWriter struct{ x *exchange }

func (w *deadlineWriter) Write(p []byte) (int, error) {
	x := w.x
	x.writing.Lock()
	defer x.writing.Unlock()
	if !x.prepareWrite() {
		return 0, errClosed
	}
	x.writeStarted.Store(true)
	n, err := x.conn.raw.Write(p)
	x.writeErr = err
	return n, err
}

// prepareWrite sets the deadline of a write. It returns false once the exchange sends no more.
func (x *exchange) prepareWrite() bool {
	x.stopMu.Lock()
	defer x.stopMu.Unlock()
	if x.stopped.Load() {
		return false
	}
	_ = x.conn.raw.SetWriteDeadline(x.progressDeadline()) // Fails only for a closed connection.
	return true
}

// stopSending ends a pending write, lets no further one begin, and returns the error of the last.
func (x *exchange) stopSending() error {
	x.stopMu.Lock()
	x.stopped.Store(true)
	_ = x.conn.raw.SetWriteDeadline(time.Unix(1, 0)) // Fails only for a closed connection.
	x.stopMu.Unlock()
	x.writing.Lock()
	defer x.writing.Unlock()
	return x.writeErr
}
