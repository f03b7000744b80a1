// Copyright 2026 The ryehill Authors
// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// maxBufferedBody is how many bytes of a request body are buffered before a worker
// is chosen. A body that fits can be resent and occupies no worker while it is received.
const maxBufferedBody = 1 << 20

// errTooLarge is returned for a body that exceeds the configured limit.
var errTooLarge = errors.New("ingress: the body is too large")

// body is the body of a client request.
type body struct {
	buffered []byte
	// remainder is the unread part beyond buffered, or nil. It can be read once.
	remainder io.Reader
	// length is the length in bytes, or -1 if unknown.
	length   int64
	absent   bool
	consumed bool
}

// readBody reads and buffers the start of a body. A limit of 0 means no limit.
func readBody(r *http.Request, limit int64) (*body, error) {
	if limit > 0 && r.ContentLength > limit {
		return nil, errTooLarge
	}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &body{absent: true}, nil
	}
	source := io.Reader(r.Body)
	if limit > 0 {
		source = &limitedReader{source: r.Body, left: limit}
	}
	buffered, err := readBuffered(source, r.ContentLength)
	if err != nil {
		return nil, err
	}
	b := &body{buffered: buffered, length: r.ContentLength}
	if len(buffered) == maxBufferedBody {
		b.remainder = source
		return b, nil
	}
	if b.length < 0 {
		b.length = int64(len(buffered))
	}
	return b, nil
}

func readBuffered(source io.Reader, length int64) ([]byte, error) {
	var buffered bytes.Buffer
	if length > 0 {
		buffered.Grow(int(min(length, maxBufferedBody)) + bytes.MinRead)
	}
	_, err := io.Copy(&buffered, io.LimitReader(source, maxBufferedBody))
	return buffered.Bytes(), err
}

// reader returns the body from its start, or nil if there is none.
func (b *body) reader() io.Reader {
	switch {
	case b.absent:
		return nil
	case b.remainder != nil:
		b.consumed = true
		return io.MultiReader(bytes.NewReader(b.buffered), b.remainder)
	}
	return bytes.NewReader(b.buffered)
}

// limitedReader returns errTooLarge once more than left bytes have been read.
type limitedReader struct {
	source io.Reader
	left   int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	n, err := l.source.Read(p)
	l.left -= int64(n)
	if l.left < 0 {
		return 0, errTooLarge
	}
	return n, err
}
