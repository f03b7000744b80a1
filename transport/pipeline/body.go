// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httputil"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxDiscarded is how many bytes of a body that the handler has not read are discarded, so
// that the connection can be kept.
const maxDiscarded = 256 << 10

// errBodyClosed is returned for reads after the request has ended.
var errBodyClosed = errors.New("pipeline: the body was read after the request had ended")

// body is the body of a request. Its bytes follow the header on the connection.
type body struct {
	// beforeRead is called before the first byte is read.
	beforeRead func()

	mu     sync.Mutex
	br     *bufio.Reader
	source io.Reader
	// left is the number of bytes to come, or -1 if the body is chunked.
	left   int64
	begun  bool
	closed bool
	err    error
	// released is closed once the body has been read to its end or is closed. The
	// connection may be read further then.
	released chan struct{}
}

// newBody returns the body that a request announces, or nil if it has none.
func newBody(req *http.Request, br *bufio.Reader, beforeRead func()) *body {
	b := &body{br: br, left: req.ContentLength, beforeRead: beforeRead, released: make(chan struct{})}
	switch {
	case len(req.TransferEncoding) > 0:
		b.source, b.left = httputil.NewChunkedReader(br), -1
	case req.ContentLength > 0:
		b.source = io.LimitReader(br, req.ContentLength)
	default:
		return nil
	}
	return b
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, errBodyClosed
	}
	return b.read(p)
}

func (b *body) read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if !b.begun {
		b.begun = true
		b.beforeRead()
	}
	n, err := b.source.Read(p)
	if b.left >= 0 {
		b.left -= int64(n)
		if err == nil && b.left == 0 {
			err = io.EOF
		}
	}
	if err != nil {
		b.end(err)
	}
	return n, b.err
}

// end keeps the error that all further reads return. mu is held.
func (b *body) end(err error) {
	switch {
	case !errors.Is(err, io.EOF):
	case b.left > 0:
		err = io.ErrUnexpectedEOF
	case b.left < 0:
		if trailerErr := skipTrailer(b.br); trailerErr != nil {
			err = trailerErr
		}
	}
	if b.err = err; errors.Is(err, io.EOF) {
		b.err = io.EOF // io.Reader wants the error itself.
		close(b.released)
	}
}

// Close implements io.Closer. The request ends; what is left of the body is for finish.
func (b *body) Close() error { return nil }

// tooLong reports whether more of the body is left than is discarded.
func (b *body) tooLong() bool {
	if !b.mu.TryLock() {
		return false // Another goroutine still reads it.
	}
	defer b.mu.Unlock()
	return b.left > maxDiscarded
}

// isReleased reports whether the connection may be read beyond the body.
func (b *body) isReleased() bool {
	select {
	case <-b.released:
		return true
	default:
		return false
	}
}

// finish ends the body after its request, and reports whether the next request can be read
// from the connection. If discard is set, the rest of the body is read first, up to a bound.
func (b *body) finish(discard bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	if discard && b.err == nil && b.left <= maxDiscarded {
		for rest, p := maxDiscarded, make([]byte, 4<<10); b.err == nil && rest > 0; {
			n, _ := b.read(p) // read keeps the error.
			rest -= n
		}
	}
	return errors.Is(b.err, io.EOF)
}

// release releases the connection after finish has returned false.
func (b *body) release() { close(b.released) }
